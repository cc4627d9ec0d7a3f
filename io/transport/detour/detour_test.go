package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/detour"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
	"persimmoncross/io/transport/socket"
)

// vm is a VM that passes connections on.
type vm struct {
	server *Server
	node   *peer.Node
	cancel context.CancelFunc
}

// Receive implements peer.Handler.
func (v *vm) Receive(persimmoncross.Message) {}

// Call implements peer.Handler.
func (v *vm) Call(ctx context.Context, c *wire.Call, s *peer.Stream) {
	v.server.Serve(ctx, c.GetDetour(), s)
}

func direct(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return socket.Dial(ctx, &net.Dialer{}, address.String())
}

func refused(context.Context, netip.AddrPort) (net.Conn, error) {
	return nil, &net.OpError{
		Op:  "dial",
		Err: syscall.ECONNREFUSED,
	}
}

func hangs(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// startVM starts a VM that reaches upstreams with dial.
func startVM(t *testing.T, dial func(context.Context, netip.AddrPort) (net.Conn, error)) *vm {
	t.Helper()
	l, address := listen(t)
	v := &vm{
		server: &Server{
			Paths:   &detour.Paths{},
			Direct:  dial,
			Known:   func(a netip.AddrPort) bool { return a.Port() != 9 },
			Clock:   persimmoncross.SystemClock{},
			Metrics: metrics.NewRegistry(),
		},
	}
	v.node = &peer.Node{
		VM:       address.String(),
		Listener: l,
		Open:     true,
		Handler:  v,
		Clock:    persimmoncross.SystemClock{},
		Metrics:  metrics.NewRegistry(),
		Log:      zerolog.Nop(),
	}
	v.node.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	t.Cleanup(cancel)
	go v.node.Run(ctx)
	return v
}

// newDialer returns a dialer whose direct connections are opened with dial.
func newDialer(t *testing.T, dial func(context.Context, netip.AddrPort) (net.Conn, error), vms ...*vm) *Dialer {
	t.Helper()
	self := startVM(t, dial)
	var peers []detour.Peer
	for _, v := range vms {
		peers = append(peers, detour.Peer{
			Name: v.node.VM,
		})
	}
	d := &Dialer{
		Paths:   &detour.Paths{},
		Direct:  dial,
		Node:    self.node,
		Clock:   persimmoncross.SystemClock{},
		Metrics: metrics.NewRegistry(),
		Log:     zerolog.Nop(),
	}
	d.Paths.SetPeers(peers)
	return d
}

// serve handles each connection to the listener.
func serve(l net.Listener, handle func(c *net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go handle(c.(*net.TCPConn))
	}
}

func mustDial(t *testing.T, d *Dialer, address netip.AddrPort) net.Conn {
	t.Helper()
	for range 100 { // the connection between the VMs may take longer than one wait on a busy machine
		c, err := d.Dial(context.Background(), address)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return c
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no connection through another VM")
	return nil
}

// awaitPeer waits until the VM answers the dialer, without a word of any upstream.
func awaitPeer(t *testing.T, d *Dialer, v *vm) {
	t.Helper()
	unlisted := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 9)
	for range 100 {
		if a := d.ask(context.Background(), v.node.VM, unlisted); a.err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the VM does not answer")
}

// TestEndOfUpstreamIsToldApart guards against an answer without a length that broke off and is taken
// for complete, because a stream between VMs ends alike however the upstream's connection ended.
func TestEndOfUpstreamIsToldApart(t *testing.T) {
	for _, tt := range []struct {
		name  string
		end   func(c *net.TCPConn, v *vm)
		whole bool
	}{
		{"closed", func(c *net.TCPConn, _ *vm) { c.Close() }, true},
		{"reset", func(c *net.TCPConn, _ *vm) {
			time.Sleep(50 * time.Millisecond) // what was written must arrive before the reset
			c.SetLinger(0)
			c.Close()
		}, false},
		{"the stream ends unannounced", func(_ *net.TCPConn, v *vm) {
			time.Sleep(50 * time.Millisecond)
			v.server.mu.Lock()
			defer v.server.mu.Unlock()
			for p := range v.server.passed {
				p.stream.Close()
			}
		}, false},
		{"the VM between is lost", func(_ *net.TCPConn, v *vm) {
			time.Sleep(50 * time.Millisecond)
			v.cancel()
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := startVM(t, direct)
			l, address := listen(t)
			go serve(l, func(c *net.TCPConn) {
				io.WriteString(c, "answer")
				tt.end(c, v)
			})
			c := mustDial(t, newDialer(t, refused, v), address)
			body, err := io.ReadAll(c)
			if string(body) != "answer" || (err == nil) != tt.whole {
				t.Errorf("read %q, %v", body, err)
			}
			if errors.Is(err, io.EOF) {
				t.Errorf("%v looks like the end of the answer", err)
			}
		})
	}
}

// TestCloseReachesUpstream guards against upstreams that go on working for callers that left.
func TestCloseReachesUpstream(t *testing.T) {
	v := startVM(t, direct)
	l, address := listen(t)
	ended := make(chan error, 1)
	go serve(l, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		ended <- err
	})
	c := mustDial(t, newDialer(t, hangs, v), address)
	if _, err := io.WriteString(c, "request"); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	c.Close()
	<-ended
	if err := <-read; err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a read after Close: %v", err)
	}
}

