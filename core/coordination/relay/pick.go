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

// retryRoundDelay is the delay before upstreams that rejected the request are tried again.
const retryRoundDelay = 40 * time.Millisecond

// pickTarget returns the target for the next attempt, nil if there is none.
func (c *call) pickTarget(stage persimmoncross.QuarantineStage) *Target {
	c.prefixSource = netip.AddrPort{}
	// The upgrade may have advanced while the request waited or an earlier attempt ran. At the
	// beginning of a trial a stale filter would start the session on the old version while the
	// other entries choose the new one. When the upgrade completes, the old version's upstreams
	// exit at once, and their streams must resume at the new version's upstreams.
	c.updateVersionFilter()
	if stage == persimmoncross.QuarantineIsolate {
		return c.pickIsolated()
	}
	if target := c.takeRecallTarget(); target != nil {
		return target
	}
	if c.admission.noRoom = c.mustWait(); c.admission.noRoom {
		return nil
	}
	eligible := c.eligibleTargets()
	for {
		now := c.relay.Clock.Now()
		// Memory comes last, so that a request never waits for it while an upstream has a free slot.
		candidates := c.withMemoryRoom(c.withRoom(c.sendableTargets(eligible), now), now)
		if len(candidates) == 0 {
			return nil
		}
		target, source := placeRequest(candidates, c.placementPrompt(), now, func(u *Target) time.Duration { return c.linkDelay(u, now) })
		if !target.acquireSlot(now) || !target.acquire(now) {
			continue // a concurrent request took the slot, or its response set a backoff
		}
		c.expectedWait = target.placementCandidate(now).ExpectedWait()
		if source != nil {
			c.prefixSource = source.Address
		}
		return target
	}
}

// sendableTargets returns the eligible targets that the request may be sent to now. Those of other
// versions than the filter's are used only if there is no other and they are not forbidden.
func (c *call) sendableTargets(eligible []*Target) []*Target {
	candidates := c.candidateTargets(eligible, c.versionFilter.matches)
	if len(candidates) == 0 && !c.versionFilter.strict {
		candidates = c.candidateTargets(eligible, c.versionFilter.permits)
	}
	return candidates
}

// eligibleTargets returns the service's targets in the regions where the request may run.
func (c *call) eligibleTargets() []*Target {
	all := c.relay.View().Targets[c.service]
	if len(c.residency.routeRegions)+len(c.residency.organisationRegions) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(u *Target) bool { return !c.residency.allows(u.DataCentre) })
}

// placementPrompt returns the properties of the request's prompt that placement uses.
func (c *call) placementPrompt() placement.Prompt {
	p := placement.Prompt{
		PrefixPrefillTime: c.relay.ModelStats.prefillTime(c.service, c.modelName(), c.request.SharedPromptTokens()),
	}
	if c.route.Sticky {
		p.PrefixKey = prefixKey(c.request, c.modelName())
	}
	return p
}

// prefixKey returns the key that selects the preferred upstream, which has the prompt's shared
// parts in its cache. The last part belongs to this request alone, so the key is taken from the
// part before it, the last one that other requests share. A prompt of one part has that part's
// key.
func prefixKey(request *persimmoncross.ProxyRequest, model string) string {
	n := len(request.PromptParts)
	if n == 0 {
		return ""
	}
	return model + "\x00" + request.PromptParts[max(n-2, 0)].ID
}

// linkDelay returns the expected delay of the response on the link to the target.
func (c *call) linkDelay(target *Target, now time.Time) time.Duration {
	tokens := 0
	if c.route.Stream {
		tokens = c.request.MaxOutputTokens
	}
	return c.relay.linkDelay(target.DataCentre, tokens, now)
}

// placeRequest picks one of the targets, of which there is at least one. It also returns the
// target to copy the prompt's shared parts from, nil if there is none.
func placeRequest(targets []*Target, p placement.Prompt, now time.Time, linkDelay func(*Target) time.Duration) (target, source *Target) {
	candidates := make([]placement.Candidate, len(targets))
	for i, u := range targets {
		candidates[i] = u.placementCandidate(now)
		candidates[i].LinkDelay = linkDelay(u)
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
		if u.IsDraining(now) || c.triedUpstreams[u.Name] || !matches(u) || !u.IsAvailable(now) {
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
	return c.excludeReserved(available) // all are suspected, and a suspected target is better than none
}

// awaitRetryRound waits for retryRoundDelay and allows another round of attempts after all
// upstreams rejected the request, or while this VM has just started and awaits its first list of
// upstreams. It reports false if no other round may be made: after an execution, at the limit
// of attempts, at the request's deadline, or if no upstream of the list may get a request now.
func (c *call) awaitRetryRound(ctx context.Context) bool {
	r := c.relay
	if !c.awaitsFirstList() && (len(c.triedUpstreams) == 0 || c.noneAvailable()) {
		return false
	}
	if c.executions > 0 || c.attempts >= maxAttempts {
		return false
	}
	c.endTurn()
	persimmoncross.OwnWorkOf(ctx).End()
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(retryRoundDelay):
	}
	clear(c.triedUpstreams)
	return true
}

// awaitsFirstList reports whether this VM has no list of upstreams yet, and the request may wait for
// it. A list without upstreams is no reason to wait.
func (c *call) awaitsFirstList() bool {
	r := c.relay
	return r.View().Targets == nil && r.Clock.Now().Sub(c.request.ArrivedAt) <= startupWaitTimeout
}
