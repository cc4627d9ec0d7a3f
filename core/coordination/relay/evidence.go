package relay

import (
	"sync"
	"time"

	"persimmoncross/core/state/register"
)

// Slowness of an answer against the mean of the version that is replaced.
const (
	slowFactor = 3.5
	slowLeast  = 150 * time.Millisecond
	meanWeight = 0.05 // of one answer, in the mean
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
	Slow   uint64
}

// Evidence counts the answers of both versions while an upgrade is under way.
type Evidence struct {
	mu     sync.Mutex // guards all below
	counts map[TrialKey]*TrialCount
	means  map[meanKey]float64 // seconds to the first bytes, of versions that are not on trial
}

type meanKey struct {
	service string
	route   string
	model   string
}

// note takes an answer. took is the time to its first bytes; zero for one that
// failed before. u is the upgrade of the service under way, nil if there is none.
func (e *Evidence) note(u *register.Upgrade, key meanKey, version string, failed bool, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[TrialKey]*TrialCount{}
		e.means = map[meanKey]float64{}
	}
	mean := time.Duration(e.means[key] * float64(time.Second))
	slow := !failed && mean > 0 && took > slowLeast && took > time.Duration(slowFactor*float64(mean))
	onTrial := u != nil && version == u.Target
	if !failed && !onTrial {
		m := e.means[key]
		if m == 0 {
			m = took.Seconds()
		}
		e.means[key] = m + meanWeight*(took.Seconds()-m)
	}
	if u == nil {
		return
	}
	k := TrialKey{
		Service: key.service,
		Version: version,
		Route:   key.route,
		Order:   u.Order,
	}
	c := e.counts[k]
	if c == nil {
		c = &TrialCount{}
		e.counts[k] = c
	}
	c.Runs++
	if failed {
		c.Failed++
	}
	if slow {
		c.Slow++
	}
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
