package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross"
)

// Costs used by [Expected].
const (
	idleTimeToFirstToken    = 30 * time.Millisecond // to the first token at an idle engine
	prefillTimePerKB        = 4 * time.Millisecond  // of uncached prompt
	remoteDataCentrePenalty = 3 * time.Millisecond  // a second data centre's round trip
	errorPenalty            = 2 * time.Second       // times the share of failed attempts
	defaultMeanDuration     = time.Second
	bytesPerKB              = 1024
)

// Expected places a request where the expected time to its first token is
// least: its own reading, slower in a fuller batch, and the queue ahead of it.
// Equal ones are told apart at random, so that the entries do not all choose
// alike.
type Expected struct {
	Random *rand.Rand

	mu sync.Mutex // guards Random
}

// Place implements [persimmoncross.Placer].
func (e *Expected) Place(candidates []persimmoncross.Candidate, prompt int) int {
	least := math.Inf(1)
	var cheapest []int
	for i, c := range candidates {
		switch cost := expectedCost(c, prompt); {
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
	meanDuration := c.Hold
	if meanDuration == 0 {
		meanDuration = defaultMeanDuration
	}
	slots := float64(c.Slots)
	batchFactor := 1 + c.Busy/slots
	prefill := idleTimeToFirstToken.Seconds() + float64(max(0, promptBytes-c.Cached))/bytesPerKB*prefillTimePerKB.Seconds()
	cost := prefill*batchFactor + c.Busy/slots*batchSlowdown*meanDuration.Seconds()
	// A slot comes free about every hold/slots.
	cost += max(0, c.Busy+1-slots) / slots * meanDuration.Seconds()
	cost += c.Errors * errorPenalty.Seconds()
	if !c.Near {
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

// Place implements [persimmoncross.Placer].
func (r *Random) Place(candidates []persimmoncross.Candidate, _ int) int {
	return r.Random.IntN(len(candidates))
}

// RoundRobin places in turn: a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

// Place implements [persimmoncross.Placer].
func (r *RoundRobin) Place(candidates []persimmoncross.Candidate, _ int) int {
	return int(r.next.Add(1) % uint64(len(candidates)))
}

// LeastOutstanding places where this entry has least under way: a baseline.
type LeastOutstanding struct{}

// Place implements [persimmoncross.Placer].
func (LeastOutstanding) Place(candidates []persimmoncross.Candidate, _ int) int {
	best := 0
	for i, c := range candidates {
		if c.InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// TwoChoices takes the less loaded of two random ones: a baseline.
type TwoChoices struct {
	Random *rand.Rand
}

// Place implements [persimmoncross.Placer].
func (t *TwoChoices) Place(candidates []persimmoncross.Candidate, _ int) int {
	a := t.Random.IntN(len(candidates))
	b := t.Random.IntN(len(candidates))
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}
