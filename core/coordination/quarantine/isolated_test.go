package quarantine

import (
	"runtime"
	"testing"
	"time"
	"weak"
)

// Guards against isolated copies that crash further upstreams before the first crash is known.
func TestIsolatedCopiesAwaitOutcome(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		do   func(rec *Recorder, run *Run) // at start
		runs time.Duration                 // after which the next copy may run
	}{
		{"sent, without a response", func(*Recorder, *Run) {}, outcomeTimeout},
		{"started", func(_ *Recorder, run *Run) { run.MarkStarted(start) }, survivalFactor * minRunTime},
		{"completed", func(_ *Recorder, run *Run) { run.MarkCompleted(start) }, 0},
		{"given up", func(_ *Recorder, run *Run) { run.Close(start) }, 0},
		{"cut off", func(_ *Recorder, run *Run) { run.MarkDisconnected(start) }, outcomeTimeout},
		{"cut off, a proxy accepts connections", func(rec *Recorder, run *Run) {
			run.MarkDisconnected(start)
			rec.InstanceListening("u")
		}, outcomeTimeout},
		{"crashed", func(rec *Recorder, run *Run) {
			run.MarkDisconnected(start)
			rec.InstanceExited("u", start)
		}, 0},
		{"crashed, as the list shows", func(rec *Recorder, run *Run) {
			run.MarkDisconnected(start)
			rec.InstanceReplaced("u", start)
		}, 0},
		{"cut off, and the upstream lives", func(rec *Recorder, run *Run) {
			run.MarkDisconnected(start)
			rec.BeginRun(harmless, "s", "u", start.Add(ms)).MarkStarted(start.Add(ms))
		}, 0},
	} {
		rec := &Recorder{}
		copyOf := func() *Request {
			return &Request{
				Digest:   crasher,
				Service:  "s",
				Recorder: rec,
			}
		}
		first, second := copyOf(), copyOf()
		if !first.ClaimIsolatedRun(start) || second.ClaimIsolatedRun(start) {
			t.Errorf("%s: not one of two copies at once may run", tt.name)
		}
		tt.do(rec, first.BeginRun("u", start))
		if tt.runs > 0 {
			if at := start.Add(tt.runs - ms); second.ClaimIsolatedRun(at) || first.ClaimIsolatedRun(at) {
				t.Errorf("%s: another run may begin after %v", tt.name, tt.runs-ms)
			}
		}
		if !second.ClaimIsolatedRun(start.Add(tt.runs)) {
			t.Errorf("%s: no other copy may run after %v", tt.name, tt.runs)
		}
		second.Done(false)
		if !copyOf().ClaimIsolatedRun(start.Add(tt.runs)) {
			t.Errorf("%s: a copy that did not run keeps others from running", tt.name)
		}
	}
}

// Guards against the record of an isolated run that keeps the copy and its body in memory.
func TestIsolatedRunDoesNotKeepCopy(t *testing.T) {
	rec := &Recorder{}
	now := time.Unix(1000, 0)
	kept := func() weak.Pointer[Request] {
		r := &Request{
			Digest:   crasher,
			Recorder: rec,
		}
		r.ClaimIsolatedRun(now)
		r.BeginRun("u", now).MarkDisconnected(now)
		r.Done(true)
		return weak.Make(r)
	}()
	runtime.GC()
	if kept.Value() != nil {
		t.Error("the copy is still reachable after its run")
	}
	runtime.KeepAlive(rec)
}
