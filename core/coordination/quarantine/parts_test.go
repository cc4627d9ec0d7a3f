package quarantine

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
)

// promptDigests returns the digests of a request's own content and of its parts.
func promptDigests(own string, shared ...string) (persimmoncross.Digest, []persimmoncross.Digest) {
	return digestOf([]byte(own)), PartDigests("s", append(shared, own))
}

func partDigest(id string) persimmoncross.Digest { return PartDigests("s", []string{id, ""})[0] }

// prompt is a request's run in a test.
type prompt struct {
	own    string
	shared []string
	age    time.Duration // of the run when the upstream crashes
	queued bool          // the run has not started
}

// crashPrompts runs the prompts at an upstream that crashes.
func (f *fixture) crashPrompts(prompts ...prompt) {
	f.crashes++
	instanceID := fmt.Sprint("u", f.crashes)
	f.now = f.now.Add(200 * time.Millisecond) // the crashes are different events
	var runs []*Run
	for _, p := range prompts {
		own, parts := promptDigests(p.own, p.shared...)
		r := f.recorder.BeginRun(own, "s", instanceID, f.now.Add(-p.age), parts...)
		if !p.queued {
			r.MarkStarted(f.now.Add(-p.age))
		}
		runs = append(runs, r)
	}
	for _, r := range runs {
		r.MarkDisconnected(f.now)
	}
	f.recorder.InstanceExited(instanceID, f.now)
}

// complete runs a prompt that completes.
func (f *fixture) complete(own string, shared ...string) {
	digest, parts := promptDigests(own, shared...)
	r := f.recorder.BeginRun(digest, "s", "alive", f.now, parts...)
	r.MarkStarted(f.now)
	r.MarkCompleted(f.now)
}

// Requests that differ and share a crashing part are refused by that part, whatever they hold besides; parts that
// sound requests share with them are not.
func TestCrashingPartIsRefused(t *testing.T) {
	f := newFixture()
	for i := range 6 {
		f.crashPrompts(
			prompt{own: fmt.Sprint("crashing", i), shared: []string{"system", "bad"}, age: 50 * time.Millisecond},
			prompt{own: fmt.Sprint("sound", i), shared: []string{"system", "good"}, age: time.Second},
			prompt{own: fmt.Sprint("waiting", i), shared: []string{"system", "queued"}, age: time.Second, queued: true},
		)
		f.complete(fmt.Sprint("done", i), "system", "good")
		f.evaluate(0, crasher)
	}
	f.evaluate(100*time.Millisecond, crasher) // the refusal explains the crashes
	for id, want := range map[string]persimmoncross.QuarantineStage{
		"bad":    persimmoncross.QuarantineRefuse,
		"system": persimmoncross.QuarantineNone,
		"good":   persimmoncross.QuarantineNone,
		"queued": persimmoncross.QuarantineNone,
	} {
		if got := f.quarantines.Quarantine(partDigest(id)); got.Stage != want || want != persimmoncross.QuarantineNone && !got.Part {
			t.Errorf("part %s: %+v, want %v", id, got, want)
		}
	}
	own, parts := promptDigests("new", "system", "bad")
	r := &Request{
		Digest:   own,
		Parts:    parts,
		Service:  "s",
		Recorder: &f.recorder,
	}
	if got := r.EffectiveStage(f.quarantines.Quarantine, false); got != persimmoncross.QuarantineRefuse {
		t.Errorf("a new request with the part: %v, want it refused", got)
	}
	r.Digest, r.Parts = promptDigests("another", "system", "queued")
	if got := r.EffectiveStage(f.quarantines.Quarantine, false); got != persimmoncross.QuarantineNone {
		t.Errorf("a new request with a part that waited at each crash: %v, want it served", got)
	}
}

// A request that is sent again and again must not take its parts with it.
func TestPartOfOneCrashingRequestIsNotRefused(t *testing.T) {
	f := newFixture()
	for range 8 {
		f.crashPrompts(prompt{own: "same", shared: []string{"system", "document"}, age: 50 * time.Millisecond})
		f.evaluate(time.Second, crasher)
	}
	for _, id := range []string{"system", "document"} {
		if got := f.quarantines.Quarantine(partDigest(id)); got.Stage == persimmoncross.QuarantineRefuse {
			t.Errorf("part %s is refused", id)
		}
	}
	if own, _ := promptDigests("same"); f.quarantines.Quarantine(own).Stage != persimmoncross.QuarantineRefuse {
		t.Error("the request is not refused")
	}
}

