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
func TestColdsComeBeforeTheList(t *testing.T) {
	h := newHub(persimmoncross.SystemClock{})
	var list []persimmoncross.Upstream
	cold := colds{}
	until := time.Now().Add(3 * time.Second)
	for i := range 2 * upstreamsAtOnce {
		u := persimmoncross.Upstream{
			Incarnation: fmt.Sprint("u", i),
			Service:     "s",
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		}
		list = append(list, u)
		cold[u.Life()] = slowstart.Cold{
			Until:  until,
			Owners: []string{"one", "two"},
			Pause:  time.Second,
		}
	}
	h.setColds(cold)
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
		s := &sent{
			entry: tt.entry,
			vm:    tt.vm,
		}
		known := colds{}
		for more := true; more; more = s.pending() {
			u, _ := h.next(s, true, nil)
			for life, c := range coldsOf(u, time.Now()) {
				known[life] = c
			}
			for _, x := range u.GetUpstreams() {
				got, _ := toUpstream(x)
				c, ok := known[got.Life()]
				if !ok || c.Pause != tt.pause || !slices.Equal(c.Owners, tt.owners) || c.Until.Sub(until).Abs() > time.Second {
					t.Fatalf("%s: %s is %+v, %v", tt.vm, got.Incarnation, c, ok)
				}
			}
		}
		if len(known) != len(list) {
			t.Errorf("%s: %d of %d", tt.vm, len(known), len(list))
		}
		if u, _ := h.next(s, true, nil); len(u.GetColds()) > 0 {
			t.Errorf("%s: told twice", tt.vm)
		}
	}
}

// An entry that learns that an evacuation has ended takes the upstreams there for cold
// until it is told who may send to them.
func TestTakenBackIsCold(t *testing.T) {
	e := newFleet(t, 77).entryAlone()
	e.catalog = &catalog.Catalog{
		Services: map[string]*catalog.Service{
			"s": {
				Name:    "s",
				ColdFor: time.Hour,
			},
		},
	}
	a := &found{}
	f := &follower{
		Take: e.take,
	}
	state := func(index uint64, evacuated string) *wire.Update {
		return &wire.Update{
			Index: index,
			State: []byte(fmt.Sprintf(`{"index":%d,"upgrades":{},"evacuations":{%s}}`, index, evacuated)),
			Age:   -1,
		}
	}
	a.take(f, &wire.Update{
		Listed: true,
		Upstreams: []*wire.Upstream{
			{Incarnation: "u1", Service: "s", Address: "127.0.0.1:1", Datacentre: "a"},
			{Incarnation: "u2", Service: "s", Address: "127.0.0.1:2", Datacentre: "b"},
		},
	})
	a.take(f, state(1, `"a":{"order":1}`))
	if n := len(e.view.Load().Targets["s"]); n != 1 {
		t.Fatalf("%d upstreams are left", n)
	}
	a.take(f, state(2, ""))
	open := map[string]bool{}
	for _, u := range e.view.Load().Targets["s"] {
		open[u.Incarnation] = u.Bears(e.Clock.Now())
	}
	if len(open) != 2 || open["u1"] || !open["u2"] {
		t.Errorf("taking requests: %v", open)
	}
}

// The leader gives owners to what became cold while it leads, by the list or by the end
// of an evacuation, and only where the document says what a cold one bears.
func TestLeaderGivesOwners(t *testing.T) {
	f := newFleet(t, 78)
	f.list.set()
	c := f.controllerWith(1, func(c *Controller) {
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
		c.hub.take(&wire.Account{
			Vm:    fmt.Sprint("e", i),
			Entry: true,
		})
	}
	up := func(id, service, dataCentre string, cold time.Duration) persimmoncross.Upstream {
		return persimmoncross.Upstream{
			Incarnation: id,
			Service:     service,
			DataCentre:  dataCentre,
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
			Cold:        cold,
		}
	}
	owners := func(u persimmoncross.Upstream) int {
		x, ok := c.hub.coldNow()[u.Life()]
		if !ok {
			return -1
		}
		return len(x.Owners)
	}
	// What was cold before this one led alone gets no owners: that is another matter.
	first := time.Time{}
	f.await("the leader has led for a while", func() bool {
		if _, read := c.hub.upstreams(); first.IsZero() {
			first = read
		}
		return !first.IsZero() && time.Since(first) > 2*coldMargin
	})
	cold, warm, other, away := up("cold", "s", "b", 5*time.Second), up("warm", "s", "b", 0), up("other", "t", "b", 5*time.Second), up("away", "s", "a", 0)
	f.list.set(cold, warm, other, away)
	f.await("the cold one has owners", func() bool { return owners(cold) == 8 })
	if owners(warm) != -1 || owners(other) != -1 || owners(away) != -1 {
		t.Errorf("cold: %v", c.hub.coldNow())
	}
	f.evacuate(c, "a", false)
	f.evacuate(c, "a", true)
	f.await("what was taken back has owners", func() bool { return owners(away) == 8 })
	f.await("it is warm again", func() bool {
		x, ok := c.hub.coldNow()[away.Life()]
		return !ok || !x.Until.After(time.Now())
	})
	// While the list is away the end of an evacuation is news all the same: an entry that
	// started after it took all of the data centre for warm, and sent 28 requests in a
	// second to an upstream that bears 11.
	f.list.setDown(true)
	f.evacuate(c, "a", false)
	f.evacuate(c, "a", true)
	f.await("what was taken back while the list is away has owners", func() bool {
		x := c.hub.coldNow()[away.Life()]
		return x.Until.After(time.Now()) && len(x.Owners) == 8
	})
}

// controllerWith starts a controller whose site is changed before.
func (f *fleet) controllerWith(n int, change func(c *Controller)) *Controller {
	f.t.Helper()
	c := &Controller{
		Site:    f.site(n, true),
		Clock:   persimmoncross.SystemClock{},
		Log:     zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Lister:  f.list,
	}
	change(c)
	return f.run(c)
}

// An entry that reads the list itself before it has a document can't tell whether cold
// upstreams bear little: it takes the list's word. One that started while there was no
// leader sent 25 requests in a second to an upstream that bears 11 (soak seed 60119).
func TestOwnListBeforeTheDocument(t *testing.T) {
	e := newFleet(t, 85).entryAlone()
	list := manyUpstreams(2)
	list[0].Cold = time.Minute
	bears := func() (open int) {
		for _, u := range e.pool.Update(e.limitedCold(list))["service"] {
			if u.Bears(e.Clock.Now()) {
				open++
			}
		}
		return open
	}
	if n := bears(); n != 1 {
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
	if n := bears(); n != 2 {
		t.Errorf("where nothing is limited %d of 2 take requests", n)
	}
}
