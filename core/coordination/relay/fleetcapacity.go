package relay

import (
	"math"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/capacity"
)

// FleetCapacity is the pace of an upstream and what is held there, as known by the controllers.
type FleetCapacity struct {
	InstanceID string
	Pace       int           // as reported last, in percent of the usual; 0: not reported recently
	ReportAge  time.Duration // age of Pace at the controller
	HeldTokens int           // tokens that all entries' requests hold
}

// ApplyFleetCapacities applies the capacities that the controllers know. Targets that are not
// among them keep what was known of them until it is too old.
func (p *Pool) ApplyFleetCapacities(capacities []FleetCapacity) {
	type paceChange struct {
		upstream persimmoncross.Upstream
		change   capacity.Change
	}
	// paceSum is of one service. The mean of all paces in the message is recorded at once, because
	// recorded one by one those at the end of the list would outweigh the others.
	type paceSum struct {
		octaves float64
		n       int
	}
	var changes []paceChange
	sums := map[string]paceSum{}
	p.mu.Lock()
	asOf := p.Clock.Now().Add(-fleetLoadDelay)
	enabled := map[string]bool{}
	for _, c := range capacities {
		t := p.byInstanceID[c.InstanceID]
		if t == nil || p.CapacityEnabled == nil {
			continue
		}
		if _, known := enabled[t.Service]; !known {
			enabled[t.Service] = p.CapacityEnabled(t.Service)
		}
		if !enabled[t.Service] {
			continue
		}
		if c.Pace > 0 {
			sum := sums[t.Service]
			sum.octaves += math.Log2(float64(c.Pace) / 100)
			sum.n++
			sums[t.Service] = sum
		}
		if change, changed := t.applyFleetCapacity(c, asOf); changed {
			changes = append(changes, paceChange{
				upstream: t.Upstream,
				change:   change,
			})
		}
	}
	for service, sum := range sums {
		p.serviceCapacity(service).recordMeanPace(sum.octaves/float64(sum.n), sum.n)
	}
	p.mu.Unlock()
	for _, c := range changes {
		if p.OnPaceChanged != nil {
			p.OnPaceChanged(c.upstream, c.change)
		}
	}
}

func (t *Target) applyFleetCapacity(c FleetCapacity, asOf time.Time) (capacity.Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity.fleetTokens = c.HeldTokens
	t.capacity.fleetAt = asOf
	return t.capacity.pace.Record(float64(c.Pace)/100, asOf.Add(-c.ReportAge))
}

// CapacitySummary is the range of paces and the largest held tokens of a service's upstreams.
type CapacitySummary struct {
	MinPace    int // percent of the service's mean
	MedianPace int
	MaxPace    int
	MaxHeld    int // tokens
}

// CapacitySummaries returns a summary for each service for which the part capacity is in force.
func (p *Pool) CapacitySummaries() map[string]CapacitySummary {
	p.mu.Lock()
	now := p.Clock.Now()
	targets := map[string][]*Target{}
	for _, t := range p.byInstanceID {
		targets[t.Service] = append(targets[t.Service], t)
	}
	p.mu.Unlock()
	summaries := map[string]CapacitySummary{}
	for service, list := range targets {
		if p.CapacityEnabled == nil || !p.CapacityEnabled(service) {
			continue
		}
		var paces []int
		s := CapacitySummary{}
		for _, t := range list {
			paces = append(paces, int(100*t.relativePace(now)))
			s.MaxHeld = max(s.MaxHeld, t.heldTokens(now))
		}
		slices.Sort(paces)
		s.MinPace, s.MedianPace, s.MaxPace = paces[0], paces[len(paces)/2], paces[len(paces)-1]
		summaries[service] = s
	}
	return summaries
}
