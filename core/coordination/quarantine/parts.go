package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"persimmoncross"
)

// Limits of the records of parts.
const (
	// maxParts limits the parts of a prompt that are considered, from the first one on, because one crash
	// takes a record for each part of each request at the upstream.
	maxParts = 128
	// maxEarlierCompleted limits the completed runs from before a part's first crash that count for it. A part
	// may crash upstreams only since a change of them.
	maxEarlierCompleted = 3
	// clearedPartInterval is the interval between two reports of a part that sound requests have cleared.
	clearedPartInterval = time.Second
)

// PartDigests returns the digests of the parts of a prompt that other requests may share: all but the last,
// which belongs to the request itself. They cover the service, because a part that crashes the upstreams of one
// service may be harmless to another's. They do not cover the organisation, unlike [DigestOf], because a part crashes
// upstreams whoever sends it. An organisation can't have the parts of another refused while these complete.
func PartDigests(service string, ids []string) []persimmoncross.Digest {
	if len(ids) < 2 {
		return nil
	}
	shared := ids[:min(len(ids)-1, maxParts)]
	digests := make([]persimmoncross.Digest, 0, len(shared))
	for _, id := range shared {
		digests = append(digests, digestOf(encodeFields("part", service, id)))
	}
	return digests
}

// isCleared reports whether the part's requests have survived upstreams so often that it is no suspect.
func (r Record) isCleared() bool {
	n := len(distinctCrashes(r.Crashes))
	return float64(r.Completed)+float64(r.RunTime)/float64(survivalFactor*r.meanRunTime()) >= 2*float64(n)
}

// recordPartCrash records a crash during a run for the parts of its prompt. Of several started runs
// with a part, the one that started last may be the cause, and the upstream survived the others. A run that is
// not known to have started may have waited, or its response head was lost in the crash; it counts unless a
// started run had the part. The caller holds mu.
func (rec *Recorder) recordPartCrash(d disconnect, at time.Time) {
	startedAt := d.run.startedAt
	if startedAt.IsZero() {
		startedAt = d.run.sentAt
	}
	runTime := max(at.Sub(startedAt), 0)
	for _, part := range d.run.parts {
		record := rec.recordFor(part, d.run.service, d.at, true)
		record.LastRequested, record.LastRequestedBy = d.at, rec.VM
		record.outcomes.addCrashed(d.run, d.at)
		rate, chance := rec.outcomesOf(d.run.service).crashChances(record.outcomes, d.run, runTime, d.at)
		if d.run.startedAt.IsZero() && runTime < minRunTime {
			chance = rate // it had hardly time to start
		}
		record.addCrash(Crash{
			InstanceID:  d.run.instanceID,
			At:          at,
			RunTime:     runTime,
			Request:     binary.BigEndian.Uint32(d.run.digest[:]),
			Unstarted:   d.run.startedAt.IsZero(),
			CrashRate:   rate,
			CrashChance: chance,
		}, maxCrashes)
		rec.markPartChanged(record, d.at)
	}
}

// completeParts records a completed run for the parts of its prompt. The caller holds mu.
func (rec *Recorder) completeParts(r *Run, now time.Time) {
	for _, part := range r.parts {
		if record := rec.records[part]; record != nil {
			record.outcomes.addCompleted(r, now)
			record.Completed++
			rec.markPartChanged(record, now)
		} else if len(rec.recentParts[0]) < maxRecentCompleted || rec.recentParts[0][part] > 0 {
			rec.recentParts[0][part]++
		}
	}
}

// addPartRunTime records that an upstream survived a run with the parts for some time. The caller holds mu.
func (rec *Recorder) addPartRunTime(r *Run, d time.Duration, now time.Time) {
	for _, part := range r.parts {
		if record := rec.records[part]; record != nil {
			record.outcomes.add(r, now)
			record.RunTime += d
			rec.markPartChanged(record, now)
		}
	}
}

// markPartChanged marks a change of a part's record. Parts that sound requests share change all the time, and are
// reported once per clearedPartInterval. The caller holds mu.
func (rec *Recorder) markPartChanged(record *versionedRecord, now time.Time) {
	if record.isCleared() && now.Sub(record.changedAt) < clearedPartInterval {
		record.unsent = true
		return
	}
	record.changedAt, record.unsent = now, false
	rec.markChanged(record)
}

// distinctRequests returns how many different requests the crashes came under.
func distinctRequests(crashes []Crash) int {
	var requests []uint32
	for _, c := range crashes {
		if !slices.Contains(requests, c.Request) {
			requests = append(requests, c.Request)
		}
	}
	return len(requests)
}
