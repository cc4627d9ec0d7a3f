package ratelimit

import "time"

// Backoff is how long this process must not send to an upstream, by the Retry-After of its
// answers. The zero value allows requests. It is not safe for concurrent use.
type Backoff struct {
	until time.Time
}

// Extend forbids requests until then. It never shortens a backoff.
func (b *Backoff) Extend(until time.Time) {
	if until.After(b.until) {
		b.until = until
	}
}

// Remaining returns how long requests are still forbidden, 0 if they are allowed.
func (b *Backoff) Remaining(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }
