package relay

import (
	"context"
	"errors"
	"sync/atomic"
)

// errStopping is the cause with which the contexts of unanswered requests end when the process stops.
var errStopping = errors.New("relay: the process is stopping")

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
