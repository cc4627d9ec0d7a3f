package relay

import (
	"sync"
	"time"

	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/forecast"
)

// Pressure keeps, for each service and model, what this entry saw of the times in
// which answers began, and of the model's opinions of them.
type Pressure struct {
	mu            sync.Mutex // guards all below
	headForecasts map[modelKey]*forecast.Heads
	confidences   map[modelKey]*cascade.Opinions
}

type modelKey struct {
	service string
	model   string
}

// headForecast returns the model's times. The caller holds mu.
func (s *Pressure) headForecast(service, model string) *forecast.Heads {
	k := modelKey{
		service: service,
		model:   model,
	}
	if s.headForecasts == nil {
		s.headForecasts = map[modelKey]*forecast.Heads{}
	}
	h := s.headForecasts[k]
	if h == nil {
		h = &forecast.Heads{}
		s.headForecasts[k] = h
	}
	return h
}

// awaitHead notes that a head is awaited, and returns what ends the wait; ok tells
// whether the head came.
func (s *Pressure) awaitHead(service, model string, promptTokens int, now time.Time) func(now time.Time, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.headForecast(service, model)
	id := h.Await(promptTokens, now)
	return func(now time.Time, received bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		h.Came(id, received, now)
	}
}

// prefillTime estimates how long the model takes to read a prompt of so many tokens,
// without what it waits for that; zero if nothing is known.
func (s *Pressure) prefillTime(service, model string, promptTokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headForecast(service, model).Reading(promptTokens)
}

// timeToHead returns how long the model takes to begin an answer to a prompt of so
// many tokens now; zero if nothing is known.
func (s *Pressure) timeToHead(service, model string, promptTokens int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headForecast(service, model).Begin(promptTokens, now)
}

// recordConfidence notes whether an answer of the model was doubted.
func (s *Pressure) recordConfidence(service, model string, low bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := modelKey{
		service: service,
		model:   model,
	}
	if s.confidences == nil {
		s.confidences = map[modelKey]*cascade.Opinions{}
	}
	if s.confidences[k] == nil {
		s.confidences[k] = &cascade.Opinions{}
	}
	s.confidences[k].Take(low)
}

// lowConfidenceShare returns the share of the model's answers lately that were lowConfidenceShare.
func (s *Pressure) lowConfidenceShare(service, model string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.confidences[modelKey{
		service: service,
		model:   model,
	}]
	if o == nil {
		o = &cascade.Opinions{}
	}
	return o.Doubted()
}
