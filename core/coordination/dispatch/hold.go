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
func (w *Work) quarantineDigest() persimmoncross.Digest {
	return quarantine.DigestOf(w.Organisation.Name, w.Method, w.Name, w.Path, sha256.Sum256(w.Body))
}

// quarantineStage returns what is done with the request for what it does to upstreams.
func (r *execution) quarantineStage() persimmoncross.HoldStage {
	return r.copy.Stage(r.dispatcher.Keeper.Hold(r.copy.Digest), r.runStatus != persimmoncross.NotRun)
}

// checkQuarantine refuses a request that ends upstreams: at once, and as not run only if it
// has not.
func (r *execution) checkQuarantine() *persimmoncross.Refusal {
	if r.quarantineStage() != persimmoncross.HoldRefuse {
		return nil
	}
	d := r.dispatcher
	d.count("quarantine.refused")
	d.Book.Asked(r.copy.Digest, r.copy.Service, d.Clock.Now())
	if r.runStatus != persimmoncross.NotRun {
		return r.refuse(persimmoncross.CodeUpstreamFailed, "upstreams end under requests like this one")
	}
	d.Log.Info().Str("request", r.request.ID).Stringer("digest", r.copy.Digest).Msg("refused: upstreams end under this request")
	return r.refuse(persimmoncross.CodeQuarantined, "upstreams end under requests like this one").After(quarantine.RefusedFor)
}

// addIsolation adds to a choice what requests under suspicion make of it.
func (r *execution) addIsolation(c routing.Choice) routing.Choice {
	d := r.dispatcher
	c.Apart = d.Keeper.Apart(r.copy.Service)
	if r.quarantineStage() == persimmoncross.HoldWatch {
		d.count("quarantine.watched")
		d.Book.Asked(r.copy.Digest, r.copy.Service, d.Clock.Now())
		c.Alone = r.copy.Digest
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
		quarantineRun.Whole(now)
		return
	case ctx.Err() != nil || !errors.As(err, &a) || !a.Cut:
		quarantineRun.Over(now)
		return
	case !quarantineRun.Cut(now):
		return
	}
	d.count("quarantine.probed")
	go func() {
		blamed, gone := quarantineRun.Look(ctx, d.Prober, u.Address, d.Clock)
		if !gone {
			d.count("quarantine.lived")
			return
		}
		u.Ended()
		d.count("quarantine.ended")
		d.Log.Info().Str("upstream", u.Name).Str("address", u.Address.String()).Strs("digests", quarantine.Named(blamed)).Int("requests", len(blamed)).Msg("upstream ended under requests")
	}()
}
