package relay

import (
	"context"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// stallCheckInterval is the interval between two checks whether an attempt has stalled.
const stallCheckInterval = 150 * time.Millisecond

// stallDetector cancels an attempt whose upstream has stopped sending.
type stallDetector struct {
	start        time.Time    // start of the attempt
	stopped      atomic.Bool  // the detector was stopped or has canceled the attempt
	stalled      atomic.Bool  // the detector has canceled the attempt
	headReceived atomic.Bool  // the response head was received
	headDecided  atomic.Bool  // the head was received before the attempt was withdrawn, or the reverse
	unread       atomic.Bool  // the caller has not read what was sent to it, so nothing is read from the upstream
	lastReceived atomic.Int64 // when bytes of the response were last received, in nanoseconds since start
	reason       abortReason  // why the detector has canceled the attempt; set before stalled
	recallTarget *Target      // where a withdrawn attempt goes next; set before stalled
	done         chan struct{}
}

// abortReason is the reason why a stallDetector has canceled an attempt.
type abortReason uint8

const (
	abortStalled  abortReason = iota // the upstream has stopped sending
	abortRecalled                    // another upstream would begin the request sooner
	abortReplaced                    // the kept answer of a smaller model is delivered
)

// stop stops the detector and reports whether the detector has canceled the attempt.
func (d *stallDetector) stop() bool {
	if d.stopped.CompareAndSwap(false, true) {
		close(d.done)
	}
	return d.stalled.Load()
}

// recordHead records that the response head was received. It reports false if the attempt was
// withdrawn before; its context is then canceled or about to be.
func (d *stallDetector) recordHead(now time.Time) bool {
	d.recordBytes(now)
	d.headReceived.Store(true)
	return d.headDecided.CompareAndSwap(false, true)
}

// recordBytes records that bytes of the response were received.
func (d *stallDetector) recordBytes(now time.Time) { d.lastReceived.Store(int64(now.Sub(d.start))) }

// startStallDetector returns the stall detector of an attempt. The detector runs only if the
// request may be sent to another upstream.
func (c *call) startStallDetector(ctx context.Context, cancel context.CancelFunc, target *Target) *stallDetector {
	r := c.relay
	detector := &stallDetector{
		start: r.Clock.Now(),
		done:  make(chan struct{}),
	}
	mayRetry := c.route.Repeat != persimmoncross.RetryNever && c.executions+1 < c.maxExecutions() && c.attempts < maxAttempts
	if !mayRetry && c.keptAnswer == nil {
		return detector
	}
	watch, retries, repeat := c.newRecallWatch(target, detector.start), c.requestRetries(), c.route.Repeat
	idleState := outlier.IdleState{
		ExpectedHeadWait: c.timeToHead(),
		Objective:        c.latencyObjective(),
		PauseLimit:       c.route.Pause,
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
			now := r.Clock.Now()
			if watch.shouldReplace(detector, now) && detector.abort(cancel, abortReplaced) {
				return
			}
			if !mayRetry {
				continue
			}
			// The retry is taken before the attempt is canceled, because an attempt must not be
			// canceled if the retry budget allows no other attempt.
			if repeat == persimmoncross.RetryResume && detector.isSilent(target, idleState, now, silenceProbeFraction) {
				r.probeSilent(ctx, target, now)
			}
			if detector.isStalled(target, idleState, now) && !r.mayBeSound(repeat, target, detector, now) && retries.take("silent") {
				detector.abort(cancel, abortStalled)
				return
			}
			if next := watch.betterTarget(detector, now); next != nil && retries.take("recalled") {
				detector.recallTarget = next
				if detector.abort(cancel, abortRecalled) {
					return
				}
			}
		}
	}()
	return detector
}

// abort cancels the attempt, unless the detector was stopped. An attempt that has not stalled is only
// canceled before its head, because the caller may have part of the response after that. It reports
// false if the head came first, so that the response is still watched.
func (d *stallDetector) abort(cancel context.CancelFunc, reason abortReason) bool {
	if reason != abortStalled && !d.headDecided.CompareAndSwap(false, true) {
		return false
	}
	if d.stopped.CompareAndSwap(false, true) {
		d.reason = reason
		d.stalled.Store(true)
		cancel()
	}
	return true
}

// isStalled reports whether the attempt has stalled. The given idle state already holds the
// values that depend only on the request.
func (d *stallDetector) isStalled(target *Target, idleState outlier.IdleState, now time.Time) bool {
	return d.isSilent(target, idleState, now, 1)
}

// isSilent reports whether nothing has come for the fraction of the time after which the attempt has
// stalled.
func (d *stallDetector) isSilent(target *Target, idleState outlier.IdleState, now time.Time, fraction float64) bool {
	if d.unread.Load() {
		return false
	}
	idleState.HeadReceived = d.headReceived.Load()
	idleState.ActiveStreams = int(target.activeStreams.Load())
	idleState.RecentPause = target.longestPause(now)
	idleState.PendingPrefill = target.pendingPrefill(now)
	idleState.SuspectedByOthers = target.isSuspectedByOthers(now)
	limit, ok := idleState.Timeout()
	limit = time.Duration(fraction * float64(limit))
	lastReceived := d.start.Add(time.Duration(d.lastReceived.Load()))
	return ok && now.Sub(lastReceived) >= limit && !target.receivedSince(now.Add(-limit))
}

// handleStall handles an attempt that the stall detector has canceled. The request may have run.
func (c *call) handleStall(target *Target, detector *stallDetector, took time.Duration) outcome {
	if !detector.headReceived.Load() {
		c.executions++
	}
	c.recordResult(target, true)
	target.markSuspected(c.relay.Clock.Now())
	c.lastError = &persimmoncross.AttemptError{
		Reason: "silent",
		Run:    persimmoncross.RunUnknown,
	}
	c.logEventWithDigest().Str("upstream", target.Name).Dur("took", took).Str("event", c.lastEventID).Int("send", c.attempts).Msg("upstream stalled; attempt canceled")
	return outcomeRetry
}
