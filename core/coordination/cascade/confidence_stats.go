package cascade

// Prior and weights of the low-confidence rate.
const (
	// priorLowConfidenceRate is the rate assumed for a model without answers.
	priorLowConfidenceRate = 0.5
	// minAnswerWeight is the least weight of one answer in the moving average. The first
	// answers, up to the inverse of this weight, all have the same weight. An entry receives
	// one to three answers per second, so the rate covers about its last minute.
	minAnswerWeight = 0.01
	// priorAnswers is the weight of the prior, as a number of answers.
	priorAnswers = 4
)

// ConfidenceStats tracks how often a model's confidence in its answers was below the threshold
// that operators set. It is not safe for concurrent use. The zero value has no answers.
type ConfidenceStats struct {
	answers           float64 // number of answers, including priorAnswers
	lowConfidenceRate float64 // moving average of the fraction of low-confidence answers
}

// Record adds an answer to the statistics.
func (s *ConfidenceStats) Record(lowConfidence bool) {
	if s.answers == 0 {
		s.answers, s.lowConfidenceRate = priorAnswers, priorLowConfidenceRate
	}
	s.answers++
	sample := 0.0
	if lowConfidence {
		sample = 1
	}
	s.lowConfidenceRate += max(minAnswerWeight, 1/s.answers) * (sample - s.lowConfidenceRate)
}

// LowConfidenceRate returns the fraction of answers with low confidence.
func (s *ConfidenceStats) LowConfidenceRate() float64 {
	if s.answers == 0 {
		return priorLowConfidenceRate
	}
	return s.lowConfidenceRate
}
