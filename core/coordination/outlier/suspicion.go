// Package outlier judges upstreams, and the links to them, by what an entry sees
// anyway: attempts that fail, upstreams that fall silent, events that are held up
// on the way. It has no I/O, no locks and no clock.
package outlier

import "time"

// Of the suspicion against an upstream that could not be reached, or that fell
// silent: a crashed one stays on the list for seconds.
const (
	SuspectFirst = time.Second
	maxSuspicion = 8 * time.Second
)

// Of the doubt of others against an upstream.
const (
	// Doubters is how many entries must doubt an upstream, this one among them or
	// not, before all prefer others: one may be cut off from it by itself.
	Doubters = 2
	// WordAge is how old the newest word of an upstream that works may be; one that
	// has answered any entry since then is not avoided for others' doubts.
	WordAge = time.Second
	// probeShare of the requests that a doubted upstream would get, divided by the
	// number of entries, go to it: the first that is answered ends the doubt.
	probeShare = 4.0
	// DoubtKept is how long an entry tells of its doubt after its last failed
	// attempt; an upstream that is gone has left the list by then.
	DoubtKept = 10 * time.Second
)

// Suspicion is what one entry holds against an upstream. The zero value is
// none.
type Suspicion struct {
	suspectedUntil time.Time     // until then others are preferred
	duration       time.Duration // that the latest suspicion took
	lastFailure    time.Time     // when an attempt failed last
}

// Doubt prefers other upstreams for a while, each time longer.
func (s *Suspicion) Doubt(now time.Time) {
	s.lastFailure = now
	if now.Before(s.suspectedUntil) {
		return
	}
	s.duration = min(max(2*s.duration, SuspectFirst), maxSuspicion)
	s.suspectedUntil = now.Add(s.duration)
}

// Fail notes that an attempt failed.
func (s *Suspicion) Fail(now time.Time) { s.lastFailure = now }

// Trust ends the suspicion: the upstream has answered.
func (s *Suspicion) Trust() {
	s.suspectedUntil = time.Time{}
	s.duration = 0
}

// Holds reports whether other upstreams are to be preferred.
func (s *Suspicion) Holds(now time.Time) bool { return now.Before(s.suspectedUntil) }

// Told reports whether the others are to be told of the doubt; broken is
// whether the upstream's breaker is open.
func (s *Suspicion) Told(breakerOpen bool, now time.Time) bool {
	return (breakerOpen || s.duration > 0) && now.Sub(s.lastFailure) <= DoubtKept
}

// Shared is what all entries together hold against an upstream.
type Shared struct {
	Doubters int
	Word     time.Duration // since the upstream told its load to any of them
	Entries  int
}

// Avoided reports whether other upstreams are to be preferred for what other
// entries know: several doubt it and it has answered none. chance is between 0
// and 1; by it a few requests try whether it works again.
func (s Shared) Avoided(random float64) bool {
	if s.Doubters < Doubters || s.Word <= WordAge {
		return false
	}
	return random*float64(s.Entries) >= probeShare
}
