package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"persimmoncross/core/coordination/retry"
)

// The experiment on refused callers: outages of very different lengths, in which
// all are refused; each caller comes back once, when it was told to. After an
// outage a pool takes what comes up to its rate, and a little more.
const (
	returnOutages = 400
	returnRate    = 120                    // callers a second
	returnPool    = 180                    // that the pool takes a second
	returnQueue   = 250 * time.Millisecond // that a caller may wait at the pool
	returnRanks   = 3
	// returnTake is how long the pool takes for one caller that comes back, beside
	// the new ones.
	returnTake = time.Second / (returnPool - returnRate)
)

type returnCase struct{}

func (returnCase) Name() string { return "return" }

func (returnCase) Run(seed uint64, scale int) Result {
	ways := []struct {
		name  string
		after func(c retry.RetryAfter, r *rand.Rand) time.Duration
	}{
		{
			name:  "estimated",
			after: func(c retry.RetryAfter, r *rand.Rand) time.Duration { return c.Delay(r.Float64()) },
		},
		{
			name:  "0.3 s",
			after: func(retry.RetryAfter, *rand.Rand) time.Duration { return 300 * time.Millisecond },
		},
		{
			name:  "0.7 s",
			after: func(retry.RetryAfter, *rand.Rand) time.Duration { return 700 * time.Millisecond },
		},
		{
			name:  "2 s",
			after: func(retry.RetryAfter, *rand.Rand) time.Duration { return 2 * time.Second },
		},
	}
	table := Table{
		Title:   "of the refused callers, share that is not served when it comes back",
		Columns: []string{"all", "most urgent", "least urgent", "outages up to 1 s", "longer", "served after its end, s"},
	}
	best := math.Inf(1)
	for i, w := range ways {
		row := Row{
			Name:   w.name,
			Values: returnTrial(seed, returnOutages*scale, w.after),
		}
		table.Rows = append(table.Rows, row)
		if i > 0 {
			best = min(best, row.Values[0])
		}
	}
	return Result{
		Case:   "return",
		Text:   fmt.Sprintf("%d outages of 0.3 to 10 s, %d callers a second, one return each", returnOutages*scale, returnRate),
		Tables: []Table{table},
		Bounds: []Bound{
			{
				Name:  "not served, ratio to the best fixed time",
				Value: table.Rows[0].Values[0] / best,
				Most:  0.95,
				Goal:  0.8,
			},
		},
	}
}

// returning is a caller that comes back.
type returning struct {
	at   time.Duration // since the outage began
	rank int
}

// returnTrial returns the shares that the table shows.
func returnTrial(seed uint64, outages int, after func(retry.RetryAfter, *rand.Rand) time.Duration) []float64 {
	r := rand.New(rand.NewPCG(seed, 41))
	var lost, all [5]float64
	late := 0.0 // seconds from the outage's end until those that are served are
	for range outages {
		length := time.Duration(0.3 * math.Pow(10/0.3, r.Float64()) * float64(time.Second)) // as many short as long ones
		var back []returning
		for at := 0.0; at < length.Seconds(); at += r.ExpFloat64() / returnRate {
			c := retry.RetryAfter{
				OutageAge:      time.Duration(at * float64(time.Second)),
				UntilDeadline:  []time.Duration{3 * time.Second, 5 * time.Second, 25 * time.Second}[r.IntN(3)],
				Priority:       r.IntN(returnRanks),
				PriorityLevels: returnRanks,
			}
			back = append(back, returning{
				at:   c.OutageAge + after(c, r),
				rank: c.Priority,
			})
		}
		slices.SortFunc(back, func(a, b returning) int { return cmp.Compare(a.at, b.at) })
		free := length // when the pool has taken what came before
		span := 3
		if length > time.Second {
			span = 4
		}
		for _, c := range back {
			served := false
			if c.at >= length {
				free = max(free, c.at)
				if served = free-c.at <= returnQueue; served {
					// New callers come as before and take their part of the pool.
					free += returnTake
				}
			}
			if served {
				late += (free - length).Seconds()
			}
			for _, k := range []int{0, []int{1, -1, 2}[c.rank], span} {
				if k < 0 {
					continue
				}
				all[k]++
				if !served {
					lost[k]++
				}
			}
		}
	}
	shares := make([]float64, len(all))
	for k := range all {
		shares[k] = lost[k] / max(all[k], 1)
	}
	return append(shares, late/max(all[0]-lost[0], 1))
}
