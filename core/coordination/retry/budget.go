// Package retry bounds retries as a share of the traffic, so that a failing
// pool is not asked again by all at once.
package retry

import "sync"

// reserve is the number of retries that may come before any traffic.
const reserve = 10.0

// Budget grows by a share of each request and pays one for each retry.
type Budget struct {
	mu     sync.Mutex // guards tokens
	tokens float64
	primed bool
}

// Request adds a request's share.
func (b *Budget) Request(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prime()
	b.tokens = min(b.tokens+share, reserve)
}

// Retry takes one retry out, and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prime()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) prime() {
	if !b.primed {
		b.primed = true
		b.tokens = reserve
	}
}
