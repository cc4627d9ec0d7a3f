package outlier

import "time"

// Parameters of the circuit breaker.
const (
	failureThreshold = 5 // consecutive failures that open the breaker
	initialOpenTime  = time.Second
	maxOpenTime      = 30 * time.Second
	errorRateWeight  = 0.1 // weight of one attempt in the moving average
)

// Breaker is a circuit breaker for an upstream that fails every attempt. After the open time
// it allows one attempt as a probe; each failure doubles the open time. The zero value is
// closed.
type Breaker struct {
	consecutiveFailures int
	openTime            time.Duration
	openUntil           time.Time
	probing             bool
	errorRate           float64 // moving average, 0 to 1
}

// Allows reports whether an attempt may start.
func (b *Breaker) Allows(now time.Time) bool {
	return b.openTime == 0 || !b.probing && !now.Before(b.openUntil)
}

// StartAttempt records the start of an attempt. If the breaker is open, the attempt is the
// probe.
func (b *Breaker) StartAttempt() { b.probing = b.probing || b.openTime > 0 }

// RecordOutcome records the outcome of an attempt.
func (b *Breaker) RecordOutcome(failed bool, now time.Time) {
	b.probing = false
	if !failed {
		b.errorRate -= errorRateWeight * b.errorRate
		b.consecutiveFailures = 0
		b.openTime = 0
		return
	}
	b.errorRate += errorRateWeight * (1 - b.errorRate)
	b.consecutiveFailures++
	if b.consecutiveFailures < failureThreshold {
		return
	}
	b.openTime = min(max(2*b.openTime, initialOpenTime), maxOpenTime)
	b.openUntil = now.Add(b.openTime)
}

// AbandonProbe ends a probe without an outcome, such as one that the caller cancelled.
func (b *Breaker) AbandonProbe() { b.probing = false }

// ErrorRate returns the recent share of failed attempts.
func (b *Breaker) ErrorRate() float64 { return b.errorRate }

// IsOpen reports whether the breaker is open or waits for the outcome of a probe.
func (b *Breaker) IsOpen() bool { return b.openTime > 0 }
