package relay

import (
	"slices"
	"sync"
	"time"

	"persimmoncross/core/state/register"
)

// Limits of the observation of a stream. It is the same for all streams, whether they have ended or not: slow
// streams end last, so that those which have ended at some moment are the quick ones.
const (
	// maxPaceGaps is the number of gaps between events after which the pace is known.
	maxPaceGaps = 8
	// minPaceGaps is the least number of gaps that tell a pace. One of them may be long because the upstream
	// reads another prompt.
	minPaceGaps = 3
	// paceAge is the age from which minPaceGaps are enough.
	paceAge = time.Second
	// maxPaceAge is the age from which even fewer are: the pace is at least the age by event.
	maxPaceAge = 5 * time.Second
)

// observedStream is a stream that runs during an upgrade of its service, until its pace is known. The pace is
// the median gap between events: unlike the mean it hardly depends on how many other prompts the upstream
// reads meanwhile, and so on its load.
type observedStream struct {
	key CanaryKey

	mu     sync.Mutex // guards what follows
	began  time.Time  // when the head was received, later by the time in which the caller did not read
	events int
	gaps   []time.Duration
}

// recordEvents records events that were read together after the pause. A nil stream is not observed.
func (o *observedStream) recordEvents(pause time.Duration, events int) {
	if o == nil || events == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.events > 0 && len(o.gaps) < maxPaceGaps {
		o.gaps = append(o.gaps, pause/time.Duration(events))
	}
	o.events += events
}

// pace returns the pace that the stream has at its age, and whether it is known.
func (o *observedStream) pace(now time.Time, ended bool) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	age := now.Sub(o.began)
	switch gaps := len(o.gaps); {
	case gaps >= maxPaceGaps, gaps >= minPaceGaps && (ended || age >= paceAge):
		sorted := slices.Sorted(slices.Values(o.gaps))
		return sorted[gaps/2], true
	case age >= maxPaceAge && !ended:
		return age / time.Duration(o.events+1), true
	}
	return 0, false
}

// exclude excludes a time in which nothing was read from the upstream. A nil stream is not observed.
func (o *observedStream) exclude(d time.Duration) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.began = o.began.Add(d)
}

// beginStream begins the observation of a stream. u is as for recordResult; without an upgrade it returns nil, and
// the stream is not observed.
func (s *CanaryStats) beginStream(u *register.Upgrade, k CanaryKey, now time.Time) *observedStream {
	if u == nil {
		return nil
	}
	o := &observedStream{
		key:   k,
		began: now,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = map[*observedStream]bool{}
	}
	s.streams[o] = true
	return o
}

// observe counts the stream's pace once it is known, and ends the observation then.
func (s *CanaryStats) observe(o *observedStream, now time.Time, ended bool) {
	if o == nil {
		return
	}
	pace, known := o.pace(now, ended)
	if !known && !ended {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.streams[o] {
		return
	}
	delete(s.streams, o)
	if known {
		s.countFor(o.key).Paces.Count(pace)
	}
}

// ObserveOpen counts the paces that have become known by the age of their streams.
func (s *CanaryStats) ObserveOpen(now time.Time) {
	s.mu.Lock()
	open := make([]*observedStream, 0, len(s.streams))
	for o := range s.streams {
		open = append(open, o)
	}
	s.mu.Unlock()
	for _, o := range open {
		s.observe(o, now, false)
	}
}

// OpenStreams describes the streams of one version and route that run and have no pace yet.
type OpenStreams struct {
	Streams int
	Events  int
	Oldest  time.Duration
}

// Open returns the open streams by service, version and route.
func (s *CanaryStats) Open(now time.Time) map[CanaryKey]OpenStreams {
	s.mu.Lock()
	defer s.mu.Unlock()
	byRoute := map[CanaryKey]OpenStreams{}
	for o := range s.streams {
		key := CanaryKey{
			Service: o.key.Service,
			Version: o.key.Version,
			Route:   o.key.Route,
		}
		open := byRoute[key]
		open.Streams++
		o.mu.Lock()
		open.Events += o.events
		open.Oldest = max(open.Oldest, now.Sub(o.began))
		o.mu.Unlock()
		byRoute[key] = open
	}
	return byRoute
}
