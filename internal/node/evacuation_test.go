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

// retryUntilAcknowledged gives an retryUntilAcknowledged until it is acknowledged.
func (f *fleet) retryUntilAcknowledged(description string, operation func() error) {
	f.t.Helper()
	f.waitFor(description, func() bool { return operation() == nil })
}

func (f *fleet) evacuate(c *Controller, dataCentre string, end bool) {
	f.t.Helper()
	f.retryUntilAcknowledged(fmt.Sprint("the evacuation of ", dataCentre, ", end ", end, ", is kept"), func() error {
		return c.Evacuate(context.Background(), dataCentre, end)
	})
}

// targets returns how many upstreams of the data centre the entry sends to.
func (e *Entry) targetCountIn(dataCentre string) (n int) {
	for _, t := range e.view.Load().Targets["s"] {
		if t.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// checkServedIn sends requests and looks at where they went.
func checkServedIn(t *testing.T, upstreams *fakeUpstreamSet, entries []*Entry, dataCentre string) {
	t.Helper()
	start := time.Now()
	for i := range 24 {
		e := entries[i%len(entries)]
		if _, refusal := sendRequest(e, []string{"stream", "safe", "once"}[i%3], fmt.Sprint("x", i)); refusal != nil {
			t.Errorf("%s: %v", e.Site.Name, refusal)
		}
	}
	upstreams.mu.Lock()
	defer upstreams.mu.Unlock()
	for _, r := range upstreams.requests {
		if r.at.After(start) && r.dataCentre != dataCentre {
			t.Errorf("a request reached %s", r.dataCentre)
		}
	}
}

// Nothing goes to an evacuated data centre: neither from entries that follow, nor from
// one that starts, also after the leader has gone and all controllers have started
// again. What was running there comes to its end.
func TestEvacuation(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 48, 8)
	var leader *Controller
	f.waitFor("a leader", func() bool {
		for n := 1; n <= 3; n++ {
			if c := f.processes[fmt.Sprint("vm", n)].controller; c.isLeaderWithLease() {
				leader = c
			}
		}
		return leader != nil
	})
	upstreams.mu.Lock()
	upstreams.eventsPerStream, upstreams.eventInterval = 100, 10*time.Millisecond
	upstreams.mu.Unlock()
	results := make(chan *persimmoncross.Refusal, 16)
	for i := range cap(results) {
		go func() {
			_, refusal := sendRequest(entries[i%len(entries)], "stream", fmt.Sprint("under way ", i))
			results <- refusal
		}()
	}
	f.waitFor("streams are under way in both", func() bool {
		upstreams.mu.Lock()
		defer upstreams.mu.Unlock()
		return len(upstreams.requests) == cap(results)
	})
	f.evacuate(leader, "a", false)
	f.evacuate(leader, "a", false) // sent again
	haveTargets := func(entries []*Entry, a, b int) func() bool {
		return func() bool {
			for _, e := range entries {
				if e.view.Load() == nil || e.targetCountIn("a") != a || e.targetCountIn("b") != b {
					return false
				}
			}
			return true
		}
	}
	f.waitFor("all entries keep away", haveTargets(entries, 0, 4))
	for range cap(results) {
		if refusal := <-results; refusal != nil {
			t.Errorf("what was under way was cut: %v", refusal)
		}
	}
	upstreams.mu.Lock()
	upstreams.eventsPerStream, upstreams.eventInterval = 3, time.Millisecond
	upstreams.mu.Unlock()
	checkServedIn(t, upstreams, entries, "b")

	f.stop(leader.Site.Name)
	newEntry := f.startEntry(7)
	f.waitFor("the entry that starts is ready", newEntry.Ready)
	entries = append(entries, newEntry)
	f.waitFor("it keeps away", haveTargets(entries, 0, 4))
	checkServedIn(t, upstreams, entries, "b")
	for n := 1; n <= 3; n++ {
		if name := fmt.Sprint("vm", n); f.processes[name] != nil {
			f.stop(name)
		}
	}
	for n := 1; n <= 3; n++ {
		leader = f.startController(n, false)
	}
	f.waitFor("the state is back", func() bool { return len(leader.register.Current().Evacuations) == 1 })
	checkServedIn(t, upstreams, entries, "b")

	f.declare(leader, 2)
	f.retryUntilAcknowledged("an upgrade begins", func() error { return leader.BeginUpgrade(context.Background(), "s", "v2", time.Minute) })
	f.evacuate(leader, "b", false)
	f.evacuate(leader, "a", true)
	f.waitFor("the other one is left", haveTargets(entries, 4, 0))
	checkServedIn(t, upstreams, entries, "a")
	f.evacuate(leader, "b", true)
	f.evacuate(leader, "b", false)
	f.evacuate(leader, "b", true)
	f.waitFor("both serve", haveTargets(entries, 4, 4))
	if s := leader.register.Current(); s.Number != 2 || s.Upgrades["s"].Target != "v2" {
		t.Errorf("beside the orders: %+v", s)
	}
}

// With all data centres evacuated callers are told at once that nothing ran, and the
// entry goes on taking them; an order on one that nobody knows is refused.
func TestAllDataCentresEvacuated(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 49, 4)
	c := f.processes["vm1"].controller
	var unknown *Error
	if err := c.Evacuate(context.Background(), "nowhere", false); !errors.As(err, &unknown) || unknown.Kind != NotFound {
		t.Errorf("an unknown data centre: %v", err)
	}
	f.evacuate(c, "a", false)
	f.evacuate(c, "b", false)
	f.waitFor("no upstream is left", func() bool {
		for _, e := range entries {
			if len(e.view.Load().Targets["s"]) > 0 {
				return false
			}
		}
		return true
	})
	for _, route := range []string{"stream", "safe", "once"} {
		_, refusal := sendRequest(entries[0], route, "x")
		if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || !entries[0].Ready() {
			t.Errorf("%s: %+v", route, refusal)
		}
	}
	upstreams.mu.Lock()
	received := len(upstreams.requests)
	upstreams.mu.Unlock()
	if received > 0 {
		t.Errorf("%d requests reached upstreams", received)
	}
}

// What is ready of a new version counts without the evacuated: traffic is not moved to
// upstreams that may get none.
func TestUpgradeIgnoresEvacuatedUpstreams(t *testing.T) {
	newUpstream := func(dataCentre, version string) persimmoncross.Upstream {
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
	list := []persimmoncross.Upstream{newUpstream("a", "v2"), newUpstream("a", "v2"), newUpstream("b", "v1"), newUpstream("b", "v1")}
	if !isTargetReady(u, list) {
		t.Error("as many new as old ones are not ready")
	}
	if isTargetReady(u, availableUpstreams(list, map[string]register.Evacuation{"a": {}})) {
		t.Error("ready without any that may get requests")
	}
}

// A controller that has read no list yet can't tell an unknown data centre from one that
// it has not heard of: the order may be given again.
func TestEvacuateBeforeFirstList(t *testing.T) {
	f := newFleet(t, 84)
	c := f.prepareController(1, true)
	var e *Error
	if err := c.Evacuate(context.Background(), "a", false); !errors.As(err, &e) || e.Kind != Unavailable {
		t.Errorf("before the list: %v", err)
	}
	c.publisher.setList(testUpstreams(1), time.Now())
	if err := c.Evacuate(context.Background(), "a", false); !errors.As(err, &e) || e.Kind != NotFound {
		t.Errorf("a data centre that is not on it: %v", err)
	}
	c.store.log.Close()
	c.store.folder.Close()
}
