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

// How requests that end upstreams are known everywhere: entries tell their
// controller the cases of their books as they change, controllers tell the leader,
// which judges; the holds go through the log, so that they outlive it, and from
// each controller to its entries.

// Of holds and cases.
const (
	judgeInterval            = 100 * time.Millisecond
	idleJudgeInterval        = time.Second // where nothing new was told
	maxCasesPerReport        = 128         // in an account: 10 KB with an end or two each
	maxQuarantinesPerMessage = 64          // in an update or a command: 4 KB
	maxCasesPerReporter      = 1024        // that a controller keeps of each
	maxJudgedCases           = 4096        // that are judged: 1 MB
)

// caseAggregator keeps what the followers of a controller saw. What an entry told that
// is gone counts on.
type caseAggregator struct {
	clock persimmoncross.Clock

	mu         sync.Mutex // guards all below
	byReporter map[string]map[persimmoncross.Digest]versionedCase
	version    uint64
}

// versionedCase is a case with the count of news that it came with.
type versionedCase struct {
	quarantine.Record
	version uint64
}

// receive keeps cases of a sender; each replaces the one before of its digest.
func (a *caseAggregator) receive(reporter string, cases []*wire.Case) {
	if len(cases) == 0 {
		return
	}
	now := a.clock.Now()
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
	for _, c := range wire.Cases(cases, now) {
		if _, known := reporterCases[c.Digest]; known || len(reporterCases) < maxCasesPerReporter {
			reporterCases[c.Digest] = versionedCase{
				Record:  c,
				version: a.version,
			}
		}
	}
}

// hasChangedSince reports whether anything came since the count of news.
func (a *caseAggregator) hasChangedSince(since uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version != since
}

// removeStale drops what counts no more. The caller holds mu.
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

// mergedSince returns what all senders saw, of the digests that came with news since the
// count, and the count now.
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
	return quarantine.Merge(lists, maxJudgedCases), a.version
}

// quarantineTracker remembers since when this process has known of each hold. One goroutine
// owns it.
type quarantineTracker map[persimmoncross.Digest]quarantine.TrackedQuarantine

// update takes the holds in force.
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

// hasIsolated reports whether a request is watched: time alone may prove it.
func (t quarantineTracker) hasIsolated() bool {
	for _, h := range t {
		if h.Stage == persimmoncross.QuarantineIsolate {
			return true
		}
	}
	return false
}

// runQuarantineJudge judges, while this controller leads, which requests end upstreams.
func (c *Controller) runQuarantineJudge(ctx context.Context) {
	tracker := quarantineTracker{}
	judgedVersion, judgedAt := uint64(0), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(judgeInterval):
		}
		now := c.Clock.Now()
		tracker.update(c.register.Current(), now)
		if !c.isLeaderWithLease() || !c.cases.hasChangedSince(judgedVersion) && !tracker.hasIsolated() && now.Sub(judgedAt) < idleJudgeInterval {
			continue
		}
		var cases []quarantine.Record
		cases, judgedVersion = c.cases.mergedSince(0, now)
		judgedAt = now
		if changes := quarantine.Evaluate(cases, tracker, now); len(changes) > 0 {
			c.proposeQuarantines(ctx, changes[:min(len(changes), maxQuarantinesPerMessage)], now)
		}
	}
}

// proposeQuarantines brings changes into force.
func (c *Controller) proposeQuarantines(ctx context.Context, changes []quarantine.Change, now time.Time) {
	command := register.Command{}
	for _, x := range changes {
		command.Holds = append(command.Holds, x.Quarantine)
	}
	_, err := c.propose(ctx, command)
	for _, x := range changes {
		c.incrementCounter("hold." + x.Stage.String())
	}
	quarantine.LogChanges(c.Log, changes, now, err)
}

// casesForLeader returns what changed of this controller's part, for the leader.
func (c *Controller) casesForLeader(since uint64) ([]*wire.Case, uint64) {
	now := c.Clock.Now()
	cases, version := c.cases.mergedSince(since, now)
	return wire.FromCases(cases, now), version
}

