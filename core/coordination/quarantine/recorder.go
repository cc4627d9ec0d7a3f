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

// Recorder is what one VM sees. The zero value is empty; VM is set before use.
type Recorder struct {
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
	Record
	version uint64
}

// Run is a run of a request at an upstream.
type Run struct {
	recorder   *Recorder
	digest     persimmoncross.Digest
	service    string
	instanceID string
	sentAt     time.Time
	trial      bool
	startedAt  time.Time // zero: not known
}

// BeginRun notes that a request is sent to a life of an upstream.
func (rec *Recorder) BeginRun(d persimmoncross.Digest, service, instanceID string, now time.Time) *Run {
	r := &Run{
		recorder:   rec,
		digest:     d,
		service:    service,
		instanceID: instanceID,
		sentAt:     now,
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.inFlight == nil {
		rec.inFlight = map[persimmoncross.Digest][]*Run{}
	}
	rec.inFlight[d] = append(rec.inFlight[d], r)
	return r
}

// MarkStarted notes that the upstream has begun the run.
func (r *Run) MarkStarted(now time.Time) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.startedAt = now
	r.recorder.markAlive(r.instanceID, r.sentAt)
}

// MarkCompleted notes that the run came to its end.
func (r *Run) MarkCompleted(now time.Time) {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) {
		return
	}
	rec.markAlive(r.instanceID, r.sentAt)
	if r.trial {
		rec.recordFor(r.digest, r.service, now).ClearedAt = now
	}
	if record := rec.records[r.digest]; record != nil {
		record.Completed++
		rec.markChanged(record)
		return
	}
	rec.rotateCompleted(now)
	if len(rec.recentCompleted[0]) < maxRecentCompleted || rec.recentCompleted[0][r.digest] > 0 {
		rec.recentCompleted[0][r.digest]++
	}
}

// Close notes that the run ended, and the upstream lives as far as is known.
func (r *Run) Close(now time.Time) {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) || r.startedAt.IsZero() {
		return
	}
	if record := rec.records[r.digest]; record != nil {
		record.RunTime += max(now.Sub(r.startedAt), 0)
		rec.markChanged(record)
	}
}

// removeRun ends the run, once. The caller holds mu.
func (rec *Recorder) removeRun(r *Run) bool {
	runs := rec.inFlight[r.digest]
	i := slices.Index(runs, r)
	if i < 0 {
		return false
	}
	if len(runs) == 1 {
		delete(rec.inFlight, r.digest)
	} else {
		rec.inFlight[r.digest] = slices.Delete(runs, i, i+1)
	}
	return true
}

// recordFor returns the case of a digest; a new one begins with the whole answers
// that came lately. The caller holds mu.
func (rec *Recorder) recordFor(d persimmoncross.Digest, service string, now time.Time) *versionedRecord {
	if record := rec.records[d]; record != nil {
		return record
	}
	if rec.records == nil {
		rec.records = map[persimmoncross.Digest]*versionedRecord{}
	}
	if len(rec.records) >= maxRecords {
		rec.evict()
	}
	rec.rotateCompleted(now)
	record := &versionedRecord{
		Record: Record{
			Digest:          d,
			Service:         service,
			Completed:       rec.recentCompleted[0][d] + rec.recentCompleted[1][d],
			LastRequested:   now,
			LastRequestedBy: rec.VM,
		},
	}
	rec.records[d] = record
	return record
}

// evict drops the case with the fewest ends, of these the oldest. The caller holds
// mu.
func (rec *Recorder) evict() {
	var victim *versionedRecord
	for _, record := range rec.records {
		if victim == nil || len(record.Crashes) < len(victim.Crashes) || len(record.Crashes) == len(victim.Crashes) && record.LastRequested.Before(victim.LastRequested) {
			victim = record
		}
	}
	delete(rec.records, victim.Digest)
}

// rotateCompleted forgets whole answers of long ago. The caller holds mu.
func (rec *Recorder) rotateCompleted(now time.Time) {
	if rec.recentCompleted[0] == nil || now.Sub(rec.rotatedAt) > completedRetention/2 {
		rec.recentCompleted[1] = rec.recentCompleted[0]
		if now.Sub(rec.rotatedAt) > completedRetention {
			rec.recentCompleted[1] = nil
		}
		rec.recentCompleted[0] = map[persimmoncross.Digest]int{}
		rec.rotatedAt = now
	}
}

// ClaimTrial reports whether a copy of a refused request may run here: the trial with the
// number was not begun yet.
func (rec *Recorder) ClaimTrial(d persimmoncross.Digest, number int) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.lastTrial[d] >= number {
		return false
	}
	if rec.lastTrial == nil {
		rec.lastTrial = map[persimmoncross.Digest]int{}
	}
	if len(rec.lastTrial) >= maxQuarantines {
		clear(rec.lastTrial) // of holds that are long over
	}
	rec.lastTrial[d] = number
	return true
}

// ReleaseTrial notes that the trial that was begun last has told nothing.
func (rec *Recorder) ReleaseTrial(d persimmoncross.Digest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.lastTrial[d]--
}

// MarkTrial notes that the run is a trial.
func (r *Run) MarkTrial() {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.trial = true
}

// MarkRequested notes that a copy came of a request that is held.
func (rec *Recorder) MarkRequested(d persimmoncross.Digest, service string, now time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	record := rec.recordFor(d, service, now)
	if record.version == 0 || now.Sub(record.LastRequested) >= requestedInterval {
		record.LastRequested, record.LastRequestedBy = now, rec.VM
		rec.markChanged(record)
	}
}

func (rec *Recorder) markChanged(record *versionedRecord) {
	rec.version++
	record.version = rec.version
}

// Records returns what changed since a count of news that an earlier call returned,
// 0 for all, and the count now. Runs under way speak for their requests by the time
// for which their upstreams have survived them.
func (rec *Recorder) Records(since uint64, now time.Time) ([]Record, uint64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var records []Record
	for d, record := range rec.records {
		if record.Stale(now) {
			delete(rec.records, d)
			continue
		}
		inFlightTime := time.Duration(0)
		for _, r := range rec.inFlight[d] {
			if !r.startedAt.IsZero() {
				inFlightTime += max(now.Sub(r.startedAt), 0)
			}
		}
		if record.version <= since && inFlightTime == 0 {
			continue
		}
		snapshot := record.Record
		snapshot.Crashes = slices.Clone(record.Crashes)
		snapshot.RunTime += inFlightTime
		records = append(records, snapshot)
	}
	return records, rec.version
}
