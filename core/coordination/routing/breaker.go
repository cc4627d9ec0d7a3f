package routing

import (
	"sync"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// Breaker is an upstream's breaker for one version, for use by many requests at
// once.
type Breaker struct {
	Clock persimmoncross.Clock

	mu      sync.Mutex // guards breaker
	breaker outlier.Breaker
}

// versionBreakers holds an upstream's breakers, one for each version that it serves: a
// version that fails must not take the upstream from the others. A plain
// service's is under the zero version.
type versionBreakers struct {
	mu        sync.Mutex // guards byVersion
	byVersion map[persimmoncross.ModelVersion]*Breaker
}

// Breaker returns the upstream's breaker for the version.
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

// reset drops the breakers. Requests that are under way end at those that they
// began at.
func (c *versionBreakers) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byVersion = nil
}

// HasOpenBreaker reports whether work of any version is kept from the upstream.
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

// Allows is [outlier.Breaker.Allows].
func (b *Breaker) Allows() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.Allows(b.Clock.Now())
}

// Begin is [outlier.Breaker.StartAttempt].
func (b *Breaker) Begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker.StartAttempt()
}

// RecordResult is [outlier.Breaker.RecordResult].
func (b *Breaker) RecordResult(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker.RecordOutcome(failed, b.Clock.Now())
}

// Abandon is [outlier.Breaker.Abandon].
func (b *Breaker) Abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker.AbandonProbe()
}

// ErrorRate is [outlier.Breaker.ErrorRate].
func (b *Breaker) ErrorRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.ErrorRate()
}

// IsOpen is [outlier.Breaker.IsOpen].
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.IsOpen()
}
