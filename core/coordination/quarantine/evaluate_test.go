package quarantine

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
)

// fixture is a recorder, and a store that evaluates its records.
type fixture struct {
	recorder    Recorder
	quarantines Store
	now         time.Time
	crashes     int
}

func newFixture() *fixture {
	return &fixture{
		recorder: Recorder{
			VM: "vm",
		},
		now: time.Unix(1000, 0),
	}
}

// crashUpstream runs the requests at an upstream that crashes after the given time.
func (f *fixture) crashUpstream(ran time.Duration, requests ...persimmoncross.Digest) {
	f.crashes++
	instanceID := fmt.Sprint("u", f.crashes)
	var runs []*Run
	for _, d := range requests {
		r := f.recorder.BeginRun(d, "s", instanceID, f.now)
		r.MarkStarted(f.now)
		runs = append(runs, r)
	}
	f.now = f.now.Add(ran)
	for _, r := range runs {
		r.MarkDisconnected(f.now)
	}
	f.recorder.InstanceExited(instanceID, f.now)
}

// evaluate advances the clock, evaluates the records, and returns the quarantine of d.
func (f *fixture) evaluate(after time.Duration, d persimmoncross.Digest) persimmoncross.Quarantine {
	f.now = f.now.Add(after)
	records, _ := f.recorder.Records(0, f.now)
	f.quarantines.Evaluate(Merge([][]Record{records}, 4096), f.now)
	return f.quarantines.Quarantine(d)
}

var (
	crasher  = persimmoncross.Digest{1}
	harmless = persimmoncross.Digest{2}
)

func TestRefusedAfterThreeCrashes(t *testing.T) {
	f := newFixture()
	for i, want := range []persimmoncross.QuarantineStage{persimmoncross.QuarantineNone, persimmoncross.QuarantineIsolate, persimmoncross.QuarantineRefuse} {
		f.crashUpstream(20*time.Millisecond, crasher, persimmoncross.Digest{9, byte(i)})
		if got := f.evaluate(time.Second, crasher).Stage; got != want {
			t.Errorf("after %d crashes: %v, want %v", i+1, got, want)
		}
	}
	for i := range 3 {
		if got := f.quarantines.Quarantine(persimmoncross.Digest{9, byte(i)}); got.Stage != persimmoncross.QuarantineNone {
			t.Errorf("request that ran at one of the crashes: %v, want no quarantine", got)
		}
	}
}

// A harmless request that runs at the same upstream as the cause at every crash can't be
// distinguished from it. Isolation separates them, so that only the cause is refused.
func TestIsolationSeparatesSuspects(t *testing.T) {
	f := newFixture()
	for range 4 {
		f.crashUpstream(20*time.Millisecond, crasher, harmless)
	}
	for _, d := range []persimmoncross.Digest{crasher, harmless} {
		if got := f.evaluate(time.Second, d).Stage; got != persimmoncross.QuarantineIsolate {
			t.Errorf("%v: %v, want isolation", d, got)
		}
	}
	f.crashUpstream(20*time.Millisecond, crasher)
	f.recorder.BeginRun(harmless, "s", "x", f.now).MarkCompleted(f.now)
	f.crashUpstream(20*time.Millisecond, crasher)
	f.recorder.BeginRun(harmless, "s", "x", f.now).MarkCompleted(f.now)
	f.recorder.BeginRun(harmless, "s", "x", f.now).MarkCompleted(f.now)
	if got := f.evaluate(time.Second, crasher).Stage; got != persimmoncross.QuarantineRefuse {
		t.Errorf("request that crashes upstreams: %v, want refusal", got)
	}
	if got := f.evaluate(0, harmless).Stage; got != persimmoncross.QuarantineNone {
		t.Errorf("harmless request: %v, want no quarantine", got)
	}
}

