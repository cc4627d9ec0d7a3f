package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
)

// lateWait is how much later than the mean, in seconds, a candidate may begin
// answers before others are preferred.
const lateWait = 0.15

// spillWait is how much longer than on average a prompt may wait before it is
// read. It is compared with the mean, not with the least: what is known is half a
// second old, and in that time all entries would go to the few that were idle.
const spillWait = 100 * time.Millisecond

// rereadFactor is how many times the reading of its shared parts a prompt may wait
// at its home: to read them again keeps others waiting too.
const rereadFactor = 4

// slotTime is the time for which a request takes a slot, about; where no slot is
// left, a request waits for a share of it.
const slotTime = 2 * time.Second

// spillQueue is how many more requests than the mean may wait at an upstream for
// their prompts to be read before others are preferred.
const spillQueue = 1.5

// lateFactor is how many times the mean may be exceeded, beside lateWait and
// spillQueue.
const lateFactor = 1.25

// homeOf returns the key by which a prompt finds the upstreams that hold its
// shared parts: the last part is the request's own, the one before it is the
// deepest that others share.
func homeOf(p *persimmoncross.Passage, model string) string {
	n := len(p.Prompt)
	if n == 0 {
		return ""
	}
	return model + "\x00" + p.Prompt[max(n-2, 0)].ID
}

// place picks one of the candidates, which are not empty. All entries rank the
// homes of a prompt alike without a message. The first in that order takes it
// where it does not wait much longer than on average; at its home it may wait
// for what reading its shared parts again would take. With another than the home
// it returns the home too, whose copy of the shared parts saves their reading.
func place(candidates []*Target, home string, reread time.Duration, now time.Time, tie uint64) (target, copyFrom *Target) {
	prompt := prompt(candidates, now)
	if home == "" {
		return least(prompt, now, tie), nil
	}
	waits := make(map[*Target]time.Duration, len(prompt))
	mean := time.Duration(0)
	for _, t := range prompt {
		waits[t] = t.outlook(now)
		mean += waits[t] / time.Duration(len(prompt))
	}
	ranked := byRank(prompt, home)
	first := ranked[0]
	if waits[first] <= mean+spillWait+rereadFactor*reread {
		return first, nil
	}
	for _, t := range ranked[1:] {
		if waits[t] <= mean+spillWait {
			return t, first
		}
	}
	return first, nil // not reached: the least waits no longer than the mean
}

// outlook estimates how long a prompt waits at the target before it is read.
func (t *Target) outlook(now time.Time) time.Duration {
	slots := float64(max(t.Slots, 1))
	over := max(t.crowd(now)+2-slots, 0) // with this request, one slot is kept free
	return t.reading(now) + time.Duration(over/slots*float64(slotTime))
}

// byRank returns the candidates in the order in which they are the prompt's home.
func byRank(candidates []*Target, home string) []*Target {
	ranks := make(map[*Target]float64, len(candidates))
	for _, t := range candidates {
		ranks[t] = rank(t, home)
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b *Target) int { return cmp.Compare(ranks[b], ranks[a]) })
	return ranked
}

// prompt returns the candidates that do not begin answers much later than the
// mean: a queue, or an upstream that went without a word, shows in the answers
// that are awaited long before it shows in any other way.
func prompt(candidates []*Target, now time.Time) []*Target {
	heads := make([]float64, len(candidates))
	queues := make([]float64, len(candidates))
	head, queue := 0.0, 0.0
	for i, t := range candidates {
		heads[i] = t.head(now)
		queues[i] = t.queue(now)
		head += heads[i] / float64(len(candidates))
		queue += queues[i] / float64(len(candidates))
	}
	late := head*lateFactor + lateWait
	long := queue*lateFactor + spillQueue
	var kept, inTime []*Target
	for i, t := range candidates {
		if heads[i] > late {
			continue
		}
		inTime = append(inTime, t)
		if queues[i] <= long {
			kept = append(kept, t)
		}
	}
	if len(kept) == 0 {
		return inTime // never empty: the least is not over the mean
	}
	return kept
}

// rank is the weight of rendezvous hashing: an upstream with twice the slots is
// the home of twice as many prompts.
func rank(t *Target, home string) float64 {
	h := xxhash.Sum64String(home + "\x00" + t.Incarnation)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(max(t.Slots, 1)) / math.Log(unit)
}

// least returns the least loaded candidate; tie decides among equals, so that
// entries do not all pick the same.
func least(candidates []*Target, now time.Time, tie uint64) *Target {
	start := int(tie % uint64(len(candidates)))
	best := candidates[start]
	lowest := best.share(now)
	for i := 1; i < len(candidates); i++ {
		t := candidates[(start+i)%len(candidates)]
		if s := t.share(now); s < lowest {
			best, lowest = t, s
		}
	}
	return best
}
