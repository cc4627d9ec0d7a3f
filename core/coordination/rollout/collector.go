// Package rollout evaluates new versions while they serve requests: it compares the
// outcomes of their runs, pooled over all entries, with those of the versions that
// they replace.
//
// Each entry records its runs in a [Collector], which also withholds new requests
// from a bad version at that entry immediately. The leader of the settings log pools
// the entries' counts and uses a [Judge] to decide whether the rollout advances, is
// rolled back, or waits. Decisions are committed, so that the next leader continues
// from them.
package rollout

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

// Limits of the collector. A control run is a run of a version that is not being rolled out.
const (
	maxConsecutiveFailures = 5    // failed runs in a row after which the entry withholds the version
	slowQuantile           = 0.95 // quantile of the control runs' times to the first token above which a run is slow
	runsPerThresholdUpdate = 64   // control runs between two updates of that quantile
	latencySampleSize      = 512  // size of the sample of those times
	latencySampleDecay     = 0.015
	minLatencySamples      = 32 // control runs before any run is classified as slow
	maxControlRuns         = 8  // latest control runs that are kept for pairing
	// budgetRenewInterval is the interval at which a stage's budget is renewed, because requests
	// whose callers disconnected use the budget without completing a run, and the stage would
	// otherwise get no more requests.
	budgetRenewInterval = time.Minute
	minBaselineRatings  = 50 // baseline answers that are rated even if none of the new version has been rated
)

// Tally counts the outcomes of one version's runs for one organisation.
type Tally struct {
	Runs            uint64
	FailedRuns      uint64 // failed runs, included in Runs
	DiscordantPairs uint64 // runs paired with an earlier run of another version, exactly one of them slow
	SlowerPairs     uint64 // of DiscordantPairs, those in which this version's run was the slow one
	Ratings         uint64 // rated answers
	PoorRatings     uint64 // answers rated poor, included in Ratings
}

// Add adds the counts of o.
func (t *Tally) Add(o Tally) {
	t.Runs += o.Runs
	t.FailedRuns += o.FailedRuns
	t.DiscordantPairs += o.DiscordantPairs
	t.SlowerPairs += o.SlowerPairs
	t.Ratings += o.Ratings
	t.PoorRatings += o.PoorRatings
}

// TallyKey identifies a tally.
type TallyKey struct {
	Version      persimmoncross.ModelVersion
	Organisation string
}

// Collector counts the outcomes of runs observed by this process since it started.
type Collector struct {
	Judge Judge
	Clock persimmoncross.Clock

	mu                  sync.Mutex // guards all fields below
	tallies             map[TallyKey]*Tally
	consecutiveFailures map[persimmoncross.ModelVersion]int // failed runs since the last successful run
	exposures           map[persimmoncross.ModelVersion]exposure
	latencies           map[string]*modelLatency // by model
	plans               map[persimmoncross.ModelVersion]Plan
}

// Plan is a rollout in force, as this entry has to follow it.
type Plan struct {
	Baseline persimmoncross.ModelVersion
	Stage    int
	// StageBudget is the number of requests that this entry may send to the version in each
	// budgetRenewInterval of the stage.
	StageBudget int
	Margin      float64 // excess of the rate of bad runs over the baseline's that makes the version bad
}

// exposure counts the requests that a version got in a stage.
type exposure struct {
	stage         int
	budgetUsed    int       // part of StageBudget that is used
	budgetStart   time.Time // when the budget was last renewed
	completedRuns uint64    // completed runs, including those of pinned sessions
}

// modelLatency estimates the time to the first token above which a run of a model is slow,
// from runs of versions that are not being rolled out.
type modelLatency struct {
	sample        metrics.Sample
	slowThreshold time.Duration
	runCount      int
	// controlRuns says for each of the latest runs of versions that are not being rolled out
	// whether the run was slow. Each run of a version that is being rolled out is paired with
	// one of them. When all upstreams get slower, both runs of a pair are slow, and the pair
	// is no evidence.
	controlRuns []bool
}

// SetPlans replaces the rollouts in force; the keys are the versions being rolled out.
func (e *Collector) SetPlans(plans map[persimmoncross.ModelVersion]Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plans = plans
}

// RecordFirstToken records the time to a run's first token, before its end is known: slow runs end last.
func (e *Collector) RecordFirstToken(v persimmoncross.ModelVersion, organisation string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureMaps()
	e.recordLatency(e.tally(v, organisation), v, took)
}

// RecordRun records the outcome of one run.
func (e *Collector) RecordRun(v persimmoncross.ModelVersion, organisation string, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureMaps()
	if p, rolling := e.plans[v]; rolling {
		x := e.currentExposure(v, p)
		x.completedRuns++
		e.exposures[v] = x
	}
	t := e.tally(v, organisation)
	t.Runs++
	if failed {
		t.FailedRuns++
		e.consecutiveFailures[v]++
		return
	}
	e.consecutiveFailures[v] = 0
}

