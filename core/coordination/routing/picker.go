package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross"
)

// Estimates and penalties used by [ExpectedLatency].
const (
	idleTimeToFirstToken    = 30 * time.Millisecond // time to the first token at an idle engine
	prefillTimePerKB        = 4 * time.Millisecond  // per KB of uncached prompt
	remoteDataCentrePenalty = 3 * time.Millisecond  // round trip to another data centre
	errorPenalty            = 2 * time.Second       // multiplied by the share of failed attempts
	defaultMeanDuration     = time.Second
	bytesPerKB              = 1024
)

// ExpectedLatency picks the upstream with the lowest expected time to the first token. It
// estimates that time from the prefill time of the prompt, which grows with the number of
// requests in the batch, and from the wait in the upstream's queue. Ties are broken at
// random, so that the entries do not all pick the same upstream.
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

// expectedCost returns the expected time to the first token plus the penalties for failed
// attempts and for another data centre, in seconds.
func expectedCost(c persimmoncross.Candidate, promptBytes int) float64 {
	meanDuration := c.MeanDuration
	if meanDuration == 0 {
		meanDuration = defaultMeanDuration
	}
	slots := float64(c.Slots)
	batchFactor := 1 + c.EstimatedInFlight/slots
	prefill := idleTimeToFirstToken.Seconds() + float64(max(0, promptBytes-c.CachedBytes))/bytesPerKB*prefillTimePerKB.Seconds()
	cost := prefill*batchFactor + c.EstimatedInFlight/slots*batchSlowdown*meanDuration.Seconds()
	// A slot becomes free about every meanDuration/slots.
	cost += max(0, c.EstimatedInFlight+1-slots) / slots * meanDuration.Seconds()
	cost += c.ErrorRate * errorPenalty.Seconds()
	if !c.SameDataCentre {
		cost += remoteDataCentrePenalty.Seconds()
	}
	return cost
}

// batchSlowdown is the share by which each request slows down the others in the same batch.
// It limits how many requests a cached prefix attracts to one upstream.
const batchSlowdown = 0.03

// Random picks at random. It is a baseline for comparisons.
type Random struct {
	Random *rand.Rand
}

// Pick implements [persimmoncross.Picker].
func (r *Random) Pick(candidates []persimmoncross.Candidate, _ int) int {
	return r.Random.IntN(len(candidates))
}

// RoundRobin picks in turn. It is a baseline for comparisons.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements [persimmoncross.Picker].
func (r *RoundRobin) Pick(candidates []persimmoncross.Candidate, _ int) int {
	return int(r.next.Add(1) % uint64(len(candidates)))
}

// LeastOutstanding picks the candidate with the fewest in-flight requests from this entry. It
// is a baseline for comparisons.
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

// PowerOfTwoChoices picks the less loaded of two random candidates. It is a baseline for
// comparisons.
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
