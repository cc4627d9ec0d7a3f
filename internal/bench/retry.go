package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmoncross/core/coordination/retry"
)

// The retry experiment: a part of the attempts fails for a while.
const (
	retryRequests = 20_000
	retryAttempts = 3
	retryShare    = 0.1
	retryFloor    = 10
	retryEvery    = 5 * time.Millisecond // between two requests
)

type retryCase struct{}

func (retryCase) Name() string { return "retry" }

func (retryCase) Run(seed uint64, scale int) Result {
	table := Table{
		Title:   "share of attempts that fail",
		Columns: []string{"attempts/request", "answered", "attempts/request, no budget", "answered, no budget"},
	}
	result := Result{
		Case: "retry",
		Text: fmt.Sprintf("%d requests of at most %d attempts; a budget of %g retries a request", retryRequests*scale, retryAttempts, retryShare),
	}
	worst := 0.0
	for _, failing := range []float64{0.01, 0.05, 0.2, 0.5, 1} {
		attempts, answered := retryTrial(seed, retryRequests*scale, failing, true)
		freeAttempts, freeAnswered := retryTrial(seed, retryRequests*scale, failing, false)
		worst = max(worst, attempts)
		table.Rows = append(table.Rows, Row{
			Name:   fmt.Sprintf("%g", failing),
			Values: []float64{attempts, answered, freeAttempts, freeAnswered},
		})
	}
	result.Tables = []Table{table}
	result.Bounds = []Bound{
		{
			Name:  "attempts a request, at worst",
			Value: worst,
			Most:  1.101,
			Goal:  1.1,
		},
	}
	return result
}

func retryTrial(seed uint64, requests int, failing float64, bounded bool) (attempts, answered float64) {
	r := rand.New(rand.NewPCG(seed, 23))
	now := time.Unix(0, 0)
	budget := retry.Budget{
		Window:       10 * time.Second,
		MinAllowance: retryFloor,
	}
	for range requests {
		now = now.Add(retryEvery)
		budget.RecordRequest(retryShare, now)
		for try := range retryAttempts {
			if try > 0 && bounded && !budget.TryRetry(now) {
				break
			}
			attempts++
			if r.Float64() >= failing {
				answered++
				break
			}
		}
	}
	return attempts / float64(requests), answered / float64(requests)
}
