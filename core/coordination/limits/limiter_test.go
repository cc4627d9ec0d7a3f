package limits

import (
	"testing"
	"time"

	"persimmoncross"
)

// fakeClock is a clock that the test sets.
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

// A caller that retries after the Retry-After delay must be admitted; a caller that retries
// earlier must not.
func TestRetryAfterMatchesRateLimit(t *testing.T) {
	for _, entries := range []int{1, 4} {
		l, clock := newLimiter(entries)
		quota := Quota{
			Rate:        8,
			Burst:       8,
			Concurrency: 1000,
		}
		admitted := 0
		var refusal *persimmoncross.Refusal
		for refusal == nil {
			if _, refusal = l.Admit("o", quota); refusal == nil {
				admitted++
			}
		}
		if admitted != 8/entries {
			t.Errorf("%d entries: %d requests admitted at once", entries, admitted)
		}
		clock.now = clock.now.Add(refusal.RetryAfter - time.Millisecond)
		if _, early := l.Admit("o", quota); early == nil {
			t.Errorf("%d entries: request admitted before the Retry-After delay", entries)
		}
		clock.now = clock.now.Add(time.Millisecond)
		if _, late := l.Admit("o", quota); late != nil {
			t.Errorf("%d entries: request refused after the Retry-After delay: %v", entries, late)
		}
	}
}

func TestFairShare(t *testing.T) {
	quota := Quota{
		Rate:        1e6,
		Burst:       1e6,
		Concurrency: 1e6,
		PoolName:    "m",
		Capacity:    100,
	}
	fill := func(l *Limiter, organisation string) (n int, release func()) {
		for {
			next, refusal := l.Admit(organisation, quota)
			if refusal != nil {
				return n, release
			}
			n++
			release = next
		}
	}
	t.Run("alone", func(t *testing.T) {
		l, _ := newLimiter(1)
		if n, _ := fill(l, "big"); n != maxSoleOrganisationLoad*100 {
			t.Errorf("%d requests admitted", n)
		}
	})
	t.Run("with another organisation", func(t *testing.T) {
		l, _ := newLimiter(1)
		l.Admit("small", quota)
		if n, _ := fill(l, "big"); n != fairShareThreshold*100-1 {
			t.Errorf("%d requests of big admitted", n)
		}
		if n, _ := fill(l, "small"); n != 49 {
			t.Errorf("%d more requests of small admitted, want 49, up to its fair share", n)
		}
	})
	t.Run("with requests at other entries", func(t *testing.T) {
		l, _ := newLimiter(2)
		l.SetPeerUsage(map[string]map[string]int{
			"m": {
				"small": 1,
				"big":   69,
			},
		})
		if _, refusal := l.Admit("big", quota); refusal == nil || refusal.Code != persimmoncross.CodeOverloaded {
			t.Errorf("got refusal %v of big, want code overloaded", refusal)
		}
		if _, refusal := l.Admit("small", quota); refusal != nil {
			t.Errorf("small was refused: %v", refusal)
		}
	})
	t.Run("release frees a place", func(t *testing.T) {
		l, _ := newLimiter(1)
		l.Admit("small", quota)
		_, leave := fill(l, "big")
		leave()
		leave() // has no effect the second time
		if _, refusal := l.Admit("big", quota); refusal != nil {
			t.Error(refusal)
		}
		if _, refusal := l.Admit("big", quota); refusal == nil {
			t.Error("releasing one request twice freed two places")
		}
	})
}
