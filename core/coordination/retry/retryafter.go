package retry

import "time"

// Of the time after which a refused caller should come back.
const (
	// minRetryAfter is well over a round trip; nothing that ends by itself, such as a
	// start or a full queue, ends sooner.
	minRetryAfter = 200 * time.Millisecond
	// unknownOutageDelay is added where nothing tells how long a trouble takes: callers refused
	// in the first moment of an outage would come back into it (bench return).
	unknownOutageDelay = 600 * time.Millisecond
	// maxRetryAfter bounds what a long trouble makes of it: its end is no nearer known.
	maxRetryAfter = 4 * time.Second
	// jitterFraction of the time is what callers are spread over: those that were
	// refused in one moment would come back in one moment, and most of them would be
	// refused again.
	jitterFraction = 0.5
	// deadlineFraction of the time that a caller has left is the most that it waits: one that
	// is sent away for longer gives up, and a third try is seldom left to it.
	deadlineFraction = 1.0 / 3
)

// RetryAfter is what is known when a caller is refused for a trouble that ends.
type RetryAfter struct {
	ExpectedWait   time.Duration // until there is room; 0: not known
	OutageAge      time.Duration // how long the trouble has lasted
	UntilDeadline  time.Duration // that the caller has; 0: not told
	Priority       int           // of the request, 0 is the most urgent
	PriorityLevels int           // that there are
}

// Delay returns when the caller should come back. chance is in [0, 1). A trouble
// of which nothing else is known is expected to last as long again as it has
// lasted (bench return). Where it is known when there is room, the more urgent come first; where
// it is not, the first to come back are no better off, and the order is by chance.
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

// jitterPosition returns where in the spread the caller comes, 0 to 1: the more urgent its
// request, the sooner.
func (r RetryAfter) jitterPosition(random float64) float64 {
	levels := max(r.PriorityLevels, 1)
	return (float64(min(max(r.Priority, 0), levels-1)) + random) / float64(levels)
}
