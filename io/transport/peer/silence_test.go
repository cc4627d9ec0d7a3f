package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
)

// A peer is silent only if it was sent something and nothing was heard since.
func TestExpectation(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type step struct {
		now, heard int
		silent     bool
	}
	for _, tt := range []struct {
		what  string
		steps []step
	}{
		{"answered each time", []step{{0, -10, false}, {500, 20, false}, {1000, 520, false}, {2000, 1020, false}}},
		{"never answered", []step{{0, -10, false}, {400, -10, false}, {800, -10, false}, {801, -10, true}}},
		{"answered late", []step{{0, -10, false}, {790, -10, false}, {900, 850, false}, {1600, 850, false}, {1701, 850, true}}},
		{"nothing sent for long, and heard meanwhile", []step{{0, -10, false}, {9000, 4000, false}, {9100, 4000, false}}},
	} {
		var e expectation
		for i, s := range tt.steps {
			if got := e.sends(at(s.now), at(s.heard)); got != s.silent {
				t.Errorf("%s, step %d: silent is %v", tt.what, i, got)
			}
		}
	}
}

// shiftClock is the system's, ahead by what the test says.
type shiftClock struct {
	persimmoncross.SystemClock
	ahead atomic.Int64
}

// Now implements [persimmoncross.Clock].
func (c *shiftClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// heldLink passes connections on until it forgets them.
type heldLink struct {
	net.Listener
	to string

	mu   sync.Mutex // guards open
	open []*atomic.Bool
}

func newHeldLink(t testing.TB, to string) *heldLink {
	x := &heldLink{
		Listener: listen(t),
		to:       to,
	}
	go func() {
		for {
			c, err := x.Accept()
			if err != nil {
				return
			}
			go x.carry(c)
		}
	}()
	return x
}

func (x *heldLink) carry(in net.Conn) {
	out, err := net.Dial("tcp", x.to)
	if err != nil {
		in.Close()
		return
	}
	forgotten := &atomic.Bool{}
	x.mu.Lock()
	x.open = append(x.open, forgotten)
	x.mu.Unlock()
	copies := func(to, from net.Conn) {
		b := make([]byte, 4<<10)
		for {
			n, err := from.Read(b)
			if !forgotten.Load() {
				to.Write(b[:n])
			}
			if err != nil {
				if !forgotten.Load() {
					to.Close()
				}
				return
			}
		}
	}
	go copies(out, in)
	copies(in, out)
}

// forget lets what is open go silent for good.
func (x *heldLink) forget() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range x.open {
		f.Store(true)
	}
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// echo answers each message with one to the peer.
type echo struct {
	node *Node
	to   string
	got  chan struct{}
}

// Receive implements Handler.
func (h *echo) Receive(persimmoncross.Message) {
	select {
	case h.got <- struct{}{}:
	default:
	}
	if h.node != nil {
		h.node.Send(persimmoncross.Message{
			ToVM: h.to,
		})
	}
}

// Call implements Handler.
func (*echo) Call(_ context.Context, _ *wire.Call, s *Stream) {
	for s.Receive(&wire.Call{}) == nil {
	}
}

// pair is two nodes; a reaches b through a link that can be forgotten.
type pair struct {
	clock *shiftClock
	a, b  *Node
	link  *heldLink
	asked chan struct{} // b got a message
	heard chan struct{} // a got one
}

func newPair(t testing.TB) *pair {
	p := &pair{
		clock: &shiftClock{},
		asked: make(chan struct{}, 1),
		heard: make(chan struct{}, 1),
	}
	la, lb := listen(t), listen(t)
	p.link = newHeldLink(t, lb.Addr().String())
	node := func(vm string, l net.Listener, peer string, at netip.AddrPort) *Node {
		return &Node{
			VM:       vm,
			Listener: l,
			Peers: map[string]netip.AddrPort{
				peer: at,
			},
			Clock:   p.clock,
			Metrics: metrics.NewRegistry(),
		}
	}
	p.a = node("a", la, "b", address(p.link))
	p.b = node("b", lb, "a", address(la))
	p.a.Handler = &echo{
		got: p.heard,
	}
	p.b.Handler = &echo{
		node: p.b,
		to:   "a",
		got:  p.asked,
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, n := range []*Node{p.a, p.b} {
		n.Prepare()
		go n.Run(ctx)
	}
	return p
}

// until sends messages to b until one comes through.
func (p *pair) until(t testing.TB, came <-chan struct{}) {
	t.Helper()
	for range 2000 {
		p.a.Send(persimmoncross.Message{
			ToVM: "b",
		})
		select {
		case <-came:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
	t.Fatal("nothing came through")
}

func (p *pair) left() int64 {
	return metrics.GetOrRegisterCounter("peer.silent", p.a.Metrics).Count()
}

// drain forgets what has come.
func (p *pair) drain() {
	for {
		select {
		case <-p.asked:
		case <-p.heard:
		default:
			return
		}
	}
}

// A connection that goes silent for good is left for a new one as soon as
// messages over it stay without a sign of the peer.
func TestSilentConnectionIsReplaced(t *testing.T) {
	p := newPair(t)
	p.until(t, p.heard)
	if p.left() != 0 {
		t.Fatal("a connection that works was left")
	}
	p.link.forget()
	p.drain()
	p.a.Send(persimmoncross.Message{
		ToVM: "b",
	})
	// What was on its way back may still be heard, nothing after it.
	for n := 0; p.left() == 0; n++ {
		if n == 2000 {
			t.Fatal("a silent connection is kept")
		}
		p.clock.ahead.Add(int64(answerWait))
		p.a.Send(persimmoncross.Message{
			ToVM: "b",
		})
		time.Sleep(5 * time.Millisecond)
	}
	p.drain()
	p.until(t, p.heard)
}

// A connection under suspicion is closed only if nothing was heard over it.
func TestSuspect(t *testing.T) {
	p := newPair(t)
	p.until(t, p.heard)
	session := p.a.links["b"].get()
	p.a.Suspect("b", time.Hour)
	p.a.Suspect("nobody", 0)
	if session.IsClosed() || p.left() != 0 {
		t.Fatal("a peer that was heard is left")
	}
	p.link.forget()
	p.clock.ahead.Add(int64(time.Hour))
	p.a.Suspect("b", time.Hour)
	if !session.IsClosed() || p.left() != 1 {
		t.Error("a silent peer's connection is kept")
	}
	p.drain()
	p.until(t, p.heard)
}

// BenchmarkSilentConnection is the time until messages come through again after
// the connection for them went silent for good. With yamux's probes alone, every
// 2 s and given 2 s: 4,052 ms; with answerWait: 855 ms (8 times each).
func BenchmarkSilentConnection(b *testing.B) {
	p := newPair(b)
	p.until(b, p.heard)
	took := time.Duration(0)
	for range b.N {
		p.link.forget()
		p.drain()
		began := time.Now()
		p.until(b, p.heard)
		took += time.Since(began)
	}
	b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms/recovery")
}
