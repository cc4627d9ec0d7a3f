// Package forecast estimates how long a model takes to read a prompt and to begin
// an answer, from the answers that came lately and those that are still awaited.
// It has no I/O, no locks and no clock.
package forecast

import "time"

// Of the estimate of how long a model takes to begin an answer.
const (
	beginWeight = 0.15 // of one answer
	beginFade   = 5 * time.Second
	// lineWeight is that of one answer in the line through times and prompts: what
	// a token adds changes slowly, and the queue's noise is far larger. Of fewer
	// answers than its inverse all weigh the same.
	lineWeight = 0.02
)

// Heads fits a line through the times of heads and the sizes of prompts: what
// does not grow with the prompt is the queue. The zero value knows nothing.
type Heads struct {
	mean    float64 // seconds, lately
	prompt  float64 // mean tokens, lately
	at      time.Time
	waiting map[uint64]awaited
	next    uint64
	line    line
}

// awaited is a head that has not come yet.
type awaited struct {
	since  time.Time
	prompt float64
}

// Await notes that a head is awaited, and returns its number for Came.
func (h *Heads) Await(prompt int, now time.Time) uint64 {
	if h.waiting == nil {
		h.waiting = map[uint64]awaited{}
	}
	h.next++
	h.waiting[h.next] = awaited{
		since:  now,
		prompt: float64(prompt),
	}
	return h.next
}

// Came ends the wait for a head; ok tells whether it came. One that was ended
// early says nothing.
func (h *Heads) Came(number uint64, ok bool, now time.Time) {
	a := h.waiting[number]
	delete(h.waiting, number)
	took := now.Sub(a.since).Seconds()
	if !ok && took < h.mean {
		return
	}
	weight := beginWeight
	if h.mean == 0 {
		weight = 1
	}
	h.mean += weight * (took - h.mean)
	h.prompt += weight * (a.prompt - h.prompt)
	h.at = now
	h.line.take(took, a.prompt)
}

// Reading estimates how long the model takes to read a prompt of so many tokens,
// without what it waits for that; zero if nothing is known.
func (h *Heads) Reading(prompt int) time.Duration {
	return time.Duration(h.line.slope() * float64(prompt) * float64(time.Second))
}

// Begin estimates how long the model takes to begin an answer to a prompt of so
// many tokens now; zero if nothing is known. A queue is seen before its requests
// come out of it: the heads that are awaited count by their age.
func (h *Heads) Begin(prompt int, now time.Time) time.Duration {
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
