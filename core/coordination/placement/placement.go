// Package placement decides which upstream gets a request, from what is known of
// the upstreams at that moment. It has no I/O, no locks and no clock.
//
// All entries rank the homes of a prompt alike without a message, so that its
// shared parts are read once and found again. A home is left where the prompt
// would wait there for longer than reading its shared parts again would take.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of a prompt's wait.
const (
	// maxExtraWait is how much longer than on average a prompt may wait before it is
	// read. It is compared with the mean, not with the least: what is known is half a
	// second old, and in that time all entries would go to the few that were idle.
	maxExtraWait = 100 * time.Millisecond
	// maxWaitPerPrefixPrefill is how many times the reading of its shared parts a prompt may
	// wait at its home: to read them again keeps others waiting too.
	maxWaitPerPrefixPrefill = 4
	// meanSlotHoldTime is the time for which a request takes a slot, about; where no slot is
	// left, a request waits for a share of it.
	meanSlotHoldTime = 2 * time.Second
)

// Limits of lateness, beside the mean of the candidates.
const (
	outlierMargin = 150 * time.Millisecond // by which heads may come later
	outlierFactor = 1.25                   // times the mean
)

// Candidate is what is known of an upstream that could get the request.
type Candidate struct {
	ID                string        // of the incarnation: alike at all entries
	Slots             int           // that it serves at once
	HashWeight        float64       // for how many entries this one sends there, of prompts with a home; 0 is 1
	SlotUtilization   float64       // of its slots that are taken, by this entry's knowledge
	InflightRequests  float64       // requests there, by all entries' knowledge
	TimeToFirstToken  time.Duration // in which it begins answers lately
	QueuedPrefillTime time.Duration // that the prompts take which have not begun there
	LinkDelay         time.Duration // that the link to it is expected to cost the answer, as a wait
}

// Prompt is what placing needs to know of a request's prompt.
type Prompt struct {
	PrefixKey         string        // key of the deepest part that others share; "": no prompt
	PrefixPrefillTime time.Duration // that reading the shared parts again takes
}

// NoCandidate stands for no candidate.
const NoCandidate = -1

// Place returns the index of the candidate that gets the request, and that of
// the one to copy the prompt's shared parts from, None if none is to be asked.
// The candidates are not empty; tie decides among equals, so that entries do not
// all pick the same.
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
	return preferred, NoCandidate // not reached: the least waits no longer than the mean
}

// ExpectedWait estimates how long a prompt waits at the candidate before it is read,
// and what the link costs it.
func (c Candidate) ExpectedWait() time.Duration {
	slots := float64(max(c.Slots, 1))
	excess := max(c.InflightRequests+2-slots, 0) // with this request, one slot is kept free
	return c.LinkDelay + c.QueuedPrefillTime + time.Duration(excess/slots*float64(meanSlotHoldTime))
}

// withoutSlowOutliers returns the candidates that do not begin answers much later than the
// mean: an upstream that went without a word shows in the answers that are awaited
// long before it shows in any other way, as when one goes dark. Queues by their number
// are not left out: what their prompts take to be read is in the outlook, and a home
// that is left for nine short prompts has its shared parts read again elsewhere.
func withoutSlowOutliers(candidates []Candidate) []int {
	meanTimeToFirstToken := time.Duration(0)
	for _, c := range candidates {
		meanTimeToFirstToken += c.TimeToFirstToken / time.Duration(len(candidates))
	}
	maxTimeToFirstToken := time.Duration(outlierFactor*float64(meanTimeToFirstToken)) + outlierMargin
	var kept []int // never empty: the least is not over the mean
	for i, c := range candidates {
		if c.TimeToFirstToken <= maxTimeToFirstToken {
			kept = append(kept, i)
		}
	}
	return kept
}

// rankByPrefix returns the candidates in the order in which they are the home.
func rankByPrefix(candidates []Candidate, eligible []int, prefixKey string) []int {
	weights := make(map[int]float64, len(eligible))
	for _, i := range eligible {
		weights[i] = rendezvousWeight(candidates[i], prefixKey)
	}
	ranked := slices.Clone(eligible)
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return ranked
}

// rendezvousWeight is the weight of rendezvous hashing: an upstream with twice the slots is
// the home of twice as many prompts, and so is one to which half of the entries send.
func rendezvousWeight(c Candidate, prefixKey string) float64 {
	hash := xxhash.Sum64String(prefixKey + "\x00" + c.ID)
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(max(c.Slots, 1)) * max(c.HashWeight, 1) / math.Log(unit)
}

// utilizationPerLinkSecond is the part of an upstream's slots that may be taken before a request
// without a prompt rather goes over a link that costs it a second.
const utilizationPerLinkSecond = 5.0

// load compares candidates for a request without a prompt.
func (c Candidate) load() float64 {
	return c.SlotUtilization + utilizationPerLinkSecond*c.LinkDelay.Seconds()
}

// leastLoaded returns the leastLoaded loaded candidate.
func leastLoaded(candidates []Candidate, eligible []int, tieBreaker uint64) int {
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