// changedCases returns what changed in this entry's book.
func (e *Entry) changedCases(since uint64) ([]*wire.Case, uint64) {
	now := e.Clock.Now()
	cases, version := e.quarantineRecorder.Records(since, now)
	return wire.FromCases(cases, now), version
}

// sentQuarantines is what of the holds one follower has got.
type sentQuarantines struct {
	sent       map[persimmoncross.Digest]persimmoncross.Quarantine
	stateIndex uint64 // index of the state that told is of, once it is whole
}

// addChanges puts into the update what the follower lacks, and reports whether that is
// all.
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

// applyQuarantines takes changes of the holds, and returns all of them once they are whole.
func (c *controllerStream) applyQuarantines(u *wire.Update) map[persimmoncross.Digest]persimmoncross.Quarantine {
	if c.holds == nil {
		c.holds = map[persimmoncross.Digest]persimmoncross.Quarantine{}
	}
	for _, h := range wire.Holds(u.GetHolds()) {
		if h.Stage == persimmoncross.QuarantineNone {
			delete(c.holds, h.Digest)
		} else {
			c.holds[h.Digest] = h
		}
	}
	if u.GetHeld() == 0 {
		return nil
	}
	return maps.Clone(c.holds)
}

// applyQuarantines brings the holds of a state into force, unless they are older than
// those here: they come from a controller that lags.
func (e *Entry) applyQuarantines(index uint64, holds map[persimmoncross.Digest]persimmoncross.Quarantine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if index <= e.quarantinesIndex {
		return
	}
	e.quarantinesIndex = index
	e.holds = holds
	metrics.GetOrRegisterGauge("holds", e.Metrics).Update(int64(len(holds)))
	e.publishView()
}

// localJudgeTimeout is how long no controller's state was recent before an entry judges by
// what it saw itself: longer than an election, and shorter than the time in which all
// have to know. For as long at most it refuses on what it found, once a controller
// judges again.
const localJudgeTimeout = 2 * time.Second

// runLocalJudge judges while no controller does for all: cut off from them, an entry goes
// on serving, and what ends upstreams goes on coming.
func (e *Entry) runLocalJudge(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(judgeInterval):
		}
		e.judgeLocally(e.Clock.Now())
	}
}

func (e *Entry) judgeLocally(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := e.startedAt
	if e.leasedAt.After(since) {
		since = e.leasedAt
	}
	switch {
	case now.Sub(since) < localJudgeTimeout && e.localKeeper == nil:
		return
	case now.Sub(since) < localJudgeTimeout:
		if e.rejoinedAt.IsZero() {
			e.rejoinedAt = now
		}
		if now.Sub(e.rejoinedAt) >= localJudgeTimeout || e.areLocalRefusalsShared() {
			e.localKeeper = nil
			e.publishView()
		}
		return
	case e.localKeeper == nil:
		e.localKeeper = &quarantine.Store{}
	}
	e.rejoinedAt = time.Time{}
	cases, _ := e.quarantineRecorder.Records(0, now)
	if changes := e.localKeeper.Evaluate(quarantine.Merge([][]quarantine.Record{cases}, maxJudgedCases), now); len(changes) > 0 {
		quarantine.LogChanges(e.Log, changes, now, nil)
		e.publishView()
	}
}

// areLocalRefusalsShared reports whether what this entry refuses by itself is refused by all. It
// goes on refusing it until then: what it found is told to the leader, who judges anew.
// The caller holds mu.
func (e *Entry) areLocalRefusalsShared() bool {
	for _, h := range e.localKeeper.Holds() {
		if h.Stage == persimmoncross.QuarantineRefuse && e.holds[h.Digest].Stage != persimmoncross.QuarantineRefuse {
			return false
		}
	}
	return true
}

// effectiveQuarantines returns the holds in force here. The caller holds mu.
func (e *Entry) effectiveQuarantines() map[persimmoncross.Digest]persimmoncross.Quarantine {
	if e.localKeeper == nil {
		return e.holds
	}
	effective := maps.Clone(e.holds)
	if effective == nil {
		effective = map[persimmoncross.Digest]persimmoncross.Quarantine{}
	}
	for _, h := range e.localKeeper.Holds() {
		if h.Stage > effective[h.Digest].Stage {
			effective[h.Digest] = h
		}
	}
	return effective
}
