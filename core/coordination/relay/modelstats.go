package relay

import (
	"sync"
	"time"

	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/forecast"
)

// ModelStats keeps, for each service and model, what this entry saw of the times in
// which answers began, and of the model's opinions of them.
type ModelStats struct {
	mu            sync.Mutex // guards all below
	headForecasts map[modelKey]*forecast.FirstTokenEstimator
	confidences   map[modelKey]*cascade.ConfidenceStats
}

type modelKey struct {
	service string
	model   string
}

// headForecast returns the model's times. The caller holds mu.
func (s *ModelStats) headForecast(service, model string) *forecast.FirstTokenEstimator {
	k := modelKey{
		service: service,
		model:   model,
	}
	if s.headForecasts == nil {
		s.headForecasts = map[modelKey]*forecast.FirstTokenEstimator{}
	}
	h := s.headForecasts[k]
	if h == nil {
		h = &forecast.FirstTokenEstimator{}
		s.headForecasts[k] = h
	}
	return h
}

// awaitHead notes that a head is awaited, and returns what ends the wait; ok tells
// whether the head came.
func (s *ModelStats) awaitHead(service, model string, promptTokens int, now time.Time) func(now time.Time, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.headForecast(service, model)
	id := h.TrackRequest(promptTokens, now)
	return func(now time.Time, received bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		h.RecordFirstToken(id, received, now)
	}
}

// prefillTime estimates how long the model takes to read a prompt of so many tokens,
// without what it waits for that; zero if nothing is known.
func (s *ModelStats) prefillTime(service, model string, promptTokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headForecast(service, model).PrefillTime(promptTokens)
}

// timeToHead returns how long the model takes to begin an answer to a prompt of so
// many tokens now; zero if nothing is known.
func (s *ModelStats) timeToHead(service, model string, promptTokens int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headForecast(service, model).TimeToFirstToken(promptTokens, now)
}

// recordConfidence notes whether an answer of the model was doubted.
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

// lowConfidenceShare returns the share of the model's answers lately that were lowConfidenceShare.
func (s *ModelStats) lowConfidenceShare(service, model string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.confidences[modelKey{
		service: service,
		model:   model,
	}]
	if o == nil {
		o = &cascade.ConfidenceStats{}
	}
	return o.LowConfidenceRate()
}
