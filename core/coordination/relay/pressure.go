package relay

import (
	"sync"
	"time"

	"persimmoncross/core/coordination/forecast"
)

// Pressure keeps, for each service and model, what this entry saw of the times in
// which answers began.
type Pressure struct {
	mu    sync.Mutex // guards heads
	heads map[headKey]*forecast.Heads
}

type headKey struct {
	service string
	model   string
}

// of returns the model's times. The caller holds mu.
func (p *Pressure) of(service, model string) *forecast.Heads {
	k := headKey{
		service: service,
		model:   model,
	}
	if p.heads == nil {
		p.heads = map[headKey]*forecast.Heads{}
	}
	h := p.heads[k]
	if h == nil {
		h = &forecast.Heads{}
		p.heads[k] = h
	}
	return h
}

// begin notes that a head is awaited, and returns what ends the wait; ok tells
// whether the head came.
func (p *Pressure) begin(service, model string, prompt int, now time.Time) func(now time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.of(service, model)
	number := h.Await(prompt, now)
	return func(now time.Time, ok bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		h.Came(number, ok, now)
	}
}

// reading estimates how long the model takes to read a prompt of so many tokens,
// without what it waits for that; zero if nothing is known.
func (p *Pressure) reading(service, model string, prompt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(service, model).Reading(prompt)
}

// estimate returns how long the model takes to begin an answer to a prompt of so
// many tokens now; zero if nothing is known.
func (p *Pressure) estimate(service, model string, prompt int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(service, model).Begin(prompt, now)
}
