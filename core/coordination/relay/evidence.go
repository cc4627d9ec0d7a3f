package relay

import (
	"sync"
	"time"

	"persimmoncross/core/state/register"
)

// minFailuresToHalt failures that one entry saw by itself, more than a quarter of all,
// stop it from sending to the new version before the fleet decides.
const minFailuresToHalt = 5

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

// recordResult takes an answer; u is the upgrade of its service, nil if none is under
// way.
func (s *Evidence) recordResult(u *register.Upgrade, k TrialKey, failed bool) {
	if u == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.countFor(k)
	c.Runs++
	if failed {
		c.Failed++
	}
}

// recordDuration takes how long an answer took.
func (s *Evidence) recordDuration(u *register.Upgrade, k TrialKey, duration time.Duration) {
	if u == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.countFor(k)
	c.Timed++
	c.Time += duration.Seconds()
	c.Square += duration.Seconds() * duration.Seconds()
}

func (s *Evidence) countFor(k TrialKey) *TrialCount {
	if s.counts == nil {
		s.counts = map[TrialKey]*TrialCount{}
	}
	c := s.counts[k]
	if c == nil {
		c = &TrialCount{}
		s.counts[k] = c
	}
	return c
}

// isHalted reports whether this entry has seen enough to stop by itself.
func (s *Evidence) isHalted(u register.Upgrade) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := TrialCount{}
	for k, c := range s.counts {
		if k.Order == u.Order && k.Version == u.Target && k.Service == u.Service {
			total.Runs += c.Runs
			total.Failed += c.Failed
		}
	}
	return total.Failed >= minFailuresToHalt && 4*total.Failed > total.Runs
}

// Counts returns a copy of all counts.
func (s *Evidence) Counts() map[TrialKey]TrialCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[TrialKey]TrialCount, len(s.counts))
	for k, c := range s.counts {
		all[k] = *c
	}
	return all
}

// Forget drops the counts of upgrades that are over.
func (s *Evidence) Forget(activeUpgrades map[uint64]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.counts {
		if !activeUpgrades[k.Order] {
			delete(s.counts, k)
		}
	}
}
