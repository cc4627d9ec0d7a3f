package relay

import (
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/fairshare"
)

const (
	// shareInterval is how long a division of a service's capacity is used. The demand of all
	// entries is older than that.
	shareInterval = 100 * time.Millisecond
	// shareIntervalPerUpstream lengthens shareInterval with thousands of upstreams, whose slots are
	// added up each time.
	shareIntervalPerUpstream = 100 * time.Microsecond
	// partDeviations is by how many standard deviations the requests at a part of the entries may
	// exceed that part of the capacity by chance before that counts as a shortage.
	partDeviations = 3
	// minRefusedExcess is the shortest backlog for which requests are refused. A shorter one may be
	// gone by the time the sums show it, and callers are better served late than refused.
	minRefusedExcess = maxDemandAge
	// shareLogInterval is the shortest interval between two log lines on the shares of a service.
	shareLogInterval = 2 * time.Second
	// maxShareGauges limits the organisations of a service that have gauges.
	maxShareGauges = 5
)

// shareTable keeps the division of each service's capacity among the organisations. The zero
// value is empty.
type shareTable struct {
	mu        sync.Mutex // guards all below
	byService map[string]*serviceShares
}

// serviceShares is the division of one service's capacity.
type serviceShares struct {
	allocation *fairshare.Allocation
	beginRate  float64       // requests that the whole capacity begins per second
	holdTime   time.Duration // mean time for which a request holds a slot, while all slots are taken
	fleetWide  bool          // the demand is that of all entries, not of this one alone
	dividedAt  time.Time
	loggedAt   time.Time
	gauges     map[string]bool // names of the registered gauges
}

// shares returns a recent division of the service's capacity.
func (r *Relay) shares(service string, now time.Time) serviceShares {
	r.shareTable.mu.Lock()
	defer r.shareTable.mu.Unlock()
	if r.shareTable.byService == nil {
		r.shareTable.byService = map[string]*serviceShares{}
	}
	s := r.shareTable.byService[service]
	if s == nil {
		s = &serviceShares{}
		r.shareTable.byService[service] = s
	}
	interval := max(shareInterval, shareIntervalPerUpstream*time.Duration(len(r.View().Targets[service])))
	if s.allocation == nil || now.Sub(s.dividedAt) >= interval {
		r.divide(s, service, now)
		r.reportShares(s, service, now)
	}
	return *s
}

// divide divides the capacity by the demand of all entries, or by this entry's own demand and
// part of the capacity if no recent sum is known.
func (r *Relay) divide(s *serviceShares, service string, now time.Time) {
	v := r.View()
	slots := 0.0
	for _, t := range v.Targets[service] {
		slots += t.usableSlots(now, v.EntryCount)
	}
	d, known := Demand{}, false
	if r.FleetDemands != nil {
		d, known = r.FleetDemands.Of(service, now)
	}
	s.fleetWide = known && d.Entries > 0
	if !s.fleetWide {
		d = r.ownDemand(service, now)
	}
	// The sum may lack entries whose controller has lost its leader, and counts an entry twice
	// that has just changed its controller. Each entry stands for an equal part of the capacity.
	part := float64(d.Entries) / float64(v.entryCountOrDefault())
	ownSlots := slots * part
	capacity := ownSlots
	if part < 1 {
		capacity += partDeviations * math.Sqrt(capacity*(1-part))
	}
	demands := make([]fairshare.Demand, 0, len(d.Holdings))
	ranks := organisationRanks(v)
	for _, h := range d.Holdings {
		demands = append(demands, fairshare.Demand{
			Organisation: h.Organisation,
			Held:         float64(h.Held),
			Wanted:       float64(h.Held + h.Waiting),
			Rank:         ranks[h.Organisation], // 0 without a priority, as in the catalog
		})
	}
	s.allocation = fairshare.Allocate(capacity, demands)
	s.beginRate = d.BeginRate
	s.holdTime = 0
	if d.BeginRate > 0 {
		s.holdTime = time.Duration(ownSlots / d.BeginRate * float64(time.Second))
	}
	s.dividedAt = now
}

// usableSlots returns how many requests the target can hold now: none if requests avoid it, and as
// many as it has if it takes no other one at the moment, as after a cold start.
func (t *Target) usableSlots(now time.Time, entryCount int) float64 {
	const noProbe = 1 // the chance with which no request probes an avoided target
	switch {
	case t.IsDraining(now) || t.isSuspected(now) || t.isAvoidedByFleet(now, entryCount, noProbe):
		return 0
	case !t.IsAvailable(now):
		return min(t.fleetRequestEstimate(now), float64(max(t.Slots, 1)))
	}
	return float64(max(t.Slots, 1))
}

