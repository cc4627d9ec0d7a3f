// Package cascade decides with which model a request starts, and when it escalates to a larger
// one. An [Estimator] selects the first step of a cascade from the price of each step and from
// how often its answers were accepted, by organisation and size class. An [EscalationPolicy]
// decides from the confidence that a model reports in its answer.
package cascade

import (
	"math/bits"
	"sync"
	"time"
)

// Priors, weights and intervals of the Estimator.
const (
	priorAccepted        = 1.0 // with priorRated, a step without ratings has an acceptance rate of one half
	priorRated           = 2.0
	ratingDecay          = 0.995 // factor of the earlier ratings at each new rating
	durationWeight       = 0.1   // weight of one duration in the moving average
	explorationInterval  = 25    // one in this many requests starts at the first step that fits the deadline, regardless of cost
	durationSafetyFactor = 1.5   // multiple of its mean duration that a step is allowed to take
	maxRaterFailures     = 3     // consecutive failures after which the rater counts as down
	raterRetryInterval   = 64    // requests after which a rater that is down is tried again
)

// Step is one step of a cascade.
type Step struct {
	Model string
	Price float64 // price of the step's tokens
}

// SizeClass returns the size class of a request body of bodySize bytes. Bodies of similar size
// are in the same class.
func SizeClass(bodySize int) int { return bits.Len(uint(bodySize)) }

// Estimator estimates acceptance rates and durations of cascade steps from past requests.
type Estimator struct {
	mu                    sync.Mutex // guards the fields below
	ratings               map[ratingKey]*ratingStats
	meanDurations         map[string]float64 // moving averages in seconds, by model
	decisions             int
	raterFailures         int // consecutive failures of the rater
	decisionsWithoutRater int // requests since the rater was found to be down
}

type ratingKey struct {
	organisation string
	model        string
	sizeClass    int
}

type ratingStats struct {
	accepted float64
	rated    float64
}

// FirstStep returns the index of the step to start with. This is the step with the lowest
// expected cost among those that leave enough time for the steps after them. One in
// explorationInterval requests starts at the first of those steps regardless of its cost. While
// the rater is down the last step is returned.
func (e *Estimator) FirstStep(organisation string, sizeClass int, steps []Step, remaining time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := len(steps) - 1
	if e.shouldSkipRater() {
		return last
	}
	e.decisions++
	explore := e.decisions%explorationInterval == 0
	// From the last and strongest step down, compute the expected cost of starting there.
	best, bestCost := last, steps[last].Price
	for i := last - 1; i >= 0; i-- {
		if !e.fitsDeadline(steps[i:], remaining) {
			break
		}
		stepCost := steps[i].Price + (1-e.acceptanceRate(organisation, sizeClass, steps[i].Model))*bestCost
		if stepCost < bestCost || explore {
			best, bestCost = i, min(stepCost, bestCost)
		}
	}
	return best
}

// shouldSkipRater reports whether the rater is down, in which case only an answer of the last
// step could be accepted. It returns false once per raterRetryInterval requests, so that the
// rater is tried again.
func (e *Estimator) shouldSkipRater() bool {
	if e.raterFailures < maxRaterFailures {
		return false
	}
	e.decisionsWithoutRater++
	return e.decisionsWithoutRater%raterRetryInterval != 0
}

// fitsDeadline reports whether all steps, one after another, would end within the remaining
// time.
func (e *Estimator) fitsDeadline(steps []Step, remaining time.Duration) bool {
	sum := 0.0
	for _, s := range steps {
		sum += e.meanDurations[s.Model]
	}
	return durationSafetyFactor*sum <= remaining.Seconds()
}

func (e *Estimator) acceptanceRate(organisation string, sizeClass int, model string) float64 {
	stats := e.ratings[ratingKey{
		organisation: organisation,
		model:        model,
		sizeClass:    sizeClass,
	}]
	if stats == nil {
		return priorAccepted / priorRated
	}
	return (stats.accepted + priorAccepted) / (stats.rated + priorRated)
}

// RecordRating records whether the rater accepted a step's answer.
func (e *Estimator) RecordRating(organisation string, sizeClass int, model string, accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.raterFailures = 0
	e.decisionsWithoutRater = 0
	if e.ratings == nil {
		e.ratings = map[ratingKey]*ratingStats{}
	}
	key := ratingKey{
		organisation: organisation,
		model:        model,
		sizeClass:    sizeClass,
	}
	stats := e.ratings[key]
	if stats == nil {
		stats = &ratingStats{}
		e.ratings[key] = stats
	}
	stats.accepted *= ratingDecay
	stats.rated = stats.rated*ratingDecay + 1
	if accepted {
		stats.accepted++
	}
}

// RecordRaterFailure records that the rater returned no rating.
func (e *Estimator) RecordRaterFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.raterFailures++
}

// RecordDuration records how long a step took.
func (e *Estimator) RecordDuration(model string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.meanDurations == nil {
		e.meanDurations = map[string]float64{}
	}
	if mean, ok := e.meanDurations[model]; ok {
		e.meanDurations[model] = mean + durationWeight*(d.Seconds()-mean)
		return
	}
	e.meanDurations[model] = d.Seconds()
}