// Guards against copies of a crashing request that clear it: on a slow VM many of them were in flight at
// one instance for longer than before, and each counted as if the instance had survived it alone.
func TestCopiesAtOneInstanceSurviveOnce(t *testing.T) {
	f := newFixture()
	for range 3 {
		f.crashUpstream(20*time.Millisecond, crasher)
	}
	for range 20 {
		f.recorder.BeginRun(crasher, "s", "slow", f.now).MarkStarted(f.now)
	}
	if got := f.evaluate(50*time.Millisecond, crasher).Stage; got != persimmoncross.QuarantineIsolate {
		t.Errorf("with copies in flight: %v, want isolation", got)
	}
}

// Guards against a crashing request that is free while its isolated copy runs: at a suspicion of just two
// crashes a run time of one millisecond ended the isolation.
func TestIsolationOutlastsRunInFlight(t *testing.T) {
	f := newFixture()
	for range 2 {
		f.crashUpstream(20*time.Millisecond, crasher)
	}
	if got := f.evaluate(time.Second, crasher).Stage; got != persimmoncross.QuarantineIsolate {
		t.Fatalf("after two crashes: %v, want isolation", got)
	}
	run := f.recorder.BeginRun(crasher, "s", "isolated", f.now)
	run.MarkStarted(f.now)
	if got := f.evaluate(20*time.Millisecond, crasher).Stage; got != persimmoncross.QuarantineIsolate {
		t.Errorf("while the isolated copy runs: %v, want isolation", got)
	}
	run.MarkCompleted(f.now)
	if got := f.evaluate(0, crasher).Stage; got != persimmoncross.QuarantineNone {
		t.Errorf("after the isolated copy has completed: %v, want no quarantine", got)
	}
}

// Guards against a crashing request that is freed whenever its VM is slow: a run in flight for many times
// the usual time until a crash counted as as many completed runs.
func TestSlowRunCountsAsOneCompleted(t *testing.T) {
	f := newFixture()
	for range 5 {
		f.crashUpstream(20*time.Millisecond, crasher)
	}
	if got := f.evaluate(0, crasher).Stage; got != persimmoncross.QuarantineIsolate {
		t.Fatalf("after five crashes: %v, want isolation", got)
	}
	f.recorder.BeginRun(crasher, "s", "slow", f.now).MarkStarted(f.now)
	if got := f.evaluate(600*time.Millisecond, crasher).Stage; got != persimmoncross.QuarantineRefuse {
		t.Errorf("with a run in flight for 600 ms: %v, want refusal", got)
	}
}

// Guards against a new leader that frees isolated requests whose crashes it has not been told of.
func TestIsolationOutlastsMissingReports(t *testing.T) {
	f := newFixture()
	for range 2 {
		f.crashUpstream(20*time.Millisecond, crasher)
	}
	isolated := f.evaluate(0, crasher)
	records, _ := f.recorder.Records(0, f.now)
	for _, tt := range []struct {
		name    string
		reports []Record
		stage   persimmoncross.QuarantineStage
	}{
		{"no reports", nil, persimmoncross.QuarantineIsolate},
		{"one crash", []Record{{
			Digest:        crasher,
			Service:       "s",
			Crashes:       records[0].Crashes[:1],
			LastRequested: f.now,
		}}, persimmoncross.QuarantineIsolate},
		{"all crashes", records, persimmoncross.QuarantineIsolate},
		{"a completed run", []Record{{
			Digest:        crasher,
			Service:       "s",
			Completed:     1,
			LastRequested: f.now,
		}}, persimmoncross.QuarantineNone},
	} {
		leader := &Store{}
		leader.Bootstrap([]persimmoncross.Quarantine{isolated}, f.now)
		leader.Evaluate(tt.reports, f.now.Add(100*time.Millisecond))
		if got := leader.Quarantine(crasher).Stage; got != tt.stage {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.stage)
		}
		leader.Evaluate(nil, f.now.Add(isolateIdleTimeout))
		if got := leader.Quarantine(crasher).Stage; got != persimmoncross.QuarantineNone {
			t.Errorf("%s: %v without copies for %v", tt.name, got, isolateIdleTimeout)
		}
	}
}

