package relay

import (
	"sync"
	"time"

	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/forecast"
)

// ModelStats keeps, for each service and model, the times until response heads, the times from
// heads to ends, and the rate of responses with low confidence that this entry observed.
type ModelStats struct {
	mu                   sync.Mutex // guards all below
	headEstimators       map[modelKey]*forecast.FirstTokenEstimator
	generationEstimators map[modelKey]*forecast.GenerationEstimator
	confidences          map[modelKey]*cascade.ConfidenceStats
}

type modelKey struct {
	service string
	model   string
}

// headEstimator returns the model's estimator of the time to the response head. The caller
// holds mu.
func (s *ModelStats) headEstimator(service, model string) *forecast.FirstTokenEstimator {
	k := modelKey{
		service: service,
		model:   model,
	}
	if s.headEstimators == nil {
		s.headEstimators = map[modelKey]*forecast.FirstTokenEstimator{}
	}
	h := s.headEstimators[k]
	if h == nil {
		h = &forecast.FirstTokenEstimator{}
		s.headEstimators[k] = h
	}
	return h
}

// trackPendingHead records that a response head is pending. The caller calls the returned
// function when the wait ends; received tells whether the head was received.
func (s *ModelStats) trackPendingHead(service, model string, promptTokens int, now time.Time) func(now time.Time, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.headEstimator(service, model)
	id := h.TrackRequest(promptTokens, now)
	return func(now time.Time, received bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		h.FinishRequest(id, received, now)
	}
}

// prefillTime estimates the prefill time of a prompt of the given number of tokens, without
// queueing. It returns 0 if nothing is known.
func (s *ModelStats) prefillTime(service, model string, promptTokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headEstimator(service, model).PrefillTime(promptTokens)
}

// timeToHead estimates how long the model now takes to send the response head for a prompt of
// the given number of tokens. It returns 0 if nothing is known.
func (s *ModelStats) timeToHead(service, model string, promptTokens int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headEstimator(service, model).TimeToFirstToken(promptTokens, now)
}

// recordGeneration records how long the model generated a complete response, from the head to the
// end, of which the given number of tokens was expected.
func (s *ModelStats) recordGeneration(service, model string, expectedTokens int, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := modelKey{
		service: service,
		model:   model,
	}
	if s.generationEstimators == nil {
		s.generationEstimators = map[modelKey]*forecast.GenerationEstimator{}
	}
	if s.generationEstimators[k] == nil {
		s.generationEstimators[k] = &forecast.GenerationEstimator{}
	}
	s.generationEstimators[k].Record(expectedTokens, took, now)
}

// generationTime returns the mean time and an optimistic time from the head to the end of a
// response of the given expected number of tokens, both 0 if nothing is known.
func (s *ModelStats) generationTime(service, model string, expectedTokens int) (mean, optimistic time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.generationEstimators[modelKey{
		service: service,
		model:   model,
	}]
	if e == nil {
		return 0, 0
	}
	return e.Expect(expectedTokens)
}

// recentGenerationTime returns the mean time from the head to the end of a response of the given
// expected number of tokens, 0 if nothing recent is known.
func (s *ModelStats) recentGenerationTime(service, model string, expectedTokens int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.generationEstimators[modelKey{
		service: service,
		model:   model,
	}]
	if e == nil || !e.IsRecent(now) {
		return 0
	}
	mean, _ := e.Expect(expectedTokens)
	return mean
}

// recordConfidence records whether a response of the model had low confidence.
func (s *ModelStats) recordConfidence(service, model string, low bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := modelKey{
		service: service,
		model:   model,
	}
	if s.confidences == nil {
		s.confidences = map[modelKey]*cascade.ConfidenceStats{}
	}
	if s.confidences[k] == nil {
		s.confidences[k] = &cascade.ConfidenceStats{}
	}
	s.confidences[k].Record(low)
}

// lowConfidenceRate returns the fraction of the model's recent responses that had low
// confidence.
func (s *ModelStats) lowConfidenceRate(service, model string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.confidences[modelKey{
		service: service,
		model:   model,
	}]
	if stats == nil {
		stats = &cascade.ConfidenceStats{}
	}
	return stats.LowConfidenceRate()
}
