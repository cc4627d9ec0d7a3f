package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// maxArrivalsPerSecond returns the most arrivals in any second.
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

// Fleets of many sizes press against a cold upstream as hard as they can, each request
// up to 100 ms under way. The bound on arrivals in any second is kept, and the upstream
// gets about what it bears.
func TestArrivalsWithinLimit(t *testing.T) {
	for _, entries := range []int{1, 2, 3, 5, 8, 9, 20, 68, 380} {
		for _, limit := range []Limit{
			{Rate: 8.8, Most: 18.2},
			{Rate: 2, Most: 8},
			{Rate: 0.5, Most: 5.75},
			{Rate: 40, Most: 65},
			{Rate: 10, Most: 10},
			{Rate: 0, Most: 5},
		} {
			random := rand.New(rand.NewPCG(uint64(entries), 1))
			var names []string
			for i := range entries {
				names = append(names, fmt.Sprint("e", i))
			}
			colds := map[string]Cold{}
			assignOwners(colds, map[string]Limit{"u": limit}, names)
			const duration = 20 * time.Second
			var arrivals []time.Duration
			start := time.Unix(1000, 0)
			for range colds["u"].Owners {
				p := &Gate{}
				p.Cold(Cold{
					Until: start.Add(time.Hour),
					Pause: colds["u"].Pause,
				})
				for at := time.Duration(0); at < duration; at += time.Millisecond {
					if random.IntN(3) == 0 && p.Take(start.Add(at)) {
						arrivals = append(arrivals, at+time.Duration(random.Int64N(int64(100*time.Millisecond))))
					}
				}
			}
			if arrivalsPerSecond := maxArrivalsPerSecond(arrivals); float64(arrivalsPerSecond) > limit.Most {
				t.Errorf("%d entries, %+v: %d arrivals in a second", entries, limit, arrivalsPerSecond)
			}
			if got := float64(len(arrivals)) / duration.Seconds(); got < 0.6*min(limit.Rate, limit.Most/2) {
				t.Errorf("%d entries, %+v: only %.1f a second", entries, limit, got)
			}
		}
	}
}

// A data centre's upstreams are cold at once: all entries own about as many, so that
// each can send some of its requests there; and an entry that owns none sends nothing.
func TestOwnersAreBalanced(t *testing.T) {
	for _, entries := range []int{8, 68, 380} {
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprint("e", i))
		}
		limits := map[string]Limit{}
		for i := range 22 {
			limits[fmt.Sprint("u", i)] = Limit{Rate: 8.8, Most: 18.2}
		}
		colds := map[string]Cold{}
		assignOwners(colds, limits, names)
		ownedCount := map[string]int{}
		total := 0
		for _, c := range colds {
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
	p := Gate{}
	now := time.Unix(1000, 0)
	for range 2 {
		if !p.Take(now) {
			t.Error("a warm one is held back")
		}
	}
	p.Cold(Cold{Until: now.Add(time.Second)})
	if p.Take(now.Add(time.Second-1)) || !p.Take(now.Add(time.Second)) {
		t.Error("an entry that owns nothing sends, or not when it is over")
	}
}

// Over a change of the leader owners stay with what is cold, and nobody gets what may
// have owners that this leader knows nothing of. What is cold a second time has new ones.
func TestOwnersAreAssignedOnce(t *testing.T) {
	soleSince := time.Unix(1000, 0)
	limit := Limit{Rate: 8, Most: 17, For: 3 * time.Second}
	entries := []string{"a", "b", "c"}
	observe := func(instanceID string, since time.Duration) Seen {
		return Seen{
			Life:  instanceID,
			Until: soleSince.Add(since + limit.For),
			Limit: limit,
		}
	}
	now := soleSince.Add(time.Second)
	previous := map[string]Cold{
		"known": {
			Until:  soleSince.Add(2 * time.Second),
			Owners: []string{"x"},
			Pause:  time.Second,
		},
	}
	next, added := Next(previous, []Seen{observe("known", -time.Second), observe("before", -time.Millisecond), observe("new", 500*time.Millisecond)}, entries, soleSince, now)
	if added != 1 || !slices.Equal(next["known"].Owners, []string{"x"}) || len(next["before"].Owners) != 0 || len(next["new"].Owners) != 3 {
		t.Errorf("%d fresh: %+v", added, next)
	}
	again, added := Next(next, []Seen{observe("new", 600*time.Millisecond)}, entries, soleSince, now.Add(100*time.Millisecond))
	if added != 0 || !again["new"].Until.Equal(next["new"].Until) {
		t.Errorf("another word on the same: %+v", again["new"])
	}
	longer, added := Next(next, []Seen{observe("new", 2*time.Second)}, entries, soleSince, now.Add(time.Second))
	if added != 0 || !longer["new"].Until.After(next["new"].Until) || len(longer["new"].Owners) != 3 {
		t.Errorf("cold for longer: %+v", longer["new"])
	}
	later := soleSince.Add(time.Minute)
	second, added := Next(next, []Seen{observe("known", time.Minute)}, entries, soleSince, later)
	if added != 1 || len(second) != 1 || len(second["known"].Owners) != 3 {
		t.Errorf("cold a second time: %+v", second)
	}
	if none, _ := Next(nil, []Seen{observe("new", 500*time.Millisecond)}, nil, soleSince, now); len(none["new"].Owners) != 0 || none["new"].Until.IsZero() {
		t.Errorf("no entry is known: %+v", none)
	}
}
