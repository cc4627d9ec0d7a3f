package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
)

// Requests allowed to an upstream that announces a rate limit: limitOvershoot times the limit plus
// limitSlack in any limitWindow, from limitSettleTime after the first announcement on.
const (
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitOvershoot  = 1.5
	limitSlack      = 5
)

// backgroundTraffic sends requests to the entries in turn until it is stopped, and records those
// that were refused.
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

// setRateLimit sets the rate limit that an upstream announces, 0 for none, and returns the time of
// the change.
func (s *fakeUpstreamSet) setRateLimit(u *fakeUpstream, limit float64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.rateLimit = limit
	return time.Now()
}

// maxRequestsInWindow returns the highest number of requests that reached the upstream within any
// window that ends after endsAfter, not counting requests before since.
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

// checkRateLimits checks how many requests reached the upstreams that announce limits. limits has
// the limit of each upstream in the order of s.all, and since has the time of its announcement.
func (s *fakeUpstreamSet) checkRateLimits(t *testing.T, limits []float64, since []time.Time) {
	t.Helper()
	for i, limit := range limits {
		got, allowed := s.maxRequestsInWindow(s.all[i], since[i], since[i].Add(limitSettleTime)), int(limitOvershoot*limit*limitWindow.Seconds()+limitSlack)
		if got > allowed {
			t.Errorf("an upstream that announces a limit of %v got %d requests in %v, allowed %d", limit, got, limitWindow, allowed)
		}
	}
}

// TestRateLimitIsEnforced guards against entries that exceed the rate limit which an upstream
// announces, because each of them sends as if there were no limit.
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
		t.Errorf("%d requests were refused, the first: %s", len(traffic.failures), traffic.failures[0])
	}
}

// TestRateLimitSurvivesRestarts checks that the limits are also enforced while the leader is lost
// and an entry restarts, which has observed no limits at its start.
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
	f.waitFor("the restarted entry is ready", restarted.Ready)
	restartedTraffic := f.startTraffic([]*Entry{restarted}, 30*time.Millisecond)
	time.Sleep(limitSettleTime + limitWindow)
	traffic.stop()
	restartedTraffic.stop()
	upstreams.checkRateLimits(t, limits, since)
	for _, failure := range append(traffic.failures, restartedTraffic.failures...) {
		t.Error("a request was refused: ", failure)
	}
}

// entryCountWithRateLimit returns how many of the entries have a rate limit for the upstream.
func entryCountWithRateLimit(entries []*Entry, u *fakeUpstream) (count int) {
	for _, e := range entries {
		for _, t := range e.view.Load().Targets["s"] {
			if t.Name == u.incarnation && e.pool.RateLimits.Rate(t.InstanceID()) > 0 {
				count++
			}
		}
	}
	return count
}

// TestRateLimitReachesAllEntries checks that a rate limit which one entry observes reaches all
// entries, also one that starts after all controllers were restarted, and that the same holds when
// the limit is cleared.
func TestRateLimitReachesAllEntries(t *testing.T) {
	f, upstreams, entries := newRunningFleet(t, 87, 1)
	u := upstreams.all[0]
	upstreams.setRateLimit(u, 5)
	if _, refusal := sendRequest(entries[0], "safe", "x"); refusal != nil {
		t.Fatal(refusal)
	}
	f.waitFor("all entries have the limit", func() bool { return entryCountWithRateLimit(entries, u) == len(entries) })
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		f.stop(name)
	}
	for n := 1; n <= 3; n++ {
		f.startController(n, false)
	}
	entries = append(entries, f.startEntry(7))
	f.waitFor("the new entry is ready", entries[3].Ready)
	f.waitFor("the new entry has the limit", func() bool { return entryCountWithRateLimit(entries[3:], u) == 1 })
	upstreams.setRateLimit(u, 0)
	f.waitFor("the limit is cleared at all entries", func() bool {
		sendRequest(entries[1], "safe", "x")
		return entryCountWithRateLimit(entries, u) == 0
	})
	for _, e := range entries {
		if _, refusal := sendRequest(e, "safe", "x"); refusal != nil {
			t.Errorf("%s, after the limit was cleared: %v", e.Site.Name, refusal)
		}
	}
}

// TestReceivedRateLimitIsEnforced guards against an entry that ignores a limit which it has from a
// controller. The entry may use its first slot at once, and the next one comes minutes later.
func TestReceivedRateLimitIsEnforced(t *testing.T) {
	const limit = 0.02
	f, upstreams, entries := newRunningFleet(t, 90, 1)
	u := upstreams.all[0]
	upstreams.setRateLimit(u, limit)
	if _, refusal := sendRequest(entries[0], "safe", "x"); refusal != nil {
		t.Fatal(refusal)
	}
	f.waitFor("all entries have the limit", func() bool { return entryCountWithRateLimit(entries, u) == len(entries) })
	for _, e := range entries[1:] {
		served := 0
		for range 5 {
			_, refusal := sendRequest(e, "safe", "x")
			if refusal == nil {
				served++
				continue
			}
			if refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 {
				t.Errorf("%s, over the limit: %+v", e.Site.Name, refusal)
			}
		}
		if served > 1 {
			t.Errorf("%s served %d requests at once, want at most 1", e.Site.Name, served)
		}
	}
}

// TestRateLimitsAreSentInBatches checks that the limits of hundreds of upstreams are sent in
// updates of at most maxLimitsPerMessage limits, some KB each, and that each limit is sent once.
func TestRateLimitsAreSentInBatches(t *testing.T) {
	pub := newPublisher(persimmoncross.SystemClock{})
	var limits []ratelimit.Observation
	for i := range 3*maxLimitsPerMessage + 1 {
		limits = append(limits, ratelimit.Observation{
			InstanceID: fmt.Sprint("life", i),
			Rate:       1,
			ObservedAt: time.Now(),
		})
	}
	pub.mergeLimits(limits)
	s := &followerState{}
	received := map[string]int{}
	updates := 0
	for more := true; more; more = s.hasPending() {
		u, _ := pub.nextUpdate(s, true, nil)
		updates++
		if n := len(u.GetLimits()); n > maxLimitsPerMessage {
			t.Errorf("%d limits in one update", n)
		}
		for _, x := range u.GetLimits() {
			received[x.GetLife()]++
		}
	}
	for instanceID, n := range received {
		if n != 1 {
			t.Errorf("the limit of %s is sent %d times", instanceID, n)
		}
	}
	if len(received) != len(limits) || updates != 4 {
		t.Errorf("%d of %d limits in %d updates", len(received), len(limits), updates)
	}
	// A newer observation with the same rate is not sent; one with another rate is.
	limits[0].ObservedAt = limits[0].ObservedAt.Add(time.Second)
	pub.mergeLimits(limits[:1])
	if u, _ := pub.nextUpdate(s, true, nil); len(u.GetLimits()) > 0 {
		t.Error("an unchanged limit was sent again")
	}
	limits[0].Rate, limits[0].ObservedAt = 0, limits[0].ObservedAt.Add(time.Second)
	pub.mergeLimits(limits[:1])
	if u, _ := pub.nextUpdate(s, true, nil); len(u.GetLimits()) != 1 || u.GetLimits()[0].GetRate() != 0 {
		t.Errorf("a cleared limit is not sent: %v", u.GetLimits())
	}
}
