package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// This file quarantines requests that crash upstreams. Entries report the changed cases of
// their quarantine recorders to their controllers, the controllers forward them to the leader,
// and the leader decides. The quarantines are stored in the replicated log, so that they
// survive a change of leader, and are sent by each controller to its entries.

// Limits and intervals of quarantines and cases.
const (
	evaluationInterval       = 100 * time.Millisecond
	idleEvaluationInterval   = time.Second // while no case has changed
	maxCasesPerReport        = 128         // 10 KB with one or two crashes per case
	maxQuarantinesPerMessage = 64          // per update or command: 4 KB
	maxCasesPerReporter      = 1024        // cases stored per reporter
	maxEvaluatedCases        = 4096        // cases evaluated at once: 1 MB
)

// caseAggregator stores the cases that a controller's followers report. Cases of an entry that
// no longer reports still count.
type caseAggregator struct {
	mu         sync.Mutex // guards all below
	byReporter map[string]map[persimmoncross.Digest]versionedCase
	version    uint64
}

// versionedCase is a case with the aggregator's version at which it arrived or changed.
type versionedCase struct {
	quarantine.Record
	version    uint64
	receivedAt time.Time
}

// receive stores a reporter's cases, with ages relative to sentAt; each replaces the previous case with
// the same digest.
func (a *caseAggregator) receive(reporter string, cases []*wire.Case, sentAt, receivedAt time.Time) {
	if len(cases) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byReporter == nil {
		a.byReporter = map[string]map[persimmoncross.Digest]versionedCase{}
	}
	reporterCases := a.byReporter[reporter]
	if reporterCases == nil {
		reporterCases = map[persimmoncross.Digest]versionedCase{}
		a.byReporter[reporter] = reporterCases
	}
	a.version++
	for _, c := range wire.Cases(cases, sentAt) {
		if _, known := reporterCases[c.Digest]; known || len(reporterCases) < maxCasesPerReporter {
			reporterCases[c.Digest] = versionedCase{
				Record:     c,
				version:    a.version,
				receivedAt: receivedAt,
			}
		}
	}
}

// correct moves the times in the reporter's cases that the correction concerns, because they were sent
// earlier than estimated when they arrived.
func (a *caseAggregator) correct(reporter string, correction quarantine.Correction) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for d, c := range a.byReporter[reporter] {
		if c.receivedAt.Before(correction.Since) {
			continue
		}
		c.Record = c.Shifted(-correction.Lateness)
		c.version = a.version
		a.byReporter[reporter][d] = c
	}
}

// hasChangedSince reports whether cases have arrived since the version.
func (a *caseAggregator) hasChangedSince(since uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version != since
}

// removeStale removes cases that are too old to count. The caller holds mu.
func (a *caseAggregator) removeStale(now time.Time) {
	for reporter, cases := range a.byReporter {
		for d, c := range cases {
			if c.Stale(now) {
				delete(cases, d)
			}
		}
		if len(cases) == 0 {
			delete(a.byReporter, reporter)
		}
	}
}

// mergedSince returns the merged cases of all reporters, for the digests with a change since
// the version, and the current version.
func (a *caseAggregator) mergedSince(since uint64, now time.Time) ([]quarantine.Record, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeStale(now)
	changed := map[persimmoncross.Digest]bool{}
	for _, cases := range a.byReporter {
		for d, c := range cases {
			if c.version > since {
				changed[d] = true
			}
		}
	}
	var lists [][]quarantine.Record
	for _, cases := range a.byReporter {
		var list []quarantine.Record
		for d, c := range cases {
			if changed[d] {
				list = append(list, c.Record)
			}
		}
		lists = append(lists, list)
	}
	return quarantine.Merge(lists, maxEvaluatedCases), a.version
}

// reportSender is a VM that reports cases on one stream.
type reportSender struct {
	cases            *caseAggregator
	vm               string
	incrementCounter func(name string)

	clock    quarantine.SenderClock
	reporter string // of the cases received on the stream, "" before the first
}

// receive stores the cases of a report. Reports without cases, too, show how long reports take
// from the VM.
func (s *reportSender) receive(a *wire.Account, receivedAt time.Time) {
	sentAt := receivedAt
	if reading := a.GetReading(); reading > 0 {
		var correction quarantine.Correction
		sentAt, correction = s.clock.SentAt(time.Duration(reading)*time.Microsecond, receivedAt)
		if correction.Lateness > 0 && s.reporter != "" {
			s.cases.correct(s.reporter, correction)
			s.incrementCounter("hold.corrected")
		}
	}
	if len(a.GetCases()) > 0 {
		s.reporter = s.vm + "#" + a.GetIncarnation()
		s.cases.receive(s.reporter, a.GetCases(), sentAt, receivedAt)
	}
}

