package quarantine

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
)

// world is a book, and the holds that its judge keeps.
type world struct {
	book   Book
	keeper Keeper
	now    time.Time
	ends   int
}

func newWorld() *world {
	return &world{
		book: Book{
			VM: "vm",
		},
		now: time.Unix(1000, 0),
	}
}

// end lets the requests run for a while at an upstream that ends then.
func (w *world) end(ran time.Duration, requests ...persimmoncross.Digest) {
	w.ends++
	life := fmt.Sprint("u", w.ends)
	var runs []*Run
	for _, d := range requests {
		r := w.book.Begin(d, "s", life, w.now)
		r.Begun(w.now)
		runs = append(runs, r)
	}
	w.now = w.now.Add(ran)
	for _, r := range runs {
		r.Cut(w.now)
	}
	w.book.Ended(life, w.now)
}

// judge returns what is done with a request after some time.
func (w *world) judge(after time.Duration, d persimmoncross.Digest) persimmoncross.Hold {
	w.now = w.now.Add(after)
	cases, _ := w.book.Cases(0, w.now)
	w.keeper.Judge(Merge([][]Case{cases}, 4096), w.now)
	return w.keeper.Hold(d)
}

var (
	guilty = persimmoncross.Digest{1}
	other  = persimmoncross.Digest{2}
)

func TestThreeEndsOfItsOwn(t *testing.T) {
	w := newWorld()
	for i, want := range []persimmoncross.HoldStage{persimmoncross.HoldFree, persimmoncross.HoldWatch, persimmoncross.HoldRefuse} {
		w.end(20*time.Millisecond, guilty, persimmoncross.Digest{9, byte(i)})
		if got := w.judge(time.Second, guilty).Stage; got != want {
			t.Errorf("after %d ends: %v, want %v", i+1, got, want)
		}
	}
	for i := range 3 {
		if got := w.keeper.Hold(persimmoncross.Digest{9, byte(i)}); got.Stage != persimmoncross.HoldFree {
			t.Errorf("one that ran beside it: %v", got)
		}
	}
}

// What runs beside it at every end looks the same; once each runs by itself, it does not.
func TestTwoThatWereAlwaysTogether(t *testing.T) {
	w := newWorld()
	for range 4 {
		w.end(20*time.Millisecond, guilty, other)
	}
	for _, d := range []persimmoncross.Digest{guilty, other} {
		if got := w.judge(time.Second, d).Stage; got != persimmoncross.HoldWatch {
			t.Errorf("%v: %v", d, got)
		}
	}
	w.end(20*time.Millisecond, guilty)
	w.book.Begin(other, "s", "x", w.now).Whole(w.now)
	w.end(20*time.Millisecond, guilty)
	w.book.Begin(other, "s", "x", w.now).Whole(w.now)
	w.book.Begin(other, "s", "x", w.now).Whole(w.now)
	if got := w.judge(time.Second, guilty).Stage; got != persimmoncross.HoldRefuse {
		t.Errorf("the cause: %v", got)
	}
	if got := w.judge(0, other).Stage; got != persimmoncross.HoldFree {
		t.Errorf("the other: %v", got)
	}
}

// Each of these has three ends and more, and is no cause.
func TestNotTheCause(t *testing.T) {
	tests := []struct {
		what string
		play func(w *world)
	}{
		{
			what: "it came to its end before and between",
			play: func(w *world) {
				for range 5 {
					w.book.Begin(other, "s", "x", w.now).Whole(w.now)
					w.end(20*time.Millisecond, other)
				}
			},
		},
		{
			what: "a rack is lost under it",
			play: func(w *world) {
				var runs []*Run
				for i := range 6 {
					r := w.book.Begin(other, "s", fmt.Sprint("rack", i), w.now)
					r.Begun(w.now)
					runs = append(runs, r)
				}
				w.now = w.now.Add(time.Second)
				for i, r := range runs {
					w.now = w.now.Add(10 * time.Millisecond)
					r.Cut(w.now)
					w.book.Ended(fmt.Sprint("rack", i), w.now)
				}
			},
		},
		{
			what: "it runs for long at many others meanwhile",
			play: func(w *world) {
				for i := range 12 {
					w.book.Begin(other, "s", fmt.Sprint("long", i), w.now).Begun(w.now)
				}
				for range 4 {
					w.end(time.Second, other)
				}
			},
		},
		{
			what: "one that is refused ran at all of them",
			play: func(w *world) {
				for range 3 {
					w.end(20*time.Millisecond, guilty)
					w.judge(time.Second, guilty)
				}
				for range 4 {
					w.end(20*time.Millisecond, guilty, other)
				}
			},
		},
	}
	for _, tt := range tests {
		w := newWorld()
		tt.play(w)
		if got := w.judge(time.Second, other); got.Stage == persimmoncross.HoldRefuse {
			t.Errorf("%s: %+v", tt.what, got)
		}
	}
}

