package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"persimmoncross"
)

const (
	// minReportedUtilization is the fraction of a service's slots in use from which demands are
	// reported. Below it no request competes with another, and nothing is sent.
	minReportedUtilization = 0.5
	// beginRateInterval is the shortest interval over which the rate of begun requests is measured.
	beginRateInterval = 200 * time.Millisecond
	beginRateWeight   = 0.3 // weight of one interval in the mean rate
	// utilizationIntervalPerUpstream is how long the utilization is reused, per upstream.
	utilizationIntervalPerUpstream = 250 * time.Microsecond
)

// ownLoad counts what this entry's requests hold of each service. The zero value is empty.
type ownLoad struct {
	mu        sync.Mutex // guards all below
	byService map[string]*ownServiceLoad
}

// ownServiceLoad is what this entry's requests hold of one service.
type ownServiceLoad struct {
	heldByOrganisation map[string]int
	begun              int // requests that upstreams began since measuredAt
	arrived            int // requests that came since measuredAt
	measuredAt         time.Time
	beginRate          float64 // mean rate of begun requests per second
	arrivalRate        float64 // mean rate of requests that come per second
	reportedRate       float64 // arrivalRate when it was reported last
	requests           float64 // all entries' requests at the upstreams, at utilizedAt
	slots              float64 // slots of the upstreams, at utilizedAt
	utilizedAt         time.Time
	crowdedAt          time.Time // when this entry last used much of its share of an upstream's connections
}

// service returns the service's load. The caller holds mu.
func (o *ownLoad) service(name string) *ownServiceLoad {
	if o.byService == nil {
		o.byService = map[string]*ownServiceLoad{}
	}
	s := o.byService[name]
	if s == nil {
		s = &ownServiceLoad{
			heldByOrganisation: map[string]int{},
		}
		o.byService[name] = s
	}
	return s
}

// hold counts an attempt of the organisation until the returned function is called.
func (o *ownLoad) hold(service, organisation string) (release func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.service(service).heldByOrganisation
	held[organisation]++
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if held[organisation]--; held[organisation] == 0 {
			delete(held, organisation)
		}
	}
}

// recordBegun records that an upstream began a request.
func (o *ownLoad) recordBegun(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.service(service).begun++
}

// recordArrived records that a request for the service came.
func (o *ownLoad) recordArrived(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.service(service).arrived++
}

// recordCrowded records that this entry uses much of an even share of an upstream's connections.
func (o *ownLoad) recordCrowded(service string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.service(service).crowdedAt = now
}

// isCrowded reports whether this entry used much of an even share of an upstream's connections lately.
func (o *ownLoad) isCrowded(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.service(service).crowdedAt
	return !at.IsZero() && now.Sub(at) <= crowdedTime
}

// arrivalRates returns the mean rate of requests that come per second, and that rate as it was reported last.
func (o *ownLoad) arrivalRates(service string, now time.Time) (current, reported float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(service)
	s.measureBeginRate(now)
	return s.arrivalRate, s.reportedRate
}

// measureBeginRate returns the mean rate of begun requests per second.
func (s *ownServiceLoad) measureBeginRate(now time.Time) float64 {
	elapsed := now.Sub(s.measuredAt)
	if elapsed < beginRateInterval {
		return s.beginRate
	}
	rate, arrivals := float64(s.begun)/elapsed.Seconds(), float64(s.arrived)/elapsed.Seconds()
	if s.measuredAt.IsZero() {
		rate, arrivals = 0, 0
	}
	s.beginRate += beginRateWeight * (rate - s.beginRate)
	s.arrivalRate += beginRateWeight * (arrivals - s.arrivalRate)
	s.begun, s.arrived = 0, 0
	s.measuredAt = now
	return s.beginRate
}

// held returns the number of requests by organisation, and the rates of begun requests and of those that come.
func (o *ownLoad) held(service string, now time.Time) (byOrganisation map[string]int, beginRate, arrivalRate float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(service)
	beginRate = s.measureBeginRate(now)
	s.reportedRate = s.arrivalRate
	return maps.Clone(s.heldByOrganisation), beginRate, s.arrivalRate
}

