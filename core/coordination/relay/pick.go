package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/placement"
)

// turnPause is before upstreams that rejected are asked again.
const turnPause = 40 * time.Millisecond

// pick returns the upstream for the next attempt, nil if there is none.
func (t *trip) pick(stage persimmoncross.HoldStage) *Target {
	t.copyFrom = netip.AddrPort{}
	if stage == persimmoncross.HoldWatch {
		return t.alone()
	}
	all := t.targets()
	for {
		candidates := t.candidates(all, t.group.holds)
		if len(candidates) == 0 && !t.group.strict {
			candidates = t.candidates(all, func(*Target) bool { return true })
		}
		if len(candidates) == 0 {
			return nil
		}
		now := t.relay.Clock.Now()
		target, from := place(candidates, t.prompt(), now, func(u *Target) time.Duration { return t.linkCost(u, now) })
		if !target.take(now) {
			continue // a concurrent request took the slot, or set a backoff
		}
		t.outlook = target.candidate(now).Outlook()
		if from != nil {
			t.copyFrom = from.Address
		}
		return target
	}
}

// targets returns the service's upstreams that may run the passage at all.
func (t *trip) targets() []*Target {
	all := t.relay.View().Targets[t.service]
	if len(t.homes.route)+len(t.homes.holder) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(u *Target) bool { return !t.homes.hold(u.DataCentre) })
}

// prompt returns what placing needs to know of the passage's prompt.
func (t *trip) prompt() placement.Prompt {
	p := placement.Prompt{
		Reread: t.relay.Pressure.reading(t.service, t.modelName(), t.passage.SharedTokens()),
	}
	if t.route.Sticky {
		p.Home = homeOf(t.passage, t.modelName())
	}
	return p
}

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

// linkCost returns what the link to the target is expected to cost the answer.
func (t *trip) linkCost(target *Target, now time.Time) time.Duration {
	tokens := 0
	if t.route.Stream {
		tokens = t.passage.OutputTokens
	}
	return t.relay.linkCost(target.DataCentre, tokens, now)
}

// place picks one of the targets, which are not empty, and the one to copy the
// prompt's shared parts from, nil if none is.
func place(targets []*Target, p placement.Prompt, now time.Time, link func(*Target) time.Duration) (target, copyFrom *Target) {
	candidates := make([]placement.Candidate, len(targets))
	for i, u := range targets {
		candidates[i] = u.candidate(now)
		candidates[i].Link = link(u)
	}
	at, from := placement.Place(candidates, p, rand.Uint64())
	if from != placement.None {
		copyFrom = targets[from]
	}
	return targets[at], copyFrom
}

func (t *trip) candidates(all []*Target, holds func(*Target) bool) []*Target {
	now := t.relay.Clock.Now()
	entries := t.relay.View().Entries
	chance := rand.Float64()
	var sound, open []*Target
	for _, u := range all {
		if u.Leaves(now) || t.tried[u.Incarnation] || !holds(u) || !u.Bears(now) {
			continue
		}
		open = append(open, u)
		if !u.suspected(now) && !u.avoided(now, entries, chance) {
			sound = append(sound, u)
		}
	}
	if len(sound) > 0 {
		return t.spare(sound)
	}
	return t.spare(open) // all are suspect: any is better than none
}

// mayTurn waits a little where all upstreams rejected the request, or no list
// of them is known yet, and lets them be asked again, while that can still be in
// time.
func (t *trip) mayTurn(ctx context.Context) bool {
	r := t.relay
	if len(t.tried) == 0 && (len(r.View().Targets) > 0 || r.Clock.Now().Sub(t.passage.Arrived) > startWait) {
		return false
	}
	if t.runs > 0 || t.sends >= maxSends || t.noneAvailable() {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(turnPause):
	}
	clear(t.tried)
	return true
}
