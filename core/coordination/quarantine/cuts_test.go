package quarantine

import (
	"testing"
	"time"

	"persimmoncross"
)

// What tells that an upstream has ended, and what does not: a refused connection, or a
// later life in its place, after answers broke off and nothing was heard of it since.
func TestCrashDetection(t *testing.T) {
	const instanceID = "u"
	type step struct {
		after time.Duration
		do    func(b *Book, now time.Time)
	}
	begin := func(b *Book, d persimmoncross.Digest, now time.Time) *Run { return b.Begin(d, "s", instanceID, now) }
	disconnectAfter := func(runTime time.Duration) func(b *Book, now time.Time) {
		return func(b *Book, now time.Time) { begin(b, crasher, now.Add(-runTime)).Cut(now) }
	}
	listening := func(b *Book, _ time.Time) { b.Listens(instanceID) }
	exited := func(b *Book, now time.Time) { b.Ended(instanceID, now) }
	replaced := func(b *Book, now time.Time) { b.Succeeded(instanceID, now) }
	started := func(b *Book, now time.Time) { begin(b, harmless, now).Begun(now) }
	completed := func(b *Book, now time.Time) { begin(b, harmless, now).Whole(now) }
	for _, tt := range []struct {
		name    string
		steps   []step
		crashes int
	}{
		{"a refused connection", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, exited}}, 1},
		{"a later life, while something takes connections", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, listening}, {2 * time.Second, replaced}}, 1},
		{"both", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, exited}, {2 * time.Second, replaced}}, 1},
		{"neither", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, listening}}, 0},
		{"a later life long after", []step{{0, disconnectAfter(time.Second)}, {replacementWindow + time.Second, replaced}}, 0},
		{"it has begun another run meanwhile", []step{{0, disconnectAfter(time.Second)}, {time.Second, started}, {time.Second, replaced}}, 0},
		{"it has answered meanwhile", []step{{0, disconnectAfter(time.Second)}, {time.Second, completed}, {time.Second, replaced}}, 0},
		{"a cut, an answer, and an end", []step{{0, disconnectAfter(time.Second)}, {time.Second, completed}, {time.Second, disconnectAfter(time.Millisecond)}, {time.Second, replaced}}, 1},
		{"an old cut, and a refused connection", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, listening}, {2 * probeWindow, exited}}, 0},
	} {
		b := &Book{
			VM: "vm",
		}
		now := time.Unix(1000, 0)
		for _, s := range tt.steps {
			now = now.Add(s.after)
			s.do(b, now)
		}
		records, _ := b.Cases(0, now)
		crashes := 0
		for _, r := range records {
			crashes += len(r.Ends)
		}
		if crashes != tt.crashes {
			t.Errorf("%s: %d ends, want %d", tt.name, crashes, tt.crashes)
		}
	}
}

// What was sent to an upstream after it had ended met only what stands before it: it
// is blamed neither by the VM that sent it, nor by a judge who hears of both.
func TestRequestSentAfterCrashNotBlamed(t *testing.T) {
	start := time.Unix(1000, 0)
	observer, lateSender := &Book{VM: "one"}, &Book{VM: "two"}
	now := start
	for i, instanceID := range []string{"u1", "u2", "u3"} {
		now = start.Add(time.Duration(i) * 3 * time.Second)
		run := observer.Begin(crasher, "s", instanceID, now)
		run.Begun(now)
		now = now.Add(50 * time.Millisecond)
		run.Cut(now)
		for _, rec := range []*Book{observer, lateSender} {
			now = now.Add(400 * time.Millisecond)
			lateRun := rec.Begin(harmless, "s", instanceID, now)
			now = now.Add(time.Millisecond)
			lateRun.Cut(now)
		}
		now = now.Add(time.Second)
		observer.Succeeded(instanceID, now)
		lateSender.Succeeded(instanceID, now)
	}
	observed, _ := observer.Cases(0, now)
	lateRecords, _ := lateSender.Cases(0, now)
	if len(observed) != 1 {
		t.Errorf("the one who saw the ends blames %d requests", len(observed))
	}
	quarantines := Keeper{}
	records := Merge([][]Case{lateRecords, observed}, 100)
	for _, want := range []persimmoncross.HoldStage{persimmoncross.HoldWatch, persimmoncross.HoldRefuse} {
		quarantines.Judge(records, now)
		now = now.Add(settleTime)
		if g, o := quarantines.Hold(crasher).Stage, quarantines.Hold(harmless).Stage; g != want || o != persimmoncross.HoldFree {
			t.Errorf("the one that ended them: %v, want %v, the other: %v", g, want, o)
		}
	}
}
