package relay

import "time"

// Bounds of this entry's share of what upstreams allow all entries together.
const (
	// minSkewedShare is the part of all requests from which an entry's share of the limits follows its
	// part of the requests. Below it, the shares are equal, since they need no reports then.
	minSkewedShare = 0.5
	// maxIdleFraction is the fraction of an equal part of the requests up to which an entry leaves
	// its share to others, down to the fraction minIdleFraction of an equal share.
	maxIdleFraction = 0.5
	minIdleFraction = 0.25
)

// limitsEntries reports whether targets allow all entries together a rate or a number of requests.
func limitsEntries(targets []*Target, now time.Time) bool {
	for _, t := range targets {
		t.mu.Lock()
		limited := t.rateLimit.Rate() > 0
		t.mu.Unlock()
		if limited || t.serviceCapacity().limitsRejections(now) {
			return true
		}
	}
	return false
}

// LimitShares returns this entry's share of what upstreams allow all entries together, by service; 0 is an equal
// share. While most requests come to one entry it needs what the others don't.
func (r *Relay) LimitShares(now time.Time) map[string]float64 {
	v := r.View()
	if v == nil || r.FleetDemands == nil {
		return nil
	}
	shares := make(map[string]float64, len(v.Targets))
	for service := range v.Targets {
		shares[service] = 0
		d, ok := r.FleetDemands.Of(service, now)
		if !ok || d.ArrivalRate == 0 {
			continue
		}
		own, reported := r.ownLoad.arrivalRates(service, now)
		others := max(d.ArrivalRate-reported, 0)
		shares[service] = limitShare(own, others, v.entryCountOrDefault())
	}
	return shares
}

// limitShare returns the share of an entry that gets own of the requests per second, and the other entries others.
func limitShare(own, others float64, entries int) float64 {
	if own+others <= 0 {
		return 0
	}
	part, equal := own/(own+others), 1/float64(max(entries, 1))
	switch {
	case part >= max(minSkewedShare, equal):
		return busiestShare(1-part, max(entries, 1))
	case part <= maxIdleFraction*equal:
		return max(part, minIdleFraction*equal)
	}
	return 0
}

// busiestShare returns what the shares of the other entries leave, however others' part of the requests is distributed over
// them: at most, as many have an equal share as that part is enough for, and the rest have the least share.
func busiestShare(others float64, entries int) float64 {
	equal, rest := 1/float64(entries), float64(entries-1)
	most := min(others/(maxIdleFraction*equal), rest)
	return 1 - equal*(most+minIdleFraction*(rest-most))
}

// SetLimitShare sets this entry's share of what the service's upstreams allow all entries together; 0 is an equal share.
func (p *Pool) SetLimitShare(service string, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, t := range p.byInstanceID {
		if t.Service == service {
			t.mu.Lock()
			t.rateLimit.SetShare(share, now)
			t.mu.Unlock()
		}
	}
	s := p.capacities[service]
	if s == nil {
		return
	}
	s.mu.Lock()
	changed := s.slots.Share != share
	s.slots.Share = share
	s.mu.Unlock()
	if changed {
		p.updateSlotShares()
	}
}
