package relay

import (
	"context"
	"time"

	"persimmoncross"
)

const (
	// maxSoundSilence is how long an upstream that works may send nothing at all. One that accepts
	// connections meanwhile is neither lost nor cut off, and goes on with what it runs: an attempt
	// that is moved sooner would run at two upstreams.
	maxSoundSilence = 1500 * time.Millisecond
	// acceptedRetention is how long a connection that was accepted shows that an upstream is not
	// lost, and silenceProbeInterval the interval between two such connections from this entry.
	acceptedRetention    = 800 * time.Millisecond
	silenceProbeInterval = 400 * time.Millisecond
	// silenceProbeFraction is the fraction of the time after which an attempt has stalled from which
	// a connection is tried, so that its result is known by then.
	silenceProbeFraction = 0.5
)

// silentTarget is what this entry knows of a target that sends nothing. The target's mu guards it.
type silentTarget struct {
	probedAt   time.Time // when a connection was last tried
	acceptedAt time.Time // when one was last accepted
	pending    bool
}

// probeSilent finds out in the background whether a target that sends nothing accepts connections,
// unless that was done just before.
func (r *Relay) probeSilent(ctx context.Context, target *Target, now time.Time) {
	if r.Prober == nil {
		return
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.silence.pending || now.Sub(target.silence.probedAt) < silenceProbeInterval {
		return
	}
	target.silence.pending = true
	target.silence.probedAt = now
	ctx = context.WithoutCancel(ctx)
	go func() {
		accepted := r.Prober.Accepts(ctx, target.Address)
		target.mu.Lock()
		defer target.mu.Unlock()
		target.silence.pending = false
		if accepted {
			target.silence.acceptedAt = r.Clock.Now()
			r.incrementCounter("silent.accepting")
		}
	}()
}

// mayBeSound reports whether a target that has stalled may still work on a stream: it accepts
// connections and has been silent for less than maxSoundSilence. A request that may run any number of
// times is sent elsewhere sooner.
func (r *Relay) mayBeSound(repeat persimmoncross.RetryMode, target *Target, detector *stallDetector, now time.Time) bool {
	if repeat != persimmoncross.RetryResume {
		return false
	}
	lastReceived := detector.start.Add(time.Duration(detector.lastReceived.Load()))
	if now.Sub(lastReceived) >= maxSoundSilence {
		return false
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	return now.Sub(target.silence.acceptedAt) < acceptedRetention
}
