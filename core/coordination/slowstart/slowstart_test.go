package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// maxArrivalsPerSecond returns the highest number of arrivals in any second.
func maxArrivalsPerSecond(arrivals []time.Duration) int {
	slices.Sort(arrivals)
	highest, first := 0, 0
	for i, at := range arrivals {
		for at-arrivals[first] >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Fleets of various sizes send to a cold upstream whenever they may, with delays of up to
// 100 ms. The arrivals in any second stay within MaxPerSecond, and the upstream receives
// most of what its limit allows.
func TestArrivalsWithinLimit(t *testing.T) {
	for _, entries := range []int{1, 2, 3, 5, 8, 9, 20, 68, 380} {
		for _, limit := range []ColdLimit{
			{Rate: 8.8, MaxPerSecond: 18.2},
			{Rate: 2, MaxPerSecond: 8},
			{Rate: 0.5, MaxPerSecond: 5.75},
			{Rate: 40, MaxPerSecond: 65},
			{Rate: 10, MaxPerSecond: 10},
			{Rate: 0, MaxPerSecond: 5},
		} {
			random := rand.New(rand.NewPCG(uint64(entries), 1))
			var names []string
			for i := range entries {
				names = append(names, fmt.Sprint("e", i))
			}
			upstreams := map[string]ColdUpstream{}
			assignOwners(upstreams, map[string]ColdLimit{"u": limit}, names)
			const duration = 20 * time.Second
			var arrivals []time.Duration
			start := time.Unix(1000, 0)
			for range upstreams["u"].Owners {
				p := &Pacer{}
				p.SetCold(ColdUpstream{
					ColdUntil: start.Add(time.Hour),
					Interval:  upstreams["u"].Interval,
				})
				for at := time.Duration(0); at < duration; at += time.Millisecond {
					if random.IntN(3) == 0 && p.TryAcquire(start.Add(at)) {
						arrivals = append(arrivals, at+time.Duration(random.Int64N(int64(100*time.Millisecond))))
					}
				}
			}
			if arrivalsPerSecond := maxArrivalsPerSecond(arrivals); float64(arrivalsPerSecond) > limit.MaxPerSecond {
				t.Errorf("%d entries, %+v: %d arrivals in a second", entries, limit, arrivalsPerSecond)
			}
			if got := float64(len(arrivals)) / duration.Seconds(); got < 0.6*min(limit.Rate, limit.MaxPerSecond/2) {
				t.Errorf("%d entries, %+v: only %.1f requests per second", entries, limit, got)
			}
		}
	}
}

// If all upstreams of a data centre are cold at once, each entry owns about the same number
// of them, so that it can send some of its requests there. An entry that is not an owner
// sends nothing.
func TestOwnersAreBalanced(t *testing.T) {
	for _, entries := range []int{8, 68, 380} {
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprint("e", i))
		}
		limits := map[string]ColdLimit{}
		for i := range 22 {
			limits[fmt.Sprint("u", i)] = ColdLimit{Rate: 8.8, MaxPerSecond: 18.2}
		}
		upstreams := map[string]ColdUpstream{}
		assignOwners(upstreams, limits, names)
		ownedCount := map[string]int{}
		total := 0
		for _, c := range upstreams {
			for _, e := range c.Owners {
				ownedCount[e]++
				total++
			}
		}
		for _, e := range names {
			if mean := total / entries; ownedCount[e] < mean || ownedCount[e] > mean+1 {
				t.Errorf("%d entries: %s owns %d of %d", entries, e, ownedCount[e], total)
			}
		}
	}
	p := Pacer{}
	now := time.Unix(1000, 0)
	for range 2 {
		if !p.TryAcquire(now) {
			t.Error("requests to a warm instance are limited")
		}
	}
	p.SetCold(ColdUpstream{ColdUntil: now.Add(time.Second)})
	if p.TryAcquire(now.Add(time.Second-1)) || !p.TryAcquire(now.Add(time.Second)) {
		t.Error("an entry that is not an owner may send to a cold instance, or may not when it is warm")
	}
}

// Cold instances keep their owners when the leader changes, and instances that may have
// owners which this leader has no record of get none. An instance that is cold for a second
// time gets new owners.
func TestOwnersAreAssignedOnce(t *testing.T) {
	soleSince := time.Unix(1000, 0)
	limit := ColdLimit{Rate: 8, MaxPerSecond: 17, Duration: 3 * time.Second}
	entries := []string{"a", "b", "c"}
	observe := func(instanceID string, since time.Duration) ColdObservation {
		return ColdObservation{
			InstanceID: instanceID,
			ColdUntil:  soleSince.Add(since + limit.Duration),
			Limit:      limit,
		}
	}
	now := soleSince.Add(time.Second)
	previous := map[string]ColdUpstream{
		"known": {
			ColdUntil: soleSince.Add(2 * time.Second),
			Owners:    []string{"x"},
			Interval:  time.Second,
		},
	}
	next, added := Update(previous, []ColdObservation{observe("known", -time.Second), observe("before", -time.Millisecond), observe("new", 500*time.Millisecond)}, entries, soleSince, now)
	if added != 1 || !slices.Equal(next["known"].Owners, []string{"x"}) || len(next["before"].Owners) != 0 || len(next["new"].Owners) != 3 {
		t.Errorf("%d instances added, want 1: %+v", added, next)
	}
	again, added := Update(next, []ColdObservation{observe("new", 600*time.Millisecond)}, entries, soleSince, now.Add(100*time.Millisecond))
	if added != 0 || !again["new"].ColdUntil.Equal(next["new"].ColdUntil) {
		t.Errorf("after an observation within the tolerance: %+v, want no change", again["new"])
	}
	longer, added := Update(next, []ColdObservation{observe("new", 2*time.Second)}, entries, soleSince, now.Add(time.Second))
	if added != 0 || !longer["new"].ColdUntil.After(next["new"].ColdUntil) || len(longer["new"].Owners) != 3 {
		t.Errorf("cold for longer: %+v, want a later time and the same owners", longer["new"])
	}
	later := soleSince.Add(time.Minute)
	second, added := Update(next, []ColdObservation{observe("known", time.Minute)}, entries, soleSince, later)
	if added != 1 || len(second) != 1 || len(second["known"].Owners) != 3 {
		t.Errorf("cold for a second time: %+v, want new owners", second)
	}
	if none, _ := Update(nil, []ColdObservation{observe("new", 500*time.Millisecond)}, nil, soleSince, now); len(none["new"].Owners) != 0 || none["new"].ColdUntil.IsZero() {
		t.Errorf("without entries: %+v, want a cold instance without owners", none)
	}
}