// TestLargeBodiesPass checks that all bytes pass in both directions, in order.
func TestLargeBodiesPass(t *testing.T) {
	v := startVM(t, direct)
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) {
		io.Copy(c, c)
		c.Close()
	})
	c := mustDial(t, newDialer(t, refused, v), address)
	const size = 3 << 20
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * 31 >> 3)
	}
	go c.Write(sent)
	got := make([]byte, size)
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	for i := range got {
		if got[i] != sent[i] {
			t.Fatalf("byte %d differs", i)
		}
	}
}

// TestDialChoosesPath checks which path a connection takes.
func TestDialChoosesPath(t *testing.T) {
	sound, lost := startVM(t, direct), startVM(t, refused)
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) { io.Copy(io.Discard, c) })
	_, closed := listen(t)
	for _, tt := range []struct {
		name     string
		direct   func(context.Context, netip.AddrPort) (net.Conn, error)
		peers    []*vm
		address  netip.AddrPort
		detoured bool
		fails    bool
	}{
		{"direct", direct, []*vm{sound}, address, false, false},
		{"refused here", refused, []*vm{sound}, address, true, false},
		{"hangs here", hangs, []*vm{sound}, address, true, false},
		{"refused here and at one peer", refused, []*vm{lost, sound}, address, true, false},
		{"refused everywhere", refused, []*vm{lost}, address, false, true},
		{"no peers", refused, nil, address, false, true},
		{"not an upstream", refused, []*vm{sound}, netip.AddrPortFrom(closed.Addr(), 9), false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDialer(t, tt.direct, tt.peers...)
			if tt.fails {
				if c, err := d.Dial(context.Background(), tt.address); err == nil {
					c.Close()
					t.Error("connected")
				}
				return
			}
			_, detoured := mustDial(t, d, tt.address).(*conn)
			if detoured != tt.detoured {
				t.Errorf("through another VM: %v", detoured)
			}
		})
	}
}

// TestPeerTellsDownFromLost guards against an upstream that crashed and costs each attempt three
// questions, and against a sound one that counts as crashed because a VM without paths was refused.
func TestPeerTellsDownFromLost(t *testing.T) {
	sound := startVM(t, direct)
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) { io.Copy(io.Discard, c) })
	gone, down := listen(t)
	gone.Close()
	d := newDialer(t, refused, sound)
	mustDial(t, d, address) // the peer now knows that it reaches upstreams
	if !d.IsDown(context.Background(), down) {
		t.Error("an upstream that refuses another VM too is not down")
	}
	if d.Paths.Plan(down, time.Now()).Detour {
		t.Error("it is asked for again at once")
	}
	if d.IsDown(context.Background(), address) {
		t.Error("an upstream is down that another VM reaches")
	}
	lost := newDialer(t, refused, startVM(t, refused))
	lost.Dial(context.Background(), address)
	if lost.Paths.HasLost(address, time.Now()) {
		t.Error("a path counts as lost that no VM has shown to be")
	}
}