// quarantineTracker records when this process first saw each quarantine. It is owned by one
// goroutine.
type quarantineTracker map[persimmoncross.Digest]quarantine.TrackedQuarantine

// update records the quarantines in force.
func (t quarantineTracker) update(s *register.State, now time.Time) {
	for d := range t {
		if _, ok := s.Holds[d]; !ok {
			delete(t, d)
		}
	}
	for d, h := range s.Holds {
		since := now
		if old, ok := t[d]; ok && old.Quarantine == h {
			since = old.Since
		}
		t[d] = quarantine.TrackedQuarantine{
			Quarantine: h,
			Since:      since,
		}
	}
}

// hasIsolated reports whether a request is isolated. Isolated requests must be evaluated again
// even without new cases, because their stage may change through the passing of time alone.
func (t quarantineTracker) hasIsolated() bool {
	for _, h := range t {
		if h.Stage == persimmoncross.QuarantineIsolate {
			return true
		}
	}
	return false
}

// runQuarantineEvaluation decides, while this controller leads with a lease, which requests to
// quarantine because they crash upstreams.
func (c *Controller) runQuarantineEvaluation(ctx context.Context) {
	tracker := quarantineTracker{}
	evaluatedVersion, evaluatedAt := uint64(0), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(evaluationInterval):
		}
		now := c.Clock.Now()
		tracker.update(c.register.Current(), now)
		if !c.isLeaderWithLease() || !c.cases.hasChangedSince(evaluatedVersion) && !tracker.hasIsolated() && now.Sub(evaluatedAt) < idleEvaluationInterval {
			continue
		}
		var cases []quarantine.Record
		cases, evaluatedVersion = c.cases.mergedSince(0, now)
		evaluatedAt = now
		if changes := quarantine.Evaluate(cases, tracker, now); len(changes) > 0 {
			c.proposeQuarantines(ctx, changes[:min(len(changes), maxQuarantinesPerMessage)], now)
		}
	}
}

// proposeQuarantines proposes the changes to the consensus group and logs them.
func (c *Controller) proposeQuarantines(ctx context.Context, changes []quarantine.Change, now time.Time) {
	command := register.Command{}
	for _, x := range changes {
		command.Holds = append(command.Holds, x.Quarantine)
	}
	err := c.proposeLocally(ctx, command)
	for _, x := range changes {
		c.incrementCounter("hold." + x.Stage.String())
	}
	quarantine.LogChanges(c.Log, changes, now, err)
}

// casesForLeader returns the cases of this controller's followers that changed since the
// version, and the current version.
func (c *Controller) casesForLeader(since uint64, now time.Time) ([]*wire.Case, uint64) {
	cases, version := c.cases.mergedSince(since, now)
	return wire.FromCases(cases, now), version
}

// changedCases returns the cases of this entry's recorder that changed since the version, and
// the current version.
func (e *Entry) changedCases(since uint64, now time.Time) ([]*wire.Case, uint64) {
	cases, version := e.quarantineRecorder.Records(since, now)
	return wire.FromCases(cases, now), version
}

// sentQuarantines records which quarantines were sent to one follower.
type sentQuarantines struct {
	sent       map[persimmoncross.Digest]persimmoncross.Quarantine
	stateIndex uint64 // index of the state that sent matches, once it is complete
}

// addChanges adds quarantines that the follower lacks to the update, and reports whether none
// are left.
func (x *sentQuarantines) addChanges(u *wire.Update, s *register.State) bool {
	if s == nil || s.Held == x.stateIndex {
		return true
	}
	if x.sent == nil {
		x.sent = map[persimmoncross.Digest]persimmoncross.Quarantine{}
	}
	remaining := maxQuarantinesPerMessage
	var changed []persimmoncross.Quarantine
	add := func(h persimmoncross.Quarantine) {
		remaining--
		changed = append(changed, h)
	}
	for d := range x.sent {
		if _, ok := s.Holds[d]; !ok && remaining > 0 {
			delete(x.sent, d)
			add(persimmoncross.Quarantine{
				Digest: d,
			})
		}
	}
	for d, h := range s.Holds {
		if x.sent[d] != h && remaining > 0 {
			x.sent[d] = h
			add(h)
		}
	}
	u.Holds = wire.FromHolds(changed)
	if remaining == 0 {
		return false // there may be more
	}
	x.stateIndex = s.Held
	u.Held = s.Held
	return true
}

