package quarantine

import (
	"slices"
	"time"
)

// Limits of the handling of disconnects.
const (
	// probeWindow is how long a disconnect can be confirmed as a crash by a probe of the
	// upstream's address.
	probeWindow = time.Second
	// replacementWindow is how long a disconnect can be confirmed as a crash by a later
	// instance in the upstream's place. It covers the restart of the process and the delay
	// until the list of upstreams is updated, read and forwarded. Behind a proxy, a crash
	// has no other sign, because the proxy continues to accept connections.
	replacementWindow = 6 * time.Second
	// maxDisconnects limits the pending disconnects of one instance.
	maxDisconnects = 128
	// crashedInstanceRetention is how long further disconnects from a crashed instance are
	// recorded as part of its crash, because its connections break at different times.
	crashedInstanceRetention = 10 * time.Second
)

// disconnect is a response that was cut off, or did not begin, because its connection
// broke.
type disconnect struct {
	run           *Run
	at            time.Time
	listenedAfter bool // the upstream's address accepted a connection after the disconnect
}

// pendingDisconnects are the disconnects of one instance that are not known to be crashes,
// in order of time. A disconnect is removed when a run starts or completes that was sent to
// the instance after it (see [Recorder.markAlive]).
type pendingDisconnects struct {
	disconnects   []disconnect
	probing       bool      // a probe of the address is in progress
	probeDeadline time.Time // when that probe ends at the latest
}

// MarkDisconnected records that the connection broke during the response or before it. It
// returns true if the caller has to probe whether the upstream's process has exited (see
// [Recorder.InstanceExited] and [Recorder.InstanceListening]), and false if a probe is in
// progress or not needed.
func (r *Run) MarkDisconnected(now time.Time) bool {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) {
		return false
	}
	if record := rec.records[r.digest]; record != nil && !r.startedAt.IsZero() {
		rec.markChanged(record) // its run time no longer includes this run
	}
	d := disconnect{
		run: r,
		at:  now,
	}
	if at, ok := rec.crashedAt[r.instanceID]; ok && now.Sub(at) <= crashedInstanceRetention {
		if !r.sentAt.After(at) {
			rec.outcomesOf(r.service).addCrashed(r, now)
		}
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

// pruneDisconnects removes pending disconnects and crashes that are too old. The caller
// holds mu.
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

// InstanceExited records that nothing listens at the upstream's address any more, which means
// that its process has exited. It returns the runs that the crash is attributed to.
func (rec *Recorder) InstanceExited(instanceID string, now time.Time) CrashedRuns {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.attributeCrash(instanceID, now, func(d disconnect, _ time.Time) bool { return now.Sub(d.at) <= probeWindow && !d.listenedAfter })
}

// InstanceListening records that a connection to the upstream's address was accepted or
// timed out, which means that the upstream is alive or that a proxy in front of it accepts
// connections.
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

// InstanceReplaced records that the list of upstreams has a later instance in the place of
// this one. If disconnects are pending, the instance crashed at the first of them, and
// requests that were sent after that reached only the proxy in front of the upstream. It
// returns the runs that the crash is attributed to.
func (rec *Recorder) InstanceReplaced(instanceID string, now time.Time) CrashedRuns {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.attributeCrash(instanceID, now, func(d disconnect, firstAt time.Time) bool {
		return now.Sub(d.at) <= replacementWindow && !d.run.sentAt.After(firstAt)
	})
}

// attributeCrash records a crash for each pending disconnect of the instance for which
// wasRunning holds; firstAt is the time of the first pending disconnect. The caller holds mu.
func (rec *Recorder) attributeCrash(instanceID string, now time.Time, wasRunning func(d disconnect, firstAt time.Time) bool) (crashed CrashedRuns) {
	rec.pruneDisconnects(now)
	pending := rec.pending[instanceID]
	if pending == nil {
		return crashed
	}
	delete(rec.pending, instanceID)
	firstAt := pending.disconnects[0].at
	pending.disconnects = slices.DeleteFunc(pending.disconnects, func(d disconnect) bool { return !wasRunning(d, firstAt) })
	for _, d := range pending.disconnects {
		rec.outcomesOf(d.run.service).addCrashed(d.run, d.at)
	}
	for _, d := range pending.disconnects {
		if rec.crashedAt == nil {
			rec.crashedAt = map[string]time.Time{}
		}
		if _, ok := rec.crashedAt[instanceID]; !ok {
			rec.crashedAt[instanceID] = d.at
		}
		rec.recordCrash(d, rec.crashedAt[instanceID])
		crashed.add(d.run)
	}
	return crashed
}

// markAlive records that the instance has started or completed a run that was sent at sentAt,
// so that earlier disconnects were no crashes. The caller holds mu.
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

// recordCrash records a crash during a run, unless the run was sent after the crash. The
// caller holds mu.
func (rec *Recorder) recordCrash(d disconnect, at time.Time) {
	if d.run.sentAt.After(at) {
		return
	}
	startedAt := d.run.startedAt
	if startedAt.IsZero() {
		startedAt = d.run.sentAt
	}
	rec.recordPartCrash(d, at)
	record := rec.recordFor(d.run.digest, d.run.service, d.at, false)
	record.LastRequested, record.LastRequestedBy = d.at, rec.VM
	record.addCrash(Crash{
		InstanceID: d.run.instanceID,
		At:         at,
		RunTime:    max(at.Sub(startedAt), 0),
	}, maxCrashes)
	rec.markChanged(record)
	if claim := rec.trialClaims[d.run.trialDigest]; claim != nil {
		claim.crashed = true
	}
}
