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

// retryRoundDelay is before upstreams that rejected are asked again.
const retryRoundDelay = 40 * time.Millisecond

// pickTarget returns the upstream for the next attempt, nil if there is none.
func (c *call) pickTarget(stage persimmoncross.QuarantineStage) *Target {
	c.prefixSource = netip.AddrPort{}
	if stage == persimmoncross.QuarantineIsolate {
		return c.pickIsolated()
	}
	eligible := c.eligibleTargets()
	for {
		candidates := c.candidateTargets(eligible, c.versionFilter.matches)
		if len(candidates) == 0 && !c.versionFilter.strict {
			candidates = c.candidateTargets(eligible, func(*Target) bool { return true })
		}
		if len(candidates) == 0 {
			return nil
		}
		now := c.relay.Clock.Now()
		target, source := placeRequest(candidates, c.placementPrompt(), now, func(u *Target) time.Duration { return c.linkCost(u, now) })
		if !target.acquire(now) {
			continue // a concurrent request took the slot, or set a backoff
		}
		c.expectedWait = target.placementCandidate(now).ExpectedWait()
		if source != nil {
			c.prefixSource = source.Address
		}
		return target
	}
}

// eligibleTargets returns the service's upstreams that may run the passage at all.
func (c *call) eligibleTargets() []*Target {
	all := c.relay.View().Targets[c.service]
	if len(c.residency.routeRegions)+len(c.residency.organisationRegions) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(u *Target) bool { return !c.residency.allows(u.DataCentre) })
}

// placementPrompt returns what placing needs to know of the passage's placementPrompt.
func (c *call) placementPrompt() placement.Prompt {
	p := placement.Prompt{
		PrefixPrefillTime: c.relay.ModelStats.prefillTime(c.service, c.modelName(), c.passage.SharedPromptTokens()),
	}
	if c.route.Sticky {
		p.PrefixKey = prefixKey(c.passage, c.modelName())
	}
	return p
}

// prefixKey returns the key by which a prompt finds the upstreams that hold its
// shared parts: the last part is the request's own, the one before it is the
// deepest that others share.
func prefixKey(p *persimmoncross.ProxyRequest, model string) string {
	n := len(p.PromptParts)
	if n == 0 {
		return ""
	}
	return model + "\x00" + p.PromptParts[max(n-2, 0)].ID
}

// linkCost returns what the link to the target is expected to cost the answer.
func (c *call) linkCost(target *Target, now time.Time) time.Duration {
	tokens := 0
	if c.route.Stream {
		tokens = c.passage.MaxOutputTokens
	}
	return c.relay.linkCost(target.DataCentre, tokens, now)
}

// placeRequest picks one of the targets, which are not empty, and the one to copy the
// prompt's shared parts from, nil if none is.
func placeRequest(targets []*Target, p placement.Prompt, now time.Time, linkCost func(*Target) time.Duration) (target, source *Target) {
	candidates := make([]placement.Candidate, len(targets))
	for i, u := range targets {
		candidates[i] = u.placementCandidate(now)
		candidates[i].LinkDelay = linkCost(u)
	}
	targetIndex, sourceIndex := placement.Place(candidates, p, rand.Uint64())
	if sourceIndex != placement.NoCandidate {
		source = targets[sourceIndex]
	}
	return targets[targetIndex], source
}

func (c *call) candidateTargets(eligible []*Target, matches func(*Target) bool) []*Target {
	now := c.relay.Clock.Now()
	entryCount := c.relay.View().EntryCount
	chance := rand.Float64()
	var trusted, available []*Target
	for _, u := range eligible {
		if u.IsDraining(now) || c.triedIncarnations[u.Incarnation] || !matches(u) || !u.IsAvailable(now) {
			continue
		}
		available = append(available, u)
		if !u.isSuspected(now) && !u.isAvoidedByFleet(now, entryCount, chance) {
			trusted = append(trusted, u)
		}
	}
	if len(trusted) > 0 {
		return c.excludeReserved(trusted)
	}
	return c.excludeReserved(available) // all are suspect: any is better than none
}

// awaitRetryRound waits a little where all upstreams rejected the request, or no list
// of them is known yet, and lets them be asked again, while that can still be in
// time.
func (c *call) awaitRetryRound(ctx context.Context) bool {
	r := c.relay
	if len(c.triedIncarnations) == 0 && (len(r.View().Targets) > 0 || r.Clock.Now().Sub(c.passage.ArrivedAt) > startupWaitTimeout) {
		return false
	}
	if c.executions > 0 || c.attempts >= maxAttempts || c.noneAvailable() {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(retryRoundDelay):
	}
	clear(c.triedIncarnations)
	return true
}
