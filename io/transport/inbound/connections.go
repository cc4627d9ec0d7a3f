package inbound

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
)

const (
	sweepInterval = time.Second
	logInterval   = time.Second
)

// Connections bounds the open connections of one listener. Beyond Max it closes one that has proved nothing: first the
// one of those without a request yet that has sent nothing for longest, then the one that has been idle for longest. Where all
// have a request in work, the new one is closed. A request is in work once it has arrived whole. The exported fields are set before use.
type Connections struct {
	Name    string // in metrics and log lines
	Max     int
	Clock   persimmoncross.Clock
	Metrics metrics.Registry
	Log     zerolog.Logger

	mu       sync.Mutex // guards all below
	all      map[net.Conn]*connection
	fresh    list.List // those without a request yet, in the order in which they were opened
	idle     list.List // those between two requests, the one that waits longest first
	loggedAt time.Time
}

// connection is the state of one connection.
type connection struct {
	conn    net.Conn
	in      *list.List // nil while a request is in work
	element *list.Element
	since   time.Time // when it was opened, became idle, or began to send a request
	sending bool      // it has begun to send a request's head
}

// Bind lets the server's connections be bounded. It is called once the server's fields are set.
func (l *Connections) Bind(s *http.Server) {
	state, connContext, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(c net.Conn, to http.ConnState) {
		l.setState(c, to)
		if state != nil {
			state(c, to)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			r = l.received(c, r)
		}
		handler.ServeHTTP(w, r)
	})
}

// progressBytes of a body let its connection count as one that has just been opened.
const progressBytes = 64 << 10

// received records that the head of a request was received, and returns the request as its handler gets it. The request is in
// work once its body has arrived.
func (l *Connections) received(c net.Conn, r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		l.Working(c)
		return r
	}
	l.progress(c)
	r = r.WithContext(r.Context()) // net/http looks at the body of its own
	r.Body = &arrivingBody{
		ReadCloser: r.Body,
		of:         l,
		conn:       c,
	}
	return r
}

// arrivingBody is the body of a request that is not in work before it has arrived.
type arrivingBody struct {
	io.ReadCloser
	of   *Connections
	conn net.Conn
	read int // since the connection last counted as one that has just been opened
	done bool
}

// Read implements [io.Reader].
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += n
	switch {
	case errors.Is(err, io.EOF) && !b.done:
		b.done = true
		b.of.Working(b.conn)
	case b.read >= progressBytes:
		b.read = 0
		b.of.progress(b.conn)
	}
	return n, err
}

// connKey is the key of a context's connection.
type connKey struct{}

func (l *Connections) setState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.Opened(c)
	case http.StateActive:
		l.sending(c)
	case http.StateIdle:
		l.setIdle(c)
	case http.StateClosed, http.StateHijacked:
		l.Closed(c)
	}
}

// Opened adds a connection. It closes another one, or this one, if there are too many.
func (l *Connections) Opened(c net.Conn) {
	l.mu.Lock()
	if l.all == nil {
		l.all = map[net.Conn]*connection{}
	}
	x := &connection{
		conn: c,
	}
	l.all[c] = x
	l.move(x, &l.fresh)
	var excess net.Conn
	if len(l.all) > l.Max {
		excess = l.takeExcess(x)
	}
	l.mu.Unlock()
	if excess != nil {
		excess.Close()
	}
}

// takeExcess removes and returns the connection that is closed for the sake of the new one. The caller holds mu.
func (l *Connections) takeExcess(added *connection) net.Conn {
	x := added
	kind := "refused"
	if front := l.fresh.Front().Value.(*connection); front != added {
		x = front
		kind = "closed.fresh"
	} else if l.idle.Len() > 0 {
		x = l.idle.Front().Value.(*connection)
		kind = "closed.idle"
	}
	metrics.GetOrRegisterCounter("inbound."+l.Name+"."+kind, l.Metrics).Inc(1)
	if now := l.Clock.Now(); now.Sub(l.loggedAt) >= logInterval {
		l.loggedAt = now
		l.Log.Warn().Str("listener", l.Name).Int("open", len(l.all)-1).Int("fresh", l.fresh.Len()).Int("idle", l.idle.Len()).Str("one", kind).Msg("connections are at their limit")
	}
	l.remove(x)
	return x.conn
}

// Working records that a request of the connection was received and is in work.
func (l *Connections) Working(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.all[c]; x != nil {
		l.move(x, nil)
	}
}

func (l *Connections) sending(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.all[c]
	if x == nil {
		return
	}
	if x.in == &l.idle {
		l.move(x, &l.idle) // its next request is likely to be complete soon
	}
	x.since = l.Clock.Now()
	x.sending = true
}

// progress records that the connection's request arrives.
func (l *Connections) progress(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.all[c]; x != nil && x.in != nil {
		l.move(x, x.in)
	}
}

func (l *Connections) setIdle(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.all[c]; x != nil {
		l.move(x, &l.idle)
	}
}

// Closed removes a connection. More calls do nothing.
func (l *Connections) Closed(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.all[c]; x != nil {
		l.remove(x)
	}
}

// move puts the connection at the end of a list, or into none. The caller holds mu.
func (l *Connections) move(x *connection, to *list.List) {
	if x.in != nil {
		x.in.Remove(x.element)
	}
	x.in = to
	x.element = nil
	x.since = l.Clock.Now()
	x.sending = false
	if to != nil {
		x.element = to.PushBack(x)
	}
}

// remove forgets the connection. The caller holds mu.
func (l *Connections) remove(x *connection) {
	l.move(x, nil)
	delete(l.all, x.conn)
}

// Len returns the number of open connections.
func (l *Connections) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
}

// Sweep closes, until the context ends, the connections that take longer for a request's head, or are idle for longer,
// than the limits allow; zero: they are not limited.
func (l *Connections) Sweep(ctx context.Context, limits func() (head, idle time.Duration)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.Clock.After(sweepInterval):
		}
		head, idle := limits()
		for _, c := range l.takeOverdue(head, idle) {
			c.Close()
		}
	}
}

// takeOverdue removes and returns the connections that are past the limits.
func (l *Connections) takeOverdue(head, idle time.Duration) []net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	var overdue []net.Conn
	for _, x := range l.all {
		limit, kind := idle, "overdue.idle"
		if x.sending {
			limit, kind = head, "overdue.head"
		}
		if x.in == nil || limit <= 0 || now.Sub(x.since) <= limit {
			continue
		}
		metrics.GetOrRegisterCounter("inbound."+l.Name+"."+kind, l.Metrics).Inc(1)
		l.remove(x)
		overdue = append(overdue, x.conn)
	}
	return overdue
}
