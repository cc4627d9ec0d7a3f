package forecast

import "time"

// Parameters of the estimate of an answer's duration.
const (
	// favourableFactor and likelyFactor are multiples of the mean duration that few answers go
	// below, and few go beyond: callers expect the number of tokens within about a factor of two.
	favourableFactor = 0.5
	likelyFactor     = 1.5
	// minDurations is the number of answers below which nothing is estimated.
	minDurations = 10
	// durationWeight is the weight of one answer in the mean. The pace of upstreams changes within
	// seconds.
	durationWeight = 0.1
)

// DurationEstimator learns how long an answer takes from its head to its end, as time for each
// expected token. The zero value has no data.
type DurationEstimator struct {
	count    int
	perToken float64 // moving average, in seconds
}

// Record records an answer of which the caller expected the number of tokens.
func (e *DurationEstimator) Record(took time.Duration, expectedTokens int) {
	if expectedTokens <= 0 || took <= 0 {
		return
	}
	e.count++
	weight := max(durationWeight, 1/float64(e.count))
	e.perToken += weight * (took.Seconds()/float64(expectedTokens) - e.perToken)
}

// Favourable returns a time that nearly all such answers exceed. It returns 0 without enough data.
func (e *DurationEstimator) Favourable(expectedTokens int) time.Duration {
	return e.scaled(favourableFactor, expectedTokens)
}

// Likely returns a time within which most such answers end. It returns 0 without enough data.
func (e *DurationEstimator) Likely(expectedTokens int) time.Duration {
	return e.scaled(likelyFactor, expectedTokens)
}

func (e *DurationEstimator) scaled(factor float64, expectedTokens int) time.Duration {
	if e.count < minDurations {
		return 0
	}
	return time.Duration(factor * e.perToken * float64(max(expectedTokens, 0)) * float64(time.Second))
}
