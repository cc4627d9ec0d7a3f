package node

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/coordination/slowstart"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/wire"
)

// TestColdUpstreamsPrecedeTheList checks that a follower learns that an upstream is cold no later
// than it receives the list with this upstream, and that an entry receives neither the owners nor
// the intervals of other entries.
func TestColdUpstreamsPrecedeTheList(t *testing.T) {
	pub := newPublisher(persimmoncross.SystemClock{})
	var list []persimmoncross.Upstream
	cold := coldUpstreams{}
	until := time.Now().Add(3 * time.Second)
	for i := range 2 * maxUpstreamsPerUpdate {
		u := persimmoncross.Upstream{
			Name:    fmt.Sprint("u", i),
			Service: "s",
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		list = append(list, u)
		cold[u.InstanceID()] = slowstart.ColdUpstream{
			ColdUntil: until,
			Owners:    []string{"one", "two"},
			Interval:  time.Second,
		}
	}
	pub.setColdUpstreams(cold)
	pub.setList(list, time.Now())
	for _, tt := range []struct {
		vm     string
		entry  bool
		pause  time.Duration
		owners []string
	}{
		{"one", true, time.Second, nil},
		{"three", true, 0, nil},
		{"controller", false, time.Second, []string{"one", "two"}},
	} {
		s := &followerState{
			entry: tt.entry,
			vm:    tt.vm,
		}
		received := coldUpstreams{}
		for more := true; more; more = s.hasPending() {
			u, _ := pub.nextUpdate(s, true, nil)
			for instanceID, c := range coldUpstreamsOf(u, time.Now()) {
				received[instanceID] = c
			}
			for _, x := range u.GetUpstreams() {
				got, _ := fromWireUpstream(x)
				c, ok := received[got.InstanceID()]
				if !ok || c.Interval != tt.pause || !slices.Equal(c.Owners, tt.owners) || c.ColdUntil.Sub(until).Abs() > time.Second {
					t.Fatalf("%s: slow start of %s is %+v, received %v", tt.vm, got.Name, c, ok)
				}
			}
		}
		if len(received) != len(list) {
			t.Errorf("%s: received %d of %d cold upstreams", tt.vm, len(received), len(list))
		}
		if u, _ := pub.nextUpdate(s, true, nil); len(u.GetColds()) > 0 {
			t.Errorf("%s: cold upstreams were sent twice", tt.vm)
		}
	}
}

// TestUpstreamsAreColdAfterEvacuation checks that an entry treats the upstreams of a data centre
// as cold from the end of its evacuation until the entry receives their owners.
func TestUpstreamsAreColdAfterEvacuation(t *testing.T) {
	e := newFleet(t, 77).stoppedEntry()
	e.catalog = &catalog.Catalog{
		Services: map[string]*catalog.Service{
			"s": {
				Name:    "s",
				ColdFor: time.Hour,
			},
		},
	}
	a := &controllerStream{}
	f := &follower{
		ApplyUpdate: e.applyUpdate,
	}
	newUpdate := func(index uint64, evacuated string) *wire.Update {
		return &wire.Update{
			Index: index,
			State: []byte(fmt.Sprintf(`{"index":%d,"upgrades":{},"evacuations":{%s}}`, index, evacuated)),
			Age:   -1,
		}
	}
	a.handleUpdate(f, &wire.Update{
		Listed: true,
		Upstreams: []*wire.Upstream{
			{Incarnation: "u1", Service: "s", Address: "127.0.0.1:1", Datacentre: "a"},
			{Incarnation: "u2", Service: "s", Address: "127.0.0.1:2", Datacentre: "b"},
		},
	})
	a.handleUpdate(f, newUpdate(1, `"a":{"order":1}`))
	if n := len(e.view.Load().Targets["s"]); n != 1 {
		t.Fatalf("%d upstreams are left during the evacuation, want 1", n)
	}
	a.handleUpdate(f, newUpdate(2, ""))
	accepting := map[string]bool{}
	for _, u := range e.view.Load().Targets["s"] {
		accepting[u.Name] = u.IsAvailable(e.Clock.Now())
	}
	if len(accepting) != 2 || accepting["u1"] || !accepting["u2"] {
		t.Errorf("available upstreams: %v, want only u2", accepting)
	}
}

// TestLeaderAssignsOwners checks that the leader assigns owners to upstreams that become cold
// during its leadership, by the list or by the end of an evacuation, and only to those of
// services for which the document limits cold upstreams.
func TestLeaderAssignsOwners(t *testing.T) {
	f := newFleet(t, 78)
	f.lister.setUpstreams()
	c := f.startControllerWith(1, func(c *Controller) {
		c.Site.Losses = 0
		c.Site.Seeds = c.Site.Seeds[:1]
		c.Site.Bounds = settings.SiteBounds{
			Drain:         3 * time.Second,
			ColdOvershoot: 1.5,
			ColdSlack:     5,
		}
		c.Decode = func([]byte) (*catalog.Catalog, error) {
			return &catalog.Catalog{
				Services: map[string]*catalog.Service{
					"s": {
						ColdFor:  5 * time.Second,
						ColdRate: 8.8,
					},
				},
			}, nil
		}
	})
	f.declare(c, 1)
	for i := range 12 {
		c.publisher.receiveReport(&wire.Account{
			Vm:    fmt.Sprint("e", i),
			Entry: true,
		})
	}
	newUpstream := func(id, service, dataCentre string, cold time.Duration) persimmoncross.Upstream {
		return persimmoncross.Upstream{
			Name:               id,
			Service:            service,
			DataCentre:         dataCentre,
			Address:            netip.MustParseAddrPort("127.0.0.1:1"),
			SlowStartRemaining: cold,
		}
	}
	ownerCount := func(u persimmoncross.Upstream) int {
		x, ok := c.publisher.currentCold()[u.InstanceID()]
		if !ok {
			return -1
		}
		return len(x.Owners)
	}
	// Upstreams that were cold before this controller was the only leader get no owners. This
	// test doesn't check them, so it waits until that time is over.
	firstRead := time.Time{}
	f.waitFor("the leader has led for a while", func() bool {
		if _, read := c.publisher.upstreams(); firstRead.IsZero() {
			firstRead = read
		}
		return !firstRead.IsZero() && time.Since(firstRead) > 2*coldMargin
	})
	cold, warm, otherService, evacuated := newUpstream("cold", "s", "b", 5*time.Second), newUpstream("warm", "s", "b", 0), newUpstream("other", "t", "b", 5*time.Second), newUpstream("away", "s", "a", 0)
	f.lister.setUpstreams(cold, warm, otherService, evacuated)
	f.waitFor("the cold upstream has owners", func() bool { return ownerCount(cold) == 8 })
	if ownerCount(warm) != -1 || ownerCount(otherService) != -1 || ownerCount(evacuated) != -1 {
		t.Errorf("owners were assigned to upstreams that are not cold or not limited: %v", c.publisher.currentCold())
	}
	f.evacuate(c, "a", false)
	f.evacuate(c, "a", true)
	f.waitFor("the upstream of the reinstated data centre has owners", func() bool { return ownerCount(evacuated) == 8 })
	f.waitFor("its slow start is over", func() bool {
		x, ok := c.publisher.currentCold()[evacuated.InstanceID()]
		return !ok || !x.ColdUntil.After(time.Now())
	})
	// The end of an evacuation also makes upstreams cold while the list can't be read. When it did
	// not, an entry that started after that end treated all upstreams of the data centre as warm,
	// and sent 28 requests in a second to an upstream that handles 11.
	f.lister.setFailing(true)
	f.evacuate(c, "a", false)
	f.evacuate(c, "a", true)
	f.waitFor("the upstream of the reinstated data centre has owners while the list can't be read", func() bool {
		x := c.publisher.currentCold()[evacuated.InstanceID()]
		return x.ColdUntil.After(time.Now()) && len(x.Owners) == 8
	})
}

// startControllerWith starts a controller after configure has changed its fields.
func (f *fleet) startControllerWith(n int, configure func(c *Controller)) *Controller {
	f.t.Helper()
	c := &Controller{
		Site:    f.siteSettings(n, true),
		Clock:   persimmoncross.SystemClock{},
		Log:     zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Lister:  f.lister,
	}
	configure(c)
	return f.runController(c)
}

// TestFallbackListWithoutDocument checks that an entry which reads the list itself before it has a
// document treats all upstreams as cold that the list reports as cold, because only the document
// says whether cold upstreams are limited. An entry that ignored the list's report and started
// while there was no leader sent 25 requests in a second to an upstream that handles 11 (soak seed
// 60119).
func TestFallbackListWithoutDocument(t *testing.T) {
	e := newFleet(t, 85).stoppedEntry()
	list := testUpstreams(2)
	list[0].SlowStartRemaining = time.Minute
	acceptingCount := func() (accepting int) {
		for _, u := range e.pool.Update(e.clearUnlimitedCold(list))["service"] {
			if u.IsAvailable(e.Clock.Now()) {
				accepting++
			}
		}
		return accepting
	}
	if n := acceptingCount(); n != 1 {
		t.Errorf("without a document %d of 2 upstreams are available, want 1", n)
	}
	e.catalog = &catalog.Catalog{
		Services: map[string]*catalog.Service{
			"service": {},
		},
	}
	e.pool = &relay.Pool{
		Clock: e.Clock,
	}
	if n := acceptingCount(); n != 2 {
		t.Errorf("without a limit for cold upstreams %d of 2 are available, want 2", n)
	}
}
