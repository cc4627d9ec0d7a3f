package dispatch

import (
	"context"
	"crypto/sha256"
	"errors"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/routing"
)

// quarantineDigest names what the request asks for, whatever id and key it has.
func (w *Request) quarantineDigest() persimmoncross.Digest {
	return quarantine.DigestOf(w.Organisation.Name, w.Method, w.TargetName, w.Path, sha256.Sum256(w.Body))
}

// quarantineStage returns what is done with the request for what it does to upstreams.
func (r *execution) quarantineStage() persimmoncross.QuarantineStage {
	return r.copy.EffectiveStage(r.dispatcher.QuarantineStore.Hold(r.copy.Digest), r.runStatus != persimmoncross.NotRun)
}

// checkQuarantine refuses a request that ends upstreams: at once, and as not run only if it
// has not.
func (r *execution) checkQuarantine() *persimmoncross.Refusal {
	if r.quarantineStage() != persimmoncross.QuarantineRefuse {
		return nil
	}
	d := r.dispatcher
	d.count("quarantine.refused")
	d.QuarantineRecorder.MarkRequested(r.copy.Digest, r.copy.Service, d.Clock.Now())
	if r.runStatus != persimmoncross.NotRun {
		return r.refuse(persimmoncross.CodeUpstreamFailed, "upstreams end under requests like this one")
	}
	d.Log.Info().Str("request", r.request.ID).Stringer("digest", r.copy.Digest).Msg("refused: upstreams end under this request")
	return r.refuse(persimmoncross.CodeQuarantined, "upstreams end under requests like this one").WithRetryAfter(quarantine.RetryAfter)
}

// addIsolation adds to a choice what requests under suspicion make of it.
func (r *execution) addIsolation(c routing.PickInfo) routing.PickInfo {
	d := r.dispatcher
	c.IsolatedDigests = d.QuarantineStore.IsolatedDigests(r.copy.Service)
	if r.quarantineStage() == persimmoncross.QuarantineIsolate {
		d.count("quarantine.watched")
		d.QuarantineRecorder.MarkRequested(r.copy.Digest, r.copy.Service, d.Clock.Now())
		c.IsolatedDigest = r.copy.Digest
	}
	return c
}

// recordForQuarantine tells the book how a run ended, and lets it be found out whether an
// upstream that cut it has ended.
func (r *execution) recordForQuarantine(ctx context.Context, quarantineRun *quarantine.Run, u *routing.Upstream, err error) {
	d := r.dispatcher
	now := d.Clock.Now()
	var a *persimmoncross.AttemptError
	switch {
	case err == nil:
		quarantineRun.MarkCompleted(now)
		return
	case ctx.Err() != nil || !errors.As(err, &a) || !a.ConnectionLost:
		quarantineRun.Close(now)
		return
	case !quarantineRun.MarkDisconnected(now):
		return
	}
	d.count("quarantine.probed")
	go func() {
		blamed, gone := quarantineRun.ProbeUpstream(ctx, d.Prober, u.Address, d.Clock)
		if !gone {
			d.count("quarantine.lived")
			return
		}
		u.RecordExit()
		d.count("quarantine.ended")
		d.Log.Info().Str("upstream", u.Name).Str("address", u.Address.String()).Strs("digests", quarantine.LoggedDigests(blamed)).Int("requests", len(blamed)).Msg("upstream ended under requests")
	}()
}
