package limits

import (
	"testing"
	"time"

	"persimmoncross"
)

// fakeClock moves when the test says so.
type fakeClock struct {
	persimmoncross.SystemClock
	now time.Time
}

// Now implements [persimmoncross.Clock].
func (c *fakeClock) Now() time.Time { return c.now }

func newLimiter(entries int) (*Limiter, *fakeClock) {
	c := &fakeClock{
		now: time.Unix(1000, 0),
	}
	return &Limiter{
		Clock:       c,
		LiveEntries: func() int { return entries },
	}, c
}

// A caller who comes back when it was told to gets in, and not before.
func TestRetryAfterMatchesRateLimit(t *testing.T) {
	for _, entries := range []int{1, 4} {
		l, clock := newLimiter(entries)
		b := Quota{
			Rate:        8,
			Burst:       8,
			Concurrency: 1000,
		}
		admitted := 0
		var refusal *persimmoncross.Refusal
		for refusal == nil {
			if _, refusal = l.Admit("o", b); refusal == nil {
				admitted++
			}
		}
		if admitted != 8/entries {
			t.Errorf("%d entries: %d admitted at once", entries, admitted)
		}
		clock.now = clock.now.Add(refusal.RetryAfter - time.Millisecond)
		if _, early := l.Admit("o", b); early == nil {
			t.Errorf("%d entries: admitted too early", entries)
		}
		clock.now = clock.now.Add(time.Millisecond)
		if _, late := l.Admit("o", b); late != nil {
			t.Errorf("%d entries: refused at the time it was told: %v", entries, late)
		}
	}
}

func TestFairShare(t *testing.T) {
	b := Quota{
		Rate:        1e6,
		Burst:       1e6,
		Concurrency: 1e6,
		PoolName:    "m",
		Capacity:    100,
	}
	fill := func(l *Limiter, organisation string) (n int, leave func()) {
		for {
			next, refusal := l.Admit(organisation, b)
			if refusal != nil {
				return n, leave
			}
			n++
			leave = next
		}
	}
	t.Run("alone", func(t *testing.T) {
		l, _ := newLimiter(1)
		if n, _ := fill(l, "big"); n != maxSoleOrganisationLoad*100 {
			t.Errorf("%d admitted", n)
		}
	})
	t.Run("beside another", func(t *testing.T) {
		l, _ := newLimiter(1)
		l.Admit("small", b)
		if n, _ := fill(l, "big"); n != fairShareThreshold*100-1 {
			t.Errorf("%d of big admitted", n)
		}
		if n, _ := fill(l, "small"); n != 49 {
			t.Errorf("%d more of small admitted, want up to its part", n)
		}
	})
	t.Run("by what the others run", func(t *testing.T) {
		l, _ := newLimiter(2)
		l.SetPeerUsage(map[string]map[string]int{
			"m": {
				"small": 1,
				"big":   69,
			},
		})
		if _, refusal := l.Admit("big", b); refusal == nil || refusal.Code != persimmoncross.CodeOverloaded {
			t.Errorf("big: %v", refusal)
		}
		if _, refusal := l.Admit("small", b); refusal != nil {
			t.Errorf("small: %v", refusal)
		}
	})
	t.Run("places come back", func(t *testing.T) {
		l, _ := newLimiter(1)
		l.Admit("small", b)
		_, leave := fill(l, "big")
		leave()
		leave() // ends it once only
		if _, refusal := l.Admit("big", b); refusal != nil {
			t.Error(refusal)
		}
		if _, refusal := l.Admit("big", b); refusal == nil {
			t.Error("one place came back twice")
		}
	})
}