// A refusal ends when no copy comes, and when a trial comes to its end; a trial for
// which no copy comes gives its upstream back.
func TestRefusalEnds(t *testing.T) {
	refused := func() *world {
		w := newWorld()
		for range 3 {
			w.end(20*time.Millisecond, guilty)
		}
		if got := w.judge(time.Second-settle, guilty); got.Stage != persimmoncross.HoldWatch {
			t.Fatalf("others may know more of these ends: %+v", got)
		}
		if got := w.judge(settle, guilty); got.Stage != persimmoncross.HoldRefuse {
			t.Fatalf("%+v", got)
		}
		return w
	}
	quiet := refused()
	if got := quiet.judge(quietTime-2*time.Second, guilty).Stage; got != persimmoncross.HoldRefuse {
		t.Errorf("before the time: %v", got)
	}
	if got := quiet.judge(3*time.Second, guilty).Stage; got != persimmoncross.HoldFree {
		t.Errorf("after it: %v", got)
	}

	tried := refused()
	tried.now = tried.now.Add(trialAfter[0])
	tried.book.Asked(guilty, "s", tried.now)
	h := tried.judge(0, guilty)
	if h.Trial != "vm" || h.Try != 1 || !h.Apart() {
		t.Fatalf("%+v", h)
	}
	idle := tried.judge(trialWait, guilty)
	if idle.Apart() || idle.Stage != persimmoncross.HoldRefuse {
		t.Errorf("no copy came: %+v", idle)
	}
	tried.now = tried.now.Add(trialAfter[0])
	tried.book.Asked(guilty, "s", tried.now)
	if h = tried.judge(0, guilty); h.Trial != "vm" || h.Try != 1 {
		t.Fatalf("%+v", h)
	}
	c := &Copy{
		Digest:  guilty,
		Service: "s",
		Book:    &tried.book,
	}
	if got := c.Stage(h, false); got != persimmoncross.HoldWatch {
		t.Fatalf("the trial's copy: %v", got)
	}
	c.Begin("u", tried.now).Whole(tried.now.Add(time.Millisecond))
	if got := tried.judge(time.Second, guilty).Stage; got != persimmoncross.HoldFree {
		t.Errorf("it came to its end: %v", got)
	}
	if got := tried.judge(time.Second, guilty).Stage; got != persimmoncross.HoldFree {
		t.Errorf("ends of before count again: %v", got)
	}

	failed := refused()
	for try, pause := range trialAfter[:3] {
		failed.now = failed.now.Add(pause)
		failed.book.Asked(guilty, "s", failed.now)
		if h := failed.judge(0, guilty); h.Trial != "vm" || h.Try != try+1 {
			t.Fatalf("trial %d: %+v", try+1, h)
		}
		failed.end(20*time.Millisecond, guilty)
		if h := failed.judge(time.Second, guilty); h.Trial != "" || h.Stage != persimmoncross.HoldRefuse {
			t.Fatalf("after trial %d: %+v", try+1, h)
		}
	}
}

// Thousands of requests at once, each under ends of its own: what is kept and told
// stays within its bounds, and the latest are known.
func TestThousandsAtOnce(t *testing.T) {
	w := newWorld()
	for i := range 5000 {
		d := persimmoncross.Digest{7, byte(i), byte(i >> 8)}
		for range 3 {
			w.end(time.Millisecond, d)
		}
		w.book.Begin(persimmoncross.Digest{8, byte(i), byte(i >> 8)}, "s", "x", w.now).Whole(w.now)
	}
	cases, _ := w.book.Cases(0, w.now)
	if len(cases) > mostCases || len(w.book.cases) > mostCases || len(w.book.gone) > 20_000 || len(w.book.whole[0]) > mostWhole || len(w.book.runs) > 0 {
		t.Errorf("%d cases, %d gone, %d whole, %d runs", len(cases), len(w.book.gone), len(w.book.whole[0]), len(w.book.runs))
	}
	w.judge(time.Second, guilty)
	if n := len(w.keeper.Holds()); n == 0 || n > mostHolds {
		t.Errorf("%d holds", n)
	}
	last := persimmoncross.Digest{7, byte(4999 & 0xff), byte(4999 >> 8)}
	if got := w.keeper.Hold(last).Stage; got != persimmoncross.HoldRefuse {
		t.Errorf("the latest: %v", got)
	}
}

// What a judgement costs by the number of cases that are told.
func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		w := newWorld()
		var cases []Case
		for i := range n {
			cases = append(cases, Case{
				Digest:  persimmoncross.Digest{byte(i), byte(i >> 8)},
				Service: "s",
				Ends: []End{{
					Life: fmt.Sprint("u", i/64),
					At:   w.now,
					Ran:  time.Duration(i) * time.Millisecond,
				}},
				Asked: w.now,
			})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				Judge(Merge([][]Case{cases}, 4096), nil, w.now)
			}
		})
	}
}
