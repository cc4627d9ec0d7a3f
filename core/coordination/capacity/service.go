package capacity

import (
	"math"
	"time"
)

// Weights and priors of the means over a service's answers.
const (
	minSampleWeight = 0.02 // weight of one answer once there are many
	// priorHoldTime is the time for which a request holds a slot before any answer.
	priorHoldTime = 2 * time.Second
	// priorOutputFraction is the part of a request's limit of tokens that is generated, before any
	// answer.
	priorOutputFraction = 0.5
	minHoldTime         = time.Millisecond // keeps expected waits above zero
)

// Service is what the answers of a service's upstreams show of it. The zero value has none.
type Service struct {
	holds          int
	holdTime       float64 // mean in seconds
	gaps           int
	tokenGap       float64 // mean time between tokens in seconds
	outputs        int
	outputFraction float64 // mean of the generated tokens, as a fraction of the requests' limits
	pace           float64 // mean of reported paces, in octaves above the usual
	paces          int
}

// RecordHold records for how long a request held a slot.
func (s *Service) RecordHold(d time.Duration) {
	s.holds++
	s.holdTime += sampleWeight(s.holds) * (d.Seconds() - s.holdTime)
}

// HoldTime returns the mean time for which a request holds a slot.
func (s *Service) HoldTime() time.Duration {
	if s.holds == 0 {
		return priorHoldTime
	}
	return max(time.Duration(s.holdTime*float64(time.Second)), minHoldTime)
}

// RecordOutput records how many tokens were generated under a limit.
func (s *Service) RecordOutput(tokens, limit int) {
	if limit <= 0 {
		return
	}
	s.outputs++
	s.outputFraction += sampleWeight(s.outputs) * (min(float64(tokens)/float64(limit), 1) - s.outputFraction)
}

// OutputTokens returns the expected number of tokens that a request generates. hint is the
// caller's estimate, 0 if there is none.
func (s *Service) OutputTokens(hint, limit int) int {
	if hint > 0 && (limit <= 0 || hint <= limit) {
		return hint
	}
	fraction := priorOutputFraction
	if s.outputs > 0 {
		fraction = s.outputFraction
	}
	return int(math.Ceil(fraction * float64(limit)))
}

// RecordPace records a pace that an upstream of the service reported.
func (s *Service) RecordPace(pace float64) {
	if pace <= 0 {
		return
	}
	s.paces++
	s.pace += sampleWeight(s.paces) * (math.Log2(pace) - s.pace)
}

// RecordMeanPace records the mean of n paces, in octaves above the usual. It weighs as n paces do.
func (s *Service) RecordMeanPace(octaves float64, n int) {
	if n <= 0 {
		return
	}
	s.paces += n
	weight := max(1-math.Pow(1-minSampleWeight, float64(n)), float64(n)/float64(s.paces))
	s.pace += weight * (octaves - s.pace)
}

// Pace returns the mean pace of the service's upstreams, 0 if none was reported.
func (s *Service) Pace() float64 {
	if s.paces == 0 {
		return 0
	}
	return math.Exp2(s.pace)
}

// RecordTokenGap records the mean time between the tokens of an answer, and returns it as a
// multiple of the mean of the service.
func (s *Service) RecordTokenGap(gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	s.gaps++
	s.tokenGap += sampleWeight(s.gaps) * (gap.Seconds() - s.tokenGap)
	return gap.Seconds() / s.tokenGap
}

func sampleWeight(samples int) float64 { return max(minSampleWeight, 1/float64(samples)) }