// Each of these requests ran at three or more crashes, but did not cause them.
func TestHarmlessRequestNotRefused(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture)
	}{
		{
			name: "completed runs before and between the crashes",
			run: func(f *fixture) {
				for range 5 {
					f.recorder.BeginRun(harmless, "s", "x", f.now).MarkCompleted(f.now)
					f.crashUpstream(20*time.Millisecond, harmless)
				}
			},
		},
		{
			name: "loss of a rack",
			run: func(f *fixture) {
				var runs []*Run
				for i := range 6 {
					r := f.recorder.BeginRun(harmless, "s", fmt.Sprint("rack", i), f.now)
					r.MarkStarted(f.now)
					runs = append(runs, r)
				}
				f.now = f.now.Add(time.Second)
				for i, r := range runs {
					f.now = f.now.Add(10 * time.Millisecond)
					r.MarkDisconnected(f.now)
					f.recorder.InstanceExited(fmt.Sprint("rack", i), f.now)
				}
			},
		},
		{
			name: "long runs at many other upstreams",
			run: func(f *fixture) {
				for i := range 12 {
					f.recorder.BeginRun(harmless, "s", fmt.Sprint("long", i), f.now).MarkStarted(f.now)
				}
				for range 4 {
					f.crashUpstream(time.Second, harmless)
				}
			},
		},
		{
			name: "a refused request ran at all crashes",
			run: func(f *fixture) {
				for range 3 {
					f.crashUpstream(20*time.Millisecond, crasher)
					f.evaluate(time.Second, crasher)
				}
				for range 4 {
					f.crashUpstream(20*time.Millisecond, crasher, harmless)
				}
			},
		},
	}
	for _, tt := range tests {
		f := newFixture()
		tt.run(f)
		if got := f.evaluate(time.Second, harmless); got.Stage == persimmoncross.QuarantineRefuse {
			t.Errorf("%s: %+v", tt.name, got)
		}
	}
}

