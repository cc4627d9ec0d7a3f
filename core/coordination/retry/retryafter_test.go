package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetryAfter(t *testing.T) {
	tests := []struct {
		name   string
		params RetryAfter
		random float64
		want   time.Duration
	}{
		{"outage that has just begun", RetryAfter{}, 0, unknownOutageDelay},
		{"outage of one second", RetryAfter{OutageAge: time.Second}, 0, 1600 * time.Millisecond},
		{"maximum jitter", RetryAfter{OutageAge: 1400 * time.Millisecond}, 0.999, 2999 * time.Millisecond},
		{"very long outage", RetryAfter{OutageAge: time.Hour}, 0, maxRetryAfter},
		{"known expected wait", RetryAfter{ExpectedWait: 400 * time.Millisecond, OutageAge: time.Hour}, 0, 400 * time.Millisecond},
		{"very short expected wait", RetryAfter{ExpectedWait: time.Millisecond}, 0, minRetryAfter},
		{"known expected wait, least urgent request", RetryAfter{ExpectedWait: 900 * time.Millisecond, Priority: 2, PriorityLevels: 3}, 0, 1200 * time.Millisecond},
		{"priority out of range", RetryAfter{ExpectedWait: 900 * time.Millisecond, Priority: 9, PriorityLevels: 3}, 0, 1200 * time.Millisecond},
		{"caller with a short deadline", RetryAfter{OutageAge: 2 * time.Second, UntilDeadline: 3 * time.Second}, 0.5, time.Second},
		{"caller with hardly any time left", RetryAfter{OutageAge: 2 * time.Second, UntilDeadline: 10 * time.Millisecond}, 0.5, minRetryAfter},
		{"negative times after a clock jump", RetryAfter{OutageAge: -time.Hour, UntilDeadline: -time.Hour}, 0.5, 750 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := tt.params.Delay(tt.random).Round(time.Millisecond); got != tt.want.Round(time.Millisecond) {
			t.Errorf("%s: delay %v, want %v", tt.name, got, tt.want)
		}
	}
}

// For any inputs, the delay stays within its minimum, its maximum and the fraction of the
// time until the deadline, and a more urgent request never waits longer.
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
			t.Fatalf("%+v: delay %v is out of bounds", r, got)
		}
		lessUrgent := r
		lessUrgent.Priority++
		if lessUrgent.Delay(random) < got {
			t.Fatalf("%+v: delay %v, and less for the next less urgent priority", r, got)
		}
	})
}