// TestStoppingVMIsNotUsedAgain guards against requests that are lost when a VM stops that passes
// connections on.
func TestStoppingVMIsNotUsedAgain(t *testing.T) {
	v := startVM(t, direct)
	l, address := listen(t)
	var open atomic.Int64
	go serve(l, func(c *net.TCPConn) {
		open.Add(1)
		defer open.Add(-1)
		io.Copy(c, c)
		c.Close()
	})
	d := newDialer(t, refused, v)
	idle := mustDial(t, d, address).(*conn)
	busy := mustDial(t, d, address).(*conn)
	if !idle.Quiet() {
		t.Fatal("an idle connection is not quiet")
	}
	v.server.Stop()
	for range 1000 {
		if !idle.Quiet() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if idle.Quiet() {
		t.Error("an idle connection through a stopping VM is used again")
	}
	go io.WriteString(busy, "x")
	if _, err := io.ReadFull(busy, make([]byte, 1)); err != nil || !busy.Leaving() {
		t.Errorf("a request in progress: %v, leaving %v", err, busy.Leaving())
	}
	if c, err := d.Dial(context.Background(), address); err == nil {
		c.Close()
		t.Error("a stopping VM takes a new connection")
	}
	idle.Close()
	busy.Close()
	v.server.Drain(context.Background())
	if n := len(v.server.passed); n != 0 {
		t.Errorf("%d connections are left after Drain", n)
	}
}

// TestStopWhileConnectingDeclines guards against a connection that is handed to a VM and breaks without
// notice, because its server stops after the upstream was reached and before the connection is listed.
func TestStopWhileConnectingDeclines(t *testing.T) {
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) { io.Copy(c, c) })
	var v *vm
	v = startVM(t, func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		defer v.server.Stop()
		return direct(ctx, a)
	})
	d := newDialer(t, refused, v)
	for range 100 { // the connection between the VMs may take longer than one wait on a busy machine
		c, err := d.Dial(context.Background(), address)
		if err == nil {
			c.Close()
			t.Fatal("connected through a VM that stops")
		}
		if v.server.isStopping() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the VM was not asked")
}

// TestPeerIsNotBlamedForUpstream guards against peers that are left out because an upstream without
// power did not answer them.
func TestPeerIsNotBlamedForUpstream(t *testing.T) {
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) { io.Copy(io.Discard, c) })
	_, dark := listen(t)
	v := startVM(t, func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if a == dark {
			return hangs(ctx, a)
		}
		return direct(ctx, a)
	})
	d := newDialer(t, refused, v)
	awaitPeer(t, d, v)
	for range 3 {
		if c, err := d.Dial(context.Background(), dark); err == nil {
			c.Close()
			t.Fatal("connected to an upstream without power")
		}
	}
	if len(d.Paths.Candidates("", nil, time.Now())) != 1 {
		t.Error("the peer is left out")
	}
	mustDial(t, d, address)
}

// TestDarkUpstreamDoesNotCutOff guards against an entry that few connections are opened from, and that
// is not ready for callers after one upstream has lost power.
func TestDarkUpstreamDoesNotCutOff(t *testing.T) {
	_, dark := listen(t)
	d := newDialer(t, hangs, startVM(t, hangs), startVM(t, hangs))
	for range 3 { // the connections between the VMs may take longer than one wait on a busy machine
		if c, err := d.Dial(context.Background(), dark); err == nil {
			c.Close()
			t.Fatal("connected to an upstream without power")
		}
	}
	if d.Paths.IsCutOff(time.Now()) {
		t.Error("cut off though other VMs answer")
	}
}

// TestSilentUpstreamBehindLostPathAccepts guards against streams that are moved off an upstream that is
// silent for a second, because the VM that asked whether it accepts connections has lost its own path.
func TestSilentUpstreamBehindLostPathAccepts(t *testing.T) {
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) { io.Copy(io.Discard, c) })
	gone, down := listen(t)
	gone.Close()
	for _, tt := range []struct {
		name    string
		direct  func(context.Context, netip.AddrPort) (net.Conn, error)
		address netip.AddrPort
		peers   int
		accepts bool
	}{
		{"own path", direct, address, 1, true},
		{"refused here", refused, address, 1, true},
		{"hangs here", hangs, address, 1, true},
		{"refused here, no peers", refused, address, 0, false},
		{"down", direct, down, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var peers []*vm
			for range tt.peers {
				peers = append(peers, startVM(t, direct))
			}
			d := newDialer(t, tt.direct, peers...)
			accepts := false
			for range 100 { // the connection between the VMs may take longer than one wait on a busy machine
				if accepts = d.Accepts(context.Background(), tt.address); accepts || !tt.accepts {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if accepts != tt.accepts {
				t.Errorf("accepts connections: %v", accepts)
			}
		})
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}
