package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// busiest returns the most arrivals in any second.
func busiest(arrivals []time.Duration) int {
	slices.Sort(arrivals)
	most, from := 0, 0
	for i, at := range arrivals {
		for at-arrivals[from] >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Fleets of many sizes press against a cold upstream as hard as they can, each request
// up to 100 ms under way. The bound on arrivals in any second is kept, and the upstream
// gets about what it bears.
func TestBoundIsKept(t *testing.T) {
	for _, entries := range []int{1, 2, 3, 5, 8, 9, 20, 68, 380} {
		for _, l := range []Limit{
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
			assign(colds, map[string]Limit{"u": l}, names)
			const length = 20 * time.Second
			var arrivals []time.Duration
			zero := time.Unix(1000, 0)
			for range colds["u"].Owners {
				g := &Gate{}
				g.Cold(Cold{
					Until: zero.Add(time.Hour),
					Pause: colds["u"].Pause,
				})
				for at := time.Duration(0); at < length; at += time.Millisecond {
					if random.IntN(3) == 0 && g.Take(zero.Add(at)) {
						arrivals = append(arrivals, at+time.Duration(random.Int64N(int64(100*time.Millisecond))))
					}
				}
			}
			if most := busiest(arrivals); float64(most) > l.Most {
				t.Errorf("%d entries, %+v: %d arrivals in a second", entries, l, most)
			}
			if got := float64(len(arrivals)) / length.Seconds(); got < 0.6*min(l.Rate, l.Most/2) {
				t.Errorf("%d entries, %+v: only %.1f a second", entries, l, got)
			}
		}
	}
}

// A data centre's upstreams are cold at once: all entries own about as many, so that
// each can send some of its requests there; and an entry that owns none sends nothing.
func TestOwnersAreSpread(t *testing.T) {
	for _, entries := range []int{8, 68, 380} {
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprint("e", i))
		}
		fresh := map[string]Limit{}
		for i := range 22 {
			fresh[fmt.Sprint("u", i)] = Limit{Rate: 8.8, Most: 18.2}
		}
		colds := map[string]Cold{}
		assign(colds, fresh, names)
		owned := map[string]int{}
		total := 0
		for _, c := range colds {
			for _, e := range c.Owners {
				owned[e]++
				total++
			}
		}
		for _, e := range names {
			if low := total / entries; owned[e] < low || owned[e] > low+1 {
				t.Errorf("%d entries: %s owns %d of %d", entries, e, owned[e], total)
			}
		}
	}
	g := Gate{}
	now := time.Unix(1000, 0)
	for range 2 {
		if !g.Take(now) {
			t.Error("a warm one is held back")
		}
	}
	g.Cold(Cold{Until: now.Add(time.Second)})
	if g.Take(now.Add(time.Second-1)) || !g.Take(now.Add(time.Second)) {
		t.Error("an entry that owns nothing sends, or not when it is over")
	}
}

// Over a change of the leader owners stay with what is cold, and nobody gets what may
// have owners that this leader knows nothing of. What is cold a second time has new ones.
func TestOwnersAreGivenOnce(t *testing.T) {
	led := time.Unix(1000, 0)
	limit := Limit{Rate: 8, Most: 17, For: 3 * time.Second}
	entries := []string{"a", "b", "c"}
	seen := func(life string, since time.Duration) Seen {
		return Seen{
			Life:  life,
			Until: led.Add(since + limit.For),
			Limit: limit,
		}
	}
	now := led.Add(time.Second)
	former := map[string]Cold{
		"known": {
			Until:  led.Add(2 * time.Second),
			Owners: []string{"x"},
			Pause:  time.Second,
		},
	}
	next, fresh := Next(former, []Seen{seen("known", -time.Second), seen("before", -time.Millisecond), seen("new", 500*time.Millisecond)}, entries, led, now)
	if fresh != 1 || !slices.Equal(next["known"].Owners, []string{"x"}) || len(next["before"].Owners) != 0 || len(next["new"].Owners) != 3 {
		t.Errorf("%d fresh: %+v", fresh, next)
	}
	again, fresh := Next(next, []Seen{seen("new", 600*time.Millisecond)}, entries, led, now.Add(100*time.Millisecond))
	if fresh != 0 || !again["new"].Until.Equal(next["new"].Until) {
		t.Errorf("another word on the same: %+v", again["new"])
	}
	longer, fresh := Next(next, []Seen{seen("new", 2*time.Second)}, entries, led, now.Add(time.Second))
	if fresh != 0 || !longer["new"].Until.After(next["new"].Until) || len(longer["new"].Owners) != 3 {
		t.Errorf("cold for longer: %+v", longer["new"])
	}
	later := led.Add(time.Minute)
	second, fresh := Next(next, []Seen{seen("known", time.Minute)}, entries, led, later)
	if fresh != 1 || len(second) != 1 || len(second["known"].Owners) != 3 {
		t.Errorf("cold a second time: %+v", second)
	}
	if none, _ := Next(nil, []Seen{seen("new", 500*time.Millisecond)}, nil, led, now); len(none["new"].Owners) != 0 || none["new"].Until.IsZero() {
		t.Errorf("no entry is known: %+v", none)
	}
}
