package relay

import (
	"sync"
	"time"

	"persimmoncross/core/state/register"
)

// minFailuresToHalt failures that one entry saw by itself, more than a quarter of all,
// stop it from sending to the new version before the fleet decides.
const minFailuresToHalt = 5

// CanaryKey names what is counted apart.
type CanaryKey struct {
	Service      string
	Version      string
	Route        string
	UpgradeOrder uint64 // of the upgrade
}

// CanaryCount counts answers since the entry's start.
type CanaryCount struct {
	Executions        uint64
	Failed            uint64
	DurationCount     uint64  // answers whose time says something of the version
	DurationSum       float64 // seconds of those together: for each event of a stream, else to the head
	DurationSquareSum float64 // of those seconds, squared, together
}

// CanaryStats counts the answers of both versions while an upgrade is under way.
type CanaryStats struct {
	mu     sync.Mutex // guards counts
	counts map[CanaryKey]*CanaryCount
}

// recordResult takes an answer; u is the upgrade of its service, nil if none is under
// way.
func (s *CanaryStats) recordResult(u *register.Upgrade, k CanaryKey, failed bool) {
	if u == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.countFor(k)
	c.Executions++
	if failed {
		c.Failed++
	}
}

// recordDuration takes how long an answer took.
func (s *CanaryStats) recordDuration(u *register.Upgrade, k CanaryKey, duration time.Duration) {
	if u == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.countFor(k)
	c.DurationCount++
	c.DurationSum += duration.Seconds()
	c.DurationSquareSum += duration.Seconds() * duration.Seconds()
}

func (s *CanaryStats) countFor(k CanaryKey) *CanaryCount {
	if s.counts == nil {
		s.counts = map[CanaryKey]*CanaryCount{}
	}
	c := s.counts[k]
	if c == nil {
		c = &CanaryCount{}
		s.counts[k] = c
	}
	return c
}

// isHalted reports whether this entry has seen enough to stop by itself.
func (s *CanaryStats) isHalted(u register.Upgrade) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := CanaryCount{}
	for k, c := range s.counts {
		if k.UpgradeOrder == u.Order && k.Version == u.Target && k.Service == u.Service {
			total.Executions += c.Executions
			total.Failed += c.Failed
		}
	}
	return total.Failed >= minFailuresToHalt && 4*total.Failed > total.Executions
}

// Counts returns a copy of all counts.
func (s *CanaryStats) Counts() map[CanaryKey]CanaryCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[CanaryKey]CanaryCount, len(s.counts))
	for k, c := range s.counts {
		all[k] = *c
	}
	return all
}

// Prune drops the counts of upgrades that are over.
func (s *CanaryStats) Prune(activeUpgrades map[uint64]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.counts {
		if !activeUpgrades[k.UpgradeOrder] {
			delete(s.counts, k)
		}
	}
}
