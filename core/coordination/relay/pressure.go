package relay

import (
	"sync"
	"time"
)

// Of the estimate of how long a model takes to begin an answer.
const (
	beginWeight = 0.15 // of one answer
	beginFade   = 5 * time.Second
	// lineWeight is that of one answer in the line through times and prompts: what
	// a token adds changes slowly, and the queue's noise is far larger. Of fewer
	// answers than its inverse all weigh the same.
	lineWeight = 0.02
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

// headTimes fits a line through the times of heads and the sizes of prompts:
// what does not grow with the prompt is the queue.
type headTimes struct {
	mean    float64 // seconds, lately
	prompt  float64 // mean tokens, lately
	at      time.Time
	waiting map[uint64]awaited
	next    uint64
	line    line
}

// line is a regression of seconds on tokens.
type line struct {
	count   float64 // of answers
	time    float64 // mean seconds
	tokens  float64 // mean
	square  float64 // mean square of the tokens
	product float64 // mean of tokens times seconds
}

// take adds an answer.
func (l *line) take(took, prompt float64) {
	l.count++
	weight := max(lineWeight, 1/l.count)
	l.time += weight * (took - l.time)
	l.tokens += weight * (prompt - l.tokens)
	l.square += weight * (prompt*prompt - l.square)
	l.product += weight * (prompt*took - l.product)
}

// slope returns the seconds that a token of the prompt adds.
func (l *line) slope() float64 {
	variance := l.square - l.tokens*l.tokens
	if variance <= 1 {
		return 0
	}
	most := l.time / max(l.tokens, 1) // the line does not cross zero before the empty prompt
	return min(max((l.product-l.tokens*l.time)/variance, 0), most)
}

// awaited is a head that has not come yet.
type awaited struct {
	since  time.Time
	prompt float64
}

// take adds an answer.
func (h *headTimes) take(took, prompt float64, now time.Time) {
	weight := beginWeight
	if h.mean == 0 {
		weight = 1
	}
	h.mean += weight * (took - h.mean)
	h.prompt += weight * (prompt - h.prompt)
	h.at = now
	h.line.take(took, prompt)
}

// begin notes that a head is awaited, and returns what ends the wait; ok tells
// whether the head came.
func (p *Pressure) begin(service, model string, prompt int, now time.Time) func(now time.Time, ok bool) {
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
			waiting: map[uint64]awaited{},
		}
		p.heads[k] = h
	}
	h.next++
	id := h.next
	h.waiting[id] = awaited{
		since:  now,
		prompt: float64(prompt),
	}
	return func(now time.Time, ok bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		took := now.Sub(h.waiting[id].since).Seconds()
		delete(h.waiting, id)
		if !ok && took < h.mean {
			return // ended early, it says nothing
		}
		h.take(took, float64(prompt), now)
	}
}

// reading estimates how long the model takes to read a prompt of so many tokens,
// without what it waits for that; zero if nothing is known.
func (p *Pressure) reading(service, model string, prompt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heads[headKey{
		service: service,
		model:   model,
	}]
	if h == nil {
		return 0
	}
	return time.Duration(h.line.slope() * float64(prompt) * float64(time.Second))
}

// estimate returns how long the model takes to begin an answer to a prompt of so
// many tokens now; zero if nothing is known.
func (p *Pressure) estimate(service, model string, prompt int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heads[headKey{
		service: service,
		model:   model,
	}]
	if h == nil {
		return 0
	}
	slope := h.line.slope()
	queue := h.mean - slope*h.prompt
	if now.Sub(h.at) > beginFade && len(h.waiting) == 0 {
		queue = 0
	}
	age := 0.0
	for _, a := range h.waiting {
		age += (now.Sub(a.since).Seconds() - slope*a.prompt) / float64(len(h.waiting))
	}
	return time.Duration((max(queue, age) + slope*float64(prompt)) * float64(time.Second))
}
