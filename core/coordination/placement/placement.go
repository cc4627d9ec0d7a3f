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
	// spillWait is how much longer than on average a prompt may wait before it is
	// read. It is compared with the mean, not with the least: what is known is half a
	// second old, and in that time all entries would go to the few that were idle.
	spillWait = 100 * time.Millisecond
	// rereadFactor is how many times the reading of its shared parts a prompt may
	// wait at its home: to read them again keeps others waiting too.
	rereadFactor = 4
	// slotTime is the time for which a request takes a slot, about; where no slot is
	// left, a request waits for a share of it.
	slotTime = 2 * time.Second
)

// Limits of lateness, beside the mean of the candidates.
const (
	lateWait   = 150 * time.Millisecond // by which heads may come later
	lateFactor = 1.25                   // times the mean
)

// Candidate is what is known of an upstream that could get the request.
type Candidate struct {
	ID      string        // of the incarnation: alike at all entries
	Slots   int           // that it serves at once
	Weight  float64       // for how many entries this one sends there, of prompts with a home; 0 is 1
	Share   float64       // of its slots that are taken, by this entry's knowledge
	Crowd   float64       // requests there, by all entries' knowledge
	Head    time.Duration // in which it begins answers lately
	Reading time.Duration // that the prompts take which have not begun there
	Link    time.Duration // that the link to it is expected to cost the answer, as a wait
}

// Prompt is what placing needs to know of a request's prompt.
type Prompt struct {
	Home   string        // key of the deepest part that others share; "": no prompt
	Reread time.Duration // that reading the shared parts again takes
}

// None stands for no candidate.
const None = -1

// Place returns the index of the candidate that gets the request, and that of
// the one to copy the prompt's shared parts from, None if none is to be asked.
// The candidates are not empty; tie decides among equals, so that entries do not
// all pick the same.
func Place(candidates []Candidate, p Prompt, tie uint64) (target, copyFrom int) {
	timely := timely(candidates)
	if p.Home == "" {
		return least(candidates, timely, tie), None
	}
	mean := time.Duration(0)
	for _, i := range timely {
		mean += candidates[i].Outlook() / time.Duration(len(timely))
	}
	ranked := byRank(candidates, timely, p.Home)
	first := ranked[0]
	if candidates[first].Outlook() <= mean+spillWait+rereadFactor*p.Reread {
		return first, None
	}
	for _, i := range ranked[1:] {
		if candidates[i].Outlook() <= mean+spillWait {
			return i, first
		}
	}
	return first, None // not reached: the least waits no longer than the mean
}

// Outlook estimates how long a prompt waits at the candidate before it is read,
// and what the link costs it.
func (c Candidate) Outlook() time.Duration {
	slots := float64(max(c.Slots, 1))
	over := max(c.Crowd+2-slots, 0) // with this request, one slot is kept free
	return c.Link + c.Reading + time.Duration(over/slots*float64(slotTime))
}

// timely returns the candidates that do not begin answers much later than the
// mean: an upstream that went without a word shows in the answers that are awaited
// long before it shows in any other way, as when one goes dark. Queues by their number
// are not left out: what their prompts take to be read is in the outlook, and a home
// that is left for nine short prompts has its shared parts read again elsewhere.
func timely(candidates []Candidate) []int {
	head := time.Duration(0)
	for _, c := range candidates {
		head += c.Head / time.Duration(len(candidates))
	}
	late := time.Duration(lateFactor*float64(head)) + lateWait
	var kept []int // never empty: the least is not over the mean
	for i, c := range candidates {
		if c.Head <= late {
			kept = append(kept, i)
		}
	}
	return kept
}

// byRank returns the candidates in the order in which they are the home.
func byRank(candidates []Candidate, among []int, home string) []int {
	ranks := make(map[int]float64, len(among))
	for _, i := range among {
		ranks[i] = rank(candidates[i], home)
	}
	ranked := slices.Clone(among)
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	return ranked
}

// rank is the weight of rendezvous hashing: an upstream with twice the slots is
// the home of twice as many prompts, and so is one to which half of the entries send.
func rank(c Candidate, home string) float64 {
	h := xxhash.Sum64String(home + "\x00" + c.ID)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(max(c.Slots, 1)) * max(c.Weight, 1) / math.Log(unit)
}

// linkShare is the part of an upstream's slots that may be taken before a request
// without a prompt rather goes over a link that costs it a second.
const linkShare = 5.0

// load compares candidates for a request without a prompt.
func (c Candidate) load() float64 { return c.Share + linkShare*c.Link.Seconds() }

// least returns the least loaded candidate.
func least(candidates []Candidate, among []int, tie uint64) int {
	start := int(tie % uint64(len(among)))
	best := among[start]
	for i := 1; i < len(among); i++ {
		c := among[(start+i)%len(among)]
		if candidates[c].load() < candidates[best].load() {
			best = c
		}
	}
	return best
}
