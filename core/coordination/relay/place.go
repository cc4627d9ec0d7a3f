package relay

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
)

// spillWait is how much later than the mean, in seconds, the home of a prompt may
// begin an answer: about what it takes to read a long shared part again.
const spillWait = 0.15

// spillQueue is how many more requests than the mean may wait at an upstream for
// their prompts to be read before others are preferred.
const spillQueue = 1.5

// spill is how far over the mean load of the candidates the home of a prompt
// may be before another upstream takes the request, as a factor and in slots.
const (
	spillFactor = 1.25
	spillSlots  = 0.05
)

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
// homes of a prompt alike without a message; the first in that order that is
// not over the mean load by much, and does not begin answers late, takes it.
func place(candidates []*Target, home string, now time.Time, tie uint64) *Target {
	prompt := prompt(candidates, now)
	if home == "" {
		return least(prompt, now, tie)
	}
	mean := 0.0
	for _, t := range prompt {
		mean += t.share(now) / float64(len(prompt))
	}
	bound := mean*spillFactor + spillSlots
	ranked := slices.Clone(prompt)
	slices.SortFunc(ranked, func(a, b *Target) int {
		x, y := rank(a, home), rank(b, home)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	for _, t := range ranked {
		if t.share(now) <= bound {
			return t
		}
	}
	return least(prompt, now, tie)
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
	late := head*spillFactor + spillWait
	long := queue*spillFactor + spillQueue
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
