package outlier

import "time"

// Of the time after which an upstream that sends nothing to anybody is taken for
// silent. One that still sends is only busy: its queue is not left, to be joined
// again elsewhere at the end.
const (
	headFactor    = 4.0 // times the head's expected time
	headObjective = 0.4 // of the route's objective at least
	// headLeast is used where a route has a short objective or none: several round
	// trips between regions and the work of a plain answer.
	headLeast = 200 * time.Millisecond
	// flowPart of a route's longest pause: what is left of it is for the stream to
	// go on elsewhere, which takes the reading of its prompt. It answers upstreams that
	// crash without a reset, and ones that turn slow.
	flowPart = 0.6
	// flowFactor is how many times the longest pause of a stream lately: beside a
	// long prompt an upstream sends every 0.45 s, and in a burst every 0.6 s.
	flowFactor = 2.0
	// flowing is the number of streams here from which an upstream's silence says as
	// much of a request that it has not begun as of them.
	flowing = 2
	// readFactor is how many times the reading that is awaited at an upstream: one
	// that reads a long prompt sends nothing to anybody, for seconds, and must not be
	// left by all its streams.
	readFactor = 2
	// pauseFade is the time in which the longest pause lately counts by half.
	pauseFade = time.Second
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
	flow := max(time.Duration(flowPart*float64(s.Pause)), time.Duration(flowFactor*float64(s.Usual)))
	if s.Doubted {
		flow /= 2
	}
	flow += s.Reading
	if s.Begun {
		return flow, s.Pause > 0
	}
	limit := max(time.Duration(headFactor*float64(s.Expected)), time.Duration(headObjective*float64(s.Objective)))
	if s.Pause > 0 && s.Streams >= flowing {
		limit = min(limit, flow)
	}
	return max(limit, headLeast, readFactor*s.Reading), true
}

// Pauses keeps the longest pause between events of an upstream's streams lately.
type Pauses struct {
	longest time.Duration
	at      time.Time
}

// Take notes a pause that ended now.
func (p *Pauses) Take(pause time.Duration, now time.Time) {
	if pause >= p.Longest(now) {
		p.longest = pause
		p.at = now
	}
}

// Longest returns the longest pause lately.
func (p *Pauses) Longest(now time.Time) time.Duration {
	age := max(now.Sub(p.at), 0)
	if age > 20*pauseFade {
		return 0
	}
	return time.Duration(float64(p.longest) / (1 + float64(age)/float64(pauseFade)))
}
