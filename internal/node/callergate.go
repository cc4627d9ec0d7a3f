package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"persimmoncross"
	"persimmoncross/core/coordination/adaptivelimit"
	"persimmoncross/io/transport/socket"
)

// Intervals of a gate.
const (
	// refusingInterval is how long no connection is accepted once the limit is reached. A connection that is refused
	// costs neither the processor nor the link what one costs that is accepted and closed, and its caller asks another
	// entry at once.
	refusingInterval = 10 * time.Millisecond
	// maxRefusingTime is how long connections are refused at most, so that callers' requests always find some room and show
	// whether there is more.
	maxRefusingTime = time.Second
	// refusalTime is the time over which the part of refused connections is measured, and maxRefusal the part from which
	// the load balancer is told to send callers elsewhere. It asks once a second.
	refusalTime = 400 * time.Millisecond
	maxRefusal  = 0.5
	// drainTime is how long a listener about to be closed accepts the connections that were made already. They have sent
	// their first request.
	drainTime = time.Millisecond
	// loadLogInterval is the time between two log lines about the load of callers, which are written while at least
	// minLoggedRequests came in it.
	loadLogInterval   = time.Second
	minLoggedRequests = 50
)

// dialFunc opens a connection to an upstream.
type dialFunc = func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// errNotRead ends a connection whose next request is not read.
var errNotRead = newError("read", Unavailable, errors.New("the entry has as many requests in work as it can serve in time"))

// callerGate decides which requests of callers are read. The exported fields are set before use.
type callerGate struct {
	Clock   persimmoncross.Clock
	Metrics metrics.Registry
	Log     zerolog.Logger
	// PeerDelay measures the link by a peer that is no upstream.
	PeerDelay *peerDelay

	mu         sync.Mutex // guards all below
	limit      adaptivelimit.Limit
	acceptedAt time.Time // when a connection was last accepted
	refusal    refusalShare
	loggedAt   time.Time
	inForce    bool // the limit was in force when it was last logged
	logged     callerLoad

	received, sent atomic.Int64 // bytes from and to callers
}

// setRefusing records that connections are refused from now on, or not.
func (g *callerGate) setRefusing(refusing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusal.set(refusing, g.Clock.Now())
}

// refusesMost reports whether callers should use other entries, since this one refuses most new connections. It is so until
// the limit has not been reached for a while.
func (g *callerGate) refusesMost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.limit.HasRoom(now) // evaluates what came since the last request
	return g.refusal.isMost(g.limit.InForce(), now)
}

// refusalShare measures the part of the time in which connections are refused.
type refusalShare struct {
	closedAt time.Time // since when they are; zero: they are not
	since    time.Time // when the measurement began; zero: no limit is in force
	closed   time.Duration
	most     bool
}

// set records that connections are refused from now on, or not.
func (r *refusalShare) set(closed bool, now time.Time) {
	if !r.closedAt.IsZero() {
		r.closed += now.Sub(r.closedAt)
		r.closedAt = time.Time{}
	}
	if closed {
		r.closedAt = now
	}
}

// isMost reports whether connections were refused for most of a refusalTime or more, and a limit has been in force since.
func (r *refusalShare) isMost(inForce bool, now time.Time) bool {
	r.set(!r.closedAt.IsZero(), now)
	if !inForce {
		*r = refusalShare{}
		return false
	}
	if r.since.IsZero() {
		r.since = now
		r.closed = 0
	}
	if elapsed := now.Sub(r.since); elapsed >= refusalTime {
		r.most = r.most || float64(r.closed) > maxRefusal*float64(elapsed)
		r.since = now
		r.closed = 0
	}
	return r.most
}

// callerLoad is what came from callers since the last log line.
type callerLoad struct {
	accepted, begun, unread int
	dials, failed           int
	received, sent          int64
}

// accepted counts a new connection for its first request, and reports whether more may come.
func (g *callerGate) accepted() (more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.acceptedAt = now
	g.logged.accepted++
	g.limit.Count(now)
	return g.limit.HasRoom(now)
}

