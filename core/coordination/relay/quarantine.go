package relay

import (
	"context"
	"slices"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// maxReservedFraction is the largest fraction of the candidates that may be reserved for isolated
// requests. Above it, other requests run at the reserved instances too.
const maxReservedFraction = 0.25

// ReservedInstances returns the instance IDs of the targets at which the isolated requests in the
// list of quarantines run. It does not consider draining, versions and regions, so pickIsolated
// may use another target.
func ReservedInstances(quarantines map[persimmoncross.Digest]persimmoncross.Quarantine, targets map[string][]*Target) map[string]bool {
	reserved := map[string]bool{}
	for _, q := range quarantines {
		if !q.Isolated() {
			continue
		}
		if u := isolationTarget(q.Digest, targets[q.Service]); u != nil {
			reserved[u.InstanceID()] = true
		}
	}
	return reserved
}

// isolationTarget returns the target for an isolated request, nil if there is none.
func isolationTarget(digest persimmoncross.Digest, targets []*Target) *Target {
	names := make([]string, len(targets))
	for i, u := range targets {
		names[i] = u.Name
	}
	if index := quarantine.RendezvousIndex(digest, names); index >= 0 {
		return targets[index]
	}
	return nil
}

// isQuarantined reports whether the request runs in isolation or is refused. Such a request has one
// run at a time, so that a crash is attributed to the right one.
func (c *call) isQuarantined() bool {
	return c.quarantineRequest.IsTrial() || c.lookUpQuarantine(c.quarantineRequest.Digest).Stage != persimmoncross.QuarantineNone
}

func (c *call) lookUpQuarantine(d persimmoncross.Digest) persimmoncross.Quarantine {
	return c.relay.View().Quarantines[d]
}

// quarantineStage returns the quarantine stage that applies to the request.
func (c *call) quarantineStage() persimmoncross.QuarantineStage {
	wasTrial := c.quarantineRequest.IsTrial()
	stage := c.quarantineRequest.EffectiveStage(c.lookUpQuarantine, c.executions > 0)
	if !wasTrial && c.quarantineRequest.IsTrial() {
		c.relay.incrementCounter("quarantine.tried")
	}
	return stage
}

// pickIsolated returns the one target at which an isolated request runs, nil if that target
// accepts no request now or was tried already, or if the outcome of another copy's run is not known
// yet. No other target is used, because where upstreams crash faster than they start, the few that
// are up would get all isolated requests, and each crash would be attributed to all of these
// requests.
func (c *call) pickIsolated() *Target {
	c.relay.incrementCounter("quarantine.watched")
	c.quarantineRequest.MarkRequested(c.lookUpQuarantine, c.relay.Clock.Now())
	if !c.quarantineRequest.ClaimIsolatedRun(c.relay.Clock.Now()) {
		c.relay.incrementCounter("quarantine.awaited")
		return nil
	}
	var matching, others []*Target
	for _, u := range c.eligibleTargets() {
		switch {
		case u.IsDraining(c.relay.Clock.Now()):
		case c.versionFilter.matches(u):
			matching = append(matching, u)
		case !c.versionFilter.strict && c.versionFilter.permits(u):
			others = append(others, u)
		}
	}
	if len(matching) == 0 {
		matching = others
	}
	u := isolationTarget(c.quarantineRequest.IsolationDigest(), matching)
	if u == nil || c.triedUpstreams[u.Name] || !u.acquireSlot(c.relay.Clock.Now()) || !u.acquire(c.relay.Clock.Now()) {
		return nil
	}
	return u
}

// excludeReserved removes the targets that are reserved for isolated requests, so that the next
// crash of a reserved instance interrupts few other requests.
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

// refuseQuarantined refuses a request that crashes upstreams. The refusal of a request that may
// have run before its quarantine does not say that it did not run.
func (c *call) refuseQuarantined(ctx context.Context) *persimmoncross.Refusal {
	r := c.relay
	c.quarantineRequest.MarkRequested(c.lookUpQuarantine, r.Clock.Now())
	r.incrementCounter("quarantine.refused")
	if c.executions > 0 || c.headSent {
		return c.giveUp(ctx, "quarantine")
	}
	c.logEventWithDigest().Str("route", c.route.Name).Int("sends", c.attempts).Strs("for", quarantine.LoggedDigests(c.quarantineRequest.Refusals(c.lookUpQuarantine))).Msg("request refused: it is quarantined for crashing upstreams")
	return persimmoncross.NewRefusal(persimmoncross.CodeQuarantined, "upstreams end under requests like this one").WithRetryAfter(quarantine.RetryAfter)
}

// refuseIsolated refuses a copy of an isolated request for which pickIsolated returned no target.
// Another target is chosen for the request when its target drains or leaves the list.
func (c *call) refuseIsolated(ctx context.Context) *persimmoncross.Refusal {
	c.relay.incrementCounter("quarantine.turned-away")
	if c.executions > 0 || c.headSent {
		return c.giveUp(ctx, "quarantine")
	}
	c.logEventWithDigest().Str("route", c.route.Name).Int("sends", c.attempts).Msg("request refused: its isolation upstream accepts no requests now")
	return persimmoncross.NewRefusal(persimmoncross.CodeNoUpstream, "upstreams ended under requests like this one, and the one for it takes none now").WithRetryAfter(c.retryAfter(0))
}

// recordDisconnect records that the connection was lost before or during a response, and probes
// in the background whether the upstream has crashed.
func (c *call) recordDisconnect(ctx context.Context, target *Target, err *persimmoncross.AttemptError) {
	c.relay.recordRunDisconnect(ctx, c.quarantineRun, target.Upstream, err)
}

// recordRunDisconnect is recordDisconnect for the given run, which need not be the current one.
func (r *Relay) recordRunDisconnect(ctx context.Context, run *quarantine.Run, upstream persimmoncross.Upstream, err *persimmoncross.AttemptError) {
	if ctx.Err() != nil || err.Run == persimmoncross.NotRun || !err.ConnectionLost || !run.MarkDisconnected(r.Clock.Now()) {
		return
	}
	r.incrementCounter("quarantine.probed")
	go func() {
		crashed, gone := run.ProbeUpstream(ctx, r.Prober, upstream.Address, r.Clock)
		if !gone {
			r.incrementCounter("quarantine.lived")
			return
		}
		r.incrementCounter("quarantine.ended")
		crashed.Log(r.Log.Info().Str("upstream", upstream.Name).Str("address", upstream.Address.String())).Msg("upstream crashed while running requests")
	}()
}
