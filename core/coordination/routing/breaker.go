package routing

import (
	"sync"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// Breaker is an upstream's circuit breaker for one version. It is safe for concurrent use.
type Breaker struct {
	Clock persimmoncross.Clock

	mu      sync.Mutex // guards breaker
	breaker outlier.Breaker
}

// versionBreakers holds an upstream's circuit breakers, one for each version that the
// upstream serves, so that one failing version does not stop requests for the others. A plain
// service's breaker is stored under the zero version.
type versionBreakers struct {
	mu        sync.Mutex // guards byVersion
	byVersion map[persimmoncross.ModelVersion]*Breaker
}

// Breaker returns the upstream's circuit breaker for the version and creates it if needed.
func (u *Upstream) Breaker(v persimmoncross.ModelVersion) *Breaker {
	c := &u.breakers
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.byVersion[v]
	if b == nil {
		b = &Breaker{
			Clock: u.clock,
		}
		if c.byVersion == nil {
			c.byVersion = map[persimmoncross.ModelVersion]*Breaker{}
		}
		c.byVersion[v] = b
	}
	return b
}

// reset drops the breakers. An attempt that is in flight at the reset reports its outcome to
// the breaker that replaces the dropped one.
func (b *versionBreakers) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byVersion = nil
}

// HasOpenBreaker reports whether the circuit breaker of any version is open.
func (u *Upstream) HasOpenBreaker() bool {
	c := &u.breakers
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.byVersion {
		if b.IsOpen() {
			return true
		}
	}
	return false
}

// Allows calls [outlier.Breaker.Allows].
func (b *Breaker) Allows() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.Allows(b.Clock.Now())
}

// StartAttempt calls [outlier.Breaker.StartAttempt].
func (b *Breaker) StartAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker.StartAttempt()
}

// RecordOutcome calls [outlier.Breaker.RecordOutcome].
func (b *Breaker) RecordOutcome(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker.RecordOutcome(failed, b.Clock.Now())
}

// AbandonProbe calls [outlier.Breaker.AbandonProbe].
func (b *Breaker) AbandonProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker.AbandonProbe()
}

// ErrorRate calls [outlier.Breaker.ErrorRate].
func (b *Breaker) ErrorRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.ErrorRate()
}

// IsOpen calls [outlier.Breaker.IsOpen].
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.IsOpen()
}
