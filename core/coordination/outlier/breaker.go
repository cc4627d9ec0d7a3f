package outlier

import "time"

// The breaker's rules.
const (
	failureThreshold = 5 // failures in a row
	initialOpenTime  = time.Second
	maxOpenTime      = 30 * time.Second
	errorRateWeight  = 0.1 // of one attempt, in the share of failures
)

// Breaker keeps work from an upstream that fails every attempt. After a pause it
// lets one attempt through; a failure doubles the pause. The zero value lets all
// through.
type Breaker struct {
	consecutiveFailures int
	openTime            time.Duration
	openUntil           time.Time
	probing             bool
	errorRate           float64 // recent share of failures
}

// Allows reports whether an attempt may start.
func (b *Breaker) Allows(now time.Time) bool {
	return b.openTime == 0 || !b.probing && !now.Before(b.openUntil)
}

// StartAttempt notes that an attempt starts: with an open breaker it is the probe.
func (b *Breaker) StartAttempt() { b.probing = b.probing || b.openTime > 0 }

// RecordOutcome takes an attempt's outcome.
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

// AbandonProbe ends a probe that gave no verdict, such as one that its caller left.
func (b *Breaker) AbandonProbe() { b.probing = false }

// ErrorRate returns the recent share of failed attempts.
func (b *Breaker) ErrorRate() float64 { return b.errorRate }

// IsOpen reports whether the breaker keeps work away.
func (b *Breaker) IsOpen() bool { return b.openTime > 0 }
