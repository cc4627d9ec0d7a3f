package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Retention of observations: a limit is observed again whenever a request is sent, and the
// end of one is kept for longer than it takes to reach all entries.
const (
	limitRetention = 10 * time.Minute
	endRetention   = time.Minute
	pruneInterval  = time.Second
	maxStored      = 8192
)

// Observation is the limit that a life of an upstream named at some time.
type Observation struct {
	Life string
	Rate float64 // requests per second; 0: the limit has ended
	At   time.Time
}

// Store holds the latest observation of each life, and numbers their changes so that they
// can be replicated. The zero value is empty.
type Store struct {
	mu      sync.Mutex // guards all below
	byLife  map[string]stored
	version uint64 // counts changes
	changed chan struct{}
	pruned  time.Time
}

// stored is an observation with the version at which its rate changed.
type stored struct {
	Observation
	version uint64
}

// Merge adds observations, of which the latest of each life wins, and returns those that
// changed a rate.
func (s *Store) Merge(list []Observation, now time.Time) (changes []Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byLife == nil {
		s.byLife = map[string]stored{}
	}
	for _, o := range list {
		old, known := s.byLife[o.Life]
		switch {
		case known && !o.At.After(old.At):
		case !known && o.Rate == 0: // no limit to end
		case known && sameRate(o.Rate, old.Rate):
			old.At = o.At
			s.byLife[o.Life] = old
		default:
			s.version++
			s.byLife[o.Life] = stored{
				Observation: o,
				version:     s.version,
			}
			changes = append(changes, o)
		}
	}
	if now.Sub(s.pruned) >= pruneInterval || len(s.byLife) > maxStored {
		s.prune(now)
	}
	if len(changes) > 0 {
		select {
		case s.notify() <- struct{}{}:
		default:
		}
	}
	return changes
}

func sameRate(a, b float64) bool { return a == b || a > 0 && b > 0 && similar(a, b) }

// prune drops old observations; above the bound also the half that changed first. The
// caller holds mu.
func (s *Store) prune(now time.Time) {
	s.pruned = now
	full := len(s.byLife) > maxStored
	for life, o := range s.byLife {
		age := now.Sub(o.At)
		if age > limitRetention || o.Rate == 0 && age > endRetention || full && o.version+maxStored/2 <= s.version {
			delete(s.byLife, life)
		}
	}
}

// Changed returns a channel that receives a value after changes.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notify()
}

// notify returns the channel. The caller holds mu.
func (s *Store) notify() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{}, 1)
	}
	return s.changed
}

// Since returns up to limit changes after the version, 0 for all, in their order, the
// version after them, and whether there are more.
func (s *Store) Since(version uint64, limit int) (list []Observation, after uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == s.version {
		return nil, version, false
	}
	var changes []stored
	for _, o := range s.byLife {
		if o.version > version {
			changes = append(changes, o)
		}
	}
	slices.SortFunc(changes, func(a, b stored) int { return cmp.Compare(a.version, b.version) })
	after = s.version
	if len(changes) > limit {
		changes = changes[:limit]
		after = changes[limit-1].version
		more = true
	}
	for _, o := range changes {
		list = append(list, o.Observation)
	}
	return list, after, more
}

// Rate returns the limit of a life, 0 if none is known.
func (s *Store) Rate(life string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byLife[life].Rate
}
