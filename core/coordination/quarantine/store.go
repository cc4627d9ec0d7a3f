package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"persimmoncross"
)

// Store keeps the holds of a VM where no leader judges for all: each VM adds up what
// all tell, and comes to the same. The zero value holds nothing.
type Store struct {
	mu           sync.Mutex // guards all below
	quarantines  map[persimmoncross.Digest]TrackedQuarantine
	bootstrapped bool // others' holds were taken
}

// Evaluate takes what all VMs saw, and returns how the holds change here.
func (s *Store) Evaluate(records []Record, now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := Evaluate(records, s.quarantines, now)
	for _, c := range changes {
		s.apply(c.Quarantine, now)
	}
	return changes
}

// apply brings a hold into force. The caller holds mu.
func (s *Store) apply(h persimmoncross.Quarantine, now time.Time) {
	if s.quarantines == nil {
		s.quarantines = map[persimmoncross.Digest]TrackedQuarantine{}
	}
	if h.Stage == persimmoncross.QuarantineNone {
		delete(s.quarantines, h.Digest)
		return
	}
	s.quarantines[h.Digest] = TrackedQuarantine{
		Quarantine: h,
		Since:      now,
	}
}

// Bootstrap takes the holds of others, once: a VM that has just started knows none of the
// ends that VMs saw which are gone.
func (s *Store) Bootstrap(holds []persimmoncross.Quarantine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bootstrapped {
		return
	}
	s.bootstrapped = true
	for _, h := range holds {
		if _, ok := s.quarantines[h.Digest]; !ok && len(s.quarantines) < maxQuarantines {
			s.apply(h, now)
		}
	}
}

// Hold returns the hold on a request.
func (s *Store) Hold(d persimmoncross.Digest) persimmoncross.Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantines[d].Quarantine
}

// Holds returns all holds, in the order of their digests.
func (s *Store) Holds() []persimmoncross.Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	quarantines := make([]persimmoncross.Quarantine, 0, len(s.quarantines))
	for h := range maps.Values(s.quarantines) {
		quarantines = append(quarantines, h.Quarantine)
	}
	slices.SortFunc(quarantines, func(a, b persimmoncross.Quarantine) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return quarantines
}

// IsolatedDigests returns the requests to the service that run at upstreams of their own.
func (s *Store) IsolatedDigests(service string) []persimmoncross.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var digests []persimmoncross.Digest
	for d, h := range s.quarantines {
		if h.Service == service && h.Isolated() {
			digests = append(digests, d)
		}
	}
	return digests
}