// Of parts that always come together none can be cleared, and refusing one of them might not suffice.
func TestInseparablePartsAreRefused(t *testing.T) {
	f := newFixture()
	for i := range 6 {
		f.crashPrompts(prompt{own: fmt.Sprint("crashing", i), shared: []string{"first", "second"}, age: 50 * time.Millisecond})
		f.evaluate(100*time.Millisecond, crasher)
	}
	for _, id := range []string{"first", "second"} {
		if got := f.quarantines.Quarantine(partDigest(id)); got.Stage != persimmoncross.QuarantineRefuse {
			t.Errorf("part %s: %v, want it refused", id, got.Stage)
		}
	}
}

// A suspected part must not gather the requests that share it at one upstream.
func TestSuspectedPartIsNotIsolated(t *testing.T) {
	f := newFixture()
	for i := range 3 {
		f.crashPrompts(prompt{own: fmt.Sprint("crashing", i), shared: []string{"bad"}, age: 50 * time.Millisecond})
		f.evaluate(0, crasher)
	}
	q := f.quarantines.Quarantine(partDigest("bad"))
	if q.Stage != persimmoncross.QuarantineIsolate || q.Isolated() {
		t.Fatalf("%+v, want a suspected part that reserves no upstream", q)
	}
	own, parts := promptDigests("new", "bad")
	r := &Request{
		Digest:   own,
		Parts:    parts,
		Service:  "s",
		Recorder: &f.recorder,
	}
	if got := r.EffectiveStage(f.quarantines.Quarantine, false); got != persimmoncross.QuarantineNone {
		t.Errorf("a request with the suspected part: %v, want it to run anywhere", got)
	}
}

// A part is refused until a trial of one request with it completes.
func TestTrialFreesPart(t *testing.T) {
	f := newFixture()
	bad := partDigest("bad")
	for i := range 6 {
		f.crashPrompts(prompt{own: fmt.Sprint("crashing", i), shared: []string{"bad"}, age: 50 * time.Millisecond})
		f.evaluate(100*time.Millisecond, bad)
	}
	f.now = f.now.Add(trialDelays[0])
	own, parts := promptDigests("trial", "bad")
	r := &Request{
		Digest:   own,
		Parts:    parts,
		Service:  "s",
		Recorder: &f.recorder,
	}
	if got := r.EffectiveStage(f.quarantines.Quarantine, false); got != persimmoncross.QuarantineRefuse {
		t.Fatalf("before the trial: %v, want it refused", got)
	}
	r.MarkRequested(f.quarantines.Quarantine, f.now)
	f.evaluate(0, bad)
	if got := r.EffectiveStage(f.quarantines.Quarantine, false); got != persimmoncross.QuarantineIsolate || r.IsolationDigest() != bad {
		t.Fatalf("trial: %v at the upstream of %v, want isolation at that of the part", got, r.IsolationDigest())
	}
	run := r.BeginRun("u", f.now)
	other := &Request{
		Digest:   persimmoncross.Digest{7},
		Parts:    parts,
		Service:  "s",
		Recorder: &f.recorder,
	}
	if got := other.EffectiveStage(f.quarantines.Quarantine, false); got != persimmoncross.QuarantineRefuse {
		t.Errorf("another request during the trial: %v, want it refused", got)
	}
	run.MarkStarted(f.now)
	run.MarkCompleted(f.now.Add(time.Millisecond))
	if got := f.evaluate(time.Second, bad); got.Stage != persimmoncross.QuarantineNone {
		t.Errorf("after a completed trial: %+v, want no quarantine", got)
	}
}

// Parts that sound requests share change with every request; their reports must not grow with the traffic.
func TestClearedPartIsReportedOncePerInterval(t *testing.T) {
	f := newFixture()
	f.crashPrompts(prompt{own: "a", shared: []string{"system"}, age: 50 * time.Millisecond})
	var version uint64
	reported, end := 0, f.now.Add(10*time.Second)
	for f.now.Before(end) {
		f.complete("b", "system")
		f.now = f.now.Add(50 * time.Millisecond)
		var records []Record
		records, version = f.recorder.Records(version, f.now)
		for _, r := range records {
			if r.Part {
				reported++
			}
		}
	}
	if limit := int(10*time.Second/clearedPartInterval) + 3; reported > limit {
		t.Errorf("reported %d times in 10 s, want at most %d", reported, limit)
	}
}

