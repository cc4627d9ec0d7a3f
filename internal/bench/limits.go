package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/limits"
	"persimmoncross/core/coordination/routing"
)

// The fairness experiment: a small organisation beside one that sends ten
// times what its part of the engines can serve.
const (
	limitsEngines = 6
	limitsEntries = 4
	limitsLength  = 60 * time.Second
	smallRate     = 8.0 // requests a second
	bigRate       = 10 * 30.0
)

type limitsCase struct{}

func (limitsCase) Name() string { return "limits" }

func (limitsCase) Run(seed uint64, scale int) Result {
	small := load{
		rate:     smallRate,
		length:   limitsLength * time.Duration(scale),
		entries:  limitsEntries,
		long:     0.3,
		hot:      0.9,
		popular:  20,
		promptKB: 8,
	}
	big := small
	big.rate = bigRate
	quiet := owned(small.jobs(seed), "small")
	flood := append(slices.Clone(quiet), owned(big.jobs(seed+1), "big")...)
	slices.SortStableFunc(flood, func(a, b job) int { return int(a.at - b.at) })
	moderate := big
	moderate.rate = bigRate / 10
	usual := append(slices.Clone(quiet), owned(moderate.jobs(seed+1), "big")...)
	table := Table{
		Title:   "small's time to the first token, ms",
		Columns: []string{"p50", "p95", "big served/s", "refused"},
	}
	var p95 []float64
	for _, w := range []struct {
		name string
		jobs []job
		fair bool
	}{
		{
			name: "big keeps to its part",
			jobs: usual,
			fair: true,
		},
		{
			name: "big at 10 times, fair",
			jobs: flood,
			fair: true,
		},
		{
			name: "big at 10 times, no limits",
			jobs: flood,
		},
	} {
		p := limitsPool(seed, w.fair)
		p.run(w.jobs)
		times := p.byOwner["small"]
		p95 = append(p95, quantile(times, 0.95))
		table.Rows = append(table.Rows, Row{
			Name:   w.name,
			Values: []float64{quantile(times, 0.5), quantile(times, 0.95), float64(len(p.byOwner["big"])) / small.length.Seconds(), float64(p.refused)},
		})
	}
	return Result{
		Case:   "limits",
		Text:   fmt.Sprintf("%d engines of 16 slots; small sends %g requests a second, big %g instead of %g", limitsEngines, smallRate, bigRate, bigRate/10),
		Tables: []Table{table},
		Bounds: []Bound{
			{
				Name:  "small's p95, big at 10 times against big in its part",
				Value: p95[1] / p95[0],
				Most:  limitsMost,
				Goal:  1.1,
			},
			{
				Name:  "small's p95, fair against no limits",
				Value: p95[1] / p95[2],
				Most:  0.2,
			},
		},
	}
}

// limitsMost bounds how far a flood may move a small organisation's p95.
const limitsMost = 1.1

func limitsPool(seed uint64, fair bool) *pool {
	p := newPool(limitsEngines, limitsEntries, time.Second, func(entry int) persimmoncross.Picker {
		return &routing.ExpectedLatency{
			Random: rand.New(rand.NewPCG(seed, uint64(entry))),
		}
	})
	if !fair {
		return p
	}
	accounts := make([]*limits.Limiter, limitsEntries)
	for i := range accounts {
		accounts[i] = &limits.Limiter{
			Clock:       p.clock,
			LiveEntries: func() int { return limitsEntries },
		}
	}
	shareRunning(p, accounts)
	p.admit = func(p *pool, j job) (func(), bool) {
		leave, refusal := accounts[j.entry].Admit(j.owner, limits.Quota{
			Rate:        1e6,
			Burst:       1e6,
			Concurrency: 1e6,
			PoolName:    "m",
			Capacity:    p.tables[j.entry].Capacity([]persimmoncross.ModelVersion{benchVersion}),
		})
		return leave, refusal == nil
	}
	return p
}

// shareRunning lets each entry know, once a second, what the others run.
func shareRunning(p *pool, accounts []*limits.Limiter) {
	var tell func()
	tell = func() {
		for i, a := range accounts {
			others := map[string]map[string]int{"m": {}}
			for k, o := range accounts {
				if k == i {
					continue
				}
				for owner, n := range o.LocalUsage()["m"] {
					others["m"][owner] += n
				}
			}
			a.SetPeerUsage(others)
		}
		if p.clock.now.Sub(p.start) < limitsLength {
			p.post(time.Second, tell)
		}
	}
	p.post(0, tell)
}

func owned(jobs []job, owner string) []job {
	for i := range jobs {
		jobs[i].owner = owner
	}
	return jobs
}
