package forecast

import "time"

// Parameters of the estimate of an answer's duration.
const (
	// favourableQuantile is the part of the answers that are at most as long as the favourable
	// estimate. A wrong refusal is worse than a late answer, so the estimate is short.
	favourableQuantile = 0.1
	// quantileStep is the relative change of the quantile by one answer.
	quantileStep = 0.1
	// minDurations is the number of answers below which nothing is estimated.
	minDurations = 10
	// meanDurationWeight is the weight of one answer in the mean.
	meanDurationWeight = 0.05
)

// DurationEstimator learns how long an answer takes from its head to its end, as time for each
// expected token. The zero value has no data.
type DurationEstimator struct {
	count          int
	meanPerToken   float64 // seconds
	favourableTime float64 // the favourableQuantile of the seconds for each token
}

// Record records an answer of which the caller expected the number of tokens.
func (e *DurationEstimator) Record(took time.Duration, expectedTokens int) {
	if expectedTokens <= 0 || took <= 0 {
		return
	}
	perToken := took.Seconds() / float64(expectedTokens)
	e.count++
	if e.count == 1 {
		e.meanPerToken = perToken
		e.favourableTime = perToken
		return
	}
	e.meanPerToken += meanDurationWeight * (perToken - e.meanPerToken)
	if perToken < e.favourableTime {
		e.favourableTime *= 1 - quantileStep*(1-favourableQuantile)
	} else {
		e.favourableTime *= 1 + quantileStep*favourableQuantile
	}
}

// Mean estimates the time from the head to the end of an answer. It returns 0 without enough data.
func (e *DurationEstimator) Mean(expectedTokens int) time.Duration {
	return e.scaled(e.meanPerToken, expectedTokens)
}

// Favourable returns the time that nine of ten answers exceed. It returns 0 without enough data.
func (e *DurationEstimator) Favourable(expectedTokens int) time.Duration {
	return e.scaled(e.favourableTime, expectedTokens)
}

func (e *DurationEstimator) scaled(perToken float64, expectedTokens int) time.Duration {
	if e.count < minDurations {
		return 0
	}
	return time.Duration(perToken * float64(max(expectedTokens, 0)) * float64(time.Second))
}
