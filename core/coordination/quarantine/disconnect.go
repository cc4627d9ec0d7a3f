package quarantine

import (
	"slices"
	"time"

	"persimmoncross"
)

// Of answers that broke off.
const (
	// probeWindow is how long a cut waits for a look at its upstream's address.
	probeWindow = time.Second
	// replacementWindow is how long a cut waits for the list to tell of a later life in the
	// upstream's place: the process starts again, the list lags, and is read and passed
	// on. An upstream that ends behind a proxy is told of by nothing else, as the proxy
	// goes on taking connections.
	replacementWindow = 6 * time.Second
	// maxDisconnects bounds the cuts that wait at one life.
	maxDisconnects = 128
	// crashedInstanceRetention is how long an upstream that has ended is remembered: connections to
	// it break at different moments.
	crashedInstanceRetention = 10 * time.Second
)

// disconnect is an answer that broke off with its connection, or never began.
type disconnect struct {
	run           *Run
	at            time.Time
	listenedAfter bool // the upstream's address took a connection after it
}

// pendingDisconnects are those at one life that nothing has explained yet, in the order of their
// times: nothing was heard of the life since the first of them.
type pendingDisconnects struct {
	disconnects   []disconnect
	probing       bool      // a look at the address is under way
	probeDeadline time.Time // by which that look is over
}

// MarkDisconnected notes that the answer broke off or the connection ended before it. It
// returns true if it is to be found out whether the upstream has ended (see
// [Recorder.InstanceExited] and [Recorder.InstanceListening]): nobody does so yet.
func (r *Run) MarkDisconnected(now time.Time) bool {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) {
		return false
	}
	d := disconnect{
		run: r,
		at:  now,
	}
	if at, ok := rec.crashedAt[r.instanceID]; ok && now.Sub(at) <= crashedInstanceRetention {
		rec.recordCrash(d, at)
		return false
	}
	if rec.pending == nil {
		rec.pending = map[string]*pendingDisconnects{}
	}
	rec.pruneDisconnects(now)
	pending := rec.pending[r.instanceID]
	if pending == nil {
		pending = &pendingDisconnects{}
		rec.pending[r.instanceID] = pending
	}
	if len(pending.disconnects) < maxDisconnects {
		pending.disconnects = append(pending.disconnects, d)
	}
	if pending.probing && now.Before(pending.probeDeadline) {
		return false
	}
	pending.probing = true
	pending.probeDeadline = now.Add(probeWindow)
	return true
}

// pruneDisconnects drops what waits for too long. The caller holds mu.
func (rec *Recorder) pruneDisconnects(now time.Time) {
	for instanceID, pending := range rec.pending {
		pending.disconnects = slices.DeleteFunc(pending.disconnects, func(d disconnect) bool { return now.Sub(d.at) > replacementWindow })
		if len(pending.disconnects) == 0 {
			delete(rec.pending, instanceID)
		}
	}
	for instanceID, at := range rec.crashedAt {
		if now.Sub(at) > crashedInstanceRetention {
			delete(rec.crashedAt, instanceID)
		}
	}
}

// InstanceExited notes that nothing listens at the upstream's address any more: its process
// has ended. It returns the digests of the requests that ran there.
func (rec *Recorder) InstanceExited(instanceID string, now time.Time) (blamed []persimmoncross.Digest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.attributeCrash(instanceID, now, func(d disconnect, _ time.Time) bool { return now.Sub(d.at) <= probeWindow && !d.listenedAfter })
}

// InstanceListening notes that a connection to the upstream's address works, or is not
// answered: it lives, or something before it takes connections in its place.
func (rec *Recorder) InstanceListening(instanceID string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	pending := rec.pending[instanceID]
	if pending == nil {
		return
	}
	pending.probing = false
	for i := range pending.disconnects {
		pending.disconnects[i].listenedAfter = true
	}
}

// InstanceReplaced notes that the list has a later life in the place of this one. If answers
// broke off there and nothing was heard of it since, it ended with the first of them.
// What was sent later than that met only what stands before the upstream. It returns
// the digests of the requests that ran there.
func (rec *Recorder) InstanceReplaced(instanceID string, now time.Time) (blamed []persimmoncross.Digest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.attributeCrash(instanceID, now, func(d disconnect, firstAt time.Time) bool {
		return now.Sub(d.at) <= replacementWindow && !d.run.sentAt.After(firstAt)
	})
}

// attributeCrash blames the cuts at the life that count, given when the first of them came.
// The caller holds mu.
func (rec *Recorder) attributeCrash(instanceID string, now time.Time, wasRunning func(d disconnect, firstAt time.Time) bool) (blamed []persimmoncross.Digest) {
	rec.pruneDisconnects(now)
	pending := rec.pending[instanceID]
	if pending == nil {
		return nil
	}
	delete(rec.pending, instanceID)
	firstAt := pending.disconnects[0].at
	for _, d := range pending.disconnects {
		if !wasRunning(d, firstAt) {
			continue
		}
		if rec.crashedAt == nil {
			rec.crashedAt = map[string]time.Time{}
		}
		if _, ok := rec.crashedAt[instanceID]; !ok {
			rec.crashedAt[instanceID] = d.at
		}
		rec.recordCrash(d, rec.crashedAt[instanceID])
		blamed = append(blamed, d.run.digest)
	}
	return blamed
}

// markAlive notes that the life has begun a run that was sent then: what broke off there
// before did not end it. The caller holds mu.
func (rec *Recorder) markAlive(instanceID string, sentAt time.Time) {
	pending := rec.pending[instanceID]
	if pending == nil {
		return
	}
	pending.disconnects = slices.DeleteFunc(pending.disconnects, func(d disconnect) bool { return d.at.Before(sentAt) })
	if len(pending.disconnects) == 0 {
		delete(rec.pending, instanceID)
	}
}

// recordCrash notes an end under a run, unless it was sent later than that. The caller holds
// mu.
func (rec *Recorder) recordCrash(d disconnect, at time.Time) {
	if d.run.sentAt.After(at) {
		return
	}
	startedAt := d.run.startedAt
	if startedAt.IsZero() {
		startedAt = d.run.sentAt
	}
	record := rec.recordFor(d.run.digest, d.run.service, d.at)
	record.LastRequested, record.LastRequestedBy = d.at, rec.VM
	record.addCrash(Crash{
		InstanceID: d.run.instanceID,
		At:         at,
		RunTime:    max(at.Sub(startedAt), 0),
	})
	rec.markChanged(record)
}
