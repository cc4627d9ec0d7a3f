// Package forecast estimates the prefill time of a prompt and the time to the first token of
// an answer, from recent answers and from the requests that are still pending. It has no I/O,
// no locks and no clock.
package forecast

import "time"

// Weights and the timeout of the estimate of the time to the first token.
const (
	// firstTokenWeight is the weight of one answer in the moving averages.
	firstTokenWeight = 0.15
	// queueEstimateTimeout is the time after the last answer from which an idle model is
	// estimated to have no queue.
	queueEstimateTimeout = 5 * time.Second
	// minRegressionWeight is the least weight of one answer in the regression of times on
	// prompt sizes. It is small because the time per token changes slowly, and the noise of
	// the queue is far larger. The first answers, up to the inverse of this weight, all have
	// the same weight.
	minRegressionWeight = 0.02
)

// FirstTokenEstimator fits a line through the times to the first token and the sizes of the
// prompts. The part of the time that does not grow with the prompt is attributed to the queue.
// The zero value has no data.
type FirstTokenEstimator struct {
	meanSeconds      float64 // moving average of the time to the first token, in seconds
	meanPromptTokens float64 // moving average of the prompt size, in tokens
	lastUpdate       time.Time
	pending          map[uint64]pendingRequest
	lastRequestID    uint64
	prefill          prefillRegression
}

// pendingRequest is a request whose first token has not been received.
type pendingRequest struct {
	sentAt       time.Time
	promptTokens float64
}

// TrackRequest records that a request was sent, and returns its number for RecordFirstToken.
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

// FinishRequest ends the tracking of a request; received reports whether its first token
// arrived. A request that ended without a first token, and sooner than the mean time to the
// first token, is ignored.
func (e *FirstTokenEstimator) FinishRequest(requestID uint64, received bool, now time.Time) {
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

// PrefillTime estimates how long the model takes to prefill a prompt of promptTokens tokens,
// without the time in the queue. It returns zero without data.
func (e *FirstTokenEstimator) PrefillTime(promptTokens int) time.Duration {
	return time.Duration(e.prefill.secondsPerToken() * float64(promptTokens) * float64(time.Second))
}

// TimeToFirstToken estimates the time to the first token for a prompt of promptTokens tokens
// that is sent now. It returns zero without data. The ages of pending requests count too, so
// that a growing queue raises the estimate before the queued requests are answered.
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

// prefillRegression is a weighted linear regression of the seconds to the first token on the
// prompt tokens.
type prefillRegression struct {
	count             float64 // number of answers
	meanSeconds       float64
	meanTokens        float64
	meanSquaredTokens float64 // mean of the squared tokens
	meanTokenSeconds  float64 // mean of tokens times seconds
}

// add adds an answer to the regression.
func (r *prefillRegression) add(seconds, promptTokens float64) {
	r.count++
	weight := max(minRegressionWeight, 1/r.count)
	r.meanSeconds += weight * (seconds - r.meanSeconds)
	r.meanTokens += weight * (promptTokens - r.meanTokens)
	r.meanSquaredTokens += weight * (promptTokens*promptTokens - r.meanSquaredTokens)
	r.meanTokenSeconds += weight * (promptTokens*seconds - r.meanTokenSeconds)
}

// secondsPerToken returns the slope of the line, the seconds by which each token of the prompt
// raises the time to the first token.
func (r *prefillRegression) secondsPerToken() float64 {
	variance := r.meanSquaredTokens - r.meanTokens*r.meanTokens
	if variance <= 1 {
		return 0
	}
	maxSlope := r.meanSeconds / max(r.meanTokens, 1) // keeps the estimate for an empty prompt from being negative
	return min(max((r.meanTokenSeconds-r.meanTokens*r.meanSeconds)/variance, 0), maxSlope)
}
