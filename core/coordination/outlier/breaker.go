package outlier

import "time"

// The breaker's rules.
const (
	breakAfter  = 5 // failures in a row
	breakFor    = time.Second
	breakMost   = 30 * time.Second
	errorWeight = 0.1 // of one attempt, in the share of failures
)

// Breaker keeps work from an upstream that fails every attempt. After a pause it
// lets one attempt through; a failure doubles the pause. The zero value lets all
// through.
type Breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
	errors   float64 // recent share of failures
}

// Allows reports whether an attempt may start.
func (b *Breaker) Allows(now time.Time) bool {
	return b.pause == 0 || !b.probing && !now.Before(b.until)
}

// Begin notes that an attempt starts: with an open breaker it is the probe.
func (b *Breaker) Begin() { b.probing = b.probing || b.pause > 0 }

// Note takes an attempt's outcome.
func (b *Breaker) Note(failed bool, now time.Time) {
	b.probing = false
	if !failed {
		b.errors -= errorWeight * b.errors
		b.failures = 0
		b.pause = 0
		return
	}
	b.errors += errorWeight * (1 - b.errors)
	b.failures++
	if b.failures < breakAfter {
		return
	}
	b.pause = min(max(2*b.pause, breakFor), breakMost)
	b.until = now.Add(b.pause)
}

// Forget ends a probe that gave no verdict, such as one that its caller left.
func (b *Breaker) Forget() { b.probing = false }

// Errors returns the recent share of failed attempts.
func (b *Breaker) Errors() float64 { return b.errors }

// Open reports whether the breaker keeps work away.
func (b *Breaker) Open() bool { return b.pause > 0 }