// A refusal ends when no copies come, or when a trial completes. A trial for which no copy
// comes releases its reserved instance.
func TestRefusalEnds(t *testing.T) {
	refused := func() *fixture {
		f := newFixture()
		for range 3 {
			f.crashUpstream(20*time.Millisecond, crasher)
		}
		if got := f.evaluate(time.Second-settleTime, crasher); got.Stage != persimmoncross.QuarantineIsolate {
			t.Fatalf("before the settle time, when reports of other VMs may be missing: %+v, want isolation", got)
		}
		if got := f.evaluate(settleTime, crasher); got.Stage != persimmoncross.QuarantineRefuse {
			t.Fatalf("%+v", got)
		}
		return f
	}
	idle := refused()
	if got := idle.evaluate(refuseIdleTimeout-2*time.Second, crasher).Stage; got != persimmoncross.QuarantineRefuse {
		t.Errorf("before the idle timeout: %v, want refusal", got)
	}
	if got := idle.evaluate(3*time.Second, crasher).Stage; got != persimmoncross.QuarantineNone {
		t.Errorf("after the idle timeout: %v, want no quarantine", got)
	}

	passed := refused()
	passed.now = passed.now.Add(trialDelays[0])
	passed.recorder.MarkRequested(crasher, "s", passed.now)
	quarantine := passed.evaluate(0, crasher)
	if quarantine.TrialVM != "vm" || quarantine.TrialCount != 1 || !quarantine.Isolated() {
		t.Fatalf("%+v", quarantine)
	}
	untested := passed.evaluate(trialTimeout, crasher)
	if untested.Isolated() || untested.Stage != persimmoncross.QuarantineRefuse {
		t.Errorf("after a trial without a copy: %+v, want refusal without a reserved instance", untested)
	}
	passed.now = passed.now.Add(trialDelays[0])
	passed.recorder.MarkRequested(crasher, "s", passed.now)
	if quarantine = passed.evaluate(0, crasher); quarantine.TrialVM != "vm" || quarantine.TrialCount != 1 {
		t.Fatalf("%+v", quarantine)
	}
	request := &Request{
		Digest:   crasher,
		Service:  "s",
		Recorder: &passed.recorder,
	}
	if got := request.EffectiveStage(func(persimmoncross.Digest) persimmoncross.Quarantine { return quarantine }, false); got != persimmoncross.QuarantineIsolate {
		t.Fatalf("effective stage of the trial's copy: %v, want isolation", got)
	}
	request.BeginRun("u", passed.now).MarkCompleted(passed.now.Add(time.Millisecond))
	if got := passed.evaluate(time.Second, crasher).Stage; got != persimmoncross.QuarantineNone {
		t.Errorf("after a completed trial: %v, want no quarantine", got)
	}
	if got := passed.evaluate(time.Second, crasher).Stage; got != persimmoncross.QuarantineNone {
		t.Errorf("crashes before the completed trial count again: %v, want no quarantine", got)
	}

	failed := refused()
	for try, delay := range trialDelays[:3] {
		failed.now = failed.now.Add(delay)
		failed.recorder.MarkRequested(crasher, "s", failed.now)
		if quarantine := failed.evaluate(0, crasher); quarantine.TrialVM != "vm" || quarantine.TrialCount != try+1 {
			t.Fatalf("trial %d: %+v", try+1, quarantine)
		}
		failed.crashUpstream(20*time.Millisecond, crasher)
		if quarantine := failed.evaluate(time.Second, crasher); quarantine.TrialVM != "" || quarantine.Stage != persimmoncross.QuarantineRefuse {
			t.Fatalf("after trial %d: %+v", try+1, quarantine)
		}
	}
}

// Guards against a request that stays refused after its upstreams are mended: the caller of its trial left
// before the end, and later trials at the same VM were refused, because their number was claimed.
func TestTrialIsRepeatedAfterCallerLeft(t *testing.T) {
	f := newFixture()
	for range 3 {
		f.crashUpstream(20*time.Millisecond, crasher)
		f.evaluate(time.Second, crasher)
	}
	runTrial := func(delay time.Duration) *Run {
		t.Helper()
		f.now = f.now.Add(delay)
		f.recorder.MarkRequested(crasher, "s", f.now)
		quarantine := f.evaluate(0, crasher)
		request := &Request{
			Digest:   crasher,
			Service:  "s",
			Recorder: &f.recorder,
		}
		if got := request.EffectiveStage(func(persimmoncross.Digest) persimmoncross.Quarantine { return quarantine }, false); got != persimmoncross.QuarantineIsolate {
			t.Fatalf("effective stage of the trial's copy: %v, want isolation (%+v)", got, quarantine)
		}
		f.now = f.now.Add(time.Millisecond)
		run := request.BeginRun("u", f.now)
		run.MarkStarted(f.now)
		request.Done(true)
		return run
	}
	for _, delay := range trialDelays[:2] {
		runTrial(delay).Close(f.now) // the caller leaves
		f.evaluate(trialTimeout, crasher)
	}
	runTrial(trialDelays[2]).MarkCompleted(f.now.Add(time.Millisecond))
	if got := f.evaluate(time.Second, crasher).Stage; got != persimmoncross.QuarantineNone {
		t.Errorf("after a completed trial: %v, want no quarantine", got)
	}
}

