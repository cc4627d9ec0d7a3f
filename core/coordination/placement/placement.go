// Package placement decides which upstream gets a request, from the current load of the
// upstreams. It has no I/O, no locks and no clock.
//
// All entries rank the upstreams of a prompt's prefix key in the same order without
// exchanging messages, so that the shared prefix is prefilled once and then found in the
// upstream's cache. A prompt goes to another upstream than the preferred one if its expected
// wait at the preferred one exceeds the mean of the candidates by more than a fixed allowance
// and a multiple of the time to prefill the shared prefix again.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the time that a prompt waits before its prefill begins.
const (
	// maxExtraWait is how much longer than the mean of the candidates a prompt may wait
	// before its prefill begins. The wait is compared with the mean and not with the minimum,
	// because load data is about half a second old, and in that time all entries would send
	// to the few upstreams that were idle.
	maxExtraWait = 100 * time.Millisecond
	// maxWaitPerPrefixPrefill is the multiple of the shared prefix's prefill time by which the
	// wait at the preferred upstream may exceed the mean and maxExtraWait. It is above 1 because
	// a repeated prefill would delay other requests too.
	maxWaitPerPrefixPrefill = 4
	// meanSlotHoldTime is the approximate time for which a request occupies a slot. A request
	// that finds no free slot is expected to wait for a fraction of this time.
	meanSlotHoldTime = 2 * time.Second
)

// Limits of the time to the first token, relative to the mean of the candidates. An
// upstream over outlierFactor times the mean plus outlierMargin is a slow outlier.
const (
	outlierMargin = 150 * time.Millisecond
	outlierFactor = 1.25
)

// Candidate describes an upstream that could get the request.
type Candidate struct {
	Name              string        // identifies the upstream's instance; the same at all entries
	Slots             int           // number of requests that the upstream serves concurrently
	HashWeight        float64       // number of entries for which this one sends prompts with a prefix key; 0 means 1
	SlotUtilization   float64       // fraction of the slots in use, as estimated by this entry
	InflightRequests  float64       // requests in flight at the upstream, as estimated for all entries
	TimeToFirstToken  time.Duration // recent time until the upstream begins an answer
	QueuedPrefillTime time.Duration // total prefill time of the prompts that the upstream has not begun
	LinkDelay         time.Duration // delay that the link is expected to add to the answer, counted as a wait
	HoldTime          time.Duration // mean time for which a request occupies a slot; 0 means meanSlotHoldTime
	Pace              float64       // time that work takes now, as a multiple of the candidates' mean; 0 means 1
	LastingPace       float64       // time that work lastingly takes, as a multiple of the usual; 0 means 1
}

// Prompt describes the prompt of a request.
type Prompt struct {
	PrefixKey         string        // key of the longest prefix shared with other prompts, "" without a prompt
	PrefixPrefillTime time.Duration // time to prefill the shared prefix again
}

// NoCandidate is the copyFrom index that [Place] returns if there is no prefix to copy.
const NoCandidate = -1

// Place returns the index of the candidate that gets the request, and the index of the
// candidate to copy the shared prefix from, or NoCandidate if there is nothing to copy.
// There must be at least one candidate. tieBreaker selects among equally loaded candidates,
// so that the entries do not all choose the same one.
func Place(candidates []Candidate, p Prompt, tieBreaker uint64) (target, copyFrom int) {
	eligible := withoutSlowOutliers(candidates)
	if p.PrefixKey == "" {
		return leastLoaded(candidates, eligible, tieBreaker), NoCandidate
	}
	meanWait := time.Duration(0)
	for _, i := range eligible {
		meanWait += candidates[i].ExpectedWait() / time.Duration(len(eligible))
	}
	ranked := rankByPrefix(candidates, eligible, p.PrefixKey)
	preferred := ranked[0]
	if candidates[preferred].ExpectedWait() <= meanWait+maxExtraWait+maxWaitPerPrefixPrefill*p.PrefixPrefillTime {
		return preferred, NoCandidate
	}
	for _, i := range ranked[1:] {
		if candidates[i].ExpectedWait() <= meanWait+maxExtraWait {
			return i, preferred
		}
	}
	return preferred, NoCandidate // not reached, because the shortest wait is at most the mean
}

// ExpectedWait estimates how long a prompt waits at the candidate before its prefill
// begins, including the delay of the link.
func (c Candidate) ExpectedWait() time.Duration {
	slots := float64(max(c.Slots, 1))
	excess := max(c.InflightRequests+2-slots, 0) // counts this request, and keeps one slot free
	holdTime := c.HoldTime
	if holdTime == 0 {
		holdTime = meanSlotHoldTime
	}
	return c.LinkDelay + c.scale(c.QueuedPrefillTime+time.Duration(excess/slots*float64(holdTime)))
}

