// Package forecast estimates how long a model takes to read a prompt and to begin
// an answer, from the answers that came lately and those that are still awaited.
// It has no I/O, no locks and no clock.
package forecast

import "time"

// Of the estimate of how long a model takes to begin an answer.
const (
	firstTokenWeight     = 0.15 // of one answer
	queueEstimateTimeout = 5 * time.Second
	// minRegressionWeight is that of one answer in the line through times and prompts: what
	// a token adds changes slowly, and the queue's noise is far larger. Of fewer
	// answers than its inverse all weigh the same.
	minRegressionWeight = 0.02
)

// FirstTokenEstimator fits a line through the times of heads and the sizes of prompts: what
// does not grow with the prompt is the queue. The zero value knows nothing.
type FirstTokenEstimator struct {
	meanSeconds      float64 // seconds, lately
	meanPromptTokens float64 // mean tokens, lately
	lastUpdate       time.Time
	pending          map[uint64]pendingRequest
	lastRequestID    uint64
	prefill          prefillRegression
}

// pendingRequest is a head that has not come yet.
type pendingRequest struct {
	sentAt       time.Time
	promptTokens float64
}

// TrackRequest notes that a head is awaited, and returns its number for Came.
func (e *FirstTokenEstimator) TrackRequest(promptTokens int, now time.Time) uint64 {
	if e.pending == nil {
		e.pending = map[uint64]pendingRequest{}
	}
	e.lastRequestID++
	e.pending[e.lastRequestID] = pendingRequest{
		sentAt:       now,
		promptTokens: float64(promptTokens),
	}
	return e.lastRequestID
}

// RecordFirstToken ends the wait for a head; ok tells whether it came. One that was ended
// early says nothing.
func (e *FirstTokenEstimator) RecordFirstToken(requestID uint64, received bool, now time.Time) {
	request := e.pending[requestID]
	delete(e.pending, requestID)
	seconds := now.Sub(request.sentAt).Seconds()
	if !received && seconds < e.meanSeconds {
		return
	}
	weight := firstTokenWeight
	if e.meanSeconds == 0 {
		weight = 1
	}
	e.meanSeconds += weight * (seconds - e.meanSeconds)
	e.meanPromptTokens += weight * (request.promptTokens - e.meanPromptTokens)
	e.lastUpdate = now
	e.prefill.add(seconds, request.promptTokens)
}

// PrefillTime estimates how long the model takes to read a prompt of so many tokens,
// without what it waits for that; zero if nothing is known.
func (e *FirstTokenEstimator) PrefillTime(promptTokens int) time.Duration {
	return time.Duration(e.prefill.secondsPerToken() * float64(promptTokens) * float64(time.Second))
}

// TimeToFirstToken estimates how long the model takes to begin an answer to a prompt of so
// many tokens now; zero if nothing is known. A queue is seen before its requests
// come out of it: the heads that are awaited count by their age.
func (e *FirstTokenEstimator) TimeToFirstToken(promptTokens int, now time.Time) time.Duration {
	secondsPerToken := e.prefill.secondsPerToken()
	queueSeconds := e.meanSeconds - secondsPerToken*e.meanPromptTokens
	if now.Sub(e.lastUpdate) > queueEstimateTimeout && len(e.pending) == 0 {
		queueSeconds = 0
	}
	pendingSeconds := 0.0
	for _, request := range e.pending {
		pendingSeconds += (now.Sub(request.sentAt).Seconds() - secondsPerToken*request.promptTokens) / float64(len(e.pending))
	}
	return time.Duration((max(queueSeconds, pendingSeconds) + secondsPerToken*float64(promptTokens)) * float64(time.Second))
}

// prefillRegression is a regression of seconds on tokens.
type prefillRegression struct {
	count             float64 // of answers
	meanSeconds       float64 // mean seconds
	meanTokens        float64 // mean
	meanSquaredTokens float64 // mean square of the tokens
	meanTokenSeconds  float64 // mean of tokens times seconds
}

// add adds an answer.
func (r *prefillRegression) add(seconds, promptTokens float64) {
	r.count++
	weight := max(minRegressionWeight, 1/r.count)
	r.meanSeconds += weight * (seconds - r.meanSeconds)
	r.meanTokens += weight * (promptTokens - r.meanTokens)
	r.meanSquaredTokens += weight * (promptTokens*promptTokens - r.meanSquaredTokens)
	r.meanTokenSeconds += weight * (promptTokens*seconds - r.meanTokenSeconds)
}

// secondsPerToken returns the seconds that a token of the prompt adds.
func (r *prefillRegression) secondsPerToken() float64 {
	variance := r.meanSquaredTokens - r.meanTokens*r.meanTokens
	if variance <= 1 {
		return 0
	}
	maxSlope := r.meanSeconds / max(r.meanTokens, 1) // the line does not cross zero before the empty prompt
	return min(max((r.meanTokenSeconds-r.meanTokens*r.meanSeconds)/variance, 0), maxSlope)
}
