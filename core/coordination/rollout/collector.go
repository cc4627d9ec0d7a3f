// Package rollout judges versions while they serve: what each entry saw of
// them, pooled over the entries, against the versions they replace.
//
// An entry notes each run in its [Collector], which also brakes a version at
// that entry at once. The leader of the settings pools the entries' counts and
// asks a [Judge] whether the roll-out goes on, goes back, or waits; what it
// decides is committed, so that the next leader goes on from there.
package rollout

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

// Rules of the local brake.
const (
	maxConsecutiveFailures = 5    // hard failures in a row
	slowQuantile           = 0.95 // the quantile of the old version's times that is slow
	runsPerSlowUpdate      = 64   // runs after which that quantile is computed anew
	latencySampleSize      = 512  // times that are remembered
	latencySampleDecay     = 0.015
	minLatencySamples      = 32          // times before any run is called slow
	maxControlRuns         = 8           // runs of other versions that wait to be compared with: the latest
	budgetRenewInterval    = time.Minute // a stage that got stuck, since callers left, gets its budget again
	minBaselineRatings     = 50          // answers of the old version rated before any of the new
)

// Tally counts what was seen of one version from one organisation.
type Tally struct {
	Runs            uint64
	FailedRuns      uint64 // of Runs: failed
	DiscordantPairs uint64 // runs compared with one of another version just before, one of the two slow
	SlowerPairs     uint64 // of Pairs: this version's was the slow one
	Ratings         uint64 // answers that were rated
	PoorRatings     uint64 // of Rated
}

// Add adds another's counts.
func (t *Tally) Add(o Tally) {
	t.Runs += o.Runs
	t.FailedRuns += o.FailedRuns
	t.DiscordantPairs += o.DiscordantPairs
	t.SlowerPairs += o.SlowerPairs
	t.Ratings += o.Ratings
	t.PoorRatings += o.PoorRatings
}

// TallyKey is what a tally is about.
type TallyKey struct {
	Version      persimmoncross.ModelVersion
	Organisation string
}

// Collector is what this process saw since it started.
type Collector struct {
	Judge Judge
	Clock persimmoncross.Clock

	mu                  sync.Mutex // guards all below
	tallies             map[TallyKey]*Tally
	consecutiveFailures map[persimmoncross.ModelVersion]int // in a row
	exposures           map[persimmoncross.ModelVersion]exposure
	latencies           map[string]*modelLatency // by model
	plans               map[persimmoncross.ModelVersion]Plan
}

// Plan is a roll-out in force, as this entry must keep to it.
type Plan struct {
	Baseline    persimmoncross.ModelVersion
	Stage       int
	StageBudget int     // runs that this entry may give the version in the stage
	Margin      float64 // excess rate of bad runs that makes the version bad
}

// exposure counts what a version got in a stage.
type exposure struct {
	stage         int
	budgetUsed    int       // of the budget
	budgetStart   time.Time // the budget's beginning
	completedRuns uint64    // runs that ended, pinned sessions' too
}

// modelLatency estimates which times to the first token are slow for a model,
// from runs on versions that are not being rolled out.
type modelLatency struct {
	sample        metrics.Sample
	slowThreshold time.Duration
	sampleCount   int
	// controlRuns holds, for the latest runs of versions that are not being rolled
	// out, whether each was slow. A run of a version that is takes one of them to
	// be compared with: when the pool gets slower, both are slow, and the pair
	// says nothing.
	controlRuns []bool
}

// SetPlans replaces the roll-outs in force, by the version rolled out.
func (e *Collector) SetPlans(plans map[persimmoncross.ModelVersion]Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plans = plans
}

// Note takes the outcome of one run; first is the time to its first token, 0
// if there was none.
func (e *Collector) Note(v persimmoncross.ModelVersion, organisation string, failed bool, timeToFirstToken time.Duration) {
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
	e.recordLatency(t, v, timeToFirstToken)
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
	m.sampleCount++
	if m.sampleCount >= minLatencySamples && m.sampleCount%runsPerSlowUpdate == 0 || m.sampleCount == minLatencySamples {
		m.slowThreshold = time.Duration(m.sample.Percentile(slowQuantile))
	}
}

// recordPair pairs a run with the latest control that has no pair yet.
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

// Rated takes a rating of one answer.
func (e *Collector) Rated(v persimmoncross.ModelVersion, organisation string, poor bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureMaps()
	t := e.tally(v, organisation)
	t.Ratings++
	if poor {
		t.PoorRatings++
	}
}

// Sample reports whether an answer of the version should be rated: each of a
// version that is being rolled out, and of the one it replaces somewhat more
// than that, so that the rater's work stays bounded by the roll-outs' budgets.
func (e *Collector) Sample(v persimmoncross.ModelVersion) bool {
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

// ratingCount counts the ratings of a version from all organisations.
func (e *Collector) ratingCount(v persimmoncross.ModelVersion) uint64 {
	var n uint64
	for s, t := range e.tallies {
		if s.Version == v {
			n += t.Ratings
		}
	}
	return n
}

// Expose asks whether this entry may give the version a new session or request
// that could go elsewhere, and counts it. Only versions that are being rolled
// out are ever refused.
func (e *Collector) Expose(v persimmoncross.ModelVersion) bool {
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

// currentExposure returns what the version got in the stage of the plan.
func (e *Collector) currentExposure(v persimmoncross.ModelVersion, p Plan) exposure {
	if current, ok := e.exposures[v]; ok && current.stage == p.Stage {
		return current
	}
	return exposure{
		stage:       p.Stage,
		budgetStart: e.Clock.Now(),
	}
}

// StageRuns returns, for each version being rolled out, its stage and the runs
// that ended in it at this entry.
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

// StageRuns counts the runs that ended in a stage.
type StageRuns struct {
	Stage int
	Runs  uint64
}

// isBad reports whether this entry's own evidence is already enough.
func (e *Collector) isBad(v persimmoncross.ModelVersion, p Plan) bool {
	pool := PooledEvidence{
		Margin:    p.Margin,
		Candidate: map[string]Tally{},
		Baseline:  map[string]Tally{},
	}
	for s, t := range e.tallies {
		pool.Add(s, *t, v, p.Baseline)
	}
	return e.Judge.BadReason(pool) != ""
}

// Tallies returns a copy of the counts.
func (e *Collector) Tallies() map[TallyKey]Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[TallyKey]Tally{}
	for s, t := range e.tallies {
		all[s] = *t
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
	s := TallyKey{
		Version:      v,
		Organisation: organisation,
	}
	t := e.tallies[s]
	if t == nil {
		t = &Tally{}
		e.tallies[s] = t
	}
	return t
}
