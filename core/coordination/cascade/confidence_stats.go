package cascade

// Of what is learned of a model's opinions.
const (
	// priorLowConfidenceRate is taken of a model that has not answered yet.
	priorLowConfidenceRate = 0.5
	// minAnswerWeight is that of one answer; of fewer answers than its inverse all weigh
	// the same, the prior like priorAnswers of them. An entry sees one to three answers
	// a second: the share is that of its last minute.
	minAnswerWeight = 0.01
	priorAnswers    = 4
)

// ConfidenceStats keeps how often a model's opinion of its answers fell short of what
// operators ask of it. It has no lock; the zero value knows nothing.
type ConfidenceStats struct {
	answers           float64
	lowConfidenceRate float64 // share of them
}

// Record adds an answer.
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

// LowConfidenceRate returns the share of answers that fell short.
func (s *ConfidenceStats) LowConfidenceRate() float64 {
	if s.answers == 0 {
		return priorLowConfidenceRate
	}
	return s.lowConfidenceRate
}
