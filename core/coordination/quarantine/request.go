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

	trial bool
}

// EffectiveStage returns the stage that applies to the copy under the quarantine of its
// request. mayHaveRun says that an upstream may have started the copy, which ends a trial.
func (r *Request) EffectiveStage(quarantine persimmoncross.Quarantine, mayHaveRun bool) persimmoncross.QuarantineStage {
	if quarantine.Stage != persimmoncross.QuarantineRefuse || mayHaveRun {
		return quarantine.Stage
	}
	if !r.trial && quarantine.TrialVM != "" && quarantine.TrialVM == r.Recorder.VM {
		r.trial = r.Recorder.ClaimTrial(r.Digest, quarantine.TrialCount)
	}
	if r.trial {
		return persimmoncross.QuarantineIsolate // until the trial has run once
	}
	return quarantine.Stage
}

// IsTrial reports whether the copy is the trial run of a refused request.
func (r *Request) IsTrial() bool { return r.trial }

// Done ends the handling of the copy. A trial or an isolated run that was not started may be claimed
// again.
func (r *Request) Done(mayHaveRun bool) {
	r.Recorder.releaseIsolatedRun(r)
	if r.trial && !mayHaveRun {
		r.Recorder.ReleaseTrial(r.Digest)
	}
}

// BeginRun records that the copy is sent to an instance of an upstream.
func (r *Request) BeginRun(instanceID string, now time.Time) *Run {
	run := r.Recorder.BeginRun(r.Digest, r.Service, instanceID, now)
	r.Recorder.beginIsolatedRun(r, run)
	if r.trial {
		run.MarkTrial()
	}
	return run
}

// ProbeUpstream probes whether the upstream of a run that was disconnected has exited, and
// records the result. If the upstream has exited, ProbeUpstream returns the digests of the
// requests that ran there. The probe has to be made at once, because it shows nothing after
// the upstream has restarted.
func (r *Run) ProbeUpstream(ctx context.Context, prober persimmoncross.Prober, address netip.AddrPort, clock persimmoncross.Clock) (blamed []persimmoncross.Digest, exited bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if prober == nil || !prober.IsDown(ctx, address) {
		r.recorder.InstanceListening(r.instanceID)
		return nil, false
	}
	return r.recorder.InstanceExited(r.instanceID, clock.Now()), true
}

// maxLoggedDigests limits the digests in one log line. Only one of the requests that ran at
// an upstream is the cause, and the log line of an evaluation names each crash.
const maxLoggedDigests = 8

// LoggedDigests returns the digests that the log line about a crash names.
func LoggedDigests(blamed []persimmoncross.Digest) []string {
	var digests []string
	for _, d := range blamed[:min(len(blamed), maxLoggedDigests)] {
		digests = append(digests, d.String())
	}
	return digests
}
