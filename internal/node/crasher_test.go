package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmoncross"
)

// Of the upstreams that end.
const (
	poison   = "poison " // how a body begins that ends its upstream
	downTime = 400 * time.Millisecond
	runTime  = 20 * time.Millisecond // from a run's beginning to the end of the upstream
)

// passageCodec is a codec for the stand-ins below.
type passageCodec struct{}

func (passageCodec) Encode(h http.Header, a *persimmoncross.PassageAttempt, _ time.Duration) {
	h.Set("Request", a.Passage.ID)
	h.Set("Incarnation", a.Upstream.Incarnation)
	if a.LastEvent != "" {
		h.Set("After", a.LastEvent)
	}
}

func (passageCodec) Decode(status int, h http.Header) persimmoncross.PassageHead {
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	return persimmoncross.PassageHead{
		Status:      status,
		Request:     h.Get("Request"),
		Signed:      true,
		Misdirected: status == http.StatusMisdirectedRequest,
		Confidence:  -1,
		Limit:       limit,
	}
}

// arrival is a request that reached an upstream.
type arrival struct {
	body       string
	at         time.Time
	place      *crasher
	dataCentre string
}

// farm is a number of upstreams that some requests end. Each is back after a
// while, with another name at its address.
type farm struct {
	list   *lister
	events int // of a stream
	pace   time.Duration

	mu       sync.Mutex // guards all below
	all      []*crasher
	arrivals []arrival
	ends     map[string][]time.Time // of upstreams, by the body that ended them
	lives    int
	closed   bool
	// breaks is which part of the answers breaks off though the upstream lives on,
	// in hundredths.
	breaks int
	// listLag is how much later than an upstream is back the list tells so.
	listLag time.Duration
	// fronted tells that something before the upstreams goes on taking connections
	// while they are down, and closes them.
	fronted bool
}

// crasher is one place of a farm.
type crasher struct {
	farm       *farm
	address    netip.AddrPort
	dataCentre string  // "a" and "b" in turn
	limit      float64 // that its answers name, 0: none; guarded by farm.mu
	id         string
	server     *http.Server
	front      *front // nil: the upstream itself listens
}

// front takes connections for an upstream, and closes them while that is down. It is
// the listener of one life at a time.
type front struct {
	net.Listener
	farm  *farm
	conns chan net.Conn
	down  bool // guarded by farm.mu
}

// run hands connections on until the listener is closed.
func (f *front) run() {
	for {
		c, err := f.Listener.Accept()
		if err != nil {
			return
		}
		f.farm.mu.Lock()
		down := f.down
		f.farm.mu.Unlock()
		if down {
			c.Close()
			continue
		}
		f.conns <- c
	}
}

// frontLife is a front as one life's server knows it: closing that ends the life only.
type frontLife struct {
	*front
	ended chan struct{}
	once  sync.Once
}

func (l *frontLife) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *frontLife) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func newFarm(t *testing.T, l *lister, size int) *farm {
	t.Helper()
	return newFarmOf(t, l, size, false)
}

// newFarmOf returns a farm with fronts before its upstreams, or without.
func newFarmOf(t *testing.T, l *lister, size int, fronted bool) *farm {
	t.Helper()
	f := &farm{
		list:    l,
		events:  6,
		pace:    10 * time.Millisecond,
		ends:    map[string][]time.Time{},
		fronted: fronted,
	}
	for range size {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c := &crasher{
			farm:    f,
			address: socket.Addr().(*net.TCPAddr).AddrPort(),

			dataCentre: []string{"a", "b"}[len(f.all)%2],
		}
		if fronted {
			c.front = &front{
				Listener: socket,
				farm:     f,
				conns:    make(chan net.Conn),
			}
			go c.front.run()
			t.Cleanup(func() { c.front.Close() })
		}
		f.all = append(f.all, c)
		f.mu.Lock()
		c.begin(socket)
		f.mu.Unlock()
	}
	f.tell()
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, c := range f.all {
			if c.server != nil {
				c.server.Close()
			}
		}
	})
	return f
}

// begin starts a life. The caller holds mu.
func (c *crasher) begin(l net.Listener) {
	if c.front != nil {
		c.front.down = false
		l = &frontLife{
			front: c.front,
			ended: make(chan struct{}),
		}
	}
	c.farm.lives++
	c.id = fmt.Sprint("i", c.farm.lives)
	c.server = &http.Server{
		Handler: c.life(c.id),
	}
	go c.server.Serve(l)
}

