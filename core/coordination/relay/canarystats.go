package relay

import (
	"maps"
	"sync"
	"time"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// minFailuresToHalt is the number of failures after which an entry by itself stops sending to
// the new version, before the fleet decides. The failures must also be more than a quarter of
// the executions of the new version that this entry observed.
const minFailuresToHalt = 5

// CanaryKey identifies one count. Executions with different keys are counted separately.
type CanaryKey struct {
	Service      string
	Version      string
	Route        string
	Upstream     string // name of the upstream, of the upgrade's target version only
	Model        string // of streams, in counts of paces only
	UpgradeOrder uint64 // Order of the upgrade
}

// CanaryCount counts the results of requests during one upgrade since the entry's start. A request has
// at most one result on each version, see requestResults.
type CanaryCount struct {
	Sent              uint64 // attempts, whatever came of them
	Executions        uint64
	Failed            uint64
	DurationCount     uint64  // responses whose duration is indicative of the version
	DurationSum       float64 // sum of durations in seconds: per event of a stream, else until the head
	DurationSquareSum float64 // sum of the squares of these durations

	Paces       upgrade.Paces // of streams, see observedStream
	OpenStreams uint64        // streams that run and have no pace yet
}

// CanaryStats counts the executions of both versions while an upgrade is in progress.
type CanaryStats struct {
	mu      sync.Mutex // guards counts and streams
	counts  map[CanaryKey]*CanaryCount
	streams map[*observedStream]bool // streams that run and have no pace yet
}

// recordSent counts an attempt. u is as for recordResult.
func (s *CanaryStats) recordSent(u *register.Upgrade, k CanaryKey) {
	if u == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countFor(k).Sent++
}

// recordResult counts an execution. u is the upgrade of its service, nil if none is in progress.
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

// recordInterrupted makes a result that was counted as a success a failure. u is as for recordResult.
func (s *CanaryStats) recordInterrupted(u *register.Upgrade, k CanaryKey) {
	if u == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countFor(k).Failed++
}

// recordDuration counts the duration of a response. u is as for recordResult.
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

// isHalted reports whether this entry has observed enough failures of the new version to stop
// sending to it without a decision of the fleet.
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
		count := *c
		count.Paces = maps.Clone(c.Paces)
		all[k] = count
	}
	for o := range s.streams {
		count := all[o.key]
		count.OpenStreams++
		all[o.key] = count
	}
	return all
}

// Prune deletes the counts of all upgrades that are not in activeUpgrades.
func (s *CanaryStats) Prune(activeUpgrades map[uint64]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.counts {
		if !activeUpgrades[k.UpgradeOrder] {
			delete(s.counts, k)
		}
	}
	for o := range s.streams {
		if !activeUpgrades[o.key.UpgradeOrder] {
			delete(s.streams, o)
		}
	}
}
