package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Limits of the stored observations. A limit is observed again whenever a request is sent,
// and the end of a limit is kept for longer than it takes to replicate it to all entries.
const (
	limitRetention   = 10 * time.Minute
	clearedRetention = time.Minute
	pruneInterval    = time.Second
	maxObservations  = 8192
)

// Observation is a limit that an instance of an upstream set in a response.
type Observation struct {
	InstanceID string
	Rate       float64 // requests per second; 0: the limit has ended
	ObservedAt time.Time
}

// Store holds the latest observation of each instance, and assigns versions to their changes
// so that they can be replicated. The zero value is empty.
type Store struct {
	mu         sync.Mutex // guards the fields below
	byInstance map[string]versionedObservation
	version    uint64 // counts changes
	changed    chan struct{}
	prunedAt   time.Time
}

// versionedObservation is an observation with the version at which its rate changed.
type versionedObservation struct {
	Observation
	version uint64
}

// Merge adds observations, keeps the latest of each instance, and returns those that changed
// a rate.
func (s *Store) Merge(observations []Observation, now time.Time) (changes []Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byInstance == nil {
		s.byInstance = map[string]versionedObservation{}
	}
	for _, o := range observations {
		old, known := s.byInstance[o.InstanceID]
		switch {
		case known && !o.ObservedAt.After(old.ObservedAt):
		case !known && o.Rate == 0: // no limit to end
		case known && sameRate(o.Rate, old.Rate):
			old.ObservedAt = o.ObservedAt
			s.byInstance[o.InstanceID] = old
		default:
			s.version++
			s.byInstance[o.InstanceID] = versionedObservation{
				Observation: o,
				version:     s.version,
			}
			changes = append(changes, o)
		}
	}
	if now.Sub(s.prunedAt) >= pruneInterval || len(s.byInstance) > maxObservations {
		s.prune(now)
	}
	if len(changes) > 0 {
		select {
		case s.changedChannel() <- struct{}{}:
		default:
		}
	}
	return changes
}

func sameRate(a, b float64) bool { return a == b || a > 0 && b > 0 && withinTolerance(a, b) }

// prune removes old observations, and above maxObservations also the half that changed least
// recently. The caller holds mu.
func (s *Store) prune(now time.Time) {
	s.prunedAt = now
	overLimit := len(s.byInstance) > maxObservations
	for instanceID, o := range s.byInstance {
		age := now.Sub(o.ObservedAt)
		if age > limitRetention || o.Rate == 0 && age > clearedRetention || overLimit && o.version+maxObservations/2 <= s.version {
			delete(s.byInstance, instanceID)
		}
	}
}

// Changed returns a channel that receives a value after changes.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedChannel()
}

// changedChannel returns the channel that receives a value after changes. It sends nothing itself. The
// caller holds mu.
func (s *Store) changedChannel() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{}, 1)
	}
	return s.changed
}

// ChangesSince returns up to limit changes after the version (0 for all) in the order of their
// versions, the version from which to continue, and whether there are more.
func (s *Store) ChangesSince(version uint64, limit int) (observations []Observation, next uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == s.version {
		return nil, version, false
	}
	var changes []versionedObservation
	for _, o := range s.byInstance {
		if o.version > version {
			changes = append(changes, o)
		}
	}
	slices.SortFunc(changes, func(a, b versionedObservation) int { return cmp.Compare(a.version, b.version) })
	next = s.version
	if len(changes) > limit {
		changes = changes[:limit]
		next = changes[limit-1].version
		more = true
	}
	for _, o := range changes {
		observations = append(observations, o.Observation)
	}
	return observations, next, more
}

// Rate returns the limit of an instance in requests per second, 0 if none is known.
func (s *Store) Rate(instanceID string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byInstance[instanceID].Rate
}
