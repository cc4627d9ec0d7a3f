// Package slowstart decides which entries send how much to upstreams that are cold: a
// cold upstream bears few requests a second from all entries together, and ends above
// that. It has no I/O and no clock.
//
// No entry can ask another before each request. So each cold upstream has some owners
// among the entries, each of which sends at a pace of its own; the others send nothing.
// However the owners' requests fall together, they stay within the bound.
package slowstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdLimit is what a cold upstream bears.
type ColdLimit struct {
	Rate         float64       // requests a second, on average
	MaxPerSecond float64       // arrivals in any second, from all entries
	Duration     time.Duration // from a start
}

// arrivalWindow is the second in which arrivals are counted, and what delays on the way may
// bring together.
const arrivalWindow = 1100 * time.Millisecond

// Allocate returns how many of the entries are owners, and the pause that each of them
// keeps between two requests. In a window each owner sends one request more than pauses
// fit into it, so many owners leave little room for each; few can't use what it bears.
func (l ColdLimit) Allocate(entries int) (owners int, interval time.Duration) {
	rate := max(l.Rate, 0.1)
	owners = min(entries, int(l.MaxPerSecond-rate*arrivalWindow.Seconds()))
	if owners < 1 {
		// Even one owner at the full rate may go over the bound.
		owners = min(entries, 1)
		rate = max(l.MaxPerSecond-1, 0.1) / arrivalWindow.Seconds()
	}
	return owners, time.Duration(float64(owners) / rate * float64(time.Second))
}

// ColdUpstream is one life of an upstream that is cold.
type ColdUpstream struct {
	ColdUntil time.Time
	Owners    []string // entries
	Interval  time.Duration
	// Weight is for how many entries each owner sends: prompts that have their home
	// there come to it from the owners alone.
	Weight float64
}

// ColdObservation is a life that is cold as far as the list, or the end of an evacuation, tells.
type ColdObservation struct {
	InstanceID string
	ColdUntil  time.Time
	Limit      ColdLimit
}

// untilTolerance is by how much two words on when an upstream is warm may differ without news.
const untilTolerance = 300 * time.Millisecond

// Update returns the lives that are cold now, by those that were and what is seen, and how
// many of them are new. Owners are given once, to lives that became cold since this
// leader alone tells of them: those of before may have other owners, whom the leader
// before told of it.
func Update(previous map[string]ColdUpstream, observed []ColdObservation, entries []string, soleSince, now time.Time) (next map[string]ColdUpstream, added int) {
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
		if known && o.ColdUntil.Sub(c.ColdUntil).Abs() <= untilTolerance {
			continue
		}
		c.ColdUntil = o.ColdUntil
		next[o.InstanceID] = c
		if !known && o.ColdUntil.Add(-o.Limit.Duration).After(soleSince) {
			newLimits[o.InstanceID] = o.Limit
		}
	}
	assignOwners(next, newLimits, entries)
	return next, len(newLimits)
}

// assignOwners gives owners to the lives that have none yet, so that the entries own about as
// many each.
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

// Pacer is what one entry knows of one life. The zero value is of a warm one.
type Pacer struct {
	coldUntil time.Time
	interval  time.Duration // 0: this entry is no owner
	weight    float64
	nextSend  time.Time
}

// SetCold takes that the life is cold until then. The pause that this entry keeps between
// requests is 0 if it is no owner.
func (p *Pacer) SetCold(c ColdUpstream) {
	p.coldUntil = c.ColdUntil
	p.interval = c.Interval
	p.weight = c.Weight
}

// Weight returns for how many entries this one sends to the life, which it may.
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

// TryAcquire reports the same, and notes that a request is sent if so.
func (p *Pacer) TryAcquire(now time.Time) bool {
	if !p.CanSend(now) {
		return false
	}
	p.nextSend = now.Add(p.interval)
	return true
}

// NextSendTime returns when a request may be sent.
func (p *Pacer) NextSendTime() time.Time {
	if p.interval > 0 && p.nextSend.Before(p.coldUntil) {
		return p.nextSend
	}
	return p.coldUntil
}