func (e *Collector) recordLatency(t *Tally, v persimmoncross.ModelVersion, timeToFirstToken time.Duration) {
	m := e.latencies[v.Model]
	if m == nil {
		m = &modelLatency{
			sample: metrics.NewExpDecaySample(latencySampleSize, latencySampleDecay),
		}
		e.latencies[v.Model] = m
	}
	slow := m.slowThreshold > 0 && timeToFirstToken > m.slowThreshold
	if _, rolling := e.plans[v]; rolling {
		t.recordPair(m, slow)
		return
	}
	if m.slowThreshold > 0 {
		m.controlRuns = append(m.controlRuns, slow)
		m.controlRuns = m.controlRuns[max(0, len(m.controlRuns)-maxControlRuns):]
	}
	m.sample.Update(int64(timeToFirstToken))
	m.runCount++
	if m.runCount >= minLatencySamples && m.runCount%runsPerThresholdUpdate == 0 || m.runCount == minLatencySamples {
		m.slowThreshold = time.Duration(m.sample.Percentile(slowQuantile))
	}
}

// recordPair pairs a run with the latest control run that is not paired yet.
func (t *Tally) recordPair(m *modelLatency, slow bool) {
	n := len(m.controlRuns)
	if n == 0 {
		return
	}
	control := m.controlRuns[n-1]
	m.controlRuns = m.controlRuns[:n-1]
	if control == slow {
		return
	}
	t.DiscordantPairs++
	if slow {
		t.SlowerPairs++
	}
}

// RecordRating records the rating of one answer.
func (e *Collector) RecordRating(v persimmoncross.ModelVersion, organisation string, poor bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureMaps()
	t := e.tally(v, organisation)
	t.Ratings++
	if poor {
		t.PoorRatings++
	}
}

// ShouldRate reports whether an answer of the version should be rated. All answers of a version
// that is being rolled out are rated. Of the version that it replaces, up to twice that number
// plus minBaselineRatings are rated, so that the rollouts' budgets limit the load of the rater.
func (e *Collector) ShouldRate(v persimmoncross.ModelVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, rolling := e.plans[v]; rolling {
		return true
	}
	for to, p := range e.plans {
		if p.Baseline == v {
			return e.ratingCount(v) < 2*e.ratingCount(to)+minBaselineRatings
		}
	}
	return false
}

// ratingCount returns the number of ratings of a version for all organisations.
func (e *Collector) ratingCount(v persimmoncross.ModelVersion) uint64 {
	var n uint64
	for key, t := range e.tallies {
		if key.Version == v {
			n += t.Ratings
		}
	}
	return n
}

// TryExpose reports whether this entry may send the version a new session, or a request that
// another version could run, and counts the request if so. It returns false only for versions
// that are being rolled out.
func (e *Collector) TryExpose(v persimmoncross.ModelVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, rolling := e.plans[v]
	if !rolling {
		return true
	}
	e.ensureMaps()
	x := e.currentExposure(v, p)
	if now := e.Clock.Now(); now.Sub(x.budgetStart) >= budgetRenewInterval {
		x.budgetUsed = 0
		x.budgetStart = now
	}
	if x.budgetUsed >= p.StageBudget || e.consecutiveFailures[v] >= maxConsecutiveFailures || e.isBad(v, p) {
		return false
	}
	x.budgetUsed++
	e.exposures[v] = x
	return true
}

// currentExposure returns the version's exposure in the current stage of the plan.
func (e *Collector) currentExposure(v persimmoncross.ModelVersion, p Plan) exposure {
	if current, ok := e.exposures[v]; ok && current.stage == p.Stage {
		return current
	}
	return exposure{
		stage:       p.Stage,
		budgetStart: e.Clock.Now(),
	}
}

// StageRuns returns, for each version that is or was being rolled out, its latest stage and the
// number of runs completed in that stage at this entry.
func (e *Collector) StageRuns() map[persimmoncross.ModelVersion]StageRuns {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[persimmoncross.ModelVersion]StageRuns{}
	for v, x := range e.exposures {
		all[v] = StageRuns{
			Stage: x.stage,
			Runs:  x.completedRuns,
		}
	}
	return all
}

// StageRuns is the number of runs completed in a stage.
type StageRuns struct {
	Stage int
	Runs  uint64
}

// isBad reports whether the evidence of this entry alone shows that the version is bad.
func (e *Collector) isBad(v persimmoncross.ModelVersion, p Plan) bool {
	pool := PooledEvidence{
		Margin:    p.Margin,
		Candidate: map[string]Tally{},
		Baseline:  map[string]Tally{},
	}
	for key, t := range e.tallies {
		pool.Add(key, *t, v, p.Baseline)
	}
	return e.Judge.BadReason(pool) != ""
}

// Tallies returns a copy of the tallies.
func (e *Collector) Tallies() map[TallyKey]Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[TallyKey]Tally{}
	for key, t := range e.tallies {
		all[key] = *t
	}
	return all
}

func (e *Collector) ensureMaps() {
	if e.tallies != nil {
		return
	}
	e.tallies = map[TallyKey]*Tally{}
	e.consecutiveFailures = map[persimmoncross.ModelVersion]int{}
	e.exposures = map[persimmoncross.ModelVersion]exposure{}
	e.latencies = map[string]*modelLatency{}
}

func (e *Collector) tally(v persimmoncross.ModelVersion, organisation string) *Tally {
	key := TallyKey{
		Version:      v,
		Organisation: organisation,
	}
	t := e.tallies[key]
	if t == nil {
		t = &Tally{}
		e.tallies[key] = t
	}
	return t
}
