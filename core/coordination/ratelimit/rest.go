package ratelimit

import "time"

// Rest is for how long an upstream wants nothing from this process. The zero value is of one
// that has not asked for rest.
type Rest struct {
	until time.Time
}

// Ask takes that the upstream wants nothing until then. What it asked for before stands, if
// that is longer.
func (r *Rest) Ask(until time.Time) {
	if until.After(r.until) {
		r.until = until
	}
}

// Left returns how much of the rest is left, 0 if it is over.
func (r *Rest) Left(now time.Time) time.Duration { return max(r.until.Sub(now), 0) }
