package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"persimmoncross"
)

// errStalled is the cause with which a stalled attempt is cancelled.
var errStalled = errors.New("dispatch: the upstream has stalled")

// watchdog cancels an attempt if nothing is received from its upstream for the request's
// StallTimeout.
type watchdog struct {
	clock        persimmoncross.Clock
	lastActivity atomic.Int64 // Unix nanoseconds when data was last received
	done         chan struct{}
}

// startWatchdog starts a watchdog for one attempt.
func (r *execution) startWatchdog(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	g := &watchdog{
		clock: r.dispatcher.Clock,
		done:  make(chan struct{}),
	}
	g.recordActivity()
	if r.request.StallTimeout > 0 {
		go g.run(ctx, cancel, r.request.StallTimeout)
	}
	return g
}

func (g *watchdog) recordActivity() { g.lastActivity.Store(g.clock.Now().UnixNano()) }

func (g *watchdog) stop() { close(g.done) }

func (g *watchdog) run(ctx context.Context, cancel context.CancelCauseFunc, stall time.Duration) {
	for {
		silent := time.Duration(g.clock.Now().UnixNano() - g.lastActivity.Load())
		if silent >= stall {
			cancel(errStalled)
			return
		}
		select {
		case <-g.clock.After(stall - silent):
		case <-g.done:
			return
		case <-ctx.Done():
			return
		}
	}
}
