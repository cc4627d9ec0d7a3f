package quarantine

import (
	"slices"
	"sync"
	"time"

	"persimmoncross"
)

// Of one VM's book.
const (
	maxRecords         = 512  // with an end: 100 KB
	maxRecentCompleted = 2048 // digests that came to their end lately, of each half of wholeAge
	completedRetention = time.Minute
	requestedInterval  = time.Second // in which a copy more is no news
)

// Book is what one VM sees. The zero value is empty; VM is set before use.
type Book struct {
	VM string

	mu              sync.Mutex // guards all below
	records         map[persimmoncross.Digest]*versionedRecord
	pending         map[string]*pendingDisconnects   // by life
	crashedAt       map[string]time.Time             // lives that have ended
	inFlight        map[persimmoncross.Digest][]*Run // under way
	lastTrial       map[persimmoncross.Digest]int    // the latest trial that was begun here
	recentCompleted [2]map[persimmoncross.Digest]int // lately and before
	rotatedAt       time.Time                        // when whole moved on
	version         uint64
}

// versionedRecord is a case with the count of news that it changed at.
type versionedRecord struct {
	Case
	version uint64
}

// Run is a run of a request at an upstream.
type Run struct {
	recorder   *Book
	digest     persimmoncross.Digest
	service    string
	instanceID string
	sentAt     time.Time
	trial      bool
	startedAt  time.Time // zero: not known
}

// Begin notes that a request is sent to a life of an upstream.
func (b *Book) Begin(d persimmoncross.Digest, service, instanceID string, now time.Time) *Run {
	r := &Run{
		recorder:   b,
		digest:     d,
		service:    service,
		instanceID: instanceID,
		sentAt:     now,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight == nil {
		b.inFlight = map[persimmoncross.Digest][]*Run{}
	}
	b.inFlight[d] = append(b.inFlight[d], r)
	return r
}

// Begun notes that the upstream has begun the run.
func (r *Run) Begun(now time.Time) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.startedAt = now
	r.recorder.markAlive(r.instanceID, r.sentAt)
}

// Whole notes that the run came to its end.
func (r *Run) Whole(now time.Time) {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) {
		return
	}
	rec.markAlive(r.instanceID, r.sentAt)
	if r.trial {
		rec.recordFor(r.digest, r.service, now).Cleared = now
	}
	if record := rec.records[r.digest]; record != nil {
		record.Whole++
		rec.markChanged(record)
		return
	}
	rec.rotateCompleted(now)
	if len(rec.recentCompleted[0]) < maxRecentCompleted || rec.recentCompleted[0][r.digest] > 0 {
		rec.recentCompleted[0][r.digest]++
	}
}

// Over notes that the run ended, and the upstream lives as far as is known.
func (r *Run) Over(now time.Time) {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) || r.startedAt.IsZero() {
		return
	}
	if record := rec.records[r.digest]; record != nil {
		record.Ran += max(now.Sub(r.startedAt), 0)
		rec.markChanged(record)
	}
}

// removeRun ends the run, once. The caller holds mu.
func (b *Book) removeRun(r *Run) bool {
	runs := b.inFlight[r.digest]
	i := slices.Index(runs, r)
	if i < 0 {
		return false
	}
	if len(runs) == 1 {
		delete(b.inFlight, r.digest)
	} else {
		b.inFlight[r.digest] = slices.Delete(runs, i, i+1)
	}
	return true
}

// recordFor returns the case of a digest; a new one begins with the whole answers
// that came lately. The caller holds mu.
func (b *Book) recordFor(d persimmoncross.Digest, service string, now time.Time) *versionedRecord {
	if record := b.records[d]; record != nil {
		return record
	}
	if b.records == nil {
		b.records = map[persimmoncross.Digest]*versionedRecord{}
	}
	if len(b.records) >= maxRecords {
		b.evict()
	}
	b.rotateCompleted(now)
	record := &versionedRecord{
		Case: Case{
			Digest:  d,
			Service: service,
			Whole:   b.recentCompleted[0][d] + b.recentCompleted[1][d],
			Asked:   now,
			Asker:   b.VM,
		},
	}
	b.records[d] = record
	return record
}

// evict drops the case with the fewest ends, of these the oldest. The caller holds
// mu.
func (b *Book) evict() {
	var victim *versionedRecord
	for _, record := range b.records {
		if victim == nil || len(record.Ends) < len(victim.Ends) || len(record.Ends) == len(victim.Ends) && record.Asked.Before(victim.Asked) {
			victim = record
		}
	}
	delete(b.records, victim.Digest)
}

// rotateCompleted forgets whole answers of long ago. The caller holds mu.
func (b *Book) rotateCompleted(now time.Time) {
	if b.recentCompleted[0] == nil || now.Sub(b.rotatedAt) > completedRetention/2 {
		b.recentCompleted[1] = b.recentCompleted[0]
		if now.Sub(b.rotatedAt) > completedRetention {
			b.recentCompleted[1] = nil
		}
		b.recentCompleted[0] = map[persimmoncross.Digest]int{}
		b.rotatedAt = now
	}
}

// Try reports whether a copy of a refused request may run here: the trial with the
// number was not begun yet.
func (b *Book) Try(d persimmoncross.Digest, number int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastTrial[d] >= number {
		return false
	}
	if b.lastTrial == nil {
		b.lastTrial = map[persimmoncross.Digest]int{}
	}
	if len(b.lastTrial) >= maxQuarantines {
		clear(b.lastTrial) // of holds that are long over
	}
	b.lastTrial[d] = number
	return true
}

// Untried notes that the trial that was begun last has told nothing.
func (b *Book) Untried(d persimmoncross.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastTrial[d]--
}

// Trial notes that the run is a trial.
func (r *Run) Trial() {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.trial = true
}

// Asked notes that a copy came of a request that is held.
func (b *Book) Asked(d persimmoncross.Digest, service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.recordFor(d, service, now)
	if e.version == 0 || now.Sub(e.Asked) >= requestedInterval {
		e.Asked, e.Asker = now, b.VM
		b.markChanged(e)
	}
}

func (b *Book) markChanged(record *versionedRecord) {
	b.version++
	record.version = b.version
}

// Cases returns what changed since a count of news that an earlier call returned,
// 0 for all, and the count now. Runs under way speak for their requests by the time
// for which their upstreams have survived them.
func (b *Book) Cases(since uint64, now time.Time) ([]Case, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var records []Case
	for d, e := range b.records {
		if e.Stale(now) {
			delete(b.records, d)
			continue
		}
		inFlightTime := time.Duration(0)
		for _, r := range b.inFlight[d] {
			if !r.startedAt.IsZero() {
				inFlightTime += max(now.Sub(r.startedAt), 0)
			}
		}
		if e.version <= since && inFlightTime == 0 {
			continue
		}
		c := e.Case
		c.Ends = slices.Clone(e.Ends)
		c.Ran += inFlightTime
		records = append(records, c)
	}
	return records, b.version
}
