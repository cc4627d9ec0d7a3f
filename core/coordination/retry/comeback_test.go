package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// When a refused caller comes back, by what is known.
func TestRetryAfter(t *testing.T) {
	tests := []struct {
		name   string
		params ComeBack
		random float64
		want   time.Duration
	}{
		{"an outage that has just begun", ComeBack{}, 0, unknownOutageDelay},
		{"one that has lasted a second", ComeBack{Lasted: time.Second}, 0, 1600 * time.Millisecond},
		{"the last of those refused with it", ComeBack{Lasted: 1400 * time.Millisecond}, 0.999, 2999 * time.Millisecond},
		{"a very long one", ComeBack{Lasted: time.Hour}, 0, maxRetryAfter},
		{"a queue that is known", ComeBack{Expected: 400 * time.Millisecond, Lasted: time.Hour}, 0, 400 * time.Millisecond},
		{"a queue that is hardly there", ComeBack{Expected: time.Millisecond}, 0, minRetryAfter},
		{"the least urgent after a queue", ComeBack{Expected: 900 * time.Millisecond, Rank: 2, Ranks: 3}, 0, 1200 * time.Millisecond},
		{"an unknown rank", ComeBack{Expected: 900 * time.Millisecond, Rank: 9, Ranks: 3}, 0, 1200 * time.Millisecond},
		{"a caller with little time", ComeBack{Lasted: 2 * time.Second, Left: 3 * time.Second}, 0.5, time.Second},
		{"a caller with none", ComeBack{Lasted: 2 * time.Second, Left: 10 * time.Millisecond}, 0.5, minRetryAfter},
		{"a clock that jumped back", ComeBack{Lasted: -time.Hour, Left: -time.Hour}, 0.5, 750 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := tt.params.After(tt.random).Round(time.Millisecond); got != tt.want.Round(time.Millisecond) {
			t.Errorf("%s: after %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Whatever is known, a caller waits neither no time nor more than its part, and
// the more urgent of two never longer.
func TestRetryAfterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Minute)).Draw(t, name))
		}
		r := ComeBack{
			Expected: duration("expected"),
			Lasted:   duration("lasted"),
			Left:     duration("left"),
			Rank:     rapid.IntRange(-1, 5).Draw(t, "rank"),
			Ranks:    rapid.IntRange(0, 4).Draw(t, "ranks"),
		}
		random := rapid.Float64Range(0, 0.999).Draw(t, "chance")
		got := r.After(random)
		maxDelay := time.Duration((1 + jitterFraction) * float64(maxRetryAfter))
		if got < minRetryAfter || got > maxDelay || r.Left > 3*minRetryAfter && got > r.Left/3+1 {
			t.Fatalf("%+v: after %v", r, got)
		}
		lessUrgent := r
		lessUrgent.Rank++
		if lessUrgent.After(random) < got {
			t.Fatalf("%+v: %v, and one rank less urgent sooner", r, got)
		}
	})
}
