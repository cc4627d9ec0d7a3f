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
		params RetryAfter
		random float64
		want   time.Duration
	}{
		{"an outage that has just begun", RetryAfter{}, 0, unknownOutageDelay},
		{"one that has lasted a second", RetryAfter{OutageAge: time.Second}, 0, 1600 * time.Millisecond},
		{"the last of those refused with it", RetryAfter{OutageAge: 1400 * time.Millisecond}, 0.999, 2999 * time.Millisecond},
		{"a very long one", RetryAfter{OutageAge: time.Hour}, 0, maxRetryAfter},
		{"a queue that is known", RetryAfter{ExpectedWait: 400 * time.Millisecond, OutageAge: time.Hour}, 0, 400 * time.Millisecond},
		{"a queue that is hardly there", RetryAfter{ExpectedWait: time.Millisecond}, 0, minRetryAfter},
		{"the least urgent after a queue", RetryAfter{ExpectedWait: 900 * time.Millisecond, Priority: 2, PriorityLevels: 3}, 0, 1200 * time.Millisecond},
		{"an unknown rank", RetryAfter{ExpectedWait: 900 * time.Millisecond, Priority: 9, PriorityLevels: 3}, 0, 1200 * time.Millisecond},
		{"a caller with little time", RetryAfter{OutageAge: 2 * time.Second, UntilDeadline: 3 * time.Second}, 0.5, time.Second},
		{"a caller with none", RetryAfter{OutageAge: 2 * time.Second, UntilDeadline: 10 * time.Millisecond}, 0.5, minRetryAfter},
		{"a clock that jumped back", RetryAfter{OutageAge: -time.Hour, UntilDeadline: -time.Hour}, 0.5, 750 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := tt.params.Delay(tt.random).Round(time.Millisecond); got != tt.want.Round(time.Millisecond) {
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
		r := RetryAfter{
			ExpectedWait:   duration("expected"),
			OutageAge:      duration("lasted"),
			UntilDeadline:  duration("left"),
			Priority:       rapid.IntRange(-1, 5).Draw(t, "rank"),
			PriorityLevels: rapid.IntRange(0, 4).Draw(t, "ranks"),
		}
		random := rapid.Float64Range(0, 0.999).Draw(t, "chance")
		got := r.Delay(random)
		maxDelay := time.Duration((1 + jitterFraction) * float64(maxRetryAfter))
		if got < minRetryAfter || got > maxDelay || r.UntilDeadline > 3*minRetryAfter && got > r.UntilDeadline/3+1 {
			t.Fatalf("%+v: after %v", r, got)
		}
		lessUrgent := r
		lessUrgent.Priority++
		if lessUrgent.Delay(random) < got {
			t.Fatalf("%+v: %v, and one rank less urgent sooner", r, got)
		}
	})
}
