// Package outlier detects outliers among upstreams, and lossy links to them, by passive
// observation at an entry: attempts that fail, upstreams that stall, events that are delayed
// on the link. It has no I/O, no locks and no clock.
package outlier

import "time"

// Durations of the suspicion of an upstream that could not be reached or has stalled. A
// crashed upstream stays on the list of upstreams for seconds.
const (
	InitialSuspicionDuration = time.Second // doubled for each further suspicion
	maxSuspicionDuration     = 8 * time.Second
)

// Limits of the fleet's suspicion of an upstream.
const (
	// SuspicionQuorum is the number of entries, with or without this one, that must suspect
	// an upstream before all entries prefer others. A single entry may have lost only its own
	// connection to the upstream.
	SuspicionQuorum = 2
	// MaxLoadReportAge is the maximum age of the latest load report of an upstream that
	// works. An upstream that has answered any entry within this time is not avoided because
	// of the suspicion of other entries.
	MaxLoadReportAge = time.Second
	// probeRequests, divided by the number of entries, is the share of the requests for a
	// suspected upstream that are still sent to it as probes. The first that is answered ends
	// the suspicion.
	probeRequests = 4.0
	// SuspicionRetention is how long an entry reports its suspicion after its last failed
	// attempt. An upstream that is gone has been removed from the list by then.
	SuspicionRetention = 10 * time.Second
)

// Suspicion is one entry's suspicion of an upstream. In the zero value the upstream is not
// suspected.
type Suspicion struct {
	suspectedUntil time.Time
	duration       time.Duration // duration of the latest suspicion; 0 after Clear
	lastFailure    time.Time     // when the latest attempt failed
}

// Suspect records a failed attempt, and starts a suspicion unless one is active. Each lasts
// twice as long as the previous one, up to maxSuspicionDuration. [Suspicion.Clear] resets the
// duration.
func (s *Suspicion) Suspect(now time.Time) {
	s.lastFailure = now
	if now.Before(s.suspectedUntil) {
		return
	}
	s.duration = min(max(2*s.duration, InitialSuspicionDuration), maxSuspicionDuration)
	s.suspectedUntil = now.Add(s.duration)
}

// RecordFailure records that an attempt failed.
func (s *Suspicion) RecordFailure(now time.Time) { s.lastFailure = now }

// Clear ends the suspicion, because the upstream has answered.
func (s *Suspicion) Clear() {
	s.suspectedUntil = time.Time{}
	s.duration = 0
}

// IsActive reports whether the upstream is suspected, so that others are preferred.
func (s *Suspicion) IsActive(now time.Time) bool { return now.Before(s.suspectedUntil) }

// ShouldReport reports whether this entry is to report its suspicion to the other entries.
// breakerOpen says whether the upstream's circuit breaker is open.
func (s *Suspicion) ShouldReport(breakerOpen bool, now time.Time) bool {
	return (breakerOpen || s.duration > 0) && now.Sub(s.lastFailure) <= SuspicionRetention
}

// FleetSuspicion is the suspicion of an upstream by all entries together.
type FleetSuspicion struct {
	SuspectingEntries int
	LoadReportAge     time.Duration // age of the latest load report that any entry received, less the delay of its distribution
	Entries           int           // number of entries in the fleet
}

// ShouldAvoid reports whether other upstreams are to be preferred because several entries
// suspect this one and none has received a load report from it within MaxLoadReportAge.
// random is between 0 and 1; it selects a few requests that probe whether the upstream works
// again.
func (s FleetSuspicion) ShouldAvoid(random float64) bool {
	if s.SuspectingEntries < SuspicionQuorum || s.LoadReportAge <= MaxLoadReportAge {
		return false
	}
	return random*float64(s.Entries) >= probeRequests
}
