package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
)

// What an upstream bears that names a limit: so much more than the limit in any window,
// from limitStable after it first named it.
const (
	limitStable = 3 * time.Second
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
)

// traffic sends requests at the entries in turn until it is stopped, and counts those
// that were not served.
type traffic struct {
	stop func()

	mu      sync.Mutex // guards all below
	refused []string
}

func (f *fleet) traffic(entries []*Entry, every time.Duration) *traffic {
	x := &traffic{}
	end := make(chan struct{})
	var under sync.WaitGroup
	under.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(every):
			}
			under.Go(func() {
				e := entries[i%len(entries)]
				if _, refusal := ask(e, "safe", fmt.Sprint("x", i)); refusal != nil {
					x.mu.Lock()
					defer x.mu.Unlock()
					x.refused = append(x.refused, fmt.Sprint(e.Site.Name, ": ", refusal))
				}
			})
		}
	})
	x.stop = sync.OnceFunc(func() {
		close(end)
		under.Wait()
	})
	f.t.Cleanup(x.stop)
	return x
}

// limit lets an upstream name a limit, 0 for none, and returns since when.
func (f *farm) limit(c *crasher, limit float64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.limit = limit
	return time.Now()
}

// most returns the most requests that reached the place within a window that ends after
// the time from, without those before the time since.
func (f *farm) most(c *crasher, since, from time.Time) (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var at []time.Time
	for _, a := range f.arrivals {
		if a.place == c && a.at.After(since) {
			at = append(at, a.at)
		}
	}
	first := 0
	for i, last := range at {
		for last.Sub(at[first]) >= limitWindow {
			first++
		}
		if last.After(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// keepsLimits checks what reached the upstreams that have named limits since then, by place.
func (f *farm) keepsLimits(t *testing.T, limits []float64, since []time.Time) {
	t.Helper()
	for i, limit := range limits {
		got, borne := f.most(f.all[i], since[i], since[i].Add(limitStable)), int(limitOver*limit*limitWindow.Seconds()+limitSlack)
		if got > borne {
			t.Errorf("an upstream that had named a limit of %v got %d requests in %v, borne %d", limit, got, limitWindow, borne)
		}
	}
}

// Entries send an upstream more than the limit that it names, each as if nothing were named.
func TestUpstreamsLimitIsKept(t *testing.T) {
	f, places, entries := serving(t, 86, 6)
	x := f.traffic(entries, 15*time.Millisecond)
	time.Sleep(time.Second)
	limits := []float64{2.4, 0.5}
	var since []time.Time
	for i, limit := range limits {
		since = append(since, places.limit(places.all[i], limit))
	}
	time.Sleep(limitStable + 2*limitWindow)
	x.stop()
	places.keepsLimits(t, limits, since)
	if len(x.refused) > 0 {
		t.Errorf("%d callers were not served, the first: %s", len(x.refused), x.refused[0])
	}
}

// The same while the leader is lost and an entry starts again, which then knows nothing.
func TestLimitIsKeptThroughLosses(t *testing.T) {
	f, places, entries := serving(t, 89, 6)
	x := f.traffic(entries[:2], 15*time.Millisecond)
	limits := []float64{2.4, 1}
	var since []time.Time
	for i, limit := range limits {
		since = append(since, places.limit(places.all[i], limit))
	}
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		if f.vms[name].controller.Leads() {
			f.stop(name)
			break
		}
	}
	f.stop("vm6")
	again := f.entry(6)
	f.await("the entry that starts again is ready", again.Ready)
	y := f.traffic([]*Entry{again}, 30*time.Millisecond)
	time.Sleep(limitStable + limitWindow)
	x.stop()
	y.stop()
	places.keepsLimits(t, limits, since)
	for _, refused := range append(x.refused, y.refused...) {
		t.Error("not served: ", refused)
	}
}

// limitedAt tells which of the entries know that the place names a limit.
func limitedAt(entries []*Entry, c *crasher) (known int) {
	for _, e := range entries {
		for _, t := range e.view.Load().Targets["s"] {
			if t.Incarnation == c.id && e.pool.Limits.Rate(t.Life()) > 0 {
				known++
			}
		}
	}
	return known
}

// What one entry has heard of a limit all know, also one that starts later, and after the
// controllers were lost one after the other; and so it is with the end of the limit.
func TestLimitIsToldToAll(t *testing.T) {
	f, places, entries := serving(t, 87, 1)
	c := places.all[0]
	places.limit(c, 5)
	if _, refusal := ask(entries[0], "safe", "x"); refusal != nil {
		t.Fatal(refusal)
	}
	f.await("all know of the limit", func() bool { return limitedAt(entries, c) == len(entries) })
	_, refusal := ask(entries[2], "safe", "x")
	if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("an entry that was told: %+v", refusal)
	}
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		f.stop(name)
	}
	for n := 1; n <= 3; n++ {
		f.controller(n, false)
	}
	entries = append(entries, f.entry(7))
	f.await("the entry that starts is ready", entries[3].Ready)
	f.await("it knows of the limit", func() bool { return limitedAt(entries[3:], c) == 1 })
	places.limit(c, 0)
	f.await("the limit is over for all", func() bool {
		ask(entries[1], "safe", "x")
		return limitedAt(entries, c) == 0
	})
	for _, e := range entries {
		if _, refusal := ask(e, "safe", "x"); refusal != nil {
			t.Errorf("%s, after the limit: %v", e.Site.Name, refusal)
		}
	}
}

// Limits of hundreds of upstreams are sent in messages of some KB, each once.
func TestManyLimitsAreToldInParts(t *testing.T) {
	h := newHub(persimmoncross.SystemClock{})
	var limits []ratelimit.Observation
	for i := range 3*limitsAtOnce + 1 {
		limits = append(limits, ratelimit.Observation{
			Life: fmt.Sprint("life", i),
			Rate: 1,
			At:   time.Now(),
		})
	}
	h.mergeLimits(limits)
	s := &sent{}
	told := map[string]int{}
	updates := 0
	for more := true; more; more = s.pending() {
		u, _ := h.next(s, true, nil)
		updates++
		if n := len(u.GetLimits()); n > limitsAtOnce {
			t.Errorf("%d limits in one update", n)
		}
		for _, x := range u.GetLimits() {
			told[x.GetLife()]++
		}
	}
	for life, n := range told {
		if n != 1 {
			t.Errorf("%s is told %d times", life, n)
		}
	}
	if len(told) != len(limits) || updates != 4 {
		t.Errorf("%d of %d limits in %d updates", len(told), len(limits), updates)
	}
	// A newer observation of the same limit is not sent, another limit is.
	limits[0].At = limits[0].At.Add(time.Second)
	h.mergeLimits(limits[:1])
	if u, _ := h.next(s, true, nil); len(u.GetLimits()) > 0 {
		t.Error("told again")
	}
	limits[0].Rate, limits[0].At = 0, limits[0].At.Add(time.Second)
	h.mergeLimits(limits[:1])
	if u, _ := h.next(s, true, nil); len(u.GetLimits()) != 1 || u.GetLimits()[0].GetRate() != 0 {
		t.Errorf("the end of a limit is not told: %v", u.GetLimits())
	}
}
