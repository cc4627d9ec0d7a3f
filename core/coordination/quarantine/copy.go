package quarantine

import (
	"context"
	"net/netip"
	"time"

	"persimmoncross"
)

// probeTimeout bounds the look at an upstream that has cut answers.
const probeTimeout = 500 * time.Millisecond

// RefusedFor is when a caller may come back whose request is refused for what it
// does to upstreams: long after most callers have given up. Nothing that ends soon is
// waited for.
const RefusedFor = time.Minute

// Copy is one caller's copy of a request on its way.
type Copy struct {
	Digest  persimmoncross.Digest
	Service string
	Book    *Book

	trial bool
}

// Stage returns what is done with the copy by the hold on its request. ran tells that
// an upstream may have begun it: a trial is over then.
func (c *Copy) Stage(h persimmoncross.Hold, mayHaveRun bool) persimmoncross.HoldStage {
	if h.Stage != persimmoncross.HoldRefuse || mayHaveRun {
		return h.Stage
	}
	if !c.trial && h.Trial != "" && h.Trial == c.Book.VM {
		c.trial = c.Book.Try(c.Digest, h.Try)
	}
	if c.trial {
		return persimmoncross.HoldWatch // until it has run, once
	}
	return h.Stage
}

// Trial reports whether the copy runs though requests like it are refused.
func (c *Copy) Trial() bool { return c.trial }

// Done tells that nothing more becomes of the copy.
func (c *Copy) Done(mayHaveRun bool) {
	if c.trial && !mayHaveRun {
		c.Book.Untried(c.Digest)
	}
}

// Begin notes that the copy is sent to a life of an upstream.
func (c *Copy) Begin(instanceID string, now time.Time) *Run {
	r := c.Book.Begin(c.Digest, c.Service, instanceID, now)
	if c.trial {
		r.Trial()
	}
	return r
}

// Look finds out whether the upstream that cut the run has ended, and tells the book.
// It returns the requests that ran there if so. It is made at once: the upstream is
// back soon, and then nothing tells any more.
func (r *Run) Look(ctx context.Context, prober persimmoncross.Prober, address netip.AddrPort, clock persimmoncross.Clock) (blamed []persimmoncross.Digest, exited bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if prober == nil || !prober.Gone(ctx, address) {
		r.recorder.Listens(r.instanceID)
		return nil, false
	}
	return r.recorder.Ended(r.instanceID, clock.Now()), true
}

// maxLoggedDigests is how many digests a line names: of all that ran at an upstream one is
// the cause, and the judgement's line names each end.
const maxLoggedDigests = 8

// Named returns the digests that a line on an end names.
func Named(blamed []persimmoncross.Digest) []string {
	var digests []string
	for _, d := range blamed[:min(len(blamed), maxLoggedDigests)] {
		digests = append(digests, d.String())
	}
	return digests
}
