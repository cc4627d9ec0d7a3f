package capacity

import (
	"math"
	"time"
)

// Parameters of measured paces.
const (
	// measuredPrior is the weight of the assumption that an upstream is as fast as the others, in
	// answers. Answers vary with the other requests in a batch.
	measuredPrior = 3.0
	// measuredTimeConstant is how fast answers lose their weight. An upstream that turned slow may
	// be fast again after seconds.
	measuredTimeConstant = 5 * time.Second
	// maxMeasuredOctaves limits what one answer counts.
	maxMeasuredOctaves = 3.0
)

// Measured is the pace of an upstream that reports none, from the times of its answers. The zero
// value has none.
type Measured struct {
	weight    float64
	sum       float64 // weighted, in octaves
	updatedAt time.Time
}

// Record records an answer that took ratio times the mean of the service's answers.
func (m *Measured) Record(ratio float64, now time.Time) {
	if ratio <= 0 {
		return
	}
	kept := decay(max(now.Sub(m.updatedAt), 0), measuredTimeConstant)
	m.weight = m.weight*kept + 1
	m.sum = m.sum*kept + max(min(math.Log2(ratio), maxMeasuredOctaves), -maxMeasuredOctaves)
	m.updatedAt = now
}

// Ratio returns the pace as a multiple of the mean of the service, 1 without answers.
func (m *Measured) Ratio(now time.Time) float64 {
	kept := decay(max(now.Sub(m.updatedAt), 0), measuredTimeConstant)
	return math.Exp2(m.sum * kept / (m.weight*kept + measuredPrior))
}
