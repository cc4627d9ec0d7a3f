package routing

import (
	"sync"
	"time"
)

// rest is for how long an upstream wants nothing from this VM.
type rest struct {
	mu    sync.Mutex // guards until
	until time.Time
}

// Rest takes that the upstream wants nothing until then. What it asked for before stands,
// if that is longer.
func (u *Upstream) Rest(until time.Time) {
	u.rest.mu.Lock()
	defer u.rest.mu.Unlock()
	if until.After(u.rest.until) {
		u.rest.until = until
	}
}

// left returns how much of the rest is left, 0 if it is over.
func (r *rest) left(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.until.Sub(now), 0)
}

func (r *rest) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Time{}
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
