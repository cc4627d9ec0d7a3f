package quarantine

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"persimmoncross"
)

// Limits of the records of one VM.
const (
	maxReportedInFlight = 16   // instances with runs in flight of one request
	maxRecords          = 1024 // records of requests and parts; 200 KB with one crash each
	maxRecentCompleted  = 2048 // digests of completed runs in each half of completedRetention
	completedRetention  = time.Minute
	maxServices         = 1024        // services with outcomes of runs
	requestedInterval   = time.Second // minimum time between two updates of LastRequested
)

// Recorder records the runs and crashes that one VM observes. The zero value is empty; VM
// is set before use.
type Recorder struct {
	VM string

	mu              sync.Mutex // guards the fields below
	records         map[persimmoncross.Digest]*versionedRecord
	pending         map[string]*pendingDisconnects // by InstanceID
	crashedAt       map[string]time.Time           // by InstanceID
	inFlight        map[persimmoncross.Digest][]*Run
	trialClaims     map[persimmoncross.Digest]*trialClaim
	isolated        map[persimmoncross.Digest]*isolatedRun
	recentCompleted [2]map[persimmoncross.Digest]int // completed runs in the newer and the older half of completedRetention
	recentParts     [2]map[persimmoncross.Digest]int // the same for parts of prompts
	rotatedAt       time.Time                        // when recentCompleted was rotated last
	outcomes        map[string]*outcomes             // of all runs, by service
	version         uint64                           // counts changes of records
}

// versionedRecord is a record with the version at which it changed last.
type versionedRecord struct {
	Record
	version   uint64
	changedAt time.Time // when version was set; of a part's record only
	unsent    bool      // a change of a cleared part that is not in version yet
	outcomes  outcomes  // of the runs with the part; of a part's record only
}

// trialClaim is the latest trial of a request that was claimed at this VM.
type trialClaim struct {
	number  int
	seenAt  time.Time // when the claim was first found in a report; zero: not yet
	crashed bool      // its upstream crashed
}

// Run is one run of a request at an upstream.
type Run struct {
	recorder   *Recorder
	digest     persimmoncross.Digest
	parts      []persimmoncross.Digest
	service    string
	instanceID string
	sentAt     time.Time
	startedAt  time.Time // zero if not known
	// trialDigest is the digest of the refused request or part of which the run is the trial; zero: none.
	trialDigest persimmoncross.Digest
}

// BeginRun records that a request whose prompt has the given parts is sent to an instance of an upstream.
func (rec *Recorder) BeginRun(d persimmoncross.Digest, service, instanceID string, now time.Time, parts ...persimmoncross.Digest) *Run {
	r := &Run{
		recorder:   rec,
		digest:     d,
		parts:      parts,
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
	for _, part := range parts {
		rec.inFlight[part] = append(rec.inFlight[part], r)
	}
	return r
}

// MarkStarted records that the upstream has started the run.
func (r *Run) MarkStarted(now time.Time) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.startedAt = now
	r.recorder.markAlive(r.instanceID, r.sentAt)
}

// RunTime returns for how long the run has been running, 0 if it is not known to have started.
func (r *Run) RunTime(now time.Time) time.Duration {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	if r.startedAt.IsZero() {
		return 0
	}
	return max(now.Sub(r.startedAt), 0)
}

// MarkAnswered records that the upstream's answer with the HTTP status was received completely. Only a success shows
// that the upstream survived what it was asked for; it may give an error before it begins, to any request.
func (r *Run) MarkAnswered(status int, now time.Time) {
	if status < http.StatusBadRequest {
		r.MarkCompleted(now)
	} else {
		r.Close(now)
	}
}

// MarkCompleted records that the run completed with a success.
func (r *Run) MarkCompleted(now time.Time) {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) {
		return
	}
	rec.markAlive(r.instanceID, r.sentAt)
	if r.trialDigest != (persimmoncross.Digest{}) {
		rec.recordFor(r.trialDigest, r.service, now, slices.Contains(r.parts, r.trialDigest)).ClearedAt = now
	}
	rec.rotateCompleted(now)
	rec.outcomesOf(r.service).addCompleted(r, now)
	rec.completeParts(r, now)
	if record := rec.records[r.digest]; record != nil {
		record.Completed++
		rec.markChanged(record)
		return
	}
	if len(rec.recentCompleted[0]) < maxRecentCompleted || rec.recentCompleted[0][r.digest] > 0 {
		rec.recentCompleted[0][r.digest]++
	}
}

