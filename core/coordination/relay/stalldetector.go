package relay

import (
	"context"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// stallCheckInterval is the pause between two looks at an attempt whose upstream sends
// nothing.
const stallCheckInterval = 150 * time.Millisecond

// stallDetector ends an attempt whose upstream has fallen silent.
type stallDetector struct {
	start        time.Time    // of the attempt
	stopped      atomic.Bool  // the answer came, or the watch ended the attempt
	stalled      atomic.Bool  // the watch did
	headReceived atomic.Bool  // the head has come
	lastReceived atomic.Int64 // nanoseconds since began at which bytes of this answer came
	done         chan struct{}
}

// stop ends the watch and reports whether it has ended the attempt.
func (d *stallDetector) stop() bool {
	if d.stopped.CompareAndSwap(false, true) {
		close(d.done)
	}
	return d.stalled.Load()
}

// recordHead notes that the recordHead came.
func (d *stallDetector) recordHead(now time.Time) {
	d.recordBytes(now)
	d.headReceived.Store(true)
}

// recordBytes notes that bytes of the answer came.
func (d *stallDetector) recordBytes(now time.Time) { d.lastReceived.Store(int64(now.Sub(d.start))) }

// startStallDetector starts the watch of an attempt, where the passage may be sent to
// another upstream.
func (c *call) startStallDetector(ctx context.Context, cancel context.CancelFunc, target *Target) *stallDetector {
	r := c.relay
	detector := &stallDetector{
		start: r.Clock.Now(),
		done:  make(chan struct{}),
	}
	if c.route.Repeat == persimmoncross.RetryNever || c.executions+1 >= c.maxExecutions() || c.attempts >= maxAttempts {
		return detector
	}
	silence := outlier.IdleState{
		ExpectedHeaderWait: c.timeToHead(),
		Objective:          c.latencyObjective(),
		PauseLimit:         c.route.Pause,
	}
	go func() {
		for {
			select {
			case <-detector.done:
				return
			case <-ctx.Done():
				return
			case <-r.Clock.After(stallCheckInterval):
			}
			// The retry is taken first: an answer is not broken off where no other
			// attempt may be made.
			if detector.isStalled(target, silence, r.Clock.Now()) && r.takeRetry(c.service) {
				detector.abort(cancel)
				return
			}
		}
	}()
	return detector
}

// abort ends the attempt, unless its answer has come.
func (d *stallDetector) abort(cancel context.CancelFunc) {
	if d.stopped.CompareAndSwap(false, true) {
		d.stalled.Store(true)
		cancel()
	}
}

// isStalled reports whether the attempt is to be ended. s holds what is known of the
// passage.
func (d *stallDetector) isStalled(target *Target, silence outlier.IdleState, now time.Time) bool {
	silence.HeaderReceived = d.headReceived.Load()
	silence.ActiveStreams = int(target.activeStreams.Load())
	silence.RecentPause = target.longestPause(now)
	silence.PendingPrefill = target.pendingPrefill(now)
	silence.SuspectedByOthers = target.isSuspectedByOthers(now)
	limit, ok := silence.Timeout()
	lastReceived := d.start.Add(time.Duration(d.lastReceived.Load()))
	return ok && now.Sub(lastReceived) >= limit && !target.receivedSince(now.Add(-limit))
}

// handleStall takes an attempt that was ended because its upstream fell handleStall. It may
// have run.
func (c *call) handleStall(target *Target, detector *stallDetector, took time.Duration) outcome {
	if !detector.headReceived.Load() {
		c.executions++
	}
	c.retryTaken = true
	c.recordResult(target, true)
	target.markSuspected(c.relay.Clock.Now())
	c.lastError = &persimmoncross.AttemptError{
		Reason: "silent",
		Run:    persimmoncross.RunUnknown,
	}
	c.logEventWithDigest().Str("upstream", target.Incarnation).Dur("took", took).Str("event", c.lastEventID).Int("send", c.attempts).Msg("upstream is silent")
	return outcomeRetry
}
