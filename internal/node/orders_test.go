package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// heldLink is a link on which bytes from clients wait while it is held, as behind a partition.
type heldLink struct {
	mu       sync.Mutex // guards all below
	released sync.Cond
	held     bool
	waited   int // bytes that waited and were delivered since
}

func newHeldLink() *heldLink {
	l := &heldLink{}
	l.released.L = &l.mu
	return l
}

func (l *heldLink) hold(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.released.Broadcast()
}

func (l *heldLink) wait(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		l.waited += bytes
	}
	for l.held {
		l.released.Wait()
	}
}

// forward proxies a connection.
func (l *heldLink) forward(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		defer client.Close()
		copyBytes(client, server, func(int) {})
	}()
	copyBytes(server, client, l.wait)
}

func copyBytes(to, from net.Conn, wait func(bytes int)) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		wait(n)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// proxy starts a proxy to the target over the link.
func (l *heldLink) proxy(t *testing.T, target string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(client, target)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// startWithHeldLink starts three controllers. It returns one that does not lead, whose bytes to the
// others go over the link, and the leader.
func (f *fleet) startWithHeldLink(link *heldLink) (follower, leader *Controller) {
	f.t.Helper()
	f.lister.setUpstreams(persimmoncross.Upstream{
		Name:       "u1",
		Service:    "s",
		Version:    "v1",
		DataCentre: "a",
		Address:    netip.MustParseAddrPort("127.0.0.1:1"),
		Slots:      1,
	})
	first, second := f.startController(1, true), f.startController(2, true)
	follower = &Controller{
		Site:    f.siteSettings(3, true),
		Clock:   persimmoncross.SystemClock{},
		Log:     zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Lister:  f.lister,
	}
	follower.Site.Via = map[string]netip.AddrPort{}
	for _, c := range []*Controller{first, second} {
		follower.Site.Via[c.Site.Peer.String()] = link.proxy(f.t, c.Site.Peer.String())
	}
	f.runController(follower)
	f.waitFor("another controller leads, and all know the data centre", func() bool {
		if follower.IsLeader() {
			follower.transferLeadership(context.Background())
		}
		for _, c := range []*Controller{first, second} {
			if c.isLeaderWithLease() {
				leader = c
			}
		}
		known, _ := follower.lookUpDataCentre("a")
		return leader != nil && known && follower.remoteLeader() == leader.node.VM
	})
	return follower, leader
}

// TestOrderGivenUpDoesNotActLater guards against an order that was refused, since its bytes waited on a link, undoing a later one.
func TestOrderGivenUpDoesNotActLater(t *testing.T) {
	evacuate := func(end bool) func(*Controller) error {
		return func(c *Controller) error { return c.Evacuate(context.Background(), "a", end) }
	}
	begin := func(target string) func(*Controller) error {
		return func(c *Controller) error { return c.BeginUpgrade(context.Background(), "s", target, time.Minute) }
	}
	isEvacuated := func(s *register.State) bool { return len(s.Evacuations) == 1 }
	for n, tt := range []struct {
		name   string
		before []func(*Controller) error
		order  func(*Controller) error // given up
		after  []func(*Controller) error
		want   func(*register.State) bool
	}{
		{
			name:   "the end of an evacuation",
			before: []func(*Controller) error{evacuate(false)},
			order:  evacuate(true),
			after:  []func(*Controller) error{evacuate(true), evacuate(false)},
			want:   isEvacuated,
		},
		{
			name:   "the end of an evacuation that is ordered again",
			before: []func(*Controller) error{evacuate(false)},
			order:  evacuate(true),
			after:  []func(*Controller) error{evacuate(false)},
			want:   isEvacuated,
		},
		{
			name:  "an evacuation",
			order: evacuate(false),
			after: []func(*Controller) error{evacuate(false), evacuate(true)},
			want:  func(s *register.State) bool { return !isEvacuated(s) },
		},
		{
			name:  "an upgrade",
			order: begin("v2"),
			after: []func(*Controller) error{begin("v2"), begin("v3")},
			want:  func(s *register.State) bool { return s.Upgrades["s"].Target == "v3" },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 180+n)
			link := newHeldLink()
			follower, leader := f.startWithHeldLink(link)
			for _, order := range tt.before {
				f.retryUntilAcknowledged("the order before is acknowledged", func() error { return order(leader) })
			}
			f.waitFor("the controllers are level", func() bool {
				return follower.register.Current().Index == leader.register.Current().Index
			})
			link.hold(true)
			if err := tt.order(follower); err == nil {
				t.Fatal("the order was acknowledged although its bytes waited")
			}
			for _, order := range tt.after {
				f.retryUntilAcknowledged("the order after is acknowledged", func() error { return order(leader) })
			}
			link.hold(false)
			if link.waited == 0 {
				t.Fatal("nothing waited on the link")
			}
			for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				if s := leader.register.Current(); !tt.want(s) {
					t.Fatalf("the order that was given up acted: evacuated %v, upgrade to %q", evacuatedDataCentres(s), s.Upgrades["s"].Target)
				}
			}
			f.retryUntilAcknowledged("the order that was given up is sent again", func() error { return tt.order(follower) })
			if tt.name != "an upgrade" && tt.want(leader.register.Current()) {
				t.Error("the order changed nothing when it was sent again")
			}
		})
	}
}

// TestDecisionOfFormerLeaderIsDropped guards against a former leader's decision reaching the present leader late.
func TestDecisionOfFormerLeaderIsDropped(t *testing.T) {
	f := newFleet(t, 190)
	follower, leader := f.startWithHeldLink(newHeldLink())
	f.retryUntilAcknowledged("the upgrade begins", func() error {
		return leader.BeginUpgrade(context.Background(), "s", "v2", time.Minute)
	})
	u := leader.register.Current().Upgrades["s"]
	if err := follower.proposeLocally(context.Background(), register.Command{
		Advance: &register.Advance{
			Service: "s",
			Order:   u.Order,
			Stage:   register.Completed,
		},
	}); err == nil {
		t.Error("a controller that does not lead decided")
	}
	if got := leader.register.Current().Upgrades["s"].Stage; got == register.Completed {
		t.Error("the decision was carried out")
	}
}
