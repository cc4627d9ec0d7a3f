package routing

import (
	"sync"
	"time"

	"persimmoncross/core/coordination/ratelimit"
)

// upstreamBackoff is a [ratelimit.Backoff] that is safe for concurrent use.
type upstreamBackoff struct {
	mu    sync.Mutex // guards inner
	inner ratelimit.Backoff
}

// SetBackoff stops this VM from sending requests to the upstream until the given time.
func (u *Upstream) SetBackoff(until time.Time) {
	u.backoff.mu.Lock()
	defer u.backoff.mu.Unlock()
	u.backoff.inner.Extend(until)
}

func (b *upstreamBackoff) remaining(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inner.Remaining(now)
}

func (b *upstreamBackoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inner = ratelimit.Backoff{}
}

// MinBackoffRemaining returns the shortest remaining backoff among the upstreams that are
// eligible for the request, 0 if none of them is in a backoff.
func (t *Table) MinBackoffRemaining(info PickInfo) time.Duration {
	now := t.Clock.Now()
	shortest := time.Duration(0)
	for _, u := range t.upstreamsByName() {
		if remaining := u.backoff.remaining(now); t.isAvailable(u) && u.serves(info) && remaining > 0 && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return shortest
}