// organisationRanks returns the ranks of the organisations that have a priority of their own.
func organisationRanks(v *View) map[string]int {
	ranks := map[string]int{}
	if v.Catalog == nil {
		return ranks
	}
	for _, o := range v.Catalog.Organisations {
		if o.Priority >= 0 {
			ranks[o.Name] = o.Priority
		}
	}
	return ranks
}

// shareUsage returns the function that orders a service's waiting requests among organisations:
// what an organisation holds as a multiple of its fair share. The queue takes it, before it locks
// what queuedDemand locks: a new division may ask for that.
func (r *Relay) shareUsage(service string, now time.Time) func(organisation string) float64 {
	if !r.overloadEnabled(persimmoncross.OverloadShares, service) {
		return func(string) float64 { return 0 }
	}
	return r.shares(service, now).allocation.Usage
}

// overShare returns the function that reports whether an organisation is far over its fair share of a
// service that is short. The caller doesn't hold a queue's mu, as for shareUsage.
func (r *Relay) overShare(service string, now time.Time) func(organisation string) bool {
	if !r.overloadEnabled(persimmoncross.OverloadShares, service) {
		return func(string) bool { return false }
	}
	return r.shares(service, now).allocation.IsOverShare
}

// refuseOverShare refuses a request at once if its organisation is far over its fair share of a
// service that is short, and what it already has would take until the request's deadline to be
// served at that share. Requests without an organisation are not refused. Where the queue is in force,
// it holds such requests instead, and refuses them when they can't end in time.
func (c *call) refuseOverShare() *persimmoncross.Refusal {
	r := c.relay
	if !c.mayBeOverShare() || r.queueOf(c.service) != nil || !r.overloadEnabled(persimmoncross.OverloadShares, c.service) {
		return nil
	}
	now := r.Clock.Now()
	s := r.shares(c.service, now)
	excess := s.allocation.Excess(c.organisation, s.beginRate)
	left := c.deadline.Sub(now) - s.holdTime // time left to begin the request
	if excess <= max(left, minRefusedExcess) {
		return nil
	}
	wait := excess - max(left, 0) // until then enough has ended for a request with as much time
	r.incrementCounter("refused.share")
	view := "own"
	if s.fleetWide {
		view = "fleet"
	}
	c.logEventWithDigest().Str("service", c.service).Str("organisation", c.organisation).Float64("held", s.allocation.Held(c.organisation)).Float64("wanted", s.allocation.Wanted(c.organisation)).Float64("share", s.allocation.Share(c.organisation)).Str("view", view).Dur("availableIn", wait).Msg("request refused: its organisation is over its share")
	return persimmoncross.NewRefusal(persimmoncross.CodeConcurrencyLimited, "%s is over its share of %s", c.organisation, c.service).WithRetryAfter(c.retryAfter(wait))
}

// reportShares exports the shares of the organisations that want most while the service is short,
// and logs those of them that want more.
func (r *Relay) reportShares(s *serviceShares, service string, now time.Time) {
	if !s.allocation.Short() {
		for name := range s.gauges {
			r.Metrics.Unregister(name)
		}
		s.gauges = nil
		return
	}
	if now.Sub(s.loggedAt) < shareLogInterval {
		return
	}
	s.loggedAt = now
	gauges := map[string]bool{}
	for _, organisation := range s.allocation.Largest(maxShareGauges) {
		prefix := "relay.share." + service + "." + organisation
		for name, value := range map[string]float64{
			prefix + ".held": s.allocation.Held(organisation),
			prefix + ".fair": s.allocation.Share(organisation),
		} {
			metrics.GetOrRegisterGaugeFloat64(name, r.Metrics).Update(value)
			gauges[name] = true
		}
		if s.allocation.Wanted(organisation) <= s.allocation.Share(organisation) {
			continue
		}
		r.Log.Info().Str("service", service).Str("organisation", organisation).Float64("held", s.allocation.Held(organisation)).Float64("wanted", s.allocation.Wanted(organisation)).Float64("share", s.allocation.Share(organisation)).Float64("begun", s.beginRate).Bool("fleet", s.fleetWide).Msg("organisation wants more than its share of a service")
	}
	for name := range s.gauges {
		if !gauges[name] {
			r.Metrics.Unregister(name)
		}
	}
	s.gauges = gauges
}
