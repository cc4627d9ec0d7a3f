package ratelimit

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// The mean number of slots in a window stays within what an upstream tolerates.
func TestUsableShareWithinTolerance(t *testing.T) {
	for _, entries := range []int{1, 2, 6, 8, 68, 380} {
		for _, rate := range []float64{0.01, 0.3, 0.5, 1, 1.7, 2.4, 5, 20, 100, 1000} {
			part := usableShare(rate, entries)
			meanSlots := part * rate * (window + slotLength).Seconds()
			if tolerated := overshoot*rate*window.Seconds() + burst; meanSlots > tolerated {
				t.Errorf("%d entries, limit %v: %v slots in a window, tolerated %v", entries, rate, meanSlots, tolerated)
			}
			if part < minShare || part > 1 {
				t.Errorf("%d entries, limit %v: usable share %v is out of range", entries, rate, part)
			}
		}
	}
}

// An entry that has just sent a request is blocked for a window, and then has one slot in each
// period.
func TestSlots(t *testing.T) {
	l := &Limiter{}
	for range 2 {
		if !l.TryAcquire(start) || l.ExpectedWait(start) != 0 {
			t.Fatal("requests are blocked without a limit")
		}
	}
	if !l.SetLimit(1, 8, start, 0.5) || l.SetLimit(1.05, 8, start.Add(time.Millisecond), 0.1) {
		t.Error("want a change for the first limit only, not for a similar one")
	}
	period := l.period
	if part := usableShare(1, 8); period != time.Duration(8/part*float64(time.Second)) {
		t.Errorf("period %v", period)
	}
	if l.Weight() != float64(period)/float64(slotLength) || (&Limiter{}).Weight() != 1 {
		t.Errorf("weight %v", l.Weight())
	}
	if wait := l.ExpectedWait(start); wait != window+period/8 {
		t.Errorf("wait %v", wait)
	}
	first := start.Add(window + period/2)
	for _, tt := range []struct {
		at   time.Duration // after the first slot begins
		want bool
	}{
		{-time.Millisecond, false},
		{0, true},
		{time.Millisecond, false}, // the slot is used
		{period - time.Millisecond, false},
		{period + slotLength, false}, // the second slot has ended
		{2*period + slotLength/2, true},
		{2*period + slotLength - time.Millisecond, false},
		{3 * period, true},
	} {
		if got := l.TryAcquire(first.Add(tt.at)); got != tt.want {
			t.Errorf("%v after the first slot: %v", tt.at, got)
		}
	}
}

// A request that was sent less than a window ago delays the slots, also when the limit
// changes. A change of the number of entries changes the period.
func TestLimitChanges(t *testing.T) {
	l := &Limiter{}
	l.SetLimit(2, 8, start, 0)
	if !l.TryAcquire(start) {
		t.Fatal("blocked though no request was sent before")
	}
	later := start.Add(time.Minute)
	l.SetLimit(4, 8, later, 0)
	if !l.TryAcquire(later) {
		t.Error("blocked by a request that was sent a minute before")
	}
	later = later.Add(window / 2)
	l.SetLimit(1, 8, later, 0)
	if l.CanSend(later) || !l.CanSend(later.Add(window/2)) {
		t.Error("after a change of the limit, a request half a window before does not delay the slots by a window")
	}
	period := l.period
	l.SetEntries(8, later, 0.9)
	if l.period != period {
		t.Error("setting the same number of entries changes the period")
	}
	l.SetEntries(80, later, 0)
	if l.period < 10*period {
		t.Errorf("with ten times the entries: period %v, before %v", l.period, period)
	}
}

// Only the response to a request that was sent after the limit was observed ends the limit.
func TestHandleUnlimited(t *testing.T) {
	l := &Limiter{}
	if l.HandleUnlimited(start) {
		t.Error("ended a limit that was not set")
	}
	l.SetLimit(1, 8, start, 0)
	if l.HandleUnlimited(start.Add(-time.Millisecond)) || l.Rate() != 1 {
		t.Error("limit ended by the response to a request that was sent before it was observed")
	}
	if !l.HandleUnlimited(start.Add(time.Second)) || l.Rate() != 0 || !l.CanSend(start.Add(time.Second)) {
		t.Error("limit not ended by the response to a later request")
	}
}

// The latest observation wins, and each change is returned once.
func TestStore(t *testing.T) {
	store := &Store{}
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for i, tt := range []struct {
		rate    float64
		at      int
		changed bool
		want    float64
	}{
		{0, 1, false, 0}, // end of an unknown limit
		{2, 2, true, 2},
		{2.1, 4, false, 2}, // a similar rate: only the time is updated
		{0, 3, false, 2},   // older than the latest observation
		{0, 5, true, 0},
		{2, 4, false, 0},
		{3, 6, true, 3},
	} {
		changes := store.Merge([]Observation{{InstanceID: "a", Rate: tt.rate, ObservedAt: at(tt.at)}}, at(10))
		if len(changes) > 0 != tt.changed || store.Rate("a") != tt.want {
			t.Errorf("step %d: changes %v, limit %v", i, changes, store.Rate("a"))
		}
	}
	select {
	case <-store.Changed():
	default:
		t.Error("no notification of the changes")
	}
	all, count, _ := store.ChangesSince(0, 10)
	if len(all) != 1 || all[0].Rate != 3 {
		t.Errorf("changes %v, want one with rate 3", all)
	}
	if again, _, _ := store.ChangesSince(count, 10); len(again) > 0 {
		t.Errorf("changes returned twice: %v", again)
	}
	store.Merge([]Observation{{InstanceID: "b", Rate: 1, ObservedAt: at(10)}}, at(10+int(limitRetention/time.Second)))
	if store.Rate("a") != 0 || store.Rate("b") != 1 {
		t.Error("an old observation is kept, or a new one is lost")
	}
}

// The number of stored observations is limited; those that changed last are kept.
func TestStoreBound(t *testing.T) {
	s := &Store{}
	for i := range maxObservations + 500 {
		s.Merge([]Observation{{InstanceID: string(rune(i + 1)), Rate: 1, ObservedAt: start}}, start)
	}
	if n := len(s.byInstance); n > maxObservations {
		t.Errorf("%d observations are kept", n)
	}
}

// The longest backoff applies.
func TestBackoff(t *testing.T) {
	b := &Backoff{}
	if b.Remaining(start) != 0 {
		t.Error("the zero value blocks requests")
	}
	b.Extend(start.Add(3 * time.Second))
	b.Extend(start.Add(time.Second))
	if b.Remaining(start) != 3*time.Second || b.Remaining(start.Add(2*time.Second)) != time.Second || b.Remaining(start.Add(3*time.Second)) != 0 {
		t.Errorf("remaining backoff %v at the start, want 3s, and 1s two seconds later", b.Remaining(start))
	}
}
