package quarantine

import (
	"slices"
	"testing"
	"time"

	"persimmoncross"
)

// A crash is detected by a refused connection, or by a later instance in the same place, if
// the upstream has neither started nor completed a run since the disconnect.
func TestCrashDetection(t *testing.T) {
	const instanceID = "u"
	type step struct {
		after time.Duration
		do    func(b *Recorder, now time.Time)
	}
	begin := func(b *Recorder, d persimmoncross.Digest, now time.Time) *Run {
		return b.BeginRun(d, "s", instanceID, now)
	}
	disconnectAfter := func(runTime time.Duration) func(b *Recorder, now time.Time) {
		return func(b *Recorder, now time.Time) { begin(b, crasher, now.Add(-runTime)).MarkDisconnected(now) }
	}
	listening := func(b *Recorder, _ time.Time) { b.InstanceListening(instanceID) }
	exited := func(b *Recorder, now time.Time) { b.InstanceExited(instanceID, now) }
	replaced := func(b *Recorder, now time.Time) { b.InstanceReplaced(instanceID, now) }
	started := func(b *Recorder, now time.Time) { begin(b, harmless, now).MarkStarted(now) }
	completed := func(b *Recorder, now time.Time) { begin(b, harmless, now).MarkCompleted(now) }
	for _, tt := range []struct {
		name    string
		steps   []step
		crashes int
	}{
		{"a refused connection", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, exited}}, 1},
		{"a later instance behind a proxy that accepts connections", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, listening}, {2 * time.Second, replaced}}, 1},
		{"both", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, exited}, {2 * time.Second, replaced}}, 1},
		{"neither", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, listening}}, 0},
		{"a later instance after the replacement window", []step{{0, disconnectAfter(time.Second)}, {replacementWindow + time.Second, replaced}}, 0},
		{"the upstream started another run in between", []step{{0, disconnectAfter(time.Second)}, {time.Second, started}, {time.Second, replaced}}, 0},
		{"the upstream completed another run in between", []step{{0, disconnectAfter(time.Second)}, {time.Second, completed}, {time.Second, replaced}}, 0},
		{"a disconnect, a completed run, and a crash", []step{{0, disconnectAfter(time.Second)}, {time.Second, completed}, {time.Second, disconnectAfter(time.Millisecond)}, {time.Second, replaced}}, 1},
		{"a refused connection after the probe window", []step{{0, disconnectAfter(time.Second)}, {time.Millisecond, listening}, {2 * probeWindow, exited}}, 0},
	} {
		b := &Recorder{
			VM: "vm",
		}
		now := time.Unix(1000, 0)
		for _, s := range tt.steps {
			now = now.Add(s.after)
			s.do(b, now)
		}
		records, _ := b.Records(0, now)
		crashes := 0
		for _, r := range records {
			crashes += len(r.Crashes)
		}
		if crashes != tt.crashes {
			t.Errorf("%s: %d crashes, want %d", tt.name, crashes, tt.crashes)
		}
	}
}

// A request that was sent to an upstream after its crash reached only the proxy in front of
// it. The crash is attributed to that request neither by the VM that sent it, nor by an
// evaluation of the records of several VMs.
func TestRequestSentAfterCrashNotBlamed(t *testing.T) {
	start := time.Unix(1000, 0)
	observer, lateSender := &Recorder{VM: "one"}, &Recorder{VM: "two"}
	now := start
	for i, instanceID := range []string{"u1", "u2", "u3"} {
		now = start.Add(time.Duration(i) * 3 * time.Second)
		run := observer.BeginRun(crasher, "s", instanceID, now)
		run.MarkStarted(now)
		now = now.Add(50 * time.Millisecond)
		run.MarkDisconnected(now)
		for _, rec := range []*Recorder{observer, lateSender} {
			now = now.Add(400 * time.Millisecond)
			lateRun := rec.BeginRun(harmless, "s", instanceID, now)
			now = now.Add(time.Millisecond)
			lateRun.MarkDisconnected(now)
		}
		now = now.Add(time.Second)
		observer.InstanceReplaced(instanceID, now)
		lateSender.InstanceReplaced(instanceID, now)
	}
	observed, _ := observer.Records(0, now)
	lateRecords, _ := lateSender.Records(0, now)
	if len(observed) != 1 {
		t.Errorf("the VM that observed the crashes has records of %d requests, want 1", len(observed))
	}
	quarantines := Store{}
	records := Merge([][]Record{lateRecords, observed}, 100)
	for _, want := range []persimmoncross.QuarantineStage{persimmoncross.QuarantineIsolate, persimmoncross.QuarantineRefuse} {
		quarantines.Evaluate(records, now)
		now = now.Add(settleTime)
		if crasherStage, harmlessStage := quarantines.Quarantine(crasher).Stage, quarantines.Quarantine(harmless).Stage; crasherStage != want || harmlessStage != persimmoncross.QuarantineNone {
			t.Errorf("crashing request: %v, want %v; harmless request: %v", crasherStage, want, harmlessStage)
		}
	}
}

// Guards against a crashing request that is cleared for good: the run time of a run in flight was reported,
// and its end by a disconnect, which is not known to be a crash yet, was not.
func TestDisconnectEndsReportedRunTime(t *testing.T) {
	f := newFixture()
	for range 2 {
		f.crashUpstream(20*time.Millisecond, crasher)
	}
	run := f.recorder.BeginRun(crasher, "s", "behind a proxy", f.now)
	run.MarkStarted(f.now)
	f.now = f.now.Add(time.Second)
	reported, version := f.recorder.Records(0, f.now)
	if len(reported) != 1 || !slices.Equal(reported[0].InFlight, []time.Duration{time.Second}) {
		t.Fatalf("in flight: %+v, want 1s of run time", reported)
	}
	run.MarkDisconnected(f.now)
	f.recorder.InstanceListening("behind a proxy")
	reported, _ = f.recorder.Records(version, f.now)
	if len(reported) != 1 || len(reported[0].InFlight) != 0 || reported[0].RunTime != 0 {
		t.Errorf("after the disconnect: %+v, want a record without run time", reported)
	}
}
