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

// Cut notes that the answer broke off or the connection ended before it. It
// returns true if it is to be found out whether the upstream has ended (see
// [Book.Ended] and [Book.Listens]): nobody does so yet.
func (r *Run) Cut(now time.Time) bool {
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
func (b *Book) pruneDisconnects(now time.Time) {
	for instanceID, pending := range b.pending {
		pending.disconnects = slices.DeleteFunc(pending.disconnects, func(d disconnect) bool { return now.Sub(d.at) > replacementWindow })
		if len(pending.disconnects) == 0 {
			delete(b.pending, instanceID)
		}
	}
	for instanceID, at := range b.crashedAt {
		if now.Sub(at) > crashedInstanceRetention {
			delete(b.crashedAt, instanceID)
		}
	}
}

// Ended notes that nothing listens at the upstream's address any more: its process
// has ended. It returns the digests of the requests that ran there.
func (b *Book) Ended(instanceID string, now time.Time) (blamed []persimmoncross.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attributeCrash(instanceID, now, func(c disconnect, _ time.Time) bool { return now.Sub(c.at) <= probeWindow && !c.listenedAfter })
}

// Listens notes that a connection to the upstream's address works, or is not
// answered: it lives, or something before it takes connections in its place.
func (b *Book) Listens(instanceID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.pending[instanceID]
	if pending == nil {
		return
	}
	pending.probing = false
	for i := range pending.disconnects {
		pending.disconnects[i].listenedAfter = true
	}
}

// Succeeded notes that the list has a later life in the place of this one. If answers
// broke off there and nothing was heard of it since, it ended with the first of them.
// What was sent later than that met only what stands before the upstream. It returns
// the digests of the requests that ran there.
func (b *Book) Succeeded(instanceID string, now time.Time) (blamed []persimmoncross.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attributeCrash(instanceID, now, func(c disconnect, first time.Time) bool {
		return now.Sub(c.at) <= replacementWindow && !c.run.sentAt.After(first)
	})
}

// attributeCrash blames the cuts at the life that count, given when the first of them came.
// The caller holds mu.
func (b *Book) attributeCrash(instanceID string, now time.Time, wasRunning func(d disconnect, firstAt time.Time) bool) (blamed []persimmoncross.Digest) {
	b.pruneDisconnects(now)
	pending := b.pending[instanceID]
	if pending == nil {
		return nil
	}
	delete(b.pending, instanceID)
	firstAt := pending.disconnects[0].at
	for _, d := range pending.disconnects {
		if !wasRunning(d, firstAt) {
			continue
		}
		if b.crashedAt == nil {
			b.crashedAt = map[string]time.Time{}
		}
		if _, ok := b.crashedAt[instanceID]; !ok {
			b.crashedAt[instanceID] = d.at
		}
		b.recordCrash(d, b.crashedAt[instanceID])
		blamed = append(blamed, d.run.digest)
	}
	return blamed
}

// markAlive notes that the life has begun a run that was sent then: what broke off there
// before did not end it. The caller holds mu.
func (b *Book) markAlive(instanceID string, sentAt time.Time) {
	pending := b.pending[instanceID]
	if pending == nil {
		return
	}
	pending.disconnects = slices.DeleteFunc(pending.disconnects, func(d disconnect) bool { return d.at.Before(sentAt) })
	if len(pending.disconnects) == 0 {
		delete(b.pending, instanceID)
	}
}

// recordCrash notes an end under a run, unless it was sent later than that. The caller holds
// mu.
func (b *Book) recordCrash(d disconnect, at time.Time) {
	if d.run.sentAt.After(at) {
		return
	}
	startedAt := d.run.startedAt
	if startedAt.IsZero() {
		startedAt = d.run.sentAt
	}
	record := b.recordFor(d.run.digest, d.run.service, d.at)
	record.Asked, record.Asker = d.at, b.VM
	record.addCrash(End{
		Life: d.run.instanceID,
		At:   at,
		Ran:  max(at.Sub(startedAt), 0),
	})
	b.markChanged(record)
}
