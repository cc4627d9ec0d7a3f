package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulation simulates one upstream with a limit, entries, and callers.
type simulation struct {
	random          *rand.Rand
	entries         []*simulatedEntry
	rate            float64       // the limit
	restartInterval time.Duration // between restarts of entries; 0: no restarts
	now             time.Time

	pending  []update
	arrivals []arrival
}

type simulatedEntry struct {
	limiter       Limiter
	store         Store
	sentVersion   uint64    // version of the store up to which changes were sent
	isolated      bool      // the entry neither sends nor receives updates
	firstObserved time.Time // when it first received a response with the limit
}

type update struct {
	to           *simulatedEntry
	observations []Observation
	dueAt        time.Time
}

type arrival struct {
	at     time.Time
	sender *simulatedEntry
}

const (
	simulationStep      = 10 * time.Millisecond
	responseDelay       = 60 * time.Millisecond // from a request to its response
	maxReplicationDelay = 700 * time.Millisecond
	convergenceTime     = 3 * time.Second
	isolatedGracePeriod = 500 * time.Millisecond // after firstObserved; earlier requests don't count
)

func newSimulation(seed uint64, entries int, rate float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, uint64(entries))),
		rate:   rate,
		now:    start,
	}
	for range entries {
		s.entries = append(s.entries, &simulatedEntry{})
	}
	return s
}

// run runs the simulation for the duration. demand returns the rate in requests per second
// at which all entries together attempt to send to the upstream.
func (s *simulation) run(duration time.Duration, demand func(since time.Duration) float64) {
	type answer struct {
		sender *simulatedEntry
		sent   time.Time
	}
	var inFlight []answer
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		for len(inFlight) > 0 && s.now.Sub(inFlight[0].sent) >= responseDelay {
			s.receiveLimit(inFlight[0].sender)
			inFlight = inFlight[1:]
		}
		s.deliver()
		if s.restartInterval > 0 && s.now.Sub(start)%s.restartInterval == 0 {
			s.restartEntry()
		}
		for n := demand(s.now.Sub(start)) * simulationStep.Seconds(); n > 0; n-- {
			if n < 1 && s.random.Float64() >= n {
				break
			}
			e := s.entries[s.random.IntN(len(s.entries))]
			if e.limiter.TryAcquire(s.now) {
				inFlight = append(inFlight, answer{
					sender: e,
					sent:   s.now,
				})
				s.arrivals = append(s.arrivals, arrival{
					at:     s.now,
					sender: e,
				})
			}
		}
	}
}

// restartEntry resets an entry. Another entry sends all its observations to it.
func (s *simulation) restartEntry() {
	restarted, other := s.entries[s.random.IntN(len(s.entries))], s.entries[s.random.IntN(len(s.entries))]
	*restarted = simulatedEntry{
		isolated: restarted.isolated,
	}
	observations, _, _ := other.store.ChangesSince(0, 10)
	s.replicate(restarted, observations)
}

// receiveLimit handles a response that contains the limit.
func (s *simulation) receiveLimit(e *simulatedEntry) {
	if e.firstObserved.IsZero() {
		e.firstObserved = s.now
	}
	e.limiter.SetLimit(s.rate, len(s.entries), s.now, s.random.Float64())
	e.store.Merge([]Observation{{InstanceID: "u", Rate: s.rate, ObservedAt: s.now}}, s.now)
	if e.isolated {
		return
	}
	var changes []Observation
	if changes, e.sentVersion, _ = e.store.ChangesSince(e.sentVersion, 10); len(changes) == 0 {
		return
	}
	for _, x := range s.entries {
		if x != e && !x.isolated {
			s.replicate(x, changes)
		}
	}
}

func (s *simulation) replicate(to *simulatedEntry, observations []Observation) {
	s.pending = append(s.pending, update{
		to:           to,
		observations: observations,
		dueAt:        s.now.Add(time.Duration(s.random.Float64() * float64(maxReplicationDelay))),
	})
}

// deliver delivers the updates that are due.
func (s *simulation) deliver() {
	pending := s.pending[:0]
	for _, x := range s.pending {
		if x.dueAt.After(s.now) {
			pending = append(pending, x)
			continue
		}
		for _, o := range x.to.store.Merge(x.observations, s.now) {
			x.to.limiter.SetLimit(o.Rate, len(s.entries), s.now, s.random.Float64())
		}
		_, x.to.sentVersion, _ = x.to.store.ChangesSince(x.to.sentVersion, 10)
	}
	s.pending = pending
}

// maxArrivals returns the highest number of arrivals in a window that ends at an arrival no
// earlier than since. Arrivals from isolated entries count only from isolatedGracePeriod
// after the entry first observed the limit.
func (s *simulation) maxArrivals(since time.Time) (highest int) {
	for i, last := range s.arrivals {
		if last.at.Before(since) {
			continue
		}
		n := 0
		for j := i; j >= 0 && last.at.Sub(s.arrivals[j].at) < window; j-- {
			sender := s.arrivals[j].sender
			if !sender.isolated || !sender.firstObserved.IsZero() && last.at.Sub(sender.firstObserved) >= isolatedGracePeriod {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// TestSimulatedRateLimit guards against an upstream receiving more requests than its limit
// allows: from entries that each use the whole limit, that never receive the limit, or that
// all have an open slot when other upstreams fail.
func TestSimulatedRateLimit(t *testing.T) {
	for _, tt := range []struct {
		name          string
		seeds         uint64
		demand        func(baseRate float64) func(since time.Duration) float64
		isolatedShare float64 // part of the entries

		restartInterval time.Duration
	}{
		{
			name:  "constant demand",
			seeds: 5,
			demand: func(usual float64) func(time.Duration) float64 {
				return func(time.Duration) float64 { return usual }
			},
		},
		{
			name:  "other upstreams fail after an idle period",
			seeds: 5,
			demand: func(usual float64) func(time.Duration) float64 {
				return func(since time.Duration) float64 {
					switch {
					case since < 10*time.Second:
						return usual
					case since < 40*time.Second:
						return 0
					}
					return 20 * usual
				}
			},
		},
		{
			name:          "one entry in ten is isolated",
			seeds:         5,
			isolatedShare: 0.1,
			demand: func(usual float64) func(time.Duration) float64 {
				return func(time.Duration) float64 { return usual }
			},
		},
		{
			name:            "entries restart one after the other",
			seeds:           5,
			restartInterval: 500 * time.Millisecond,
			demand: func(usual float64) func(time.Duration) float64 {
				return func(time.Duration) float64 { return usual }
			},
		},
	} {
		for _, entries := range []int{6, 68, 380} {
			for _, rate := range []float64{0.5, 1.7, 2.5, 10} {
				worst, tolerated := 0, int(overshoot*rate*window.Seconds()+burst)
				for seed := range tt.seeds {
					usual := 4 * rate
					s := newSimulation(seed, entries, rate)
					s.restartInterval = tt.restartInterval
					for _, e := range s.entries {
						e.isolated = s.random.Float64() < tt.isolatedShare
					}
					s.run(time.Minute, tt.demand(usual))
					worst = max(worst, s.maxArrivals(start.Add(convergenceTime)))
				}
				if worst > tolerated {
					t.Errorf("%s: %d entries, limit %v: %d in a window, tolerated %d", tt.name, entries, rate, worst, tolerated)
				}
				t.Logf("%s: %d entries, limit %v: at most %d, tolerated %d", tt.name, entries, rate, worst, tolerated)
			}
		}
	}
}
