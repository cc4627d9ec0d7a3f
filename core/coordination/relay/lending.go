package relay

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/lending"
)

// divideRoom takes this entry's part of the service's room until the next loads, if requests wait at
// any entry.
func (q *serviceQueue) divideRoom(now time.Time) {
	r := q.relay
	if !r.overloadEnabled(persimmoncross.OverloadLending, q.service) || r.FleetDemands == nil {
		return
	}
	d, ok := r.FleetDemands.Of(q.service, now)
	demand := lending.Demand{}
	if ok && d.Waiting() > 0 && d.Entries > 0 {
		demand = lending.Demand{
			LoadAge:   fleetLoadDelay,
			Waiting:   d.WaitingByRank,
			BeginRate: d.BeginRate,
			Summed:    d.Entries,
			Entries:   r.View().entryCountOrDefault(),
		}
		demand.Own, _ = r.waitingDemand(q.service)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(demand.Waiting) > 0 {
		demand.Room = q.room(demand, now)
	}
	q.account.Divide(demand, now, rand.Float64())
	metrics.GetOrRegisterGauge("relay.queue.credits."+q.service, r.Metrics).Update(int64(q.account.Credits()))
}

// room returns how many requests the service's upstreams have room for. It also measures fleetHold: the
// requests that run over the rate at which all entries' requests begin. An entry alone sees too few
// ends to know it. The caller holds mu.
func (q *serviceQueue) room(d lending.Demand, now time.Time) float64 {
	v := q.relay.View()
	const noProbe = 1 // the chance with which no request probes an avoided target
	var upstreams []lending.Upstream
	running := 0.0
	for _, t := range v.Targets[q.service] {
		if t.IsDraining(now) || !t.IsAvailable(now) || t.isSuspected(now) || t.isAvoidedByFleet(now, v.EntryCount, noProbe) {
			continue
		}
		u := lending.Upstream{
			Slots:    t.Slots,
			Requests: t.fleetRequestEstimate(now),
		}
		if load, sentSince := t.latestLoad(now); load != nil && load.Waiting > 0 {
			u.Running, u.Waiting = load.Running, load.Waiting+sentSince
		}
		running += min(u.Requests, float64(max(u.Slots, 1)))
		upstreams = append(upstreams, u)
	}
	q.fleetHold = 0
	if d.BeginRate > 0 {
		all := d.BeginRate * float64(max(d.Entries, d.Summed)) / float64(d.Summed)
		q.fleetHold = time.Duration(running / all * float64(time.Second))
	}
	room := 0.0
	for _, u := range upstreams {
		u.HoldTime = q.fleetHold
		room += max(u.Room(fleetLoadDelay), 0)
	}
	return room
}
