package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Paces of the simulated machines, as multiples of the usual.
const (
	fastPace       = 0.7
	slowPace       = 1.75
	neighbourPace  = 2.5  // factor while a neighbour uses the machine
	neighbourShare = 0.15 // of the time
)

// play records a machine's pace every interval until the end. A neighbour comes every 600 ms on
// average and stays for tenths of a second. It returns the changes of the lasting pace.
func play(p *Pace, pace float64, start time.Time, duration, interval time.Duration, seed uint64) []Change {
	r := rand.New(rand.NewPCG(seed, 1))
	var changes []Change
	busyUntil, nextBusy := start, start
	for now := start; now.Before(start.Add(duration)); now = now.Add(interval) {
		if !now.Before(nextBusy) {
			busyUntil = now.Add(time.Duration(neighbourShare * 600 * (0.5 + r.Float64()) * float64(time.Millisecond)))
			nextBusy = now.Add(time.Duration(600 * (0.5 + r.Float64()) * float64(time.Millisecond)))
		}
		factor := 1.0
		if now.Before(busyUntil) {
			factor = neighbourPace
		}
		if c, changed := p.Record(pace*factor, now); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// Guards against homes that move with every neighbour: each move costs the prefill of the home's
// prefixes again.
func TestLastingPaceIgnoresNeighbours(t *testing.T) {
	for seed := range uint64(20) {
		for _, pace := range []float64{fastPace, slowPace} {
			p := &Pace{}
			changes := play(p, pace, time.Unix(100, 0), time.Minute, 250*time.Millisecond, seed)
			if len(changes) != 1 || changes[0].Was != 0 {
				t.Errorf("seed %d, pace %v: lasting pace changed %+v, want only the first classification", seed, pace, changes)
			}
			if got := p.Lasting() / pace; got < 0.75 || got > 1.7 {
				t.Errorf("seed %d, pace %v: lasting pace %v", seed, pace, p.Lasting())
			}
		}
	}
}

// Guards against a lasting change that moves homes class by class, which costs the prefill of the
// prefixes several times, and against one that is not noticed.
func TestLastingChangeMovesHomesOnce(t *testing.T) {
	for seed := range uint64(20) {
		p := &Pace{}
		start := time.Unix(100, 0)
		play(p, fastPace, start, 20*time.Second, 250*time.Millisecond, seed)
		before := p.Lasting()
		changes := play(p, slowPace, start.Add(20*time.Second), 40*time.Second, 250*time.Millisecond, seed+100)
		if len(changes) != 1 || changes[0].Was != before {
			t.Errorf("seed %d: changes %+v, want one", seed, changes)
		}
		if ratio := p.Lasting() / before; ratio < 1.7 || ratio > 3.6 {
			t.Errorf("seed %d: lasting pace is %.2f times the one before, want about 2.5", seed, ratio)
		}
	}
}

// Guards against homes that move when an upstream is slow for two seconds, in which single
// placements leave it already.
func TestBriefSlownessKeepsHomes(t *testing.T) {
	p := &Pace{}
	start := time.Unix(100, 0)
	play(p, 1, start, 20*time.Second, 250*time.Millisecond, 3)
	before := p.Lasting()
	now := start.Add(20 * time.Second)
	for range 8 {
		p.Record(4, now)
		now = now.Add(250 * time.Millisecond)
	}
	if got := p.Brief(1, now); got < 2 {
		t.Errorf("brief pace after 2 s at 4: %v, want at least 2", got)
	}
	play(p, 1, now, 10*time.Second, 250*time.Millisecond, 4)
	if p.Lasting() != before {
		t.Errorf("lasting pace %v after 2 s of slowness, want %v", p.Lasting(), before)
	}
}

// Guards against one report that counts twice, because it reaches an entry directly and by way of
// controllers, which round its age.
func TestReportCountsOnce(t *testing.T) {
	p := &Pace{}
	now := time.Unix(100, 0)
	p.Record(1, now)
	before := *p
	for _, rounding := range []time.Duration{0, 10 * time.Millisecond, minReportInterval - 1} {
		if p.Record(4, now.Add(rounding)); *p != before {
			t.Errorf("a report %v after the last one was counted", rounding)
		}
	}
	if p.Record(4, now.Add(minReportInterval)); *p == before {
		t.Error("a later report was not counted")
	}
}

// Guards against an upstream that gets no requests for good because its last report was slow.
func TestBriefPaceExpires(t *testing.T) {
	p := &Pace{}
	now := time.Unix(100, 0)
	if got := p.Brief(1, now); got != 0 {
		t.Errorf("pace without reports: %v, want 0", got)
	}
	for range 20 {
		p.Record(4, now)
		now = now.Add(250 * time.Millisecond)
	}
	if got := p.Brief(1, now); got < 3 {
		t.Errorf("pace at once: %v", got)
	}
	if got := p.Brief(1, now.Add(20*time.Second)); got > 1.1 {
		t.Errorf("pace without reports for 20 s: %v, want that of the others", got)
	}
	// A report that is not newer changes nothing.
	before := *p
	if _, changed := p.Record(0.5, now.Add(-time.Second)); changed || *p != before {
		t.Error("an older report was counted")
	}
}

// Guards against one odd answer that keeps requests away from an upstream which reports no pace,
// and against one that turned slow and is not noticed.
func TestMeasuredPace(t *testing.T) {
	m := &Measured{}
	now := time.Unix(100, 0)
	if got := m.Ratio(now); got != 1 {
		t.Errorf("ratio without answers: %v, want 1", got)
	}
	m.Record(4, now)
	if got := m.Ratio(now); got > 1.5 {
		t.Errorf("ratio after one answer: %v, want at most 1.5", got)
	}
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		m.Record(4, now)
	}
	if got := m.Ratio(now); got < 2 {
		t.Errorf("ratio after eleven answers: %v, want at least 2", got)
	}
	if got := m.Ratio(now.Add(30 * time.Second)); got > 1.05 {
		t.Errorf("ratio after 30 s without answers: %v, want 1", got)
	}
}

// Guards against waits that are computed with a hold time far from the service's own.
func TestServiceMeans(t *testing.T) {
	s := &Service{}
	if got := s.HoldTime(); got != priorHoldTime {
		t.Errorf("hold time without answers: %v", got)
	}
	for range 100 {
		s.RecordHold(15 * time.Millisecond)
		s.RecordOutput(100, 400)
	}
	if got := s.HoldTime(); got < 14*time.Millisecond || got > 16*time.Millisecond {
		t.Errorf("hold time %v, want 15ms", got)
	}
	for _, tt := range []struct {
		name              string
		hint, limit, want int
	}{
		{"a hint", 30, 400, 30},
		{"a hint above the limit", 900, 400, 100},
		{"no hint", 0, 400, 100},
		{"no limit", 0, 0, 0},
	} {
		if got := s.OutputTokens(tt.hint, tt.limit); got != tt.want {
			t.Errorf("%s: %d tokens expected, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a byte that overflows: a full engine or a very slow upstream would look free.
func TestEncodings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.IntRange(0, math.MaxInt32).Draw(t, "a"), rapid.IntRange(0, math.MaxInt32).Draw(t, "b")
		if a > b {
			a, b = b, a
		}
		if EncodePace(a) > EncodePace(b) || EncodeHeld(uint64(a)) > EncodeHeld(uint64(b)) {
			t.Fatalf("the encodings of %d and %d are not in order", a, b)
		}
		pace := rapid.IntRange(2, paceUnit*maxEncodedValue).Draw(t, "pace")
		if got := DecodePace(EncodePace(pace)); got < pace-paceUnit || got > pace+paceUnit {
			t.Fatalf("pace %d becomes %d", pace, got)
		}
		held := rapid.Uint64Range(minEncodedHeld, 50_000_000).Draw(t, "held")
		got := DecodeHeld(EncodeHeld(held))
		if float64(got) < 0.998*float64(held) || float64(got) > 1.065*float64(held) {
			t.Fatalf("%d tokens become %d", held, got)
		}
		if again := DecodeHeld(EncodeHeld(got)); again != got {
			t.Fatalf("%d tokens become %d at the next controller", got, again)
		}
	})
	if EncodePace(0) != 0 || EncodePace(-1) != 0 || EncodeHeld(0) != 0 || DecodeHeld(0) != 0 {
		t.Error("what is not known is not 0")
	}
	if EncodePace(math.MaxInt) != maxEncodedValue || EncodeHeld(math.MaxUint64) != maxEncodedValue {
		t.Error("a large value is not the largest byte")
	}
}

// Guards against a legal request that no engine ever gets.
func TestFits(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		memory, held, tokens int
		want                 bool
	}{
		{"an unknown memory", 0, 1000, 1000, true},
		{"within the margin", 1000, 850, 50, true},
		{"beyond the margin", 1000, 851, 50, false},
		{"with room for two more", 1000, 400, 200, true},
		{"without room for two more", 1000, 401, 200, false},
		{"alone, larger than the memory", 1000, 0, 2000, true},
	} {
		if got := Fits(tt.memory, tt.held, tt.tokens); got != tt.want {
			t.Errorf("%s: fits = %v", tt.name, got)
		}
	}
}