// applyQuarantines applies an update's changes of quarantines to the stream, and returns all of
// them once they are complete.
func (c *controllerStream) applyQuarantines(u *wire.Update) map[persimmoncross.Digest]persimmoncross.Quarantine {
	if c.quarantines == nil {
		c.quarantines = map[persimmoncross.Digest]persimmoncross.Quarantine{}
	}
	for _, h := range wire.Holds(u.GetHolds()) {
		if h.Stage == persimmoncross.QuarantineNone {
			delete(c.quarantines, h.Digest)
		} else {
			c.quarantines[h.Digest] = h
		}
	}
	if u.GetHeld() == 0 {
		return nil
	}
	return maps.Clone(c.quarantines)
}

// applyQuarantines brings the quarantines of a state into force, unless the state is older than
// that of the quarantines in force, because it then comes from a controller that lags behind.
func (e *Entry) applyQuarantines(index uint64, quarantines map[persimmoncross.Digest]persimmoncross.Quarantine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if index <= e.quarantinesIndex {
		return
	}
	e.quarantinesIndex = index
	e.quarantines = quarantines
	metrics.GetOrRegisterGauge("holds", e.Metrics).Update(int64(len(quarantines)))
	e.publishView()
}

// localEvaluationTimeout is how long an entry goes without an update from a controller with a
// lease before it decides on quarantines from its own records alone. The timeout is longer than an
// election and shorter than the time within which all entries must have a quarantine. It also
// limits how long the entry keeps its own quarantines in force once a controller has a lease
// again.
const localEvaluationTimeout = 2 * time.Second

// runLocalEvaluation decides on quarantines while no controller with a lease is reachable, and marks the
// stages of upgrades as out of date. An entry that is cut off from the controllers continues to serve, and
// keeps receiving the requests that crash upstreams.
func (e *Entry) runLocalEvaluation(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(evaluationInterval):
		}
		e.evaluateLocally(e.Clock.Now())
		e.updateStaleUpgrades(e.Clock.Now())
	}
}

func (e *Entry) evaluateLocally(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := e.startedAt
	if e.leasedAt.After(since) {
		since = e.leasedAt
	}
	switch {
	case now.Sub(since) < localEvaluationTimeout && e.localQuarantines == nil:
		return
	case now.Sub(since) < localEvaluationTimeout:
		if e.rejoinedAt.IsZero() {
			e.rejoinedAt = now
		}
		if now.Sub(e.rejoinedAt) >= localEvaluationTimeout || e.areLocalRefusalsShared() {
			e.localQuarantines = nil
			e.publishView()
		}
		return
	case e.localQuarantines == nil:
		e.localQuarantines = &quarantine.Store{}
	}
	e.rejoinedAt = time.Time{}
	cases, _ := e.quarantineRecorder.Records(0, now)
	if changes := e.localQuarantines.Evaluate(quarantine.Merge([][]quarantine.Record{cases}, maxEvaluatedCases), now); len(changes) > 0 {
		quarantine.LogChanges(e.Log, changes, now, nil)
		e.publishView()
	}
}

// areLocalRefusalsShared reports whether all requests that this entry refuses by its own
// decision are also refused by the controllers' quarantines. Until then, but for at most
// localEvaluationTimeout after a controller has a lease again, its own refusals stay in force,
// while its records go to the leader, which evaluates them again. The caller holds mu.
func (e *Entry) areLocalRefusalsShared() bool {
	for _, h := range e.localQuarantines.Quarantines() {
		if h.Stage == persimmoncross.QuarantineRefuse && e.quarantines[h.Digest].Stage != persimmoncross.QuarantineRefuse {
			return false
		}
	}
	return true
}

// effectiveQuarantines returns the quarantines in force on this entry: those of the controllers
// combined with its own. The caller holds mu.
func (e *Entry) effectiveQuarantines() map[persimmoncross.Digest]persimmoncross.Quarantine {
	if e.localQuarantines == nil {
		return e.quarantines
	}
	effective := maps.Clone(e.quarantines)
	if effective == nil {
		effective = map[persimmoncross.Digest]persimmoncross.Quarantine{}
	}
	for _, h := range e.localQuarantines.Quarantines() {
		if h.Stage > effective[h.Digest].Stage {
			effective[h.Digest] = h
		}
	}
	return effective
}
