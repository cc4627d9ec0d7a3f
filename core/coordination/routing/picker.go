package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross"
)

// Costs used by [ExpectedLatency].
const (
	idleTimeToFirstToken    = 30 * time.Millisecond // to the first token at an idle engine
	prefillTimePerKB        = 4 * time.Millisecond  // of uncached prompt
	remoteDataCentrePenalty = 3 * time.Millisecond  // a second data centre's round trip
	errorPenalty            = 2 * time.Second       // times the share of failed attempts
	defaultMeanDuration     = time.Second
	bytesPerKB              = 1024
)

// ExpectedLatency places a request where the expected time to its first token is
// least: its own reading, slower in a fuller batch, and the queue ahead of it.
// Equal ones are told apart at random, so that the entries do not all choose
// alike.
type ExpectedLatency struct {
	Random *rand.Rand

	mu sync.Mutex // guards Random
}

// Pick implements [persimmoncross.Picker].
func (e *ExpectedLatency) Pick(candidates []persimmoncross.Candidate, promptBytes int) int {
	least := math.Inf(1)
	var cheapest []int
	for i, c := range candidates {
		switch cost := expectedCost(c, promptBytes); {
		case cost < least:
			least = cost
			cheapest = append(cheapest[:0], i)
		case cost == least:
			cheapest = append(cheapest, i)
		}
	}
	if len(cheapest) == 1 {
		return cheapest[0]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return cheapest[e.Random.IntN(len(cheapest))]
}

// expectedCost returns seconds to the first token.
func expectedCost(c persimmoncross.Candidate, promptBytes int) float64 {
	meanDuration := c.MeanDuration
	if meanDuration == 0 {
		meanDuration = defaultMeanDuration
	}
	slots := float64(c.Slots)
	batchFactor := 1 + c.EstimatedInFlight/slots
	prefill := idleTimeToFirstToken.Seconds() + float64(max(0, promptBytes-c.CachedBytes))/bytesPerKB*prefillTimePerKB.Seconds()
	cost := prefill*batchFactor + c.EstimatedInFlight/slots*batchSlowdown*meanDuration.Seconds()
	// A slot comes free about every hold/slots.
	cost += max(0, c.EstimatedInFlight+1-slots) / slots * meanDuration.Seconds()
	cost += c.ErrorRate * errorPenalty.Seconds()
	if !c.SameDataCentre {
		cost += remoteDataCentrePenalty.Seconds()
	}
	return cost
}

// batchSlowdown is what one more request costs those that run beside it, as a
// share of their time: it bounds how far a cached prefix draws work together.
const batchSlowdown = 0.03

// Random places anywhere: a baseline.
type Random struct {
	Random *rand.Rand
}

// Pick implements [persimmoncross.Picker].
func (r *Random) Pick(candidates []persimmoncross.Candidate, _ int) int {
	return r.Random.IntN(len(candidates))
}

// RoundRobin places in turn: a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements [persimmoncross.Picker].
func (r *RoundRobin) Pick(candidates []persimmoncross.Candidate, _ int) int {
	return int(r.next.Add(1) % uint64(len(candidates)))
}

// LeastOutstanding places where this entry has least under way: a baseline.
type LeastOutstanding struct{}

// Pick implements [persimmoncross.Picker].
func (LeastOutstanding) Pick(candidates []persimmoncross.Candidate, _ int) int {
	best := 0
	for i, c := range candidates {
		if c.InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// PowerOfTwoChoices takes the less loaded of two random ones: a baseline.
type PowerOfTwoChoices struct {
	Random *rand.Rand
}

// Pick implements [persimmoncross.Picker].
func (t *PowerOfTwoChoices) Pick(candidates []persimmoncross.Candidate, _ int) int {
	a := t.Random.IntN(len(candidates))
	b := t.Random.IntN(len(candidates))
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}
