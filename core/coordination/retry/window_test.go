package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What a calm span has left is there at once when an upstream is lost, and no
// span of the window's length holds more than its share.
func TestCalmSpanPaysForALoss(t *testing.T) {
	now := time.Unix(100, 0)
	w := &Window{
		Length: 10 * time.Second,
		Spare:  5,
	}
	for range 200 {
		w.Request(0.75, now)
		now = now.Add(40 * time.Millisecond)
	}
	cut := 0
	for range 300 {
		if w.Retry(now) {
			cut++
		}
	}
	if cut != 155 {
		t.Errorf("%d retries after 200 requests, want 155", cut)
	}
	if w.Retry(now.Add(time.Second)) {
		t.Error("a second later there is one more")
	}
	if now = now.Add(30 * time.Second); !w.Retry(now) || w.Left(now) != 4 {
		t.Errorf("after a pause %.0f are left of the spare ones, want 4", w.Left(now))
	}
}

// However requests and retries come, the retries of any span stay within what
// the requests of that span and of the slice before it allow.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		w := &Window{
			Length: time.Second,
			Spare:  float64(rapid.IntRange(0, 5).Draw(t, "spare")),
			Floor:  float64(rapid.IntRange(0, 8).Draw(t, "floor")),
		}
		now := time.Unix(100, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if w.Retry(now) {
					retries = append(retries, now)
				}
				continue
			}
			w.Request(share, now)
			requests = append(requests, now)
		}
		within := func(list []time.Time, end time.Time, span time.Duration) (n float64) {
			for _, at := range list {
				if !at.After(end) && end.Sub(at) < span {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			// The slices together cover between 19 and 20 of their length.
			made, came := within(retries, end, w.Length-w.Length/slices), within(requests, end, w.Length)
			if made > max(share*came+w.Spare, w.Floor)+1e-9 {
				t.Fatalf("%.0f retries beside %.0f requests up to %v", made, came, end)
			}
		}
	})
}

// A clock that jumps back neither frees retries nor blocks them for good.
func TestWindowUnderAJump(t *testing.T) {
	now := time.Unix(100, 0)
	w := &Window{
		Length: time.Second,
		Spare:  2,
	}
	if !w.Retry(now) || !w.Retry(now.Add(-time.Hour)) || w.Retry(now.Add(-time.Minute)) {
		t.Error("a jump back frees retries")
	}
	if !w.Retry(now.Add(2 * time.Second)) {
		t.Error("after the jump none is left for good")
	}
}
