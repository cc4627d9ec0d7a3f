package retry

import "time"

// Attempts tracks the attempts of one request. Retries are judged where they arrive, and each
// arrival of the request after its first one is a retry, whichever attempt that is: what lies
// unread in a connection to a silent upstream may arrive long after a later attempt. So a retry
// stays reserved until it is known that it has arrived or never will. The zero value is a
// request that was not sent. Attempts is not safe for concurrent use.
type Attempts struct {
	Budget *Budget

	sent    int // attempts that may arrive or have arrived
	arrived int // attempts that are known to have arrived
	retries int // retries taken from Budget and not released
	settled int // of these, retries that have arrived
	ended   bool
}

// NeedsRetry reports whether another attempt needs a retry that was not taken yet.
func (a *Attempts) NeedsRetry() bool { return a.sent > 0 && a.retries < a.sent }

// TakeRetry takes the retry for another attempt, unless it was taken before or none is needed.
// It reports false if none is left.
func (a *Attempts) TakeRetry(now time.Time) bool {
	if !a.NeedsRetry() {
		return true
	}
	if !a.Budget.Reserve(now) {
		return false
	}
	a.retries++
	return true
}

// Done reports whether the request is not sent again and all its retries are settled or released.
func (a *Attempts) Done() bool { return a.ended && a.retries == a.settled }

// Send records an attempt that is sent.
func (a *Attempts) Send() { a.sent++ }

// NotSent takes back an attempt that has not arrived and never will.
func (a *Attempts) NotSent() {
	a.sent--
	a.release()
}

// Arrived records that an attempt has arrived by now.
func (a *Attempts) Arrived(now time.Time) {
	a.arrived++
	if a.arrived > 1 && a.settled < a.retries {
		a.Budget.Settle(now)
		a.settled++
	}
}

// End records that the request is not sent again.
func (a *Attempts) End() {
	a.ended = true
	a.release()
}

// release releases the retries that no attempt needs any more: each arrival but the request's first one uses one.
func (a *Attempts) release() {
	if !a.ended {
		return
	}
	pending := a.sent - a.arrived
	if a.arrived == 0 {
		pending--
	}
	for a.retries-a.settled > max(pending, 0) {
		a.Budget.Release()
		a.retries--
	}
}
