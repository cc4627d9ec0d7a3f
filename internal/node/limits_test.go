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
// from limitSettleTime after it first named it.
const (
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitOvershoot  = 1.5
	limitSlack      = 5
)

// backgroundTraffic sends requests at the entries in turn until it is stopped, and counts those
// that were not served.
type backgroundTraffic struct {
	stop func()

	mu       sync.Mutex // guards all below
	failures []string
}

func (f *fleet) startTraffic(entries []*Entry, interval time.Duration) *backgroundTraffic {
	traffic := &backgroundTraffic{}
	quit := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(interval):
			}
			group.Go(func() {
				e := entries[i%len(entries)]
				if _, refusal := sendRequest(e, "safe", fmt.Sprint("x", i)); refusal != nil {
					traffic.mu.Lock()
					defer traffic.mu.Unlock()
					traffic.failures = append(traffic.failures, fmt.Sprint(e.Site.Name, ": ", refusal))
				}
			})
		}
	})
	traffic.stop = sync.OnceFunc(func() {
		close(quit)
		group.Wait()
	})
	f.t.Cleanup(traffic.stop)
	return traffic
}

// setRateLimit lets an upstream name a setRateLimit, 0 for none, and returns since when.
func (s *fakeUpstreamSet) setRateLimit(u *fakeUpstream, limit float64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.rateLimit = limit
	return time.Now()
}

// maxRequestsInWindow returns the maxRequestsInWindow requests that reached the place within a window that ends after
// the time from, without those before the time since.
func (s *fakeUpstreamSet) maxRequestsInWindow(u *fakeUpstream, since, endsAfter time.Time) (highest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var times []time.Time
	for _, r := range s.requests {
		if r.upstream == u && r.at.After(since) {
			times = append(times, r.at)
		}
	}
	first := 0
	for i, last := range times {
		for last.Sub(times[first]) >= limitWindow {
			first++
		}
		if last.After(endsAfter) {
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

// checkRateLimits checks what reached the upstreams that have named limits since then, by place.
func (s *fakeUpstreamSet) checkRateLimits(t *testing.T, limits []float64, since []time.Time) {
	t.Helper()
	for i, limit := range limits {
		got, allowed := s.maxRequestsInWindow(s.all[i], since[i], since[i].Add(limitSettleTime)), int(limitOvershoot*limit*limitWindow.Seconds()+limitSlack)
		if got > allowed {
			t.Errorf("an upstream that had named a limit of %v got %d requests in %v, borne %d", limit, got, limitWindow, allowed)
		}
	}
}

// Entries send an upstream more than the limit that it names, each as if nothing were named.
func TestRateLimitIsEnforced(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 86, 6)
	traffic := f.startTraffic(entries, 15*time.Millisecond)
	time.Sleep(time.Second)
	limits := []float64{2.4, 0.5}
	var since []time.Time
	for i, limit := range limits {
		since = append(since, upstreams.setRateLimit(upstreams.all[i], limit))
	}
	time.Sleep(limitSettleTime + 2*limitWindow)
	traffic.stop()
	upstreams.checkRateLimits(t, limits, since)
	if len(traffic.failures) > 0 {
		t.Errorf("%d callers were not served, the first: %s", len(traffic.failures), traffic.failures[0])
	}
}

// The same while the leader is lost and an entry starts again, which then knows nothing.
func TestRateLimitSurvivesRestarts(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 89, 6)
	traffic := f.startTraffic(entries[:2], 15*time.Millisecond)
	limits := []float64{2.4, 1}
	var since []time.Time
	for i, limit := range limits {
		since = append(since, upstreams.setRateLimit(upstreams.all[i], limit))
	}
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		if f.processes[name].controller.IsLeader() {
			f.stop(name)
			break
		}
	}
	f.stop("vm6")
	restarted := f.startEntry(6)
	f.waitFor("the entry that starts again is ready", restarted.Ready)
	restartedTraffic := f.startTraffic([]*Entry{restarted}, 30*time.Millisecond)
	time.Sleep(limitSettleTime + limitWindow)
	traffic.stop()
	restartedTraffic.stop()
	upstreams.checkRateLimits(t, limits, since)
	for _, failure := range append(traffic.failures, restartedTraffic.failures...) {
		t.Error("not served: ", failure)
	}
}

