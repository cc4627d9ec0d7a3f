package relay

import (
	"sync"
	"time"
)

// Of the estimate of how long a model takes to begin an answer.
const (
	beginWeight = 0.15 // of one answer
	beginFade   = 5 * time.Second
	// readKeep is what is left of the sums of reading times and tokens at each
	// answer: the mean is over about 50.
	readKeep = 0.98
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
	mean    float64 // seconds
	prompt  float64 // mean tokens
	square  float64 // mean square of the tokens
	product float64 // mean of tokens times seconds
	at      time.Time
	waiting map[uint64]awaited
	next    uint64

	// Of the answers that began while no other waited, with old ones fading.
	readTime   float64 // seconds, together
	readTokens float64 // of their prompts
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
	h.square += weight * (prompt*prompt - h.square)
	h.product += weight * (prompt*took - h.product)
	h.at = now
}

// slope returns the seconds that a token of the prompt adds.
func (h *headTimes) slope() float64 {
	variance := h.square - h.prompt*h.prompt
	if variance <= 1 {
		return 0
	}
	most := h.mean / max(h.prompt, 1) // the line does not cross zero before the empty prompt
	return min(max((h.product-h.prompt*h.mean)/variance, 0), most)
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

// read takes an answer that had not to wait for others: what its prompt took.
func (p *Pressure) read(service, model string, prompt int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heads[headKey{
		service: service,
		model:   model,
	}]
	if h == nil || prompt <= 0 {
		return
	}
	h.readTime = readKeep*h.readTime + took.Seconds()
	h.readTokens = readKeep*h.readTokens + float64(prompt)
}

// reading estimates how long the model takes to read a prompt of so many tokens;
// zero if nothing is known.
func (p *Pressure) reading(service, model string, prompt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heads[headKey{
		service: service,
		model:   model,
	}]
	if h == nil || h.readTokens == 0 {
		return 0
	}
	return time.Duration(h.readTime / h.readTokens * float64(prompt) * float64(time.Second))
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
	slope := h.slope()
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
