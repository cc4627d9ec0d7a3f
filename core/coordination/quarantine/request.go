package quarantine

import (
	"context"
	"net/netip"
	"time"

	"persimmoncross"
)

// probeTimeout limits the probe of an upstream after a disconnect.
const probeTimeout = 500 * time.Millisecond

// RetryAfter is the Retry-After delay of a request that is refused because it crashes
// upstreams. It is longer than most callers wait, because a refusal does not end soon.
const RetryAfter = time.Minute

// Request is one caller's copy of a request that is being handled.
type Request struct {
	Digest   persimmoncross.Digest
	Parts    []persimmoncross.Digest // of its prompt, see [PartDigests]
	Service  string
	Recorder *Recorder

	// trial is the digest of the refused request or part of which the copy is the trial; zero: none.
	trial persimmoncross.Digest
}

// EffectiveStage returns the stage that applies to the copy under the quarantines of its request
// and of its prompt's parts, which lookUp returns. mayHaveRun says that an upstream may have started the
// copy, which ends a trial.
func (r *Request) EffectiveStage(lookUp func(persimmoncross.Digest) persimmoncross.Quarantine, mayHaveRun bool) persimmoncross.QuarantineStage {
	stage := lookUp(r.Digest).Stage
	var refusals []persimmoncross.Quarantine
	for _, d := range append([]persimmoncross.Digest{r.Digest}, r.Parts...) {
		if q := lookUp(d); q.Stage == persimmoncross.QuarantineRefuse {
			refusals = append(refusals, q)
		}
	}
	switch {
	case len(refusals) == 0:
		return stage
	case mayHaveRun || len(refusals) > 1:
		return persimmoncross.QuarantineRefuse // a trial shows nothing about one of several
	}
	q := refusals[0]
	if r.trial == (persimmoncross.Digest{}) && q.TrialVM != "" && q.TrialVM == r.Recorder.VM && r.Recorder.ClaimTrial(q.Digest, q.TrialCount) {
		r.trial = q.Digest
	}
	if r.trial == q.Digest {
		return persimmoncross.QuarantineIsolate // until the trial has run once
	}
	return persimmoncross.QuarantineRefuse
}

// IsolationDigest returns the digest that selects the upstream at which the copy runs in isolation.
func (r *Request) IsolationDigest() persimmoncross.Digest {
	if r.IsTrial() {
		return r.trial
	}
	return r.Digest
}

// MarkRequested records that the copy arrived, for each quarantine of its request and its prompt's parts,
// which lookUp returns. Quarantines end when no copy comes.
func (r *Request) MarkRequested(lookUp func(persimmoncross.Digest) persimmoncross.Quarantine, now time.Time) {
	if lookUp(r.Digest).Stage != persimmoncross.QuarantineNone {
		r.Recorder.MarkRequested(r.Digest, r.Service, now)
	}
	for _, d := range r.Parts {
		if lookUp(d).Stage != persimmoncross.QuarantineNone {
			r.Recorder.MarkPartRequested(d, r.Service, now)
		}
	}
}

// IsTrial reports whether the copy is the trial run of a refused request or part.
func (r *Request) IsTrial() bool { return r.trial != persimmoncross.Digest{} }

// Done ends the handling of the copy. A trial or an isolated run that was not started may be claimed
// again.
func (r *Request) Done(mayHaveRun bool) {
	r.Recorder.releaseIsolatedRun(r)
	if r.IsTrial() && !mayHaveRun {
		r.Recorder.ReleaseTrial(r.trial)
	}
}

// BeginRun records that the copy is sent to an instance of an upstream.
func (r *Request) BeginRun(instanceID string, now time.Time) *Run {
	run := r.Recorder.BeginRun(r.Digest, r.Service, instanceID, now, r.Parts...)
	r.Recorder.beginIsolatedRun(r, run)
	if r.IsTrial() {
		run.MarkTrial(r.trial)
	}
	return run
}

// ProbeUpstream probes whether the upstream of a run that was disconnected has exited, and
// records the result. If the upstream has exited, ProbeUpstream returns the runs that the crash is
// attributed to. The probe has to be made at once, because it shows nothing after
// the upstream has restarted.
func (r *Run) ProbeUpstream(ctx context.Context, prober persimmoncross.Prober, address netip.AddrPort, clock persimmoncross.Clock) (crashed CrashedRuns, exited bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if prober == nil || !prober.IsDown(ctx, address) {
		r.recorder.InstanceListening(r.instanceID)
		return CrashedRuns{}, false
	}
	return r.recorder.InstanceExited(r.instanceID, clock.Now()), true
}

// Refusals returns the digests for which the copy is refused, of its request and of its prompt's parts, under
// the quarantines that lookUp returns.
func (r *Request) Refusals(lookUp func(persimmoncross.Digest) persimmoncross.Quarantine) (digests []persimmoncross.Digest) {
	for _, d := range append([]persimmoncross.Digest{r.Digest}, r.Parts...) {
		if lookUp(d).Stage == persimmoncross.QuarantineRefuse {
			digests = append(digests, d)
		}
	}
	return digests
}