// An error shows no survival: upstreams give it before they begin to write an answer.
func TestErrorsDoNotClear(t *testing.T) {
	f := newFixture()
	own, parts := promptDigests("own", "system", "bad")
	fail := func(d persimmoncross.Digest, trial persimmoncross.Digest) {
		r := f.recorder.BeginRun(d, "s", "alive", f.now, parts...)
		r.MarkStarted(f.now)
		if trial != (persimmoncross.Digest{}) {
			r.MarkTrial(trial)
		}
		r.MarkAnswered(500, f.now)
	}
	for i := range 6 {
		f.crashPrompts(prompt{own: fmt.Sprint("crashing", i), shared: []string{"system", "bad"}, age: 50 * time.Millisecond})
		f.complete(fmt.Sprint("done", i), "system", "good")
		for range 3 {
			fail(digestOf(fmt.Append(nil, "failed", i)), persimmoncross.Digest{})
		}
		f.evaluate(0, crasher)
	}
	bad := partDigest("bad")
	if got := f.evaluate(0, bad); got.Stage != persimmoncross.QuarantineRefuse {
		t.Fatalf("part whose other runs got errors: %+v, want it refused", got)
	}
	f.recorder.MarkPartRequested(bad, "s", f.now.Add(30*time.Second))
	if got := f.evaluate(30*time.Second, bad); got.TrialVM == "" {
		t.Fatalf("%+v, want a trial", got)
	}
	f.now = f.now.Add(time.Second)
	fail(own, bad)
	if got := f.evaluate(time.Second, bad); got.Stage != persimmoncross.QuarantineRefuse {
		t.Errorf("after a trial that got an error: %+v, want it refused", got)
	}
}

// Parts that sound requests share, and parts that only one request holds, must not push out a crashing part.
func TestManyPartsKeepCrashingPart(t *testing.T) {
	f := newFixture()
	ids := func(kind string, count int) (list []string) {
		for n := range count {
			list = append(list, fmt.Sprint(kind, " ", n))
		}
		return list
	}
	for i := range maxRecords / 100 {
		shared := ids(fmt.Sprint("shared", i), 100)
		for n := range 2 {
			f.crashPrompts(prompt{own: fmt.Sprint("cut", i, n), shared: shared, age: time.Second})
			f.complete(fmt.Sprint("done", i, n), shared...)
		}
	}
	for i := range 8 {
		f.crashPrompts(
			prompt{own: fmt.Sprint("crashing", i), shared: append(ids(fmt.Sprint("crashing", i), 60), "bad"), age: 50 * time.Millisecond},
			prompt{own: fmt.Sprint("sound", i), shared: ids(fmt.Sprint("sound", i), 60), age: time.Second},
		)
		f.evaluate(100*time.Millisecond, crasher)
	}
	if got := f.quarantines.Quarantine(partDigest("bad")); got.Stage != persimmoncross.QuarantineRefuse {
		t.Errorf("crashing part among many: %v, want it refused", got.Stage)
	}
	if n := len(f.recorder.records); n > maxRecords {
		t.Errorf("%d records, want at most %d", n, maxRecords)
	}
}

// Requests that hold another's part beside parts of their own that crash upstreams must not get that part refused while it
// completes elsewhere.
func TestPartInUseIsNotRefusedForOthersCrashes(t *testing.T) {
	f := newFixture()
	for i := range 40 {
		f.crashPrompts(prompt{own: fmt.Sprint("crashing", i), shared: []string{"victim", fmt.Sprint("bad", i/6)}, age: 50 * time.Millisecond})
		f.complete(fmt.Sprint("done", i), "victim")
		f.evaluate(100*time.Millisecond, crasher)
		if got := f.quarantines.Quarantine(partDigest("victim")); got.Stage == persimmoncross.QuarantineRefuse {
			t.Fatalf("a part that completes elsewhere is refused after %d crashes", i+1)
		}
	}
}
