package outlier

import "time"

// Parameters of the idle timeout of an upstream that sends nothing to this entry at all. An
// upstream that still sends events is only busy, and a request that left its queue would join
// another queue at the end.
const (
	headWaitFactor        = 4.0 // factor of the expected wait for the response head
	headObjectiveFraction = 0.4 // minimum, as a fraction of the route's objective
	// minHeadTimeout is the minimum timeout, for routes with a short objective or none. It
	// covers several round trips between regions and the processing of a simple request.
	minHeadTimeout = 200 * time.Millisecond
	// pauseLimitFraction is the fraction of the route's pause limit after which a stream is
	// ended, because upstreams may crash without a reset or become slow. The rest of the
	// limit is for another upstream, which has to prefill the prompt to continue the stream.
	pauseLimitFraction = 0.6
	// recentPauseFactor is the factor of the longest recent pause. While an upstream prefills
	// a long prompt it sends events every 0.45 s, and in a burst every 0.6 s.
	recentPauseFactor = 2.0
	// minActiveStreams is the number of active streams of this entry from which their timeout
	// also applies to a request that has no response head yet.
	minActiveStreams = 2
	// prefillFactor is the factor of the pending prefill time in the minimum timeout of a
	// response head. An upstream that prefills a long prompt sends nothing at all for seconds.
	// Its streams must not be ended because of that, so their timeout is extended by the
	// pending prefill time itself.
	prefillFactor = 2
	// pauseHalfLife is the age at which a recorded pause counts by half.
	pauseHalfLife = time.Second
)

// IdleState holds the inputs of the idle timeout of an attempt.
type IdleState struct {
	ExpectedHeadWait  time.Duration // expected wait for the response head; 0: not known
	Objective         time.Duration // latency objective of the route
	PauseLimit        time.Duration // longest pause between events that the route allows; 0: no limit
	HeadReceived      bool          // the response head has been received
	ActiveStreams     int           // streams of this entry that have started at the upstream
	RecentPause       time.Duration // longest recent pause of those streams
	PendingPrefill    time.Duration // prefill time of the prompts that wait at the upstream
	SuspectedByOthers bool          // a quorum of entries suspects the upstream (see SuspicionQuorum)
}

// Timeout returns the time after which an attempt at an upstream that sends nothing is ended,
// and false if there is no limit.
func (s IdleState) Timeout() (time.Duration, bool) {
	streamTimeout := max(time.Duration(pauseLimitFraction*float64(s.PauseLimit)), time.Duration(recentPauseFactor*float64(s.RecentPause)))
	if s.SuspectedByOthers {
		streamTimeout /= 2
	}
	streamTimeout += s.PendingPrefill
	if s.HeadReceived {
		return streamTimeout, s.PauseLimit > 0
	}
	headTimeout := max(time.Duration(headWaitFactor*float64(s.ExpectedHeadWait)), time.Duration(headObjectiveFraction*float64(s.Objective)))
	if s.PauseLimit > 0 && s.ActiveStreams >= minActiveStreams {
		headTimeout = min(headTimeout, streamTimeout)
	}
	return max(headTimeout, minHeadTimeout, prefillFactor*s.PendingPrefill), true
}

// PauseTracker tracks the longest recent pause between events of an upstream's streams. A
// pause decays hyperbolically with its age (see pauseHalfLife).
type PauseTracker struct {
	longest    time.Duration
	recordedAt time.Time
}

// Record records a pause that ended now.
func (p *PauseTracker) Record(pause time.Duration, now time.Time) {
	if pause >= p.Longest(now) {
		p.longest = pause
		p.recordedAt = now
	}
}

// Longest returns the longest recent pause, reduced by its age.
func (p *PauseTracker) Longest(now time.Time) time.Duration {
	age := max(now.Sub(p.recordedAt), 0)
	if age > 20*pauseHalfLife {
		return 0
	}
	return time.Duration(float64(p.longest) / (1 + float64(age)/float64(pauseHalfLife)))
}
