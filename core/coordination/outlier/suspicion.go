// Package outlier judges upstreams, and the links to them, by what an entry sees
// anyway: attempts that fail, upstreams that fall silent, events that are held up
// on the way. It has no I/O, no locks and no clock.
package outlier

import "time"

// Of the suspicion against an upstream that could not be reached, or that fell
// silent: a crashed one stays on the list for seconds.
const (
	InitialSuspicion = time.Second
	maxSuspicion     = 8 * time.Second
)

// Of the doubt of others against an upstream.
const (
	// SuspicionQuorum is how many entries must doubt an upstream, this one among them or
	// not, before all prefer others: one may be cut off from it by itself.
	SuspicionQuorum = 2
	// MaxLoadReportAge is how old the newest word of an upstream that works may be; one that
	// has answered any entry since then is not avoided for others' doubts.
	MaxLoadReportAge = time.Second
	// probeShare of the requests that a doubted upstream would get, divided by the
	// number of entries, go to it: the first that is answered ends the doubt.
	probeShare = 4.0
	// SuspicionRetention is how long an entry tells of its doubt after its last failed
	// attempt; an upstream that is gone has left the list by then.
	SuspicionRetention = 10 * time.Second
)

// Suspicion is what one entry holds against an upstream. The zero value is
// none.
type Suspicion struct {
	suspectedUntil time.Time     // until then others are preferred
	duration       time.Duration // that the latest suspicion took
	lastFailure    time.Time     // when an attempt failed last
}

// Suspect prefers other upstreams for a while, each time longer.
func (s *Suspicion) Suspect(now time.Time) {
	s.lastFailure = now
	if now.Before(s.suspectedUntil) {
		return
	}
	s.duration = min(max(2*s.duration, InitialSuspicion), maxSuspicion)
	s.suspectedUntil = now.Add(s.duration)
}

// RecordFailure notes that an attempt failed.
func (s *Suspicion) RecordFailure(now time.Time) { s.lastFailure = now }

// Clear ends the suspicion: the upstream has answered.
func (s *Suspicion) Clear() {
	s.suspectedUntil = time.Time{}
	s.duration = 0
}

// IsActive reports whether other upstreams are to be preferred.
func (s *Suspicion) IsActive(now time.Time) bool { return now.Before(s.suspectedUntil) }

// ShouldReport reports whether the others are to be told of the doubt; broken is
// whether the upstream's breaker is open.
func (s *Suspicion) ShouldReport(breakerOpen bool, now time.Time) bool {
	return (breakerOpen || s.duration > 0) && now.Sub(s.lastFailure) <= SuspicionRetention
}

// FleetSuspicion is what all entries together hold against an upstream.
type FleetSuspicion struct {
	SuspectingEntries int
	LoadReportAge     time.Duration // since the upstream told its load to any of them
	Entries           int
}

// ShouldAvoid reports whether other upstreams are to be preferred for what other
// entries know: several doubt it and it has answered none. chance is between 0
// and 1; by it a few requests try whether it works again.
func (s FleetSuspicion) ShouldAvoid(random float64) bool {
	if s.SuspectingEntries < SuspicionQuorum || s.LoadReportAge <= MaxLoadReportAge {
		return false
	}
	return random*float64(s.Entries) >= probeShare
}
