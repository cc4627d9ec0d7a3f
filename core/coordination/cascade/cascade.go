// Package cascade decides at which step of a cascade a request starts, from
// what each step cost and how often its answers were good enough, for the same
// organisation and kind of request.
package cascade

import (
	"math/bits"
	"sync"
	"time"
)

// Rules of the estimates.
const (
	priorAccepted        = 1.0 // a new step is taken to be good enough every second time
	priorRated           = 2.0
	ratingDecay          = 0.995 // of what was seen, at each new rating
	durationWeight       = 0.1
	explorationInterval  = 25  // one request in so many starts at a step that is skipped
	durationSafetyFactor = 1.5 // a step may take so many times its mean
	maxRaterFailures     = 3   // failures in a row after which nothing waits for the rater
	raterRetryInterval   = 64  // requests after which it is tried again
)

// Step is one step of a cascade.
type Step struct {
	Model string
	Price float64 // of its tokens
}

// SizeClass groups requests of about the same length.
func SizeClass(bodySize int) int { return bits.Len(uint(bodySize)) }

// Estimator learns from past requests.
type Estimator struct {
	mu                    sync.Mutex // guards all below
	ratings               map[ratingKey]*ratingStats
	meanDurations         map[string]float64 // seconds, by model
	decisions             int
	raterFailures         int // of the rater, in a row
	decisionsWithoutRater int // requests since the rater was found down
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

// FirstStep returns the step to begin with: the one of least expected cost, among
// those after which there would still be time for the steps that follow.
func (e *Estimator) FirstStep(organisation string, sizeClass int, steps []Step, remaining time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := len(steps) - 1
	if e.shouldSkipRater() {
		return last
	}
	e.decisions++
	explore := e.decisions%explorationInterval == 0
	// From the strongest down: what it costs to start at each step.
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

// shouldSkipRater reports whether the rater is down: then no answer below the
// strongest step's could be accepted. Now and then it is tried again.
func (e *Estimator) shouldSkipRater() bool {
	if e.raterFailures < maxRaterFailures {
		return false
	}
	e.decisionsWithoutRater++
	return e.decisionsWithoutRater%raterRetryInterval != 0
}

// fitsDeadline reports whether all the steps would end in time, one after another.
func (e *Estimator) fitsDeadline(steps []Step, remaining time.Duration) bool {
	sum := 0.0
	for _, s := range steps {
		sum += e.meanDurations[s.Model]
	}
	return durationSafetyFactor*sum <= remaining.Seconds()
}

func (e *Estimator) acceptanceRate(organisation string, sizeClass int, model string) float64 {
	c := e.ratings[ratingKey{
		organisation: organisation,
		model:        model,
		sizeClass:    sizeClass,
	}]
	if c == nil {
		return priorAccepted / priorRated
	}
	return (c.accepted + priorAccepted) / (c.rated + priorRated)
}

// RecordRating notes whether a step's answer was good enough.
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
	c := e.ratings[key]
	if c == nil {
		c = &ratingStats{}
		e.ratings[key] = c
	}
	c.accepted *= ratingDecay
	c.rated = c.rated*ratingDecay + 1
	if accepted {
		c.accepted++
	}
}

// RecordRaterFailure notes that the rater gave no rating.
func (e *Estimator) RecordRaterFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.raterFailures++
}

// RecordDuration notes how long a step took.
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