// tell sets the list: upstreams that have ended are on it until they are back.
func (f *farm) tell() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []persimmoncross.Upstream
	for _, c := range f.all {
		list = append(list, persimmoncross.Upstream{
			Incarnation: c.id,
			Service:     "s",
			Address:     c.address,
			DataCentre:  c.dataCentre,
			Version:     "v1",
			Slots:       64,
		})
	}
	f.list.set(list...)
}

// crash ends the upstream's process, with all its connections, and starts another
// after a while.
func (c *crasher) crash(cause string) {
	f := c.farm
	f.mu.Lock()
	s := c.server
	c.server = nil
	if c.front != nil {
		c.front.down = true
	}
	if s != nil && cause != "" {
		f.ends[cause] = append(f.ends[cause], time.Now())
	}
	f.mu.Unlock()
	if s == nil {
		return
	}
	s.Close()
	time.AfterFunc(downTime, c.back)
}

// back starts the next life at the address.
func (c *crasher) back() {
	f := c.farm
	for range 500 {
		l, err := net.Listener(nil), error(nil)
		if c.front == nil {
			l, err = net.Listen("tcp", c.address.String())
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		f.mu.Lock()
		switch {
		case !f.closed:
			c.begin(l)
		case l != nil:
			l.Close()
		}
		lag := f.listLag
		f.mu.Unlock()
		time.AfterFunc(lag, f.tell)
		return
	}
}

// life is one life's handler.
func (c *crasher) life(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		body := string(text)
		w.Header().Set("Request", r.Header.Get("Request"))
		if r.Header.Get("Incarnation") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		f := c.farm
		f.mu.Lock()
		f.arrivals = append(f.arrivals, arrival{
			body:  body,
			at:    time.Now(),
			place: c,

			dataCentre: c.dataCentre,
		})
		if c.limit > 0 {
			w.Header().Set("Limit", fmt.Sprint(c.limit))
		}
		breaks := f.breaks > 0 && len(f.arrivals)*37%100 < f.breaks
		f.mu.Unlock()
		streams := strings.HasPrefix(r.URL.Path, "/stream/")
		if streams {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			http.NewResponseController(w).Flush()
		}
		if strings.HasPrefix(body, poison) {
			time.Sleep(runTime)
			c.crash(body)
			panic(http.ErrAbortHandler) // also where another has just ended the upstream
		}
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for n := after + 1; streams && n <= f.events; n++ {
			time.Sleep(f.pace)
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			http.NewResponseController(w).Flush()
			if breaks && n == f.events/2 {
				panic(http.ErrAbortHandler)
			}
		}
		if !streams {
			time.Sleep(f.pace)
			if breaks {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, body)
		}
	}
}

// reached counts the arrivals of a body after the time.
func (f *farm) reached(body string, after time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.body == body && a.at.After(after) {
			n++
		}
	}
	return n
}

// lastAt returns when the body came last, the zero time if it never did.
func (f *farm) lastAt(body string) (last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.body == body && a.at.After(last) {
			last = a.at
		}
	}
	return last
}

// ended returns when the body had ended so many upstreams, false if it has not.
func (f *farm) ended(body string, upstreams int) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := slices.Clone(f.ends[body])
	if len(at) < upstreams {
		return time.Time{}, false
	}
	slices.SortFunc(at, time.Time.Compare)
	return at[upstreams-1], true
}

// taker takes an answer.
type taker struct {
	status int
	body   bytes.Buffer
}

func (k *taker) Head(h persimmoncross.PassageHead) error {
	k.status = h.Status
	return nil
}

func (k *taker) Write(p []byte) error {
	_, err := k.body.Write(p)
	return err
}

func (k *taker) Flush() error { return nil }

var passages struct {
	mu   sync.Mutex // guards last
	last int
}

// ask sends a request at an entry, under an id of its own, and returns what came.
func ask(e *Entry, route, body string) (*taker, *persimmoncross.Refusal) {
	passages.mu.Lock()
	passages.last++
	id := fmt.Sprint("p", passages.last)
	passages.mu.Unlock()
	now := time.Now()
	p := &persimmoncross.Passage{
		ID:       id,
		Method:   http.MethodPost,
		Host:     "h",
		Path:     "/" + route + "/x",
		Target:   "/" + route + "/x",
		Header:   http.Header{},
		Body:     []byte(body),
		Content:  sha256.Sum256([]byte(body)),
		Arrived:  now,
		Deadline: now.Add(10 * time.Second),
	}
	k := &taker{}
	return k, e.Relay().Serve(context.Background(), p, k)
}
