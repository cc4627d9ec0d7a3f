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

// Silence tells how long an upstream may send nothing.
type Silence struct {
	Expected  time.Duration // in which a head that is awaited should come; 0: not known
	Objective time.Duration // of the route
	Pause     time.Duration // the route's longest between events; 0: not told
	Begun     bool          // the head has come
	Streams   int           // of this entry that have begun at the upstream
	Usual     time.Duration // their longest pause lately
	Reading   time.Duration // that the prompts take which are awaited at the upstream
	Doubted   bool          // other entries doubt the upstream
}

// Limit returns the time of silence after which the attempt is ended; false if
// nothing limits it.
func (s Silence) Limit() (time.Duration, bool) {
	streamTimeout := max(time.Duration(pauseLimitFraction*float64(s.Pause)), time.Duration(recentPauseFactor*float64(s.Usual)))
	if s.Doubted {
		streamTimeout /= 2
	}
	streamTimeout += s.Reading
	if s.Begun {
		return streamTimeout, s.Pause > 0
	}
	headerTimeout := max(time.Duration(headerWaitFactor*float64(s.Expected)), time.Duration(headerObjectiveFraction*float64(s.Objective)))
	if s.Pause > 0 && s.Streams >= minActiveStreams {
		headerTimeout = min(headerTimeout, streamTimeout)
	}
	return max(headerTimeout, minHeaderTimeout, prefillFactor*s.Reading), true
}

// Pauses keeps the longest pause between events of an upstream's streams lately.
type Pauses struct {
	longest    time.Duration
	recordedAt time.Time
}

// Take notes a pause that ended now.
func (p *Pauses) Take(pause time.Duration, now time.Time) {
	if pause >= p.Longest(now) {
		p.longest = pause
		p.recordedAt = now
	}
}

// Longest returns the longest pause lately.
func (p *Pauses) Longest(now time.Time) time.Duration {
	age := max(now.Sub(p.recordedAt), 0)
	if age > 20*pauseHalfLife {
		return 0
	}
	return time.Duration(float64(p.longest) / (1 + float64(age)/float64(pauseHalfLife)))
}
