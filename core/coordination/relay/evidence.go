package relay

import (
	"sync"
	"time"

	"persimmoncross/core/state/register"
)

// brakeAfter failures that one entry saw by itself, more than a quarter of all,
// stop it from sending to the new version before the fleet decides.
const brakeAfter = 5

// TrialKey names what is counted apart.
type TrialKey struct {
	Service string
	Version string
	Route   string
	Order   uint64 // of the upgrade
}

// TrialCount counts answers since the entry's start.
type TrialCount struct {
	Runs   uint64
	Failed uint64
	Timed  uint64  // answers whose time says something of the version
	Time   float64 // seconds of those together: for each event of a stream, else to the head
	Square float64 // of those seconds, squared, together
}

// Evidence counts the answers of both versions while an upgrade is under way.
type Evidence struct {
	mu     sync.Mutex // guards counts
	counts map[TrialKey]*TrialCount
}

// note takes an answer; u is the upgrade of its service, nil if none is under
// way.
func (e *Evidence) note(u *register.Upgrade, k TrialKey, failed bool) {
	if u == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.count(k)
	c.Runs++
	if failed {
		c.Failed++
	}
}

// time takes how long an answer took.
func (e *Evidence) time(u *register.Upgrade, k TrialKey, took time.Duration) {
	if u == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.count(k)
	c.Timed++
	c.Time += took.Seconds()
	c.Square += took.Seconds() * took.Seconds()
}

func (e *Evidence) count(k TrialKey) *TrialCount {
	if e.counts == nil {
		e.counts = map[TrialKey]*TrialCount{}
	}
	c := e.counts[k]
	if c == nil {
		c = &TrialCount{}
		e.counts[k] = c
	}
	return c
}

// braked reports whether this entry has seen enough to stop by itself.
func (e *Evidence) braked(u register.Upgrade) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := TrialCount{}
	for k, c := range e.counts {
		if k.Order == u.Order && k.Version == u.Target && k.Service == u.Service {
			sum.Runs += c.Runs
			sum.Failed += c.Failed
		}
	}
	return sum.Failed >= brakeAfter && 4*sum.Failed > sum.Runs
}

// Counts returns a copy of all counts.
func (e *Evidence) Counts() map[TrialKey]TrialCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[TrialKey]TrialCount, len(e.counts))
	for k, c := range e.counts {
		all[k] = *c
	}
	return all
}

// Forget drops the counts of upgrades that are over.
func (e *Evidence) Forget(running map[uint64]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k := range e.counts {
		if !running[k.Order] {
			delete(e.counts, k)
		}
	}
}
