package rollout

import "math"

// alternativeRates are the failure rates of the alternative hypotheses, as shares of the
// distance from the limit to certain failure.
var alternativeRates = []float64{0.03, 0.08, 0.2, 0.4, 0.7, 0.95}

// EValue returns the evidence (e-value) that runs fail more often than the limit allows: the
// likelihood of the counts under a mixture of higher failure rates, divided by the likelihood
// under the limit.
//
// As long as the true rate is at most the limit, this ratio is a nonnegative supermartingale
// that starts at 1. By Ville's inequality the probability that it ever reaches 1/a is at most
// a, however often it is evaluated. The ratio depends only on the counts, so the entries'
// counts can be added in any order.
func EValue(runs, failedRuns uint64, limit float64) float64 {
	if runs == 0 {
		return 1
	}
	limit = min(max(limit, minLimit), 1-minLimit)
	good := float64(runs - min(failedRuns, runs))
	sum := 0.0
	for _, a := range alternativeRates {
		p := limit + a*(1-limit)
		logRatio := float64(failedRuns)*math.Log(p/limit) + good*math.Log((1-p)/(1-limit))
		sum += math.Exp(min(logRatio, maxLogRatio))
	}
	return sum / float64(len(alternativeRates))
}

const (
	minLimit    = 1e-4
	maxLogRatio = 600 // keeps the exponential finite
)

// upperConfidenceBound returns a rate that the true rate rarely exceeds: the upper end of
// Wilson's interval at one standard error.
func upperConfidenceBound(runs, failedRuns uint64) float64 {
	if runs == 0 {
		return 0
	}
	n := float64(runs)
	p := float64(min(failedRuns, runs)) / n
	const z = 1.0
	centre := p + z*z/(2*n)
	spread := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return min(1, (centre+spread)/(1+z*z/n))
}
