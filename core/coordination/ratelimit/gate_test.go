package ratelimit

import (
	"testing"
	"time"
)

var began = time.Unix(1000, 0)

// The slots of all entries together stay within what is borne, whatever their phases.
func TestPartIsWithinWhatIsBorne(t *testing.T) {
	for _, entries := range []int{1, 2, 6, 8, 68, 380} {
		for _, rate := range []float64{0.01, 0.3, 0.5, 1, 1.7, 2.4, 5, 20, 100, 1000} {
			p := part(rate, entries)
			mean := p * rate * (window + open).Seconds()
			if borne := over*rate*window.Seconds() + slack; mean > borne {
				t.Errorf("%d entries, limit %v: %v slots in a window, borne %v", entries, rate, mean, borne)
			}
			if p < leastPart || p > 1 {
				t.Errorf("%d entries, limit %v: a part of %v", entries, rate, p)
			}
		}
	}
}

// The gate of an entry that has just sent a request is shut for a window, and then open once a
// pause, for as long as a slot lasts.
func TestSlots(t *testing.T) {
	g := &Gate{}
	for range 2 {
		if !g.Take(began) || g.Wait(began) != 0 {
			t.Fatal("without a limit requests are held back")
		}
	}
	if !g.Name(1, 8, began, 0.5) || g.Name(1.05, 8, began.Add(time.Millisecond), 0.1) {
		t.Error("a limit is news once")
	}
	pause := g.pause
	if part := part(1, 8); pause != time.Duration(8/part*float64(time.Second)) {
		t.Errorf("pause %v", pause)
	}
	if g.Weight() != float64(pause)/float64(open) || (&Gate{}).Weight() != 1 {
		t.Errorf("weight %v", g.Weight())
	}
	if wait := g.Wait(began); wait != window+pause/8 {
		t.Errorf("wait %v", wait)
	}
	first := began.Add(window + pause/2)
	for _, tt := range []struct {
		at   time.Duration // after the first slot begins
		want bool
	}{
		{-time.Millisecond, false},
		{0, true},
		{time.Millisecond, false}, // it is used
		{pause - time.Millisecond, false},
		{pause + open, false}, // it is over
		{2*pause + open/2, true},
		{2*pause + open - time.Millisecond, false},
		{3 * pause, true},
	} {
		if got := g.Take(first.Add(tt.at)); got != tt.want {
			t.Errorf("%v after the first slot: %v", tt.at, got)
		}
	}
}

// An entry that has sent nothing lately begins at once, one that has waits a window from then,
// also where the limit changes; the number of entries changes the pause.
func TestLimitChanges(t *testing.T) {
	g := &Gate{}
	g.Name(2, 8, began, 0)
	if !g.Take(began) {
		t.Fatal("an entry that has sent nothing is shut")
	}
	later := began.Add(time.Minute)
	g.Name(4, 8, later, 0)
	if !g.Take(later) {
		t.Error("shut for what was sent a minute before")
	}
	later = later.Add(window / 2)
	g.Name(1, 8, later, 0)
	if g.Allows(later) || !g.Allows(later.Add(window/2)) {
		t.Error("what was sent half a window before is forgotten with another limit")
	}
	pause := g.pause
	g.Share(8, later, 0.9)
	if g.pause != pause {
		t.Error("the same number of entries changes the slots")
	}
	g.Share(80, later, 0)
	if g.pause < 10*pause {
		t.Errorf("ten times the entries: pause %v, before %v", g.pause, pause)
	}
}

// An answer lifts a limit if its request was sent after the limit was named.
func TestWhatLiftsALimit(t *testing.T) {
	g := &Gate{}
	if g.Answered(began) {
		t.Error("there was none")
	}
	g.Name(1, 8, began, 0)
	if g.Answered(began.Add(-time.Millisecond)) || g.Rate() != 1 {
		t.Error("lifted by an answer to a request that was sent before")
	}
	if !g.Answered(began.Add(time.Second)) || g.Rate() != 0 || !g.Allows(began.Add(time.Second)) {
		t.Error("not lifted")
	}
}

// A board keeps what is latest, and tells what is news once.
func TestBoard(t *testing.T) {
	b := &Board{}
	at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }
	for i, tt := range []struct {
		rate float64
		at   int
		news bool
		rest float64
	}{
		{0, 1, false, 0}, // nothing was named
		{2, 2, true, 2},
		{2.1, 4, false, 2}, // about the same: its time is kept
		{0, 3, false, 2},   // of before that
		{0, 5, true, 0},
		{2, 4, false, 0},
		{3, 6, true, 3},
	} {
		news := b.Take([]Fact{{Life: "a", Rate: tt.rate, At: at(tt.at)}}, at(10))
		if len(news) > 0 != tt.news || b.Of("a") != tt.rest {
			t.Errorf("step %d: news %v, limit %v", i, news, b.Of("a"))
		}
	}
	select {
	case <-b.News():
	default:
		t.Error("no signal of news")
	}
	all, count, _ := b.Since(0, 10)
	if len(all) != 1 || all[0].Rate != 3 {
		t.Errorf("told %v", all)
	}
	if again, _, _ := b.Since(count, 10); len(again) > 0 {
		t.Errorf("told again: %v", again)
	}
	b.Take([]Fact{{Life: "b", Rate: 1, At: at(10)}}, at(10+int(namedAge/time.Second)))
	if b.Of("a") != 0 || b.Of("b") != 1 {
		t.Error("what is old is kept, or what is new forgotten")
	}
}

// A board of thousands of lives keeps those that were news last.
func TestBoardIsBounded(t *testing.T) {
	b := &Board{}
	for i := range mostFacts + 500 {
		b.Take([]Fact{{Life: string(rune(i + 1)), Rate: 1, At: began}}, began)
	}
	if n := len(b.facts); n > mostFacts {
		t.Errorf("%d facts are kept", n)
	}
}

// The longest rest that was asked for stands.
func TestRest(t *testing.T) {
	r := &Rest{}
	if r.Left(began) != 0 {
		t.Error("rests unasked")
	}
	r.Ask(began.Add(3 * time.Second))
	r.Ask(began.Add(time.Second))
	if r.Left(began) != 3*time.Second || r.Left(began.Add(2*time.Second)) != time.Second || r.Left(began.Add(3*time.Second)) != 0 {
		t.Errorf("left: %v", r.Left(began))
	}
}