// Close ends a run that neither completed nor was disconnected. The time it ran counts as
// run time that the upstream survived.
func (r *Run) Close(now time.Time) {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.removeRun(r) {
		return
	}
	rec.outcomesOf(r.service).add(r, now)
	if r.startedAt.IsZero() {
		return
	}
	rec.addPartRunTime(r, max(now.Sub(r.startedAt), 0), now)
	if record := rec.records[r.digest]; record != nil {
		record.RunTime += max(now.Sub(r.startedAt), 0)
		rec.markChanged(record)
	}
}

// outcomesOf returns the outcomes of all runs of the service. The caller holds mu.
func (rec *Recorder) outcomesOf(service string) *outcomes {
	o := rec.outcomes[service]
	if o == nil {
		if rec.outcomes == nil || len(rec.outcomes) >= maxServices {
			rec.outcomes = map[string]*outcomes{}
		}
		o = &outcomes{}
		rec.outcomes[service] = o
	}
	return o
}

// removeRun removes the run from those in flight, and reports whether it was one of them.
// The caller holds mu.
func (rec *Recorder) removeRun(r *Run) bool {
	if !rec.removeInFlight(r.digest, r) {
		return false
	}
	for _, part := range r.parts {
		rec.removeInFlight(part, r)
	}
	return true
}

func (rec *Recorder) removeInFlight(d persimmoncross.Digest, r *Run) bool {
	runs := rec.inFlight[d]
	i := slices.Index(runs, r)
	if i < 0 {
		return false
	}
	if len(runs) == 1 {
		delete(rec.inFlight, d)
	} else {
		rec.inFlight[d] = slices.Delete(runs, i, i+1)
	}
	return true
}

// recordFor returns the record of a digest. A new record starts with the recently completed
// runs of the request, or of requests with the part. The caller holds mu.
func (rec *Recorder) recordFor(d persimmoncross.Digest, service string, now time.Time, part bool) *versionedRecord {
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
	completed := rec.recentCompleted[0][d] + rec.recentCompleted[1][d]
	if part {
		completed = min(rec.recentParts[0][d]+rec.recentParts[1][d], maxEarlierCompleted)
	}
	record := &versionedRecord{
		Record: Record{
			Digest:          d,
			Part:            part,
			Service:         service,
			Completed:       completed,
			LastRequested:   now,
			LastRequestedBy: rec.VM,
		},
	}
	rec.records[d] = record
	return record
}

// evict removes an eighth of the records: those with the fewest crashes beyond their completed runs, and among
// these the least recently requested. The caller holds mu.
func (rec *Recorder) evict() {
	excess := func(r *versionedRecord) int { return len(r.Crashes) - min(r.Completed, len(r.Crashes)) }
	records := slices.SortedFunc(maps.Values(rec.records), func(a, b *versionedRecord) int {
		return cmp.Or(cmp.Compare(excess(a), excess(b)), a.LastRequested.Compare(b.LastRequested))
	})
	for _, r := range records[:max(len(records)/8, 1)] {
		delete(rec.records, r.Digest)
	}
}

// rotateCompleted drops the counts of completed runs that are too old. The caller holds mu.
func (rec *Recorder) rotateCompleted(now time.Time) {
	if rec.recentCompleted[0] == nil || now.Sub(rec.rotatedAt) > completedRetention/2 {
		rec.recentCompleted[1] = rec.recentCompleted[0]
		rec.recentParts[1] = rec.recentParts[0]
		if now.Sub(rec.rotatedAt) > completedRetention {
			rec.recentCompleted[1] = nil
			rec.recentParts[1] = nil
		}
		rec.recentCompleted[0] = map[persimmoncross.Digest]int{}
		rec.recentParts[0] = map[persimmoncross.Digest]int{}
		rec.rotatedAt = now
	}
}

