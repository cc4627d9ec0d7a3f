package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"persimmoncross"
)

// Store keeps the quarantines of a VM where no leader evaluates for the fleet: each VM
// merges the records of all VMs and gets the same result. The zero value is empty.
type Store struct {
	mu           sync.Mutex // guards the fields below
	quarantines  map[persimmoncross.Digest]TrackedQuarantine
	bootstrapped bool // the quarantines of other VMs were taken over
}

// Evaluate evaluates the merged records of all VMs, and applies and returns the changes.
func (s *Store) Evaluate(records []Record, now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := Evaluate(records, s.quarantines, now)
	for _, c := range changes {
		s.apply(c.Quarantine, now)
	}
	return changes
}

// apply stores a quarantine, or removes one whose stage is none. The caller holds mu.
func (s *Store) apply(quarantine persimmoncross.Quarantine, now time.Time) {
	if s.quarantines == nil {
		s.quarantines = map[persimmoncross.Digest]TrackedQuarantine{}
	}
	if quarantine.Stage == persimmoncross.QuarantineNone {
		delete(s.quarantines, quarantine.Digest)
		return
	}
	s.quarantines[quarantine.Digest] = TrackedQuarantine{
		Quarantine: quarantine,
		Since:      now,
	}
}

// Bootstrap takes over the quarantines of other VMs, once. A VM that has just started has
// no records of crashes that only VMs observed which have left the fleet.
func (s *Store) Bootstrap(quarantines []persimmoncross.Quarantine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bootstrapped {
		return
	}
	s.bootstrapped = true
	for _, quarantine := range quarantines {
		if _, ok := s.quarantines[quarantine.Digest]; !ok && len(s.quarantines) < maxQuarantines {
			s.apply(quarantine, now)
		}
	}
}

// Quarantine returns the quarantine of a request; its stage is none if there is no quarantine.
func (s *Store) Quarantine(d persimmoncross.Digest) persimmoncross.Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantines[d].Quarantine
}

// Quarantines returns all quarantines, in the order of their digests.
func (s *Store) Quarantines() []persimmoncross.Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	quarantines := make([]persimmoncross.Quarantine, 0, len(s.quarantines))
	for quarantine := range maps.Values(s.quarantines) {
		quarantines = append(quarantines, quarantine.Quarantine)
	}
	slices.SortFunc(quarantines, func(a, b persimmoncross.Quarantine) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return quarantines
}

// IsolatedDigests returns the digests of the isolated requests to the service, which run at
// reserved instances.
func (s *Store) IsolatedDigests(service string) []persimmoncross.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var digests []persimmoncross.Digest
	for d, quarantine := range s.quarantines {
		if quarantine.Service == service && quarantine.Isolated() {
			digests = append(digests, d)
		}
	}
	return digests
}
