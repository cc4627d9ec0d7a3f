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

// retryUntilAcknowledged repeats the operation until it is acknowledged.
func (f *fleet) retryUntilAcknowledged(description string, operation func() error) {
	f.t.Helper()
	f.waitFor(description, func() bool { return operation() == nil })
}

func (f *fleet) evacuate(c *Controller, dataCentre string, end bool) {
	f.t.Helper()
	f.retryUntilAcknowledged(fmt.Sprint("the evacuation of ", dataCentre, ", end ", end, ", is acknowledged"), func() error {
		return c.Evacuate(context.Background(), dataCentre, end)
	})
}

// targetCountIn returns how many upstreams of the data centre the entry sends to.
func (e *Entry) targetCountIn(dataCentre string) (n int) {
	for _, t := range e.view.Load().Targets["s"] {
		if t.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// checkServedIn sends requests and checks that all are served, and only by upstreams of the data
// centre.
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
			t.Errorf("a request reached data centre %s", r.dataCentre)
		}
	}
}

// TestEvacuation checks that no request goes to an evacuated data centre, neither from running
// entries nor from an entry that starts, also after the loss of the leader and the restart of all
// controllers. Requests that are in flight there complete.
func TestEvacuation(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 48, 8)
	var leader *Controller
	f.waitFor("a controller leads with a lease", func() bool {
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
			_, refusal := sendRequest(entries[i%len(entries)], "stream", fmt.Sprint("in flight ", i))
			results <- refusal
		}()
	}
	f.waitFor("streams are in flight in both data centres", func() bool {
		upstreams.mu.Lock()
		defer upstreams.mu.Unlock()
		return len(upstreams.requests) == cap(results)
	})
	f.evacuate(leader, "a", false)
	f.evacuate(leader, "a", false) // a repeated evacuation is acknowledged too
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
	f.waitFor("no entry sends to the evacuated data centre", haveTargets(entries, 0, 4))
	for range cap(results) {
		if refusal := <-results; refusal != nil {
			t.Errorf("a request in flight failed: %v", refusal)
		}
	}
	upstreams.mu.Lock()
	upstreams.eventsPerStream, upstreams.eventInterval = 3, time.Millisecond
	upstreams.mu.Unlock()
	checkServedIn(t, upstreams, entries, "b")

	f.stop(leader.Site.Name)
	lateEntry := f.startEntry(7)
	f.waitFor("the new entry is ready", lateEntry.Ready)
	entries = append(entries, lateEntry)
	f.waitFor("the new entry does not send to the evacuated data centre", haveTargets(entries, 0, 4))
	checkServedIn(t, upstreams, entries, "b")
	for n := 1; n <= 3; n++ {
		if name := fmt.Sprint("vm", n); f.processes[name] != nil {
			f.stop(name)
		}
	}
	for n := 1; n <= 3; n++ {
		leader = f.startController(n, false)
	}
	f.waitFor("the evacuation is restored", func() bool { return len(leader.register.Current().Evacuations) == 1 })
	checkServedIn(t, upstreams, entries, "b")

	f.declare(leader, 2)
	f.retryUntilAcknowledged("an upgrade begins", func() error { return leader.BeginUpgrade(context.Background(), "s", "v2", time.Minute) })
	f.evacuate(leader, "b", false)
	f.evacuate(leader, "a", true)
	f.waitFor("only the other data centre has targets", haveTargets(entries, 4, 0))
	checkServedIn(t, upstreams, entries, "a")
	f.evacuate(leader, "b", true)
	f.evacuate(leader, "b", false)
	f.evacuate(leader, "b", true)
	f.waitFor("both data centres have targets", haveTargets(entries, 4, 4))
	if s := leader.register.Current(); s.Number != 2 || s.Upgrades["s"].Target != "v2" {
		t.Errorf("the evacuations changed the document or the upgrade: %+v", s)
	}
}

// TestAllDataCentresEvacuated checks that with all data centres evacuated requests are refused at
// once as not run while the entry stays ready, and that the evacuation of an unknown data centre
// is refused.
func TestAllDataCentresEvacuated(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 49, 4)
	c := f.processes["vm1"].controller
	var unknown *Error
	if err := c.Evacuate(context.Background(), "nowhere", false); !errors.As(err, &unknown) || unknown.Kind != NotFound {
		t.Errorf("evacuation of an unknown data centre: %v, want NotFound", err)
	}
	f.evacuate(c, "a", false)
	f.evacuate(c, "b", false)
	f.waitFor("no entry has targets", func() bool {
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
		t.Errorf("%d requests reached upstreams of evacuated data centres", received)
	}
}

// TestUpgradeIgnoresEvacuatedUpstreams checks that upstreams of evacuated data centres don't make
// a new version ready, because they must not get requests.
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
		t.Error("the target is not ready with as many new as old upstreams")
	}
	if isTargetReady(u, availableUpstreams(list, map[string]register.Evacuation{"a": {}})) {
		t.Error("the target is ready although all of its upstreams are evacuated")
	}
}

// TestEvacuateBeforeFirstList checks that a controller without a list refuses an evacuation with
// Unavailable, so that the operator may retry: without the list the controller can't decide
// whether the data centre exists.
func TestEvacuateBeforeFirstList(t *testing.T) {
	f := newFleet(t, 84)
	c := f.prepareController(1, true)
	var e *Error
	if err := c.Evacuate(context.Background(), "a", false); !errors.As(err, &e) || e.Kind != Unavailable {
		t.Errorf("before the first list: %v, want Unavailable", err)
	}
	c.publisher.setList(testUpstreams(1), time.Now())
	if err := c.Evacuate(context.Background(), "a", false); !errors.As(err, &e) || e.Kind != NotFound {
		t.Errorf("a data centre that is not in the list: %v, want NotFound", err)
	}
	c.store.log.Close()
	c.store.folder.Close()
}