// ClaimTrial reports whether a copy of a refused request may run here as the trial with the
// number, and claims the trial if so. Each trial is claimed once, but a trial that gave no
// result is offered again with its number (see expireTrialClaims).
func (rec *Recorder) ClaimTrial(d persimmoncross.Digest, number int) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if claim := rec.trialClaims[d]; claim != nil && claim.number >= number {
		return false
	}
	if rec.trialClaims == nil {
		rec.trialClaims = map[persimmoncross.Digest]*trialClaim{}
	}
	if len(rec.trialClaims) >= maxQuarantines {
		clear(rec.trialClaims) // most are trials of quarantines that ended long ago
	}
	rec.trialClaims[d] = &trialClaim{
		number: number,
	}
	return true
}

// ReleaseTrial releases the latest claimed trial, which gave no result, so that it can be
// claimed again.
func (rec *Recorder) ReleaseTrial(d persimmoncross.Digest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.trialClaims, d)
	if record := rec.records[d]; record != nil && !record.TriedAt.IsZero() {
		record.TriedAt = time.Time{}
		rec.markChanged(record)
	}
}

// expireTrialClaims drops claims of trials without a result, once they can be offered again. The
// claim of a trial that crashed its upstream stays, because a VM that is cut off may not
// learn that the trial is over. The caller holds mu.
func (rec *Recorder) expireTrialClaims(now time.Time) {
	for d, claim := range rec.trialClaims {
		switch {
		case claim.crashed:
		case claim.seenAt.IsZero():
			claim.seenAt = now
		case now.Sub(claim.seenAt) >= trialDelays[0]:
			delete(rec.trialClaims, d)
		}
	}
}

// MarkTrial marks the run as the trial of the refused request or part with the digest.
func (r *Run) MarkTrial(d persimmoncross.Digest) {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.trialDigest = d
	record := rec.recordFor(d, r.service, r.sentAt, slices.Contains(r.parts, d))
	record.TriedAt = r.sentAt
	rec.markChanged(record)
}

// MarkRequested records that a copy of a quarantined request arrived.
func (rec *Recorder) MarkRequested(d persimmoncross.Digest, service string, now time.Time) {
	rec.markRequested(d, service, now, false)
}

// MarkPartRequested records that a request with a quarantined part arrived.
func (rec *Recorder) MarkPartRequested(d persimmoncross.Digest, service string, now time.Time) {
	rec.markRequested(d, service, now, true)
}

func (rec *Recorder) markRequested(d persimmoncross.Digest, service string, now time.Time, part bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	record := rec.recordFor(d, service, now, part)
	if record.version == 0 || now.Sub(record.LastRequested) >= requestedInterval {
		record.LastRequested, record.LastRequestedBy = now, rec.VM
		rec.markChanged(record)
	}
}

func (rec *Recorder) markChanged(record *versionedRecord) {
	rec.version++
	record.version = rec.version
}

// Records returns the records that changed since a version that an earlier call returned, 0
// for all, and the current version. Records of requests with started runs in flight are always
// returned, because the run time of these runs counts in favour of the requests.
func (rec *Recorder) Records(since uint64, now time.Time) ([]Record, uint64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.expireTrialClaims(now)
	var records []Record
	for d, record := range rec.records {
		if record.Stale(now) {
			delete(rec.records, d)
			continue
		}
		inFlight := runTimesInFlight(rec.inFlight[d], now)
		if record.Part && record.isCleared() {
			inFlight = nil // runs in flight need not speak for it
			if record.unsent && now.Sub(record.changedAt) >= clearedPartInterval {
				rec.markChanged(record)
				record.changedAt, record.unsent = now, false
			}
		}
		if record.version <= since && len(inFlight) == 0 {
			continue
		}
		snapshot := record.Record
		snapshot.Crashes = slices.Clone(record.Crashes)
		snapshot.InFlight = inFlight
		records = append(records, snapshot)
	}
	return records, rec.version
}

// runTimesInFlight returns how long instances have survived the started runs, up to
// maxReportedInFlight of them. Of several runs at one instance the longest counts, because one
// crash ends all of them.
func runTimesInFlight(runs []*Run, now time.Time) []time.Duration {
	longest := map[string]time.Duration{}
	for _, r := range runs {
		if d := now.Sub(r.startedAt); !r.startedAt.IsZero() && d > 0 {
			longest[r.instanceID] = max(longest[r.instanceID], d)
		}
	}
	times := slices.SortedFunc(maps.Values(longest), func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return times[:min(len(times), maxReportedInFlight)]
}
