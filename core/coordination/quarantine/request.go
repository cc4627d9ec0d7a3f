package quarantine

import (
	"context"
	"net/netip"
	"time"

	"persimmoncross"
)

// probeTimeout bounds the look at an upstream that has cut answers.
const probeTimeout = 500 * time.Millisecond

// RetryAfter is when a caller may come back whose request is refused for what it
// does to upstreams: long after most callers have given up. Nothing that ends soon is
// waited for.
const RetryAfter = time.Minute

// Request is one caller's copy of a request on its way.
type Request struct {
	Digest   persimmoncross.Digest
	Service  string
	Recorder *Recorder

	trial bool
}

// EffectiveStage returns what is done with the copy by the hold on its request. ran tells that
// an upstream may have begun it: a trial is over then.
func (r *Request) EffectiveStage(h persimmoncross.Quarantine, mayHaveRun bool) persimmoncross.QuarantineStage {
	if h.Stage != persimmoncross.QuarantineRefuse || mayHaveRun {
		return h.Stage
	}
	if !r.trial && h.TrialVM != "" && h.TrialVM == r.Recorder.VM {
		r.trial = r.Recorder.ClaimTrial(r.Digest, h.TrialCount)
	}
	if r.trial {
		return persimmoncross.QuarantineIsolate // until it has run, once
	}
	return h.Stage
}

// IsTrial reports whether the copy runs though requests like it are refused.
func (r *Request) IsTrial() bool { return r.trial }

// Done tells that nothing more becomes of the copy.
func (r *Request) Done(mayHaveRun bool) {
	if r.trial && !mayHaveRun {
		r.Recorder.ReleaseTrial(r.Digest)
	}
}

// BeginRun notes that the copy is sent to a life of an upstream.
func (r *Request) BeginRun(instanceID string, now time.Time) *Run {
	run := r.Recorder.BeginRun(r.Digest, r.Service, instanceID, now)
	if r.trial {
		run.MarkTrial()
	}
	return run
}

// ProbeUpstream finds out whether the upstream that cut the run has ended, and tells the book.
// It returns the requests that ran there if so. It is made at once: the upstream is
// back soon, and then nothing tells any more.
func (r *Run) ProbeUpstream(ctx context.Context, prober persimmoncross.Prober, address netip.AddrPort, clock persimmoncross.Clock) (blamed []persimmoncross.Digest, exited bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if prober == nil || !prober.Gone(ctx, address) {
		r.recorder.InstanceListening(r.instanceID)
		return nil, false
	}
	return r.recorder.InstanceExited(r.instanceID, clock.Now()), true
}

// maxLoggedDigests is how many digests a line names: of all that ran at an upstream one is
// the cause, and the judgement's line names each end.
const maxLoggedDigests = 8

// LoggedDigests returns the digests that a line on an end names.
func LoggedDigests(blamed []persimmoncross.Digest) []string {
	var digests []string
	for _, d := range blamed[:min(len(blamed), maxLoggedDigests)] {
		digests = append(digests, d.String())
	}
	return digests
}
