package ratelimit

import "time"

// Backoff blocks the requests of this process to an upstream for the Retry-After delay of
// the upstream's responses. The zero value allows requests. It is not safe for concurrent
// use.
type Backoff struct {
	until time.Time
}

// Extend blocks requests until the given time. It never shortens a backoff.
func (b *Backoff) Extend(until time.Time) {
	if until.After(b.until) {
		b.until = until
	}
}

// Remaining returns how long requests are still blocked, 0 if they are allowed.
func (b *Backoff) Remaining(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }
