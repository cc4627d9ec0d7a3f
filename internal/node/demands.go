package node

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// Limits of the demands in one message.
const (
	maxDemandServices = 8
	// maxServiceHoldings limits the organisations of one service. Those with the largest holdings
	// are sent, because only they can be over their share.
	maxServiceHoldings = 64
	// maxMessageHoldings limits the organisations of all services together. A message then has
	// less than 4 KB, and the interval between two stays well below the age at which demands expire.
	maxMessageHoldings = 128
	// maxDemandBytesPerSecond limits the bytes of demands sent to one follower.
	maxDemandBytesPerSecond = 4000
	// maxEncodedDemandAge is how long a sum is reused for other followers, so that hundreds of
	// them don't each cause a sum over all reports.
	maxEncodedDemandAge = 50 * time.Millisecond
)

// demandAggregator sums the demands that the entries report, as loadAggregator does with loads:
// the leader's aggregator sums all reports, the other controllers report their entries' part to
// the leader and forward the leader's sum. Nothing is stored, so a new leader has the sum again
// after the next reports.
type demandAggregator struct {
	clock persimmoncross.Clock

	mu         sync.Mutex // guards all below
	byReporter map[string]reporterDemands
	fleet      []*wire.Demand // as received from the leader; read-only
	fleetAt    time.Time      // when fleet arrived
	cached     []*wire.Demand // the sums for followers; read-only
	cachedAt   time.Time
}

// reporterDemands is the last report of an entry or controller.
type reporterDemands struct {
	demands    []*wire.Demand // read-only
	receivedAt time.Time
}

// receive stores a report. It replaces the reporter's previous one.
func (a *demandAggregator) receive(reporter string, demands []*wire.Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(demands) == 0 {
		delete(a.byReporter, reporter)
		return
	}
	if a.byReporter == nil {
		a.byReporter = map[string]reporterDemands{}
	}
	a.byReporter[reporter] = reporterDemands{
		demands:    demands,
		receivedAt: a.clock.Now(),
	}
}

// applyFleetDemands stores the sums that the leader sent.
func (a *demandAggregator) applyFleetDemands(demands []*wire.Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = slices.DeleteFunc(slices.Clone(demands), func(d *wire.Demand) bool { return d.GetEntries() == 0 })
	a.fleetAt = a.clock.Now()
}

// report returns this controller's part of the sums for the leader.
func (a *demandAggregator) report() []*wire.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sum(a.clock.Now())
}

// sums returns the sums over all entries for the followers: the leader's, or those of the
// reports received here if this controller leads or there is no leader. They are read-only.
func (a *demandAggregator) sums() []*wire.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if !a.fleetAt.IsZero() && now.Sub(a.fleetAt) <= maxLoadAge {
		return a.fleet
	}
	if a.cachedAt.IsZero() || now.Sub(a.cachedAt) > maxEncodedDemandAge {
		a.cached = a.sum(now)
		a.cachedAt = now
	}
	return a.cached
}

// sum adds up the reports, and removes those of reporters that no longer report. The caller
// holds mu.
func (a *demandAggregator) sum(now time.Time) []*wire.Demand {
	byService := map[string]*demandSum{}
	for reporter, r := range a.byReporter {
		if now.Sub(r.receivedAt) > maxLoadAge {
			delete(a.byReporter, reporter)
			continue
		}
		for _, d := range r.demands {
			s := byService[d.GetService()]
			if s == nil {
				s = &demandSum{
					byOrganisation: map[string]*wire.Holding{},
				}
				byService[d.GetService()] = s
			}
			s.add(d)
		}
	}
	demands := make([]*wire.Demand, 0, len(byService))
	for service, s := range byService {
		demands = append(demands, &wire.Demand{
			Service:  service,
			Waiting:  s.waiting,
			Rate:     s.rate,
			Arrivals: s.arrivals,
			Entries:  s.entries,
			Crowded:  s.crowded,
			Holdings: slices.Collect(maps.Values(s.byOrganisation)),
		})
	}
	return limitDemands(demands)
}

// demandSum is the sum of the demands of one service.
type demandSum struct {
	waiting        []uint32
	rate           uint32
	arrivals       uint32
	entries        uint32
	crowded        uint32
	byOrganisation map[string]*wire.Holding
}

func (s *demandSum) add(d *wire.Demand) {
	for rank, n := range d.GetWaiting() {
		if rank >= len(s.waiting) {
			s.waiting = append(s.waiting, 0)
		}
		s.waiting[rank] += n
	}
	s.rate += d.GetRate()
	s.arrivals += d.GetArrivals()
	s.entries += d.GetEntries()
	s.crowded += d.GetCrowded()
	for _, h := range d.GetHoldings() {
		total := s.byOrganisation[h.GetOrganisation()]
		if total == nil {
			total = &wire.Holding{
				Organisation: h.GetOrganisation(),
			}
			s.byOrganisation[h.GetOrganisation()] = total
		}
		total.Held += h.GetHeld()
		total.Waiting += h.GetWaiting()
	}
}

// limitDemands sorts the demands, the largest first, and drops what exceeds the limits of a
// message.
func limitDemands(demands []*wire.Demand) []*wire.Demand {
	size := func(d *wire.Demand) int {
		n := 0
		for _, h := range d.GetHoldings() {
			n += holdingSize(h)
		}
		return n
	}
	slices.SortFunc(demands, func(a, b *wire.Demand) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.GetService(), b.GetService()))
	})
	demands = demands[:min(len(demands), maxDemandServices)]
	most := min(maxServiceHoldings, maxMessageHoldings/max(len(demands), 1))
	for _, d := range demands {
		slices.SortFunc(d.Holdings, func(a, b *wire.Holding) int {
			return cmp.Or(cmp.Compare(holdingSize(b), holdingSize(a)), cmp.Compare(a.GetOrganisation(), b.GetOrganisation()))
		})
		d.Holdings = d.Holdings[:min(len(d.Holdings), most)]
	}
	return demands
}

func holdingSize(h *wire.Holding) int { return int(h.GetHeld()) + int(h.GetWaiting()) }

// demandSender decides when a follower gets the sums.
type demandSender struct {
	nextAt   time.Time
	services []string // services whose sums the follower has
}

// next returns the sums to send now, nil for none. A service that has no sum any more is sent
// once without one, so that the follower doesn't use the last one until it expires.
func (s *demandSender) next(sums []*wire.Demand, now time.Time) []*wire.Demand {
	if now.Before(s.nextAt) || len(sums) == 0 && len(s.services) == 0 {
		return nil
	}
	demands := slices.Clone(sums)
	var services []string
	for _, d := range sums {
		if d.GetEntries() > 0 {
			services = append(services, d.GetService())
		}
	}
	for _, service := range s.services {
		if !slices.ContainsFunc(sums, func(d *wire.Demand) bool { return d.GetService() == service }) {
			demands = append(demands, &wire.Demand{
				Service: service,
			})
		}
	}
	s.services = services
	sent := 0
	for _, d := range demands {
		sent += proto.Size(d)
	}
	s.nextAt = now.Add(max(loadInterval, time.Duration(sent)*time.Second/maxDemandBytesPerSecond))
	return demands
}

// addDemands adds the sums of all entries' demands to an update.
func (c *Controller) addDemands(u *wire.Update, s *followerState) {
	if !s.probing {
		u.Demands = s.demands.next(c.demands.sums(), c.Clock.Now())
	}
}

// toWireDemands encodes demands.
func toWireDemands(demands []relay.Demand) []*wire.Demand {
	list := make([]*wire.Demand, 0, len(demands))
	for _, d := range demands {
		x := &wire.Demand{
			Service: d.Service,
			Rate:    uint32(math.Round(max(d.BeginRate, 0) * 1000)),
			Entries: uint32(d.Entries),
			Crowded: uint32(d.Crowded),

			Arrivals: uint32(math.Round(max(d.ArrivalRate, 0) * 1000)),
		}
		for _, n := range d.WaitingByRank {
			x.Waiting = append(x.Waiting, uint32(max(n, 0)))
		}
		for _, h := range d.Holdings {
			x.Holdings = append(x.Holdings, &wire.Holding{
				Organisation: h.Organisation,
				Held:         uint32(max(h.Held, 0)),
				Waiting:      uint32(max(h.Waiting, 0)),
			})
		}
		list = append(list, x)
	}
	return limitDemands(list)
}

// fromWireDemands decodes demands.
func fromWireDemands(demands []*wire.Demand) []relay.Demand {
	list := make([]relay.Demand, 0, len(demands))
	for _, x := range demands {
		d := relay.Demand{
			Service:   x.GetService(),
			BeginRate: float64(x.GetRate()) / 1000,
			Entries:   int(x.GetEntries()),
			Crowded:   int(x.GetCrowded()),

			ArrivalRate: float64(x.GetArrivals()) / 1000,
		}
		for _, n := range x.GetWaiting() {
			d.WaitingByRank = append(d.WaitingByRank, int(n))
		}
		for _, h := range x.GetHoldings() {
			d.Holdings = append(d.Holdings, relay.Holding{
				Organisation: h.GetOrganisation(),
				Held:         int(h.GetHeld()),
				Waiting:      int(h.GetWaiting()),
			})
		}
		list = append(list, d)
	}
	return list
}

// demandReport returns this entry's demand for the controllers.
func (e *Entry) demandReport() []*wire.Demand {
	e.updateLimitShares() // also if no sums come any more
	return toWireDemands(e.relay.CollectDemands(e.Clock.Now()))
}

// applyDemands applies the sums of all entries' demands.
func (e *Entry) applyDemands(demands []*wire.Demand) {
	e.relay.FleetDemands.Apply(fromWireDemands(demands), e.Clock.Now())
	e.updateLimitShares()
}

// updateLimitShares tells the pool this entry's shares of what upstreams allow all entries together.
func (e *Entry) updateLimitShares() {
	for service, share := range e.relay.LimitShares(e.Clock.Now()) {
		e.pool.SetLimitShare(service, share)
	}
}
