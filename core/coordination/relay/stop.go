package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/retry"
)

// errStopping is the cause with which the contexts of unanswered requests end when the process stops.
var errStopping = errors.New("relay: the process is stopping")

// stopTimeMargin is the fraction by which a request may take longer than the longest one of its route lately.
const stopTimeMargin = 0.25

// BeginStop makes the requests that come from now on be refused if they can't be expected to end before the process does at
// the given time: what is passed on and then cut is lost for its caller, who can still send a refused one to another VM.
func (r *Relay) BeginStop(end time.Time) { r.stopEnd.Store(&end) }

// refuseAtStop returns the refusal of a request that can't be expected to end before the process does, or nil.
func (c *call) refuseAtStop() *persimmoncross.Refusal {
	r := c.relay
	end := r.stopEnd.Load()
	if end == nil {
		return nil
	}
	now := r.Clock.Now()
	needed := c.deadline.Sub(now)
	if longest, known := r.routeTimes.longest(c.route.Name, now); known {
		needed = min(needed, longest+time.Duration(stopTimeMargin*float64(longest)))
	}
	if !now.Add(needed).After(*end) {
		return nil
	}
	r.incrementCounter("refused.stopping")
	hint := retry.RetryAfter{
		ExpectedWait:  1, // another VM can take it at once
		UntilDeadline: c.deadline.Sub(now),
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeStopping, "this VM stops before the request can be expected to end").WithRetryAfter(hint.Delay(rand.Float64()))
}

// EndUnanswered ends the requests of which no response has begun, and those that come later, each with a refusal. It is
// called shortly before a stopping process closes its connections; what has begun goes on until then.
func (r *Relay) EndUnanswered() {
	r.stopContext()
	r.stop()
}

// stopContext returns the context that EndUnanswered ends.
func (r *Relay) stopContext() context.Context {
	r.stopOnce.Do(func() { r.stopping, r.stop = context.WithCancel(context.Background()) })
	return r.stopping
}

// endAtStop returns a context that ends with errStopping if the response has not begun when EndUnanswered is called.
func (c *call) endAtStop(ctx context.Context) (stopped context.Context, release func()) {
	begun := &atomic.Bool{}
	c.responseBegun = begun
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.relay.stopContext(), func() {
		if !begun.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// callerLeft reports whether the request's context ended because the caller left.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStopping)
}

// recordHeadSent records that the response has begun: it is not replaced by another any more.
func (c *call) recordHeadSent() {
	c.headSent = true
	if c.responseBegun != nil {
		c.responseBegun.Store(true)
	}
}
