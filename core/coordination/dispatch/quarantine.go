package dispatch

import (
	"context"
	"crypto/sha256"
	"errors"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/routing"
)

// quarantineDigest returns the digest of the request's content, which does not depend on its
// ID or idempotency key.
func (w *Request) quarantineDigest() persimmoncross.Digest {
	return quarantine.DigestOf(w.Organisation.Name, w.Method, w.TargetName, w.Path, sha256.Sum256(w.Body))
}

// quarantineStage returns the request's quarantine stage.
func (r *execution) quarantineStage() persimmoncross.QuarantineStage {
	return r.quarantineRequest.EffectiveStage(r.dispatcher.QuarantineStore.Quarantine, r.runStatus != persimmoncross.NotRun)
}

// checkQuarantine refuses a request in stage QuarantineRefuse at once. The refusal says that
// the request has not run only if no upstream can have started it; otherwise its code is
// CodeUpstreamFailed.
func (r *execution) checkQuarantine() *persimmoncross.Refusal {
	if r.quarantineStage() != persimmoncross.QuarantineRefuse {
		return nil
	}
	d := r.dispatcher
	d.count("quarantine.refused")
	r.quarantineRequest.MarkRequested(d.QuarantineStore.Quarantine, d.Clock.Now())
	if r.runStatus != persimmoncross.NotRun {
		return r.refuse(persimmoncross.CodeUpstreamFailed, "upstreams end under requests like this one")
	}
	d.Log.Info().Str("request", r.request.ID).Stringer("digest", r.quarantineRequest.Digest).Strs("for", quarantine.LoggedDigests(r.quarantineRequest.Refusals(d.QuarantineStore.Quarantine))).Msg("request refused: it is quarantined for crashing upstreams")
	return r.refuse(persimmoncross.CodeQuarantined, "upstreams end under requests like this one").WithRetryAfter(quarantine.RetryAfter)
}

// addIsolation adds to info the digests of the isolated requests, and that of the request
// itself if it is isolated.
func (r *execution) addIsolation(info routing.PickInfo) routing.PickInfo {
	d := r.dispatcher
	info.IsolatedDigests = d.QuarantineStore.IsolatedDigests(r.quarantineRequest.Service)
	if r.quarantineStage() == persimmoncross.QuarantineIsolate {
		d.count("quarantine.watched")
		r.quarantineRequest.MarkRequested(d.QuarantineStore.Quarantine, d.Clock.Now())
		info.IsolatedDigest = r.quarantineRequest.IsolationDigest()
	}
	return info
}

// pick returns the upstream for the next attempt, nil if there is none, or if the request is isolated
// and the outcome of another copy's run is not known yet.
func (r *execution) pick(info routing.PickInfo) *routing.Upstream {
	d := r.dispatcher
	if info.IsolatedDigest != (persimmoncross.Digest{}) && !r.quarantineRequest.ClaimIsolatedRun(d.Clock.Now()) {
		d.count("quarantine.awaited")
		return nil
	}
	return d.Table.Pick(info)
}

// recordForQuarantine records how a run ended in the quarantine recorder; status is that of its response, 0 if none
// began. If the connection to the upstream was lost, recordForQuarantine starts a probe of whether the upstream has
// crashed.
func (r *execution) recordForQuarantine(ctx context.Context, quarantineRun *quarantine.Run, u *routing.Upstream, status int, err error) {
	d := r.dispatcher
	now := d.Clock.Now()
	var a *persimmoncross.AttemptError
	switch {
	case err == nil:
		quarantineRun.MarkAnswered(status, now)
		return
	case ctx.Err() != nil || !errors.As(err, &a) || !a.ConnectionLost:
		quarantineRun.Close(now)
		return
	case !quarantineRun.MarkDisconnected(now):
		return
	}
	d.count("quarantine.probed")
	go func() {
		crashed, gone := quarantineRun.ProbeUpstream(ctx, d.Prober, u.Address, d.Clock)
		if !gone {
			d.count("quarantine.lived")
			return
		}
		u.RecordExit()
		d.count("quarantine.ended")
		crashed.Log(d.Log.Info().Str("upstream", u.Name).Str("address", u.Address.String())).Msg("upstream crashed while running requests")
	}()
}