// scale returns the time that work of the given mean time takes at the candidate.
func (c Candidate) scale(d time.Duration) time.Duration {
	if c.Pace == 0 {
		return d
	}
	return time.Duration(float64(d) * c.Pace)
}

// withoutSlowOutliers returns the candidates whose time to the first token is not much above
// the mean. The overdue answers of an upstream that has failed silently raise that time long
// before the failure shows in any other way. Candidates are not excluded for the number of
// their queued requests, because ExpectedWait already includes the prefill time of the queue.
// Leaving the preferred upstream because nine short prompts are queued there would prefill
// the shared prefix again elsewhere.
func withoutSlowOutliers(candidates []Candidate) []int {
	meanTimeToFirstToken := time.Duration(0)
	for _, c := range candidates {
		meanTimeToFirstToken += c.TimeToFirstToken / time.Duration(len(candidates))
	}
	maxTimeToFirstToken := time.Duration(outlierFactor*float64(meanTimeToFirstToken)) + outlierMargin
	var kept []int // never empty, because the minimum is at most the mean
	for i, c := range candidates {
		if c.TimeToFirstToken <= maxTimeToFirstToken {
			kept = append(kept, i)
		}
	}
	return kept
}

// rankByPrefix returns the eligible candidates by descending rendezvous weight for the prefix
// key. The first is the preferred upstream.
func rankByPrefix(candidates []Candidate, eligible []int, prefixKey string) []int {
	weights := make(map[int]float64, len(eligible))
	for _, i := range eligible {
		weights[i] = rendezvousWeight(candidates[i], prefixKey)
	}
	ranked := slices.Clone(eligible)
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return ranked
}

// rendezvousWeight returns the candidate's weight in rendezvous hashing. An upstream with
// twice the slots is preferred for twice as many prefix keys. An upstream to which only half
// of the entries send is also weighted twice, and so is one that lastingly works twice as fast.
func rendezvousWeight(c Candidate, prefixKey string) float64 {
	hash := xxhash.Sum64String(prefixKey + "\x00" + c.Name)
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	weight := float64(max(c.Slots, 1)) * max(c.HashWeight, 1)
	if c.LastingPace > 0 {
		weight /= c.LastingPace
	}
	return -weight / math.Log(unit)
}

// utilizationPerLinkSecond is the slot utilization that counts as much as one second of link
// delay when a request without a prompt is placed.
const utilizationPerLinkSecond = 5.0

// load returns the value by which candidates for a request without a prompt are compared.
func (c Candidate) load() float64 {
	return c.SlotUtilization + utilizationPerLinkSecond*c.LinkDelay.Seconds()
}

// leastLoaded returns the eligible candidate with the lowest load. Among equals it returns
// the first one at or after the position selected by tieBreaker.
func leastLoaded(candidates []Candidate, eligible []int, tieBreaker uint64) int {
	if slices.ContainsFunc(eligible, func(i int) bool { return candidates[i].Pace > 0 }) {
		return fastest(candidates, eligible, tieBreaker)
	}
	start := int(tieBreaker % uint64(len(eligible)))
	best := eligible[start]
	for i := 1; i < len(eligible); i++ {
		c := eligible[(start+i)%len(eligible)]
		if candidates[c].load() < candidates[best].load() {
			best = c
		}
	}
	return best
}

// expectedTimeTolerance is the factor within which expected times count as equal. Without it, all
// entries would send to the one upstream whose last reported pace is the lowest.
const expectedTimeTolerance = 1.2

// fastest returns the least loaded one of the eligible candidates with the shortest expected time.
func fastest(candidates []Candidate, eligible []int, tieBreaker uint64) int {
	shortest := math.Inf(1)
	for _, i := range eligible {
		shortest = min(shortest, candidates[i].expectedTime())
	}
	var equal []int // the least loaded ones; never empty, because the shortest is considered
	for _, i := range eligible {
		if candidates[i].expectedTime() > shortest*expectedTimeTolerance {
			continue
		}
		if len(equal) > 0 && candidates[i].load() < candidates[equal[0]].load() {
			equal = equal[:0]
		}
		if len(equal) == 0 || candidates[i].load() == candidates[equal[0]].load() {
			equal = append(equal, i)
		}
	}
	return equal[tieBreaker%uint64(len(equal))]
}

// expectedTime returns the time of a request without a prompt, as a multiple of the usual one at
// an idle upstream: its own work and what competes with it, at the candidate's pace.
func (c Candidate) expectedTime() float64 {
	pace := c.Pace
	if pace == 0 {
		pace = 1
	}
	return pace*(1+c.SlotUtilization) + utilizationPerLinkSecond*c.LinkDelay.Seconds()
}
