package forecast

import (
	"math"
	"time"
)

// Parameters of the estimate of generation times.
const (
	minGenerationWeight = 0.05            // weight of a sample that directly follows another
	generationHalfLife  = 2 * time.Second // age at which the earlier samples count by half
	// optimisticDeviations is the number of mean absolute deviations by which an optimistic
	// estimate is below the mean.
	optimisticDeviations = 1.5
	// minOptimisticFraction bounds an optimistic estimate from below, as a fraction of the mean.
	minOptimisticFraction = 0.25
)

// GenerationEstimator estimates how long a model generates an answer, from the response head to
// the end, by the number of tokens that is expected. What is recorded is the time per expected
// token, so that the mean also covers expectations that are too high or too low on average. The
// zero value knows nothing.
type GenerationEstimator struct {
	mean       float64 // recent mean of the seconds per expected token
	deviation  float64 // recent mean absolute deviation from the mean, in seconds per expected token
	samples    int
	recordedAt time.Time
}

// Record records an answer that was received completely. An answer without expected tokens is
// not counted.
func (e *GenerationEstimator) Record(expectedTokens int, took time.Duration, now time.Time) {
	if expectedTokens <= 0 || took < 0 {
		return
	}
	perToken := took.Seconds() / float64(expectedTokens)
	e.samples++
	if e.samples == 1 {
		e.mean = perToken
		e.recordedAt = now
		return
	}
	// With few samples each one counts as in an average, and after a pause the new one counts more.
	age := max(now.Sub(e.recordedAt), 0)
	weight := max(minGenerationWeight, 1/float64(e.samples), 1-math.Exp2(-age.Seconds()/generationHalfLife.Seconds()))
	e.deviation += weight * (math.Abs(perToken-e.mean) - e.deviation)
	e.mean += weight * (perToken - e.mean)
	e.recordedAt = now
}

// maxGenerationAge is how long an estimate is used without a new answer. It is about as long as the
// longest answers take. A model that is not asked because of an old estimate would give no new one.
const maxGenerationAge = 10 * time.Second

// IsRecent reports whether an answer was recorded within maxGenerationAge.
func (e *GenerationEstimator) IsRecent(now time.Time) bool {
	return e.samples > 0 && now.Sub(e.recordedAt) <= maxGenerationAge
}

// Expect returns the mean time and an optimistic time for which an answer of the given expected
// number of tokens is generated, both 0 if nothing is known.
func (e *GenerationEstimator) Expect(expectedTokens int) (mean, optimistic time.Duration) {
	if expectedTokens <= 0 {
		return 0, 0
	}
	low := max(e.mean-optimisticDeviations*e.deviation, minOptimisticFraction*e.mean)
	tokens := float64(expectedTokens) * float64(time.Second)
	return time.Duration(e.mean * tokens), time.Duration(low * tokens)
}
