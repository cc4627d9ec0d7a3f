package routing

import (
	"sync"
	"time"

	"persimmoncross/core/coordination/ratelimit"
)

// rest is what one life of an upstream has asked this VM for.
type rest struct {
	mu    sync.Mutex // guards asked
	asked ratelimit.Rest
}

// Rest takes that the upstream wants nothing from this VM until then.
func (u *Upstream) Rest(until time.Time) {
	u.rest.mu.Lock()
	defer u.rest.mu.Unlock()
	u.rest.asked.Ask(until)
}

// left returns how much of the rest is left, 0 if it is over.
func (r *rest) left(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked.Left(now)
}

func (r *rest) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = ratelimit.Rest{}
}

// OpensIn returns in which time the first of the upstreams that rest, and could have the
// choice otherwise, takes work again; 0 if none of them rests.
func (t *Table) OpensIn(c Choice) time.Duration {
	now := t.Clock.Now()
	first := time.Duration(0)
	for _, u := range t.all() {
		if in := u.rest.left(now); t.open(u) && u.serves(c) && in > 0 && (first == 0 || in < first) {
			first = in
		}
	}
	return first
}
