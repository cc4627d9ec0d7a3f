package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// When a refused caller comes back, by what is known.
func TestComeBack(t *testing.T) {
	tests := []struct {
		what   string
		back   ComeBack
		chance float64
		want   time.Duration
	}{
		{"an outage that has just begun", ComeBack{}, 0, unknownReturn},
		{"one that has lasted a second", ComeBack{Lasted: time.Second}, 0, 1600 * time.Millisecond},
		{"the last of those refused with it", ComeBack{Lasted: 1400 * time.Millisecond}, 0.999, 2999 * time.Millisecond},
		{"a very long one", ComeBack{Lasted: time.Hour}, 0, mostReturn},
		{"a queue that is known", ComeBack{Expected: 400 * time.Millisecond, Lasted: time.Hour}, 0, 400 * time.Millisecond},
		{"a queue that is hardly there", ComeBack{Expected: time.Millisecond}, 0, leastReturn},
		{"the least urgent after a queue", ComeBack{Expected: 900 * time.Millisecond, Rank: 2, Ranks: 3}, 0, 1200 * time.Millisecond},
		{"an unknown rank", ComeBack{Expected: 900 * time.Millisecond, Rank: 9, Ranks: 3}, 0, 1200 * time.Millisecond},
		{"a caller with little time", ComeBack{Lasted: 2 * time.Second, Left: 3 * time.Second}, 0.5, time.Second},
		{"a caller with none", ComeBack{Lasted: 2 * time.Second, Left: 10 * time.Millisecond}, 0.5, leastReturn},
		{"a clock that jumped back", ComeBack{Lasted: -time.Hour, Left: -time.Hour}, 0.5, 750 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := tt.back.After(tt.chance).Round(time.Millisecond); got != tt.want.Round(time.Millisecond) {
			t.Errorf("%s: after %v, want %v", tt.what, got, tt.want)
		}
	}
}

// Whatever is known, a caller waits neither no time nor more than its part, and
// the more urgent of two never longer.
func TestComeBackBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Minute)).Draw(t, name))
		}
		c := ComeBack{
			Expected: span("expected"),
			Lasted:   span("lasted"),
			Left:     span("left"),
			Rank:     rapid.IntRange(-1, 5).Draw(t, "rank"),
			Ranks:    rapid.IntRange(0, 4).Draw(t, "ranks"),
		}
		chance := rapid.Float64Range(0, 0.999).Draw(t, "chance")
		got := c.After(chance)
		most := time.Duration((1 + spreadPart) * float64(mostReturn))
		if got < leastReturn || got > most || c.Left > 3*leastReturn && got > c.Left/3+1 {
			t.Fatalf("%+v: after %v", c, got)
		}
		less := c
		less.Rank++
		if less.After(chance) < got {
			t.Fatalf("%+v: %v, and one rank less urgent sooner", c, got)
		}
	})
}