// entriesWithRateLimit tells which of the entries know that the place names a limit.
func entriesWithRateLimit(entries []*Entry, u *fakeUpstream) (count int) {
	for _, e := range entries {
		for _, t := range e.view.Load().Targets["s"] {
			if t.Incarnation == u.incarnation && e.pool.RateLimits.Rate(t.InstanceID()) > 0 {
				count++
			}
		}
	}
	return count
}

// What one entry has heard of a limit all know, also one that starts later, and after the
// controllers were lost one after the other; and so it is with the end of the limit.
func TestRateLimitReachesAllEntries(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 87, 1)
	u := upstreams.all[0]
	upstreams.setRateLimit(u, 5)
	if _, refusal := sendRequest(entries[0], "safe", "x"); refusal != nil {
		t.Fatal(refusal)
	}
	f.waitFor("all know of the limit", func() bool { return entriesWithRateLimit(entries, u) == len(entries) })
	_, refusal := sendRequest(entries[2], "safe", "x")
	if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("an entry that was told: %+v", refusal)
	}
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		f.stop(name)
	}
	for n := 1; n <= 3; n++ {
		f.startController(n, false)
	}
	entries = append(entries, f.startEntry(7))
	f.waitFor("the entry that starts is ready", entries[3].Ready)
	f.waitFor("it knows of the limit", func() bool { return entriesWithRateLimit(entries[3:], u) == 1 })
	upstreams.setRateLimit(u, 0)
	f.waitFor("the limit is over for all", func() bool {
		sendRequest(entries[1], "safe", "x")
		return entriesWithRateLimit(entries, u) == 0
	})
	for _, e := range entries {
		if _, refusal := sendRequest(e, "safe", "x"); refusal != nil {
			t.Errorf("%s, after the limit: %v", e.Site.Name, refusal)
		}
	}
}

// Limits of hundreds of upstreams are sent in messages of some KB, each once.
func TestRateLimitsAreSentInBatches(t *testing.T) {
	h := newPublisher(persimmoncross.SystemClock{})
	var limits []ratelimit.Observation
	for i := range 3*maxLimitsPerMessage + 1 {
		limits = append(limits, ratelimit.Observation{
			InstanceID: fmt.Sprint("life", i),
			Rate:       1,
			ObservedAt: time.Now(),
		})
	}
	h.mergeLimits(limits)
	s := &followerState{}
	received := map[string]int{}
	updates := 0
	for more := true; more; more = s.hasPending() {
		u, _ := h.nextUpdate(s, true, nil)
		updates++
		if n := len(u.GetLimits()); n > maxLimitsPerMessage {
			t.Errorf("%d limits in one update", n)
		}
		for _, x := range u.GetLimits() {
			received[x.GetLife()]++
		}
	}
	for life, n := range received {
		if n != 1 {
			t.Errorf("%s is told %d times", life, n)
		}
	}
	if len(received) != len(limits) || updates != 4 {
		t.Errorf("%d of %d limits in %d updates", len(received), len(limits), updates)
	}
	// A newer observation of the same limit is not sent, another limit is.
	limits[0].ObservedAt = limits[0].ObservedAt.Add(time.Second)
	h.mergeLimits(limits[:1])
	if u, _ := h.nextUpdate(s, true, nil); len(u.GetLimits()) > 0 {
		t.Error("told again")
	}
	limits[0].Rate, limits[0].ObservedAt = 0, limits[0].ObservedAt.Add(time.Second)
	h.mergeLimits(limits[:1])
	if u, _ := h.nextUpdate(s, true, nil); len(u.GetLimits()) != 1 || u.GetLimits()[0].GetRate() != 0 {
		t.Errorf("the end of a limit is not told: %v", u.GetLimits())
	}
}
