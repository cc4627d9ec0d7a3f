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

// What is cold comes to a follower no later than the list that it is on; an entry is
// told of its own part only.
func TestColdUpstreamsPrecedeTheList(t *testing.T) {
	h := newPublisher(persimmoncross.SystemClock{})
	var list []persimmoncross.Upstream
	cold := coldUpstreams{}
	until := time.Now().Add(3 * time.Second)
	for i := range 2 * maxUpstreamsPerUpdate {
		u := persimmoncross.Upstream{
			Incarnation: fmt.Sprint("u", i),
			Service:     "s",
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		}
		list = append(list, u)
		cold[u.InstanceID()] = slowstart.ColdUpstream{
			ColdUntil: until,
			Owners:    []string{"one", "two"},
			Interval:  time.Second,
		}
	}
	h.setColdUpstreams(cold)
	h.setList(list, time.Now())
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
		known := coldUpstreams{}
		for more := true; more; more = s.hasPending() {
			u, _ := h.nextUpdate(s, true, nil)
			for life, c := range coldUpstreamsOf(u, time.Now()) {
				known[life] = c
			}
			for _, x := range u.GetUpstreams() {
				got, _ := fromWireUpstream(x)
				c, ok := known[got.InstanceID()]
				if !ok || c.Interval != tt.pause || !slices.Equal(c.Owners, tt.owners) || c.ColdUntil.Sub(until).Abs() > time.Second {
					t.Fatalf("%s: %s is %+v, %v", tt.vm, got.Incarnation, c, ok)
				}
			}
		}
		if len(known) != len(list) {
			t.Errorf("%s: %d of %d", tt.vm, len(known), len(list))
		}
		if u, _ := h.nextUpdate(s, true, nil); len(u.GetColds()) > 0 {
			t.Errorf("%s: told twice", tt.vm)
		}
	}
}

// An entry that learns that an evacuation has ended takes the upstreams there for cold
// until it is told who may send to them.
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
		t.Fatalf("%d upstreams are left", n)
	}
	a.handleUpdate(f, newUpdate(2, ""))
	accepting := map[string]bool{}
	for _, u := range e.view.Load().Targets["s"] {
		accepting[u.Incarnation] = u.IsAvailable(e.Clock.Now())
	}
	if len(accepting) != 2 || accepting["u1"] || !accepting["u2"] {
		t.Errorf("taking requests: %v", accepting)
	}
}

// The leader gives owners to what became cold while it leads, by the list or by the end
// of an evacuation, and only where the document says what a cold one bears.
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
			Incarnation:        id,
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
	// What was cold before this one led alone gets no owners: that is another matter.
	firstRead := time.Time{}
	f.waitFor("the leader has led for a while", func() bool {
		if _, read := c.publisher.upstreams(); firstRead.IsZero() {
			firstRead = read
		}
		return !firstRead.IsZero() && time.Since(firstRead) > 2*coldMargin
	})
	cold, warm, otherService, evacuated := newUpstream("cold", "s", "b", 5*time.Second), newUpstream("warm", "s", "b", 0), newUpstream("other", "t", "b", 5*time.Second), newUpstream("away", "s", "a", 0)
	f.lister.setUpstreams(cold, warm, otherService, evacuated)
	f.waitFor("the cold one has owners", func() bool { return ownerCount(cold) == 8 })
	if ownerCount(warm) != -1 || ownerCount(otherService) != -1 || ownerCount(evacuated) != -1 {
		t.Errorf("cold: %v", c.publisher.currentCold())
	}
	f.evacuate(c, "a", false)
	f.evacuate(c, "a", true)
	f.waitFor("what was taken back has owners", func() bool { return ownerCount(evacuated) == 8 })
	f.waitFor("it is warm again", func() bool {
		x, ok := c.publisher.currentCold()[evacuated.InstanceID()]
		return !ok || !x.ColdUntil.After(time.Now())
	})
	// While the list is away the end of an evacuation is news all the same: an entry that
	// started after it took all of the data centre for warm, and sent 28 requests in a
	// second to an upstream that bears 11.
	f.lister.setFailing(true)
	f.evacuate(c, "a", false)
	f.evacuate(c, "a", true)
	f.waitFor("what was taken back while the list is away has owners", func() bool {
		x := c.publisher.currentCold()[evacuated.InstanceID()]
		return x.ColdUntil.After(time.Now()) && len(x.Owners) == 8
	})
}

// startControllerWith starts a controller whose site is changed before.
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

// An entry that reads the list itself before it has a document can't tell whether cold
// upstreams bear little: it takes the list's word. One that started while there was no
// leader sent 25 requests in a second to an upstream that bears 11 (soak seed 60119).
func TestOwnListWithoutDocument(t *testing.T) {
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
		t.Errorf("without a document %d of 2 take requests", n)
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
		t.Errorf("where nothing is limited %d of 2 take requests", n)
	}
}