// ownDemand returns what this entry's requests hold and await of the service.
func (r *Relay) ownDemand(service string, now time.Time) Demand {
	held, beginRate, arrivalRate := r.ownLoad.held(service, now)
	d := Demand{
		Service:     service,
		BeginRate:   beginRate,
		ArrivalRate: arrivalRate,
		Entries:     1,
	}
	if r.ownLoad.isCrowded(service, now) {
		d.Crowded = 1
	}
	var waiting map[string]int
	d.WaitingByRank, waiting = r.waitingDemand(service)
	organisations := maps.Clone(held)
	maps.Copy(organisations, waiting)
	for _, organisation := range slices.Sorted(maps.Keys(organisations)) {
		d.Holdings = append(d.Holdings, Holding{
			Organisation: organisation,
			Held:         held[organisation],
			Waiting:      waiting[organisation],
		})
	}
	return d
}

// needsDemands reports whether a part that uses demands is in force for the service.
func (r *Relay) needsDemands(service string) bool {
	return r.overloadEnabled(persimmoncross.OverloadShares, service) ||
		r.overloadEnabled(persimmoncross.OverloadLending, service)
}

// CollectDemands returns this entry's demand of the services where requests wait or at least
// minReportedUtilization of the slots are in use, whose upstreams limit all entries together, or whose connections are
// short at one of the entries.
func (r *Relay) CollectDemands(now time.Time) []Demand {
	v := r.View()
	if v == nil {
		return nil
	}
	var demands []Demand
	for service, targets := range v.Targets {
		reported := limitsEntries(targets, now) || r.ownLoad.isCrowded(service, now) || r.othersCrowded(service, now)
		if !reported && !r.needsDemands(service) {
			continue
		}
		d := r.ownDemand(service, now)
		if reported || d.Waiting() > 0 || r.isUtilized(service, targets, now) {
			demands = append(demands, d)
		}
	}
	return demands
}

// othersCrowded reports whether an entry needs to know the demands of all, to have its share of the connections.
func (r *Relay) othersCrowded(service string, now time.Time) bool {
	if r.FleetDemands == nil {
		return false
	}
	d, ok := r.FleetDemands.Of(service, now)
	return ok && d.Crowded > 0
}

// isUtilized reports whether at least minReportedUtilization of the targets' slots are in use, by
// the loads that the upstreams reported or by the sum of all entries' demands. An entry with few
// requests then reports them too; a sum over only those with many would look like a shortage.
func (r *Relay) isUtilized(service string, targets []*Target, now time.Time) bool {
	requests, slots := r.ownLoad.utilization(service, targets, now)
	if requests >= minReportedUtilization*slots {
		return true
	}
	if r.FleetDemands == nil {
		return false
	}
	d, ok := r.FleetDemands.Of(service, now)
	if !ok || d.Entries == 0 {
		return false
	}
	wanted := 0.0
	for _, h := range d.Holdings {
		wanted += float64(h.Held + h.Waiting)
	}
	entries := r.View().entryCountOrDefault()
	return 2*d.Entries < entries || wanted >= minReportedUtilization*slots
}

// utilization returns the number of all entries' requests at the targets, and their slots. With
// thousands of targets the numbers are reused for about a second.
func (o *ownLoad) utilization(service string, targets []*Target, now time.Time) (requests, slots float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(service)
	if s.utilizedAt.IsZero() || now.Sub(s.utilizedAt) >= utilizationIntervalPerUpstream*time.Duration(len(targets)) {
		s.requests, s.slots = slotUtilization(targets, now)
		s.utilizedAt = now
	}
	return s.requests, s.slots
}

// slotUtilization returns the number of all entries' requests at the targets, and their slots.
func slotUtilization(targets []*Target, now time.Time) (requests, slots float64) {
	for _, t := range targets {
		if !t.IsDraining(now) {
			requests += t.fleetRequestEstimate(now)
			slots += float64(max(t.Slots, 1))
		}
	}
	return requests, slots
}
