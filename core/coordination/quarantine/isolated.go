package quarantine

import (
	"slices"
	"time"

	"persimmoncross"
)

// outcomeTimeout is how long other copies wait for the outcome of an isolated run. It covers the restart
// of an upstream behind a proxy and the delay until the list shows it. It is shorter than
// replacementWindow, because an upstream that lives and is not listed anew gives no sign.
const outcomeTimeout = 3 * time.Second

// isolatedRun is the latest run of an isolated request at this VM.
type isolatedRun struct {
	claimedBy *Request // nil once the run has begun
	run       *Run     // nil until then
}

// ClaimIsolatedRun reports whether the copy of an isolated request may run now, and reserves its run
// until it begins or Done is called. While the outcome of another run at this VM is unknown, the
// copy may not: it could crash one more upstream, and the crash would come too late for the
// evaluation.
func (r *Request) ClaimIsolatedRun(now time.Time) bool {
	return r.Recorder.claimIsolatedRun(r, now)
}

func (rec *Recorder) claimIsolatedRun(r *Request, now time.Time) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.pruneDisconnects(now)
	if latest := rec.isolated[r.Digest]; latest != nil && latest.claimedBy != r && rec.isPending(latest, now) {
		return false
	}
	if len(rec.isolated) >= maxIsolated {
		for d, other := range rec.isolated {
			if !rec.isPending(other, now) {
				delete(rec.isolated, d)
			}
		}
	}
	if rec.isolated == nil {
		rec.isolated = map[persimmoncross.Digest]*isolatedRun{}
	}
	rec.isolated[r.Digest] = &isolatedRun{
		claimedBy: r,
	}
	return true
}

// isPending reports whether the outcome of the run is unknown: it has not begun, it is in flight and
// may still crash its upstream, or its connection broke and the upstream is not known to have
// crashed or to live. The caller holds mu.
func (rec *Recorder) isPending(x *isolatedRun, now time.Time) bool {
	run := x.run
	if run == nil {
		return true
	}
	if slices.Contains(rec.inFlight[run.digest], run) {
		if run.startedAt.IsZero() {
			return now.Sub(run.sentAt) < outcomeTimeout
		}
		return now.Sub(run.startedAt) < rec.survivalTime(run.digest)
	}
	pending := rec.pending[run.instanceID]
	return pending != nil && slices.ContainsFunc(pending.disconnects, func(d disconnect) bool {
		return d.run == run && now.Sub(d.at) < outcomeTimeout
	})
}

// survivalTime returns the run time without a crash that counts as much as a completed run. The caller
// holds mu.
func (rec *Recorder) survivalTime(d persimmoncross.Digest) time.Duration {
	if record := rec.records[d]; record != nil {
		return survivalFactor * record.meanRunTime()
	}
	return survivalFactor * minRunTime
}

// beginIsolatedRun records the run of a copy that claimed it.
func (rec *Recorder) beginIsolatedRun(r *Request, run *Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if x := rec.isolated[r.Digest]; x != nil && x.claimedBy == r {
		x.run = run
		x.claimedBy = nil // the copy, with its body, is kept no longer than it is handled
	}
}

// releaseIsolatedRun gives up a claimed run that has not begun.
func (rec *Recorder) releaseIsolatedRun(r *Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if x := rec.isolated[r.Digest]; x != nil && x.claimedBy == r {
		delete(rec.isolated, r.Digest)
	}
}
