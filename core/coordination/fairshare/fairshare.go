// Package fairshare divides a capacity among organisations by max-min fairness: nobody gets more
// than it wants, and what is left of an equal part goes to those who want more. It has no clock
// and no I/O.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the decisions.
const (
	// lowerRankFraction is the fraction of the capacity that is left to the less urgent ranks if
	// they want it, so that an urgent organisation can't starve them.
	lowerRankFraction = 0.1
	// overShareFactor is how many times its share an organisation must want before a request is
	// refused. Counts of few requests vary by less.
	overShareFactor = 1.5
)

// Demand is what one organisation holds and wants of a capacity.
type Demand struct {
	Organisation string
	Held         float64 // requests that upstreams have
	Wanted       float64 // requests held and waiting
	Rank         int     // 0 is satisfied first
	Weight       float64 // shares of one rank are proportional to it; 0 means 1
}

func (d Demand) weight() float64 {
	if d.Weight <= 0 {
		return 1
	}
	return d.Weight
}

// Shares returns each organisation's share of the capacity.
func Shares(capacity float64, demands []Demand) map[string]float64 {
	a := Allocate(capacity, demands)
	shares := make(map[string]float64, len(demands))
	for _, d := range demands {
		shares[d.Organisation] = a.Share(d.Organisation)
	}
	return shares
}

// Allocation is the division of a capacity at one time. It is immutable.
type Allocation struct {
	capacity       float64
	wanted         float64
	byOrganisation map[string]part
}

// part is the state of one organisation.
type part struct {
	Demand
	share    float64 // at most what it wants
	entitled float64 // what it would get at least if it wanted more
}

// Allocate divides the capacity among the demands, which have distinct organisations.
func Allocate(capacity float64, demands []Demand) *Allocation {
	a := &Allocation{
		capacity:       max(capacity, 0),
		byOrganisation: make(map[string]part, len(demands)),
	}
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(x, y Demand) int {
		return cmp.Or(cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.Wanted/x.weight(), y.Wanted/y.weight()), cmp.Compare(x.Organisation, y.Organisation))
	})
	for _, d := range sorted {
		a.wanted += d.Wanted
	}
	left, lower := a.capacity, a.wanted
	for len(sorted) > 0 {
		n := 1
		for n < len(sorted) && sorted[n].Rank == sorted[0].Rank {
			n++
		}
		for _, d := range sorted[:n] {
			lower -= d.Wanted
		}
		if n == len(sorted) {
			lower = 0 // without a rounding error
		}
		left -= a.fill(left-min(lower, lowerRankFraction*left), sorted[:n])
		sorted = sorted[n:]
	}
	return a
}

// fill divides the capacity among the demands of one rank, those that want least for their
// weight first, and returns how much of it they get.
func (a *Allocation) fill(capacity float64, demands []Demand) (used float64) {
	weights := 0.0
	for _, d := range demands {
		weights += d.weight()
	}
	left, level := capacity, 0.0
	parts := make([]part, 0, len(demands))
	for _, d := range demands {
		level = max(left, 0) / weights
		p := part{
			Demand: d,
			share:  min(d.Wanted, level*d.weight()),
		}
		parts = append(parts, p)
		left -= p.share
		weights -= d.weight()
		used += p.share
	}
	// level is now that of the organisation that wants most. All others would get as much for
	// their weight if they wanted it, and so would one that is satisfied.
	for _, p := range parts {
		p.entitled = max(p.share, min(level, capacity)*p.weight())
		a.byOrganisation[p.Organisation] = p
	}
	return used
}

// Short reports whether the organisations want more than the capacity.
func (a *Allocation) Short() bool { return a.wanted > a.capacity }

// Share returns the organisation's share, 0 for one that wants nothing.
func (a *Allocation) Share(organisation string) float64 { return a.byOrganisation[organisation].share }

// Held returns how many requests of the organisation upstreams have.
func (a *Allocation) Held(organisation string) float64 { return a.byOrganisation[organisation].Held }

// Wanted returns how many requests the organisation holds and awaits.
func (a *Allocation) Wanted(organisation string) float64 {
	return a.byOrganisation[organisation].Wanted
}

// Largest returns the n organisations that want most.
func (a *Allocation) Largest(n int) []string {
	organisations := slices.Collect(maps.Keys(a.byOrganisation))
	slices.SortFunc(organisations, func(x, y string) int { return cmp.Or(cmp.Compare(a.Wanted(y), a.Wanted(x)), cmp.Compare(x, y)) })
	return organisations[:min(n, len(organisations))]
}

// Usage returns what the organisation holds, as a multiple of what it may hold. It is 0 for
// organisations without demand. Among waiting requests, those of the organisation with the
// lowest usage go first.
func (a *Allocation) Usage(organisation string) float64 {
	p, ok := a.byOrganisation[organisation]
	if !ok || p.Held <= 0 {
		return 0
	}
	if p.entitled <= 0 {
		return math.Inf(1)
	}
	return p.Held / p.entitled
}

// IsOverShare reports whether the organisation holds far more than its share of a capacity that is
// short. Without capacity, or if no other organisation wants any of it, nobody does.
func (a *Allocation) IsOverShare(organisation string) bool {
	isShared := a.wanted-a.Wanted(organisation) >= 1
	return a.capacity > 0 && a.Short() && isShared && a.Usage(organisation) > overShareFactor
}

// Excess returns how long the organisation's requests beyond its share take to be begun at its
// share, if the whole capacity begins beginRate requests a second. It is 0 if the organisation
// is not far over its share, if there is room for all, while the rate is not known, and without
// capacity, of which nobody has more than its part.
func (a *Allocation) Excess(organisation string, beginRate float64) time.Duration {
	p := a.byOrganisation[organisation]
	if !a.Short() || a.capacity <= 0 || beginRate <= 0 || p.Wanted <= overShareFactor*p.entitled || p.Wanted-p.share < 1 {
		return 0 // less than one request beyond the share is a rounding error of the sums
	}
	if p.share <= 0 {
		return math.MaxInt64
	}
	seconds := (p.Wanted - p.share) / (beginRate * p.share / a.capacity)
	if seconds >= time.Duration(math.MaxInt64).Seconds() {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}
