package relay

import (
	"sync"
	"time"
)

// Of the estimate of how long a model takes to begin an answer.
const (
	beginWeight = 0.15 // of one answer
	beginFade   = 5 * time.Second
)

// Pressure estimates, for each service and model, how long the head of an
// answer takes now: from the answers that came lately and from those that are
// still awaited, so that a queue is seen before its requests come out of it.
type Pressure struct {
	mu    sync.Mutex // guards heads
	heads map[headKey]*headTimes
}

type headKey struct {
	service string
	model   string
}

type headTimes struct {
	mean    float64 // seconds
	at      time.Time
	waiting map[uint64]time.Time
	next    uint64
}

// begin notes that a head is awaited, and returns what ends the wait; ok tells
// whether the head came.
func (p *Pressure) begin(service, model string, now time.Time) func(now time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := headKey{
		service: service,
		model:   model,
	}
	if p.heads == nil {
		p.heads = map[headKey]*headTimes{}
	}
	h := p.heads[k]
	if h == nil {
		h = &headTimes{
			waiting: map[uint64]time.Time{},
		}
		p.heads[k] = h
	}
	h.next++
	id := h.next
	h.waiting[id] = now
	return func(now time.Time, ok bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		took := now.Sub(h.waiting[id]).Seconds()
		delete(h.waiting, id)
		if !ok && took < h.mean {
			return // ended early, it says nothing
		}
		if h.mean == 0 {
			h.mean = took
		}
		h.mean += beginWeight * (took - h.mean)
		h.at = now
	}
}

// estimate returns how long the model takes to begin an answer now; zero if
// nothing is known.
func (p *Pressure) estimate(service, model string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heads[headKey{
		service: service,
		model:   model,
	}]
	if h == nil {
		return 0
	}
	mean := h.mean
	if now.Sub(h.at) > beginFade && len(h.waiting) == 0 {
		mean = 0
	}
	age := 0.0
	for _, since := range h.waiting {
		age += now.Sub(since).Seconds() / float64(len(h.waiting))
	}
	return time.Duration(max(mean, age) * float64(time.Second))
}
