package retry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedAttempt is an attempt under way.
type simulatedAttempt struct {
	request int
	sentAt  time.Time
}

// Guards against retries that count when they are sent and arrive later, several windows' worth at once.
func TestLateArrivalsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.9).Draw(t, "share")
		b := &Budget{
			Window:        time.Second,
			BaseAllowance: float64(rapid.IntRange(0, 5).Draw(t, "spare")),
		}
		const requestInterval = 10 * time.Millisecond
		now := time.Unix(100, 0)
		var all []*Attempts
		var sent []time.Time // requests
		var underWay []simulatedAttempt
		arrivals := map[int][]time.Time{}
		deliver := func(n int) {
			a := underWay[n]
			underWay = slices.Delete(underWay, n, n+1)
			delay := time.Duration(rapid.Int64Range(0, int64(now.Sub(a.sentAt))).Draw(t, "delay"))
			arrivals[a.request] = append(arrivals[a.request], a.sentAt.Add(delay))
			all[a.request].Arrived(now)
		}
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(requestInterval)
			b.RecordRequest(share, now)
			sent = append(sent, now)
			all = append(all, &Attempts{Budget: b})
			for range rapid.IntRange(0, 3).Draw(t, "attempts") {
				n := max(len(all)-1-rapid.IntRange(0, 20).Draw(t, "back"), 0)
				if all[n].TakeRetry(now) {
					all[n].Send()
					underWay = append(underWay, simulatedAttempt{
						request: n,
						sentAt:  now,
					})
				}
			}
			// All that silent upstreams were sent arrives at once, in any order.
			if !rapid.Bool().Draw(t, "silent") {
				for len(underWay) > 0 {
					deliver(rapid.IntRange(0, len(underWay)-1).Draw(t, "next"))
				}
			}
		}
		var repeated []time.Time
		for _, times := range arrivals {
			slices.SortFunc(times, time.Time.Compare)
			repeated = append(repeated, times[1:]...)
		}
		for _, at := range repeated {
			checkWindow(t, b, share, sent, repeated, at)
			checkWindow(t, b, share, sent, repeated, at.Add(-b.Window))
		}
	})
}

// A retry whose attempt is not sent serves the next attempt, and those that no attempt needs are given back.
func TestUnusedRetriesAreReleased(t *testing.T) {
	now := time.Unix(100, 0)
	b := &Budget{
		Window:        time.Second,
		BaseAllowance: 2,
	}
	a := &Attempts{Budget: b}
	a.Send()
	for range 5 { // attempts that find no connection
		if !a.TakeRetry(now) {
			t.Fatal("an attempt that was not sent used up a retry")
		}
		a.Send()
		a.NotSent()
	}
	a.End()
	if b.Reserved() != 0 || b.Remaining(now) != 2 || !a.Done() {
		t.Errorf("%d retries are reserved, %g left, want 0 and 2", b.Reserved(), b.Remaining(now))
	}
	a = &Attempts{Budget: b}
	for range 2 { // as in a cascade, whose steps need no retry
		a.Send()
		a.Arrived(now)
	}
	a.TakeRetry(now)
	a.End()
	if b.Reserved() != 0 || !a.Done() {
		t.Errorf("%d retries are reserved without an attempt, want 0", b.Reserved())
	}
	a = &Attempts{Budget: b}
	a.Send()
	a.TakeRetry(now)
	a.Send()
	a.End()
	a.Arrived(now)
	if b.Reserved() != 1 {
		t.Errorf("%d retries are reserved for an attempt that may arrive, want 1", b.Reserved())
	}
	if a.Arrived(now); b.Reserved() != 0 || b.Remaining(now) != 1 || !a.Done() {
		t.Errorf("%d retries are reserved, %g left, want 0 and 1", b.Reserved(), b.Remaining(now))
	}
}
