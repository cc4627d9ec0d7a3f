// Package slowstart decides which entries send to cold upstreams, and at which interval. A
// cold upstream can handle only a few requests per second from all entries together, and
// crashes if it receives more. The package has no I/O and no clock.
//
// Entries can't coordinate on each request. So some entries are the owners of each cold
// upstream and send to it at a limited interval; the others send nothing. The limit holds
// even if all owners send at the same time.
package slowstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdLimit limits the requests of all entries together to a cold upstream.
type ColdLimit struct {
	Rate         float64       // average requests per second
	MaxPerSecond float64       // maximum arrivals in any second
	Duration     time.Duration // how long the upstream is cold after its start
}

// arrivalWindow is the second in which arrivals are counted, plus the variation of the
// transmission delay, which can move more arrivals into that second.
const arrivalWindow = 1100 * time.Millisecond

// Allocate returns the number of owners among the entries, and the interval between two
// requests of each owner. In a window each owner can send one request more than intervals
// fit into it, so the arrivals at the average rate and one request per owner together have
// to fit into MaxPerSecond. More owners would leave a lower rate to each of them; fewer
// owners would leave a part of MaxPerSecond unused.
func (l ColdLimit) Allocate(entries int) (owners int, interval time.Duration) {
	rate := max(l.Rate, 0.1)
	owners = min(entries, int(l.MaxPerSecond-rate*arrivalWindow.Seconds()))
	if owners < 1 {
		// Even a single owner at the full rate can exceed MaxPerSecond.
		owners = min(entries, 1)
		rate = max(l.MaxPerSecond-1, 0.1) / arrivalWindow.Seconds()
	}
	return owners, time.Duration(float64(owners) / rate * float64(time.Second))
}

// ColdUpstream is the slow-start state of a cold instance of an upstream.
type ColdUpstream struct {
	ColdUntil time.Time
	Owners    []string      // names of the entries that may send requests
	Interval  time.Duration // time between two requests of an owner
	// Weight is the number of entries for which each owner sends, because requests whose
	// preferred upstream this is reach it from the owners only.
	Weight float64
}

// ColdObservation is an observation, from the list of upstreams or the end of an evacuation,
// that an instance is cold.
type ColdObservation struct {
	InstanceID string
	ColdUntil  time.Time
	Limit      ColdLimit
}

// coldUntilTolerance is the difference in ColdUntil up to which an observation is not treated
// as a change.
const coldUntilTolerance = 300 * time.Millisecond

// Update returns the instances that are cold now, from the previous ones and the
// observations, and the number of instances that were assigned owners. Owners are assigned
// once, and only to instances that became cold after this leader became the only one to
// assign owners. Earlier instances may have other owners, which the previous leader assigned.
func Update(previous map[string]ColdUpstream, observed []ColdObservation, entries []string, soleLeaderSince, now time.Time) (next map[string]ColdUpstream, added int) {
	next = map[string]ColdUpstream{}
	for instanceID, c := range previous {
		if c.ColdUntil.After(now) {
			next[instanceID] = c
		}
	}
	newLimits := map[string]ColdLimit{}
	for _, o := range observed {
		if !o.ColdUntil.After(now) {
			continue
		}
		c, known := next[o.InstanceID]
		if known && o.ColdUntil.Sub(c.ColdUntil).Abs() <= coldUntilTolerance {
			continue
		}
		c.ColdUntil = o.ColdUntil
		next[o.InstanceID] = c
		if !known && o.ColdUntil.Add(-o.Limit.Duration).After(soleLeaderSince) {
			newLimits[o.InstanceID] = o.Limit
		}
	}
	assignOwners(next, newLimits, entries)
	return next, len(newLimits)
}

// assignOwners assigns owners to the instances in newLimits, so that each entry owns about
// the same number of instances.
func assignOwners(upstreams map[string]ColdUpstream, newLimits map[string]ColdLimit, entries []string) {
	ownedCount := map[string]int{}
	for _, c := range upstreams {
		for _, e := range c.Owners {
			ownedCount[e]++
		}
	}
	for _, instanceID := range slices.Sorted(maps.Keys(newLimits)) {
		owners, interval := newLimits[instanceID].Allocate(len(entries))
		ranked := slices.Clone(entries)
		hash := func(entry string) uint64 { return xxhash.Sum64String(instanceID + "\x00" + entry) }
		slices.SortFunc(ranked, func(a, b string) int {
			return cmp.Or(ownedCount[a]-ownedCount[b], cmp.Compare(hash(a), hash(b)))
		})
		c := upstreams[instanceID]
		c.Owners = ranked[:owners]
		c.Interval = interval
		c.Weight = float64(len(entries)) / float64(max(owners, 1))
		upstreams[instanceID] = c
		for _, e := range c.Owners {
			ownedCount[e]++
		}
	}
}

// Pacer limits the requests of one entry to one instance. The zero value is that of a warm
// instance, and does not limit.
type Pacer struct {
	coldUntil time.Time
	interval  time.Duration // time between two requests; 0 if this entry is not an owner
	weight    float64
	nextSend  time.Time
}

// SetCold sets the slow-start state of the instance. c.Interval is 0 if this entry is not an
// owner.
func (p *Pacer) SetCold(c ColdUpstream) {
	p.coldUntil = c.ColdUntil
	p.interval = c.Interval
	p.weight = c.Weight
}

// Weight returns the number of entries for which this entry, as an owner, sends to the
// instance; 1 if the instance is warm.
func (p *Pacer) Weight(now time.Time) float64 {
	if !now.Before(p.coldUntil) {
		return 1
	}
	return max(p.weight, 1)
}

// CanSend reports whether a request may be sent now.
func (p *Pacer) CanSend(now time.Time) bool {
	return !now.Before(p.coldUntil) || p.interval > 0 && !now.Before(p.nextSend)
}

// TryAcquire reports whether a request may be sent now, and records it as sent if so.
func (p *Pacer) TryAcquire(now time.Time) bool {
	if !p.CanSend(now) {
		return false
	}
	p.nextSend = now.Add(p.interval)
	return true
}

// NextSendTime returns the earliest time at which a request may be sent.
func (p *Pacer) NextSendTime() time.Time {
	if p.interval > 0 && p.nextSend.Before(p.coldUntil) {
		return p.nextSend
	}
	return p.coldUntil
}
