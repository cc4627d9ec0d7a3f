package relay

import (
	"context"
	"slices"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// maxReservedFraction is the part of the upstreams that requests under suspicion may take for
// themselves at most: with more of them they run among the others.
const maxReservedFraction = 0.25

// ReservedInstances returns the lives of the upstreams at which requests under suspicion run,
// by the list.
func ReservedInstances(quarantines map[persimmoncross.Digest]persimmoncross.Quarantine, targets map[string][]*Target) map[string]bool {
	reserved := map[string]bool{}
	for _, h := range quarantines {
		if !h.Isolated() {
			continue
		}
		if u := isolationTarget(h.Digest, targets[h.Service]); u != nil {
			reserved[u.InstanceID()] = true
		}
	}
	return reserved
}

// isolationTarget returns the upstream for a request under suspicion, nil if there is none.
func isolationTarget(digest persimmoncross.Digest, targets []*Target) *Target {
	names := make([]string, len(targets))
	for i, u := range targets {
		names[i] = u.Incarnation
	}
	if index := quarantine.RendezvousIndex(digest, names); index >= 0 {
		return targets[index]
	}
	return nil
}

// quarantineStage returns what is done with the passage's request.
func (c *call) quarantineStage() persimmoncross.QuarantineStage {
	wasTrial := c.quarantineCopy.IsTrial()
	stage := c.quarantineCopy.EffectiveStage(c.relay.View().Quarantines[c.quarantineCopy.Digest], c.executions > 0)
	if !wasTrial && c.quarantineCopy.IsTrial() {
		c.relay.incrementCounter("quarantine.tried")
	}
	return stage
}

// pickIsolated returns the one upstream at which a request under suspicion runs, nil if
// that can't be reached. Another one is not taken: where upstreams end faster than
// they start, the few that are up would get all suspects, and each of their ends
// would have all of them for a cause.
func (c *call) pickIsolated() *Target {
	c.relay.incrementCounter("quarantine.watched")
	c.relay.QuarantineRecorder.MarkRequested(c.quarantineCopy.Digest, c.service, c.relay.Clock.Now())
	var matching, others []*Target
	for _, u := range c.eligibleTargets() {
		switch {
		case u.IsDraining(c.relay.Clock.Now()):
		case c.versionFilter.matches(u):
			matching = append(matching, u)
		case !c.versionFilter.strict:
			others = append(others, u)
		}
	}
	if len(matching) == 0 {
		matching = others
	}
	u := isolationTarget(c.quarantineCopy.Digest, matching)
	if u == nil || c.triedIncarnations[u.Incarnation] || !u.acquire(c.relay.Clock.Now()) {
		return nil
	}
	return u
}

// excludeReserved leaves out the upstreams that requests under suspicion have for themselves:
// the next end there is to cut few.
func (c *call) excludeReserved(candidates []*Target) []*Target {
	v := c.relay.View()
	if len(v.ReservedInstances) == 0 || len(candidates) == 0 {
		return candidates
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(u *Target) bool { return v.ReservedInstances[u.InstanceID()] })
	if float64(len(free)) < (1-maxReservedFraction)*float64(len(candidates)) {
		return candidates
	}
	return free
}

// refuseQuarantined refuses a request that ends upstreams. One that has run before it was
// known is not said not to have.
func (c *call) refuseQuarantined(ctx context.Context) *persimmoncross.Refusal {
	r := c.relay
	r.QuarantineRecorder.MarkRequested(c.quarantineCopy.Digest, c.service, r.Clock.Now())
	r.incrementCounter("quarantine.refused")
	if c.executions > 0 || c.headSent {
		return c.giveUp(ctx, "quarantine")
	}
	c.logEventWithDigest().Str("route", c.route.Name).Int("sends", c.attempts).Msg("refused: upstreams end under this request")
	return persimmoncross.NewRefusal(persimmoncross.CodeQuarantined, "upstreams end under requests like this one").WithRetryAfter(quarantine.RetryAfter)
}

// refuseIsolated refuses a copy of a request under suspicion whose upstream takes none now. It
// will be another one soon.
func (c *call) refuseIsolated(ctx context.Context) *persimmoncross.Refusal {
	c.relay.incrementCounter("quarantine.turned-away")
	if c.executions > 0 || c.headSent {
		return c.giveUp(ctx, "quarantine")
	}
	c.logEventWithDigest().Str("route", c.route.Name).Int("sends", c.attempts).Msg("refused: the upstream for this request takes none now")
	return persimmoncross.NewRefusal(persimmoncross.CodeNoUpstream, "upstreams ended under requests like this one, and the one for it takes none now").WithRetryAfter(c.retryAfter(0))
}

// recordCut tells the book that an answer broke off, or never began, with its connection,
// and lets it be found out whether the upstream has ended.
func (c *call) recordCut(ctx context.Context, target *Target, err *persimmoncross.AttemptError) {
	r := c.relay
	if ctx.Err() != nil || err.Run == persimmoncross.NotRun || !err.ConnectionLost || !c.quarantineRun.MarkDisconnected(r.Clock.Now()) {
		return
	}
	r.incrementCounter("quarantine.probed")
	run, upstream := c.quarantineRun, target.Upstream
	go func() {
		blamed, gone := run.ProbeUpstream(ctx, r.Prober, upstream.Address, r.Clock)
		if !gone {
			r.incrementCounter("quarantine.lived")
			return
		}
		r.incrementCounter("quarantine.ended")
		r.Log.Info().Str("upstream", upstream.Incarnation).Str("address", upstream.Address.String()).Strs("digests", quarantine.LoggedDigests(blamed)).Int("requests", len(blamed)).Msg("upstream ended under requests")
	}()
}