// mayAccept reports whether connections are accepted again.
func (g *callerGate) mayAccept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	return g.limit.HasBurst(now) || now.Sub(g.acceptedAt) >= maxRefusingTime
}

// begin reports whether a request may be read, and begins to measure it if so. The first request of a connection was
// counted when that was accepted.
func (g *callerGate) begin(q *adaptivelimit.Request, first bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	defer g.logLoad(now)
	g.refusal.isMost(g.limit.InForce(), now)
	if g.limit.IsConnectingLate(now) {
		g.limit.SetPeerDelay(g.PeerDelay.delay())
	}
	if g.limit.IsExceeded(now) {
		g.logged.unread++
		metrics.GetOrRegisterCounter("callers.unread", g.Metrics).Inc(1)
		return false
	}
	if !first {
		g.limit.Count(now)
	}
	g.logged.begun++
	g.limit.Begin(q, now)
	return true
}

// update changes the limit's state.
func (g *callerGate) update(change func(l *adaptivelimit.Limit, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.limit, g.Clock.Now())
}

// measureDials returns a function that opens direct connections as dial does, and has the limit follow how long that takes.
func (g *callerGate) measureDials(dial dialFunc) dialFunc {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		var c *adaptivelimit.Connecting
		g.update(func(l *adaptivelimit.Limit, now time.Time) { c = l.Connect(address, now) })
		conn, err := dial(ctx, address)
		delay := time.Duration(0)
		if err != nil {
			delay = g.PeerDelay.delay()
		}
		g.update(func(l *adaptivelimit.Limit, now time.Time) {
			if err != nil {
				g.logged.failed++
				l.SetPeerDelay(delay)
				l.ConnectFailed(c, now)
				return
			}
			g.logged.dials++
			l.Connected(c, now)
		})
		return conn, err
	}
}

// logLoad logs a limit that came into force or ended, and the load of callers once a second. The caller holds mu.
func (g *callerGate) logLoad(now time.Time) {
	inForce := g.limit.InForce()
	if inForce == g.inForce && now.Sub(g.loggedAt) < loadLogInterval {
		return
	}
	elapsed := now.Sub(g.loggedAt)
	x := g.logged
	x.received, x.sent = g.received.Swap(0), g.sent.Swap(0)
	busy := inForce || g.inForce || x.begun+x.unread >= minLoggedRequests
	g.inForce = inForce
	g.loggedAt = now
	g.logged = callerLoad{}
	s := g.limit.State(now)
	metrics.GetOrRegisterGauge("callers.limit", g.Metrics).Update(int64(s.Rate))
	if busy {
		g.Log.Info().Float64("limit", s.Rate).Float64("rate", s.Measured).Int("working", s.InWork).Dur("work", s.WorkDelay).Dur("link", s.LinkDelay).Int("accepted", x.accepted).Int("begun", x.begun).Int("unread", x.unread).Int("dials", x.dials).Int("failed", x.failed).Int64("received", x.received).Int64("sent", x.sent).Dur("since", elapsed).Msg("load of callers")
	}
}

// connState follows the requests of a connection. It is called by the server of callers.
func (g *callerGate) connState(c net.Conn, state http.ConnState) {
	k, ok := c.(*gatedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		k.End()
		k.next.Store(true)
	case http.StateClosed, http.StateHijacked:
		k.End()
	}
}

// gatedConn is a connection of a caller. It implements [persimmoncross.OwnWork] for its requests.
type gatedConn struct {
	net.Conn
	gate    *callerGate
	next    atomic.Bool // the next byte belongs to a request that was not begun
	used    bool        // its first request was begun
	request adaptivelimit.Request
}

// Read implements [net.Conn]. Before it reads the first bytes of a request it waits until they are there, and leaves them
// unread if the request may not be read.
func (k *gatedConn) Read(p []byte) (int, error) {
	if !k.next.Load() {
		return k.read(p)
	}
	if err := awaitReadable(k.Conn); err != nil {
		return 0, err
	}
	k.next.Store(false)
	first := !k.used
	k.used = true
	if !k.gate.begin(&k.request, first) {
		k.Conn.Close() // the unread bytes tell the caller that nothing was read
		return 0, errNotRead
	}
	n, err := k.read(p)
	if n == 0 {
		k.gate.update(func(l *adaptivelimit.Limit, _ time.Time) { l.Abandon(&k.request) })
	}
	return n, err
}

