package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The unused credit of a window without retries is available at once when an upstream is
// lost, and no window contains more retries than its limit.
func TestBudgetAllowsBurst(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Budget{
		Window:        10 * time.Second,
		BaseAllowance: 5,
	}
	for range 500 {
		b.RecordRequest(0.75, now)
		now = now.Add(40 * time.Millisecond)
	}
	allowed := 0
	for range 300 {
		if b.TryRetry(now) {
			allowed++
		}
	}
	// A window may begin within a bucket, whose requests then do not count.
	if most := 5 + 750*250/1000; allowed > most || allowed < most-most/bucketCount-1 {
		t.Errorf("%d retries with 250 requests in the window, want %d less one bucket's", allowed, most)
	}
	if b.TryRetry(now.Add(time.Second)) {
		t.Error("a retry is allowed a second after the budget was used up")
	}
	if now = now.Add(30 * time.Second); !b.TryRetry(now) || b.Remaining(now) != 4 {
		t.Errorf("after an idle period and one retry %.0f retries remain, want 4", b.Remaining(now))
	}
}

// Guards against a window that is shorter than the one in which retries are judged, and against credit of requests that
// are in none of the windows which are judged.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := &Budget{
			Window:        time.Second,
			BaseAllowance: float64(rapid.IntRange(0, 5).Draw(t, "spare")),
			MinAllowance:  float64(rapid.IntRange(0, 8).Draw(t, "floor")),
		}
		requests, retries := drawUse(t, b, share)
		for _, end := range retries {
			checkWindow(t, b, share, requests, retries, end.Add(-b.Window))
			checkWindow(t, b, share, requests, retries, end)
		}
	})
}

// checkWindow checks the window that begins at since.
func checkWindow(t *rapid.T, b *Budget, share float64, requests, retries []time.Time, since time.Time) {
	retryCount, requestCount := countWithin(retries, since, since.Add(b.Window)), 0.0
	for _, before := range []time.Duration{0, b.Window / 2, b.Window} {
		requestCount = max(requestCount, countWithin(requests, since.Add(-before), since.Add(b.Window-before)))
	}
	if retryCount > max(share*requestCount+b.BaseAllowance, b.MinAllowance)+1e-9 {
		t.Fatalf("%.0f retries with %.0f requests in the window that begins at %v", retryCount, requestCount, since)
	}
}

// drawUse records requests, each of which earns the share, and takes retries in any order.
func drawUse(t *rapid.T, b *Budget, share float64) (requests, retries []time.Time) {
	now := time.Unix(100, 0)
	maxPause := rapid.SampledFrom([]int{1, 40, 400}).Draw(t, "most")
	for range rapid.IntRange(1, 300).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, maxPause).Draw(t, "pause")) * time.Millisecond)
		if rapid.Bool().Draw(t, "retry") {
			if b.TryRetry(now) {
				retries = append(retries, now)
			}
			continue
		}
		b.RecordRequest(share, now)
		requests = append(requests, now)
	}
	return requests, retries
}

// countWithin returns how many of the times are in the window, its ends included.
func countWithin(times []time.Time, since, end time.Time) (n float64) {
	for _, at := range times {
		if !at.Before(since) && !at.After(end) {
			n++
		}
	}
	return n
}

// A clock that jumps back neither allows more retries nor blocks retries permanently.
func TestBudgetWithClockJump(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Budget{
		Window:        time.Second,
		BaseAllowance: 2,
	}
	if !b.TryRetry(now) || !b.TryRetry(now.Add(-time.Hour)) || b.TryRetry(now.Add(-time.Minute)) {
		t.Error("wrong number of retries allowed after the clock jumped back, want 2")
	}
	if !b.TryRetry(now.Add(2 * time.Second)) {
		t.Error("retries are still blocked when the window has passed after the clock jump")
	}
}

// fleetReport is what an entry has counted, as it comes to the others.
type fleetReport struct {
	at     time.Time
	credit float64
	used   float64
}

// Guards against entries that together exceed the budget of all: by credit of different windows, and by what one has not
// been told of the others.
func TestEntriesTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		base := float64(rapid.IntRange(0, 30).Draw(t, "base"))
		told := rapid.Bool().Draw(t, "told")
		entries := make([]*Budget, rapid.IntRange(2, 9).Draw(t, "entries"))
		for n := range entries {
			entries[n] = &Budget{
				Window:        time.Second,
				BaseAllowance: base,
				Share:         1 / float64(len(entries)),
			}
		}
		now := time.Unix(100, 0)
		var requests, retries []time.Time
		var reports []fleetReport
		for range rapid.IntRange(1, 8).Draw(t, "moves") {
			busiest := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "busiest")]
			even := rapid.Bool().Draw(t, "even")
			gap := time.Duration(rapid.IntRange(1, 20).Draw(t, "gap")) * time.Millisecond
			tries := rapid.IntRange(0, 4).Draw(t, "tries")
			delay := time.Duration(rapid.IntRange(0, lateBuckets).Draw(t, "delay")) * time.Second / bucketCount
			for r := range rapid.IntRange(0, 150).Draw(t, "requests") {
				now = now.Add(gap)
				if even {
					busiest = entries[r%len(entries)]
				}
				busiest.RecordRequest(share, now)
				requests = append(requests, now)
				reports = append(reports, fleetReport{
					at:     now.Add(delay),
					credit: share,
				})
				reports = deliver(reports, entries, told, now)
				for _, b := range entries {
					for range tries {
						if !b.TryRetry(now) {
							break
						}
						retries = append(retries, now)
						reports = append(reports, fleetReport{
							at:   now.Add(delay),
							used: 1,
						})
					}
				}
			}
		}
		all := &Budget{
			Window:        time.Second,
			BaseAllowance: base,
		}
		for _, end := range retries {
			checkWindow(t, all, share, requests, retries, end.Add(-all.Window))
			checkWindow(t, all, share, requests, retries, end)
		}
	})
}

// deliver tells all entries what is due, and returns the rest.
func deliver(reports []fleetReport, entries []*Budget, told bool, now time.Time) (rest []fleetReport) {
	for _, r := range reports {
		if r.at.After(now) {
			rest = append(rest, r)
			continue
		}
		for _, b := range entries {
			if told {
				b.RecordFleet(r.credit, r.used, 0, now)
			}
		}
	}
	return rest
}