// Thousands of requests crash upstreams of their own at once. The stored and reported
// records stay within their limits, and the latest requests are quarantined.
func TestBoundsWithManyCrashers(t *testing.T) {
	f := newFixture()
	for i := range 5000 {
		d := persimmoncross.Digest{7, byte(i), byte(i >> 8)}
		for range 3 {
			f.crashUpstream(time.Millisecond, d)
		}
		f.recorder.BeginRun(persimmoncross.Digest{8, byte(i), byte(i >> 8)}, "s", "x", f.now).MarkCompleted(f.now)
	}
	records, _ := f.recorder.Records(0, f.now)
	if len(records) > maxRecords || len(f.recorder.records) > maxRecords || len(f.recorder.crashedAt) > 20_000 || len(f.recorder.recentCompleted[0]) > maxRecentCompleted || len(f.recorder.inFlight) > 0 {
		t.Errorf("%d records, %d crashed instances, %d digests of completed runs, %d digests in flight", len(records), len(f.recorder.crashedAt), len(f.recorder.recentCompleted[0]), len(f.recorder.inFlight))
	}
	f.evaluate(time.Second, crasher)
	if n := len(f.quarantines.Quarantines()); n == 0 || n > maxQuarantines {
		t.Errorf("%d quarantines", n)
	}
	latest := persimmoncross.Digest{7, byte(4999 & 0xff), byte(4999 >> 8)}
	if got := f.quarantines.Quarantine(latest).Stage; got != persimmoncross.QuarantineRefuse {
		t.Errorf("latest request: %v, want refusal", got)
	}
}

// BenchmarkEvaluate measures an evaluation with various numbers of records.
func BenchmarkEvaluate(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		f := newFixture()
		var records []Record
		for i := range n {
			records = append(records, Record{
				Digest:  persimmoncross.Digest{byte(i), byte(i >> 8)},
				Service: "s",
				Crashes: []Crash{{
					InstanceID: fmt.Sprint("u", i/64),
					At:         f.now,
					RunTime:    time.Duration(i) * time.Millisecond,
				}},
				LastRequested: f.now,
			})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				Evaluate(Merge([][]Record{records}, 4096), nil, f.now)
			}
		})
	}
}

// A trial that was sent and told nothing counts, so that upstreams which give errors are not sent one after the other.
func TestTrialThatToldNothingCounts(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(r *Run, request *Request, now time.Time)
		next time.Duration
	}{
		{"error", func(r *Run, request *Request, now time.Time) { r.MarkAnswered(500, now); request.Done(true) }, trialDelays[1]},
		{"caller left", func(r *Run, request *Request, now time.Time) { r.Close(now); request.Done(true) }, trialDelays[1]},
		{"rejected", func(r *Run, request *Request, now time.Time) { r.Close(now); request.Done(false) }, trialDelays[0]},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			for range 3 {
				f.crashUpstream(20*time.Millisecond, crasher)
				f.evaluate(time.Second, crasher)
			}
			f.now = f.now.Add(trialDelays[0])
			f.recorder.MarkRequested(crasher, "s", f.now)
			q := f.evaluate(0, crasher)
			request := &Request{
				Digest:   crasher,
				Service:  "s",
				Recorder: &f.recorder,
			}
			request.EffectiveStage(func(persimmoncross.Digest) persimmoncross.Quarantine { return q }, false)
			f.now = f.now.Add(time.Millisecond)
			tt.end(request.BeginRun("u", f.now), request, f.now)
			if got := f.evaluate(trialTimeout, crasher); got.Stage != persimmoncross.QuarantineRefuse || got.TrialVM != "" {
				t.Fatalf("after the trial: %+v, want it refused", got)
			}
			f.now = f.now.Add(tt.next - time.Second)
			f.recorder.MarkRequested(crasher, "s", f.now)
			if got := f.evaluate(0, crasher); got.TrialVM != "" {
				t.Errorf("tried again after %v, want %v", tt.next-time.Second, tt.next)
			}
			f.recorder.MarkRequested(crasher, "s", f.now.Add(time.Second))
			if got := f.evaluate(time.Second, crasher); got.TrialVM == "" {
				t.Errorf("not tried again after %v", tt.next)
			}
		})
	}
}
