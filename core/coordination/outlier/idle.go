package outlier

import "time"

// Of the time after which an upstream that sends nothing to anybody is taken for
// silent. One that still sends is only busy: its queue is not left, to be joined
// again elsewhere at the end.
const (
	headerWaitFactor        = 4.0 // times the head's expected time
	headerObjectiveFraction = 0.4 // of the route's objective at least
	// minHeaderTimeout is used where a route has a short objective or none: several round
	// trips between regions and the work of a plain answer.
	minHeaderTimeout = 200 * time.Millisecond
	// pauseLimitFraction of a route's longest pause: what is left of it is for the stream to
	// go on elsewhere, which takes the reading of its prompt. It answers upstreams that
	// crash without a reset, and ones that turn slow.
	pauseLimitFraction = 0.6
	// recentPauseFactor is how many times the longest pause of a stream lately: beside a
	// long prompt an upstream sends every 0.45 s, and in a burst every 0.6 s.
	recentPauseFactor = 2.0
	// minActiveStreams is the number of streams here from which an upstream's silence says as
	// much of a request that it has not begun as of them.
	minActiveStreams = 2
	// prefillFactor is how many times the reading that is awaited at an upstream: one
	// that reads a long prompt sends nothing to anybody, for seconds, and must not be
	// left by all its streams.
	prefillFactor = 2
	// pauseHalfLife is the time in which the longest pause lately counts by half.
	pauseHalfLife = time.Second
)

// IdleState tells how long an upstream may send nothing.
type IdleState struct {
	ExpectedHeaderWait time.Duration // in which a head that is awaited should come; 0: not known
	Objective          time.Duration // of the route
	PauseLimit         time.Duration // the route's longest between events; 0: not told
	HeaderReceived     bool          // the head has come
	ActiveStreams      int           // of this entry that have begun at the upstream
	RecentPause        time.Duration // their longest pause lately
	PendingPrefill     time.Duration // that the prompts take which are awaited at the upstream
	SuspectedByOthers  bool          // other entries doubt the upstream
}

// Timeout returns the time of silence after which the attempt is ended; false if
// nothing limits it.
func (s IdleState) Timeout() (time.Duration, bool) {
	streamTimeout := max(time.Duration(pauseLimitFraction*float64(s.PauseLimit)), time.Duration(recentPauseFactor*float64(s.RecentPause)))
	if s.SuspectedByOthers {
		streamTimeout /= 2
	}
	streamTimeout += s.PendingPrefill
	if s.HeaderReceived {
		return streamTimeout, s.PauseLimit > 0
	}
	headerTimeout := max(time.Duration(headerWaitFactor*float64(s.ExpectedHeaderWait)), time.Duration(headerObjectiveFraction*float64(s.Objective)))
	if s.PauseLimit > 0 && s.ActiveStreams >= minActiveStreams {
		headerTimeout = min(headerTimeout, streamTimeout)
	}
	return max(headerTimeout, minHeaderTimeout, prefillFactor*s.PendingPrefill), true
}

// PauseTracker keeps the longest pause between events of an upstream's streams lately.
type PauseTracker struct {
	longest    time.Duration
	recordedAt time.Time
}

// Record notes a pause that ended now.
func (p *PauseTracker) Record(pause time.Duration, now time.Time) {
	if pause >= p.Longest(now) {
		p.longest = pause
		p.recordedAt = now
	}
}

// Longest returns the longest pause lately.
func (p *PauseTracker) Longest(now time.Time) time.Duration {
	age := max(now.Sub(p.recordedAt), 0)
	if age > 20*pauseHalfLife {
		return 0
	}
	return time.Duration(float64(p.longest) / (1 + float64(age)/float64(pauseHalfLife)))
}
