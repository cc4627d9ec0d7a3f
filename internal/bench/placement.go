package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/routing"
)

// The placement experiment's fleet.
const (
	placementEngines = 12
	placementEntries = 4
	placementWarmUp  = 40 * time.Second // caches fill
	placementLength  = 100 * time.Second
)

type placementCase struct{}

func (placementCase) Name() string { return "placement" }

// ways are the placers compared; the project's own is the first.
var ways = []struct {
	name  string
	place func(r *rand.Rand) persimmoncross.Picker
}{
	{
		name: "expected",
		place: func(r *rand.Rand) persimmoncross.Picker {
			return &routing.ExpectedLatency{
				Random: r,
			}
		},
	},
	{
		name: "random",
		place: func(r *rand.Rand) persimmoncross.Picker {
			return &routing.Random{
				Random: r,
			}
		},
	},
	{
		name:  "round robin",
		place: func(*rand.Rand) persimmoncross.Picker { return &routing.RoundRobin{} },
	},
	{
		name:  "least outstanding",
		place: func(*rand.Rand) persimmoncross.Picker { return routing.LeastOutstanding{} },
	},
	{
		name: "two choices",
		place: func(r *rand.Rand) persimmoncross.Picker {
			return &routing.PowerOfTwoChoices{
				Random: r,
			}
		},
	},
}

// situation is one load on one state of the fleet.
type situation struct {
	name string
	load load
	lag  time.Duration
	slow float64 // factor of the first engine; 0 is 1
	most float64 // bound of the ratio to the best baseline
	goal float64
}

func placementSituations() []situation {
	mixed := load{
		rate:     75,
		length:   placementLength,
		entries:  placementEntries,
		long:     0.3,
		hot:      0.9,
		popular:  200,
		promptKB: 16,
	}
	with := func(change func(*load)) load {
		l := mixed
		change(&l)
		return l
	}
	return []situation{
		{
			name: "mixed",
			load: mixed,
			lag:  time.Second,
			most: 0.92,
			goal: 0.7,
		},
		{
			name: "hot prefixes",
			load: with(func(l *load) { l.hot = 1; l.popular = 8 }),
			lag:  time.Second,
			most: 1.05,
		},
		{
			name: "one slow engine",
			load: mixed,
			lag:  time.Second,
			slow: 4,
			most: 1.05,
		},
		{
			name: "reports 3 s late",
			load: mixed,
			lag:  3 * time.Second,
			most: 1.05,
		},
		{
			name: "reports 5 s late",
			load: mixed,
			lag:  5 * time.Second,
			most: 1.05,
		},
		{
			name: "short only",
			load: with(func(l *load) { l.long = 0; l.rate = 220 }),
			lag:  time.Second,
			most: 1.05,
		},
		{
			name: "pool runs out",
			load: with(func(l *load) { l.peak = 2 }),
			lag:  time.Second,
			most: 1.05,
		},
	}
}

func (placementCase) Run(seed uint64, scale int) Result {
	result := Result{
		Case: "placement",
		Text: fmt.Sprintf("%d engines of 16 slots behind %d entries with tables of their own; time to the first token", placementEngines, placementEntries),
	}
	p95 := Table{
		Title: "p95, ms",
	}
	p50 := Table{
		Title: "p50, ms",
	}
	for _, w := range ways {
		p95.Columns = append(p95.Columns, w.name)
		p50.Columns = append(p50.Columns, w.name)
	}
	p95.Columns = append(p95.Columns, "ratio to best other")
	for _, s := range placementSituations() {
		s.load.length *= time.Duration(scale)
		jobs := s.load.jobs(seed)
		high := Row{
			Name: s.name,
		}
		middle := Row{
			Name: s.name,
		}
		best := 0.0
		for i, w := range ways {
			times := s.times(w.place, jobs, seed)
			high.Values = append(high.Values, quantile(times, 0.95))
			middle.Values = append(middle.Values, quantile(times, 0.5))
			if i == 1 || i > 1 && high.Values[i] < best {
				best = high.Values[i]
			}
		}
		ratio := high.Values[0] / best
		high.Values = append(high.Values, ratio)
		p95.Rows = append(p95.Rows, high)
		p50.Rows = append(p50.Rows, middle)
		result.Bounds = append(result.Bounds, Bound{
			Name:  "p95 to first token, " + s.name + ", ratio to best baseline",
			Value: ratio,
			Most:  s.most,
			Goal:  s.goal,
		})
	}
	result.Tables = []Table{p95, p50}
	return result
}

func (s situation) times(place func(*rand.Rand) persimmoncross.Picker, jobs []job, seed uint64) []time.Duration {
	p := newPool(placementEngines, placementEntries, s.lag, func(entry int) persimmoncross.Picker {
		return place(rand.New(rand.NewPCG(seed, uint64(entry))))
	})
	p.warm = placementWarmUp
	if s.slow > 0 {
		p.engines[0].slow = s.slow
	}
	p.run(jobs)
	return p.first
}