func (k *gatedConn) read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	k.gate.received.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (k *gatedConn) Write(p []byte) (int, error) {
	n, err := k.Conn.Write(p)
	k.gate.sent.Add(int64(n))
	return n, err
}

// awaitReadable waits until bytes or the end of the connection can be read.
func awaitReadable(c net.Conn) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		poll := []unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLIN,
		}}
		n, err := unix.Poll(poll, 0)
		return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
	})
}

// Pause implements [persimmoncross.OwnWork].
func (k *gatedConn) Pause() {
	k.gate.update(func(l *adaptivelimit.Limit, now time.Time) { l.Pause(&k.request, now) })
}

// Resume implements [persimmoncross.OwnWork].
func (k *gatedConn) Resume() {
	k.gate.update(func(l *adaptivelimit.Limit, now time.Time) { l.Resume(&k.request, now) })
}

// End implements [persimmoncross.OwnWork].
func (k *gatedConn) End() {
	k.gate.update(func(l *adaptivelimit.Limit, now time.Time) { l.End(&k.request, now) })
}

// gatedListener accepts connections of callers while its gate lets it. Meanwhile it is closed, so that connections are
// refused.
type gatedListener struct {
	gate    *callerGate
	address netip.AddrPort
	ctx     context.Context

	pausing bool // the connections that wait are accepted, and then no more; used by Accept alone

	mu      sync.Mutex       // guards all below
	current *net.TCPListener // nil while connections are refused
	closed  bool
}

// listen opens the listener of callers.
func (g *callerGate) listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	l := &gatedListener{
		gate:    g,
		address: address,
		ctx:     ctx,
	}
	if err := l.listen(); err != nil {
		return nil, err
	}
	return l, nil
}

// listen opens the current listener.
func (l *gatedListener) listen() error {
	current, err := socket.Listen().Listen(l.ctx, "tcp", l.address.String())
	if err != nil {
		return err
	}
	l.current = current.(*net.TCPListener)
	return nil
}

// Accept implements [net.Listener].
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		current, err := l.open()
		if err != nil {
			return nil, err
		}
		if current == nil {
			select {
			case <-l.ctx.Done():
				return nil, net.ErrClosed
			case <-l.gate.Clock.After(refusingInterval):
			}
			continue
		}
		c, err := current.Accept()
		if err != nil {
			if l.pausing && errors.Is(err, os.ErrDeadlineExceeded) {
				l.pause()
				continue
			}
			return nil, err
		}
		if !l.gate.accepted() && !l.pausing {
			l.pausing = true
			current.SetDeadline(time.Now().Add(drainTime))
		}
		k := &gatedConn{
			Conn: c,
			gate: l.gate,
		}
		k.next.Store(true)
		return k, nil
	}
}

// open returns the current listener, nil if connections are refused.
func (l *gatedListener) open() (*net.TCPListener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return nil, net.ErrClosed
	case l.current != nil:
		return l.current, nil
	}
	if !l.gate.mayAccept() {
		return nil, nil
	}
	l.gate.setRefusing(false)
	if err := l.listen(); err != nil {
		l.gate.Log.Warn().Err(err).Msg("callers can't be listened for again; it is tried until they can")
		return nil, nil
	}
	return l.current, nil
}

// pause closes the listener until the gate lets connections be accepted.
func (l *gatedListener) pause() {
	l.pausing = false
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.closed {
		return
	}
	metrics.GetOrRegisterCounter("callers.refusing", l.gate.Metrics).Inc(1)
	l.current.Close()
	l.current = nil
	l.gate.setRefusing(true)
}

// Close implements [net.Listener].
func (l *gatedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.current == nil {
		return nil
	}
	return l.current.Close()
}

// Addr implements [net.Listener].
func (l *gatedListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
