package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What a calm span has left is there at once when an upstream is lost, and no
// span of the window's length holds more than its share.
func TestBudgetAllowsBurst(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Budget{
		Window:        10 * time.Second,
		BaseAllowance: 5,
	}
	for range 200 {
		b.RecordRequest(0.75, now)
		now = now.Add(40 * time.Millisecond)
	}
	allowed := 0
	for range 300 {
		if b.TryRetry(now) {
			allowed++
		}
	}
	if allowed != 155 {
		t.Errorf("%d retries after 200 requests, want 155", allowed)
	}
	if b.TryRetry(now.Add(time.Second)) {
		t.Error("a second later there is one more")
	}
	if now = now.Add(30 * time.Second); !b.TryRetry(now) || b.Remaining(now) != 4 {
		t.Errorf("after a pause %.0f are left of the spare ones, want 4", b.Remaining(now))
	}
}

// However requests and retries come, the retries of any span stay within what
// the requests of that span and of the slice before it allow.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := &Budget{
			Window:        time.Second,
			BaseAllowance: float64(rapid.IntRange(0, 5).Draw(t, "spare")),
			MinAllowance:  float64(rapid.IntRange(0, 8).Draw(t, "floor")),
		}
		now := time.Unix(100, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if b.TryRetry(now) {
					retries = append(retries, now)
				}
				continue
			}
			b.RecordRequest(share, now)
			requests = append(requests, now)
		}
		countWithin := func(list []time.Time, end time.Time, span time.Duration) (n float64) {
			for _, at := range list {
				if !at.After(end) && end.Sub(at) < span {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			// The slices together cover between 19 and 20 of their length.
			retryCount, requestCount := countWithin(retries, end, b.Window-b.Window/buckets), countWithin(requests, end, b.Window)
			if retryCount > max(share*requestCount+b.BaseAllowance, b.MinAllowance)+1e-9 {
				t.Fatalf("%.0f retries beside %.0f requests up to %v", retryCount, requestCount, end)
			}
		}
	})
}

// A clock that jumps back neither frees retries nor blocks them for good.
func TestBudgetWithClockJump(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Budget{
		Window:        time.Second,
		BaseAllowance: 2,
	}
	if !b.TryRetry(now) || !b.TryRetry(now.Add(-time.Hour)) || b.TryRetry(now.Add(-time.Minute)) {
		t.Error("a jump back frees retries")
	}
	if !b.TryRetry(now.Add(2 * time.Second)) {
		t.Error("after the jump none is left for good")
	}
}
