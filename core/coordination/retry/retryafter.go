package retry

import "time"

// Limits and parameters of the Retry-After delay.
const (
	// minRetryAfter is the minimum delay, before and after jitter. It is well over a round
	// trip, and a temporary cause, such as a start or a full queue, takes at least as long.
	minRetryAfter = 200 * time.Millisecond
	// unknownOutageDelay is added to the age of an outage whose end is not known. Without it,
	// callers refused at the start of an outage would retry while the outage lasts (benchmark
	// case "return").
	unknownOutageDelay = 600 * time.Millisecond
	// maxRetryAfter limits the delay before jitter. The age of a long outage says no more
	// about when it ends.
	maxRetryAfter = 4 * time.Second
	// jitterFraction is the maximum jitter as a fraction of the delay. Without jitter, callers
	// that were refused at the same time would retry at the same time, and most of them
	// would be refused again.
	jitterFraction = 0.5
	// deadlineFraction limits the delay, down to minRetryAfter, to this fraction of the time
	// until the caller's deadline. Callers give up on a longer delay, and there is seldom time
	// for a third try.
	deadlineFraction = 1.0 / 3
)

// RetryAfter holds the inputs of the Retry-After delay for a caller that is refused for a
// temporary cause.
type RetryAfter struct {
	ExpectedWait   time.Duration // expected time until capacity is free; 0: not known
	OutageAge      time.Duration // how long the outage has lasted
	UntilDeadline  time.Duration // time until the caller's deadline; 0: no deadline known
	Priority       int           // priority of the request; 0 is the most urgent
	PriorityLevels int           // number of priorities
}

// Delay returns the time after which the caller should retry. random is in [0, 1). An outage
// of unknown duration is expected to last as long again as it has lasted (benchmark case
// "return"). If ExpectedWait is known, callers with more urgent requests retry earlier;
// otherwise the order is random, because an early retry is no advantage.
func (r RetryAfter) Delay(random float64) time.Duration {
	base, position := r.ExpectedWait, r.jitterPosition(random)
	if base <= 0 {
		base, position = max(r.OutageAge, 0)+unknownOutageDelay, random
	}
	base = min(max(base, minRetryAfter), maxRetryAfter)
	delay := base + time.Duration(jitterFraction*position*float64(base))
	if r.UntilDeadline > 0 {
		delay = min(delay, time.Duration(deadlineFraction*float64(r.UntilDeadline)))
	}
	return max(delay, minRetryAfter)
}

// jitterPosition returns the position of the caller in the jitter interval, from 0 to 1. The
// more urgent its request, the lower the position.
func (r RetryAfter) jitterPosition(random float64) float64 {
	levels := max(r.PriorityLevels, 1)
	return (float64(min(max(r.Priority, 0), levels-1)) + random) / float64(levels)
}
