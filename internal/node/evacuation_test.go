package node

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// order gives an order until it is acknowledged.
func (f *fleet) order(what string, give func() error) {
	f.t.Helper()
	f.await(what, func() bool { return give() == nil })
}

func (f *fleet) evacuate(c *Controller, dataCentre string, end bool) {
	f.t.Helper()
	f.order(fmt.Sprint("the evacuation of ", dataCentre, ", end ", end, ", is kept"), func() error {
		return c.Evacuate(context.Background(), dataCentre, end)
	})
}

// targets returns how many upstreams of the data centre the entry sends to.
func (e *Entry) targetsIn(dataCentre string) (n int) {
	for _, t := range e.view.Load().Targets["s"] {
		if t.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// checkServed sends requests and looks at where they went.
func checkServed(t *testing.T, places *farm, entries []*Entry, allowed string) {
	t.Helper()
	began := time.Now()
	for i := range 24 {
		e := entries[i%len(entries)]
		if _, refusal := ask(e, []string{"stream", "safe", "once"}[i%3], fmt.Sprint("x", i)); refusal != nil {
			t.Errorf("%s: %v", e.Site.Name, refusal)
		}
	}
	places.mu.Lock()
	defer places.mu.Unlock()
	for _, a := range places.arrivals {
		if a.at.After(began) && a.dataCentre != allowed {
			t.Errorf("a request reached %s", a.dataCentre)
		}
	}
}

// Nothing goes to an evacuated data centre: neither from entries that follow, nor from
// one that starts, also after the leader has gone and all controllers have started
// again. What was running there comes to its end.
func TestEvacuation(t *testing.T) {
	f, places, entries := serving(t, 48, 8)
	var lead *Controller
	f.await("a leader", func() bool {
		for n := 1; n <= 3; n++ {
			if c := f.vms[fmt.Sprint("vm", n)].controller; c.leadsNow() {
				lead = c
			}
		}
		return lead != nil
	})
	places.mu.Lock()
	places.events, places.pace = 100, 10*time.Millisecond
	places.mu.Unlock()
	under := make(chan *persimmoncross.Refusal, 16)
	for i := range cap(under) {
		go func() {
			_, refusal := ask(entries[i%len(entries)], "stream", fmt.Sprint("under way ", i))
			under <- refusal
		}()
	}
	f.await("streams are under way in both", func() bool {
		places.mu.Lock()
		defer places.mu.Unlock()
		return len(places.arrivals) == cap(under)
	})
	f.evacuate(lead, "a", false)
	f.evacuate(lead, "a", false) // sent again
	left := func(entries []*Entry, a, b int) func() bool {
		return func() bool {
			for _, e := range entries {
				if e.view.Load() == nil || e.targetsIn("a") != a || e.targetsIn("b") != b {
					return false
				}
			}
			return true
		}
	}
	f.await("all entries keep away", left(entries, 0, 4))
	for range cap(under) {
		if refusal := <-under; refusal != nil {
			t.Errorf("what was under way was cut: %v", refusal)
		}
	}
	places.mu.Lock()
	places.events, places.pace = 3, time.Millisecond
	places.mu.Unlock()
	checkServed(t, places, entries, "b")

	f.stop(lead.Site.Name)
	fresh := f.entry(7)
	f.await("the entry that starts is ready", fresh.Ready)
	entries = append(entries, fresh)
	f.await("it keeps away", left(entries, 0, 4))
	checkServed(t, places, entries, "b")
	for n := 1; n <= 3; n++ {
		if name := fmt.Sprint("vm", n); f.vms[name] != nil {
			f.stop(name)
		}
	}
	for n := 1; n <= 3; n++ {
		lead = f.controller(n, false)
	}
	f.await("the state is back", func() bool { return len(lead.register.Current().Evacuations) == 1 })
	checkServed(t, places, entries, "b")

	f.declare(lead, 2)
	f.order("an upgrade begins", func() error { return lead.Begin(context.Background(), "s", "v2", time.Minute) })
	f.evacuate(lead, "b", false)
	f.evacuate(lead, "a", true)
	f.await("the other one is left", left(entries, 4, 0))
	checkServed(t, places, entries, "a")
	f.evacuate(lead, "b", true)
	f.evacuate(lead, "b", false)
	f.evacuate(lead, "b", true)
	f.await("both serve", left(entries, 4, 4))
	if s := lead.register.Current(); s.Number != 2 || s.Upgrades["s"].Target != "v2" {
		t.Errorf("beside the orders: %+v", s)
	}
}

// With all data centres evacuated callers are told at once that nothing ran, and the
// entry goes on taking them; an order on one that nobody knows is refused.
func TestAllEvacuated(t *testing.T) {
	f, places, entries := serving(t, 49, 4)
	c := f.vms["vm1"].controller
	var unknown *Error
	if err := c.Evacuate(context.Background(), "nowhere", false); !errors.As(err, &unknown) || unknown.Kind != Unknown {
		t.Errorf("an unknown data centre: %v", err)
	}
	f.evacuate(c, "a", false)
	f.evacuate(c, "b", false)
	f.await("no upstream is left", func() bool {
		for _, e := range entries {
			if len(e.view.Load().Targets["s"]) > 0 {
				return false
			}
		}
		return true
	})
	for _, route := range []string{"stream", "safe", "once"} {
		_, refusal := ask(entries[0], route, "x")
		if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || !entries[0].Ready() {
			t.Errorf("%s: %+v", route, refusal)
		}
	}
	places.mu.Lock()
	reached := len(places.arrivals)
	places.mu.Unlock()
	if reached > 0 {
		t.Errorf("%d requests reached upstreams", reached)
	}
}

// What is ready of a new version counts without the evacuated: traffic is not moved to
// upstreams that may get none.
func TestUpgradeWaitsForWhatRemains(t *testing.T) {
	up := func(dataCentre, version string) persimmoncross.Upstream {
		return persimmoncross.Upstream{
			Service:    "s",
			Version:    version,
			DataCentre: dataCentre,
		}
	}
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
	}
	list := []persimmoncross.Upstream{up("a", "v2"), up("a", "v2"), up("b", "v1"), up("b", "v1")}
	if !ready(u, list) {
		t.Error("as many new as old ones are not ready")
	}
	if ready(u, remaining(list, map[string]register.Evacuation{"a": {}})) {
		t.Error("ready without any that may get requests")
	}
}

// A controller that has read no list yet can't tell an unknown data centre from one that
// it has not heard of: the order may be given again.
func TestOrderBeforeTheList(t *testing.T) {
	f := newFleet(t, 84)
	c := f.prepared(1, true)
	var e *Error
	if err := c.Evacuate(context.Background(), "a", false); !errors.As(err, &e) || e.Kind != Unavailable {
		t.Errorf("before the list: %v", err)
	}
	c.hub.setList(manyUpstreams(1), time.Now())
	if err := c.Evacuate(context.Background(), "a", false); !errors.As(err, &e) || e.Kind != Unknown {
		t.Errorf("a data centre that is not on it: %v", err)
	}
	c.store.log.Close()
	c.store.folder.Close()
}
