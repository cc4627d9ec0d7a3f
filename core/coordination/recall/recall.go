// Package recall decides when a request leaves the queue of an upstream that has not begun it, when
// a larger model can still answer in time, and when the complete answer of a smaller model is
// delivered in its place. It has no I/O, no locks and no clock.
package recall

import "time"

// Limits of the withdrawal of an attempt from an upstream's queue.
const (
	// MaxPerRequest is the number of withdrawals of one request. Each one gives up a place in a
	// queue, so that a request that moved often would never be begun.
	MaxPerRequest = 2
	// minWait is the least age of an attempt, beyond its own prefill, from which it counts as
	// queued. It covers the round trip and a pause of the upstream.
	minWait = 250 * time.Millisecond
	// prefillFactor is the multiple of its own prefill time that an attempt waits, because the
	// estimate is a mean and a crowded upstream prefills slower.
	prefillFactor = 2
	// minGain is the least time by which another upstream would begin the request sooner. Loads are
	// half a second old, and all entries see the same ones.
	minGain = 500 * time.Millisecond
	// ampleRetryBudgetLeft is the fraction of the retry budget above which each attempt that gains
	// enough is withdrawn. Below it, retries are for failures, escalations to a larger model, and
	// attempts that would miss their objective or deadline where they are.
	ampleRetryBudgetLeft = 0.5
	// urgencyFactor is the multiple of its expected remaining wait that an attempt may have to wait,
	// because other requests may be put before it and prefills of others delay it.
	urgencyFactor = 2
	// minRetryBudgetLeft is the fraction of the retry budget that is kept for failures.
	minRetryBudgetLeft = 0.25
)

// Attempt describes an attempt whose response head is pending.
type Attempt struct {
	Age             time.Duration // time since it was sent
	PrefillTime     time.Duration // prefill of its own prompt, without queueing
	ExpectedWait    time.Duration // time in the queue that was expected when it was sent
	Requests        float64       // estimated requests at the upstream, this one included
	Slots           int           // requests that the upstream serves at once
	Waiting         int           // requests that the upstream last reported as waiting; 0 if not recently
	QueueDelay      time.Duration // time in the queue of a request that the upstream gets now
	Recalls         int           // earlier withdrawals of the request
	ObjectiveLeft   time.Duration // time in which the upstream must begin it to meet the objective; negative if that is past
	DeadlineLeft    time.Duration // time in which the upstream must begin it to end before the deadline
	RetryBudgetLeft float64       // fraction of the retry budget that is left
}

// IsQueued reports whether the attempt most likely still lies in the upstream's queue.
func (a Attempt) IsQueued() bool {
	if a.Age < minWait+prefillFactor*a.PrefillTime {
		return false
	}
	return a.Waiting > 0 || a.Requests > float64(a.Slots)
}

// MayRecall reports whether the attempt may be withdrawn if another upstream is better.
func (a Attempt) MayRecall() bool {
	if a.Recalls >= MaxPerRequest || !a.IsQueued() || a.RetryBudgetLeft <= minRetryBudgetLeft {
		return false
	}
	return a.RetryBudgetLeft > ampleRetryBudgetLeft || a.isUrgent()
}

// isUrgent reports whether the attempt may miss its objective or its deadline where it is. A request
// that has missed the objective is not urgent until the deadline is at stake.
func (a Attempt) isUrgent() bool {
	wait := urgencyFactor * a.RemainingWait()
	return a.ObjectiveLeft > 0 && wait > a.ObjectiveLeft || wait > a.DeadlineLeft
}

// RemainingWait estimates how long the attempt still lies in the queue. An attempt that has
// outlasted its expected wait is expected to wait as long again, and none waits longer than one
// that is sent there now.
func (a Attempt) RemainingWait() time.Duration {
	return min(max(a.ExpectedWait-a.Age, a.Age), a.QueueDelay)
}

// IsBetter reports whether another upstream would begin the request sooner by the margin. delay is
// the time until that upstream begins it; prefixPrefill is the time to prefill again what the
// present upstream may have in its cache.
func (a Attempt) IsBetter(delay, prefixPrefill time.Duration) bool {
	return delay+prefixPrefill+minGain <= a.RemainingWait()
}

// finishMargin is the factor on the expected generation time of an answer that must fit the time to
// the deadline, because half of the answers take longer than their mean.
const finishMargin = 1.25

// Answer describes an expected answer of a model.
type Answer struct {
	TimeToHead     time.Duration // time until it begins, prefill included
	Generation     time.Duration // mean time from its head to its end; 0 if not known
	TimeToDeadline time.Duration
}

// CanFinish reports whether the answer can end before the deadline. Without an estimate of its
// generation it is assumed to.
func (a Answer) CanFinish() bool {
	if a.Generation <= 0 {
		return true
	}
	return a.TimeToHead+time.Duration(finishMargin*float64(a.Generation)) <= a.TimeToDeadline
}

// minDeliveryTime is the time before the deadline at which a kept answer is delivered at the latest,
// so that it reaches the caller in time.
const minDeliveryTime = 300 * time.Millisecond

// ShouldDeliverKept reports whether the answer that was kept of a smaller model is delivered in
// place of the larger model's, of which the head is pending: if the latter could not end in time
// even if it began now.
func ShouldDeliverKept(larger Answer) bool {
	larger.TimeToHead = 0
	return !larger.CanFinish() || larger.TimeToDeadline <= minDeliveryTime
}

// Limits of the answers that are kept.
const (
	// MaxKeptAnswer is the largest kept answer, in bytes. Answers with a short generation are far
	// below it.
	MaxKeptAnswer = 64 << 10
	// KeptFraction is the fraction of the bytes that an entry may hold that kept answers take
	// together. The rest is for waiting requests and slow readers.
	KeptFraction = 0.25
)

// ShouldKeep reports whether a smaller model's answer is read on while the larger model is asked:
// if its generation, of which the mean is given, is known to end before the larger model's answer is
// expected to begin, so that the two hold no slot at a time for long.
func ShouldKeep(generation, timeToLargerHead time.Duration) bool {
	return generation > 0 && generation <= max(timeToLargerHead, minWait)
}
