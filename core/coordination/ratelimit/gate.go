// Package ratelimit keeps to what upstreams say they take: how many requests a second from all
// entries together ([Gate], [Board]), and for how long none from this one ([Rest]). It has no
// I/O and no clock.
//
// No entry can ask another before each request, and who may use a limit, if a leader told it,
// would have to be told anew at each loss of an entry or of the leader. So each entry knows
// how many there are, and sends at its part of the limit, in slots that begin at a moment drawn by
// lot. What one has heard of a limit all are told ([Board]): the first answers alone would
// let each entry find out by a request of its own.
package ratelimit

import (
	"math"
	"time"
)

// What an upstream bears: over times its limit in any window, and slack requests.
const (
	window = 4 * time.Second
	over   = 1.5
	slack  = 5
)

const (
	// open is how long a slot lasts that is not used. Slots that stayed open would be
	// used at all entries at once when the other upstreams are lost.
	open = time.Second
	// leastPart is the part of a limit that is used by however many entries.
	leastPart = 0.5
	partStep  = 0.25
	// deviations of the number of slots in a window that are to stay within what is borne.
	deviations = 5
	// same is by which part of a limit, or of a number of entries, another one may
	// differ without the slots being drawn again.
	same = 0.1
)

// part returns the part of the limit that so many entries use. Few keep to it exactly; the
// slots of many fall together by chance.
func part(rate float64, entries int) float64 {
	borne := over*rate*window.Seconds() + slack
	for p := 1.0; p > leastPart; p -= partStep {
		mean := p * rate * (window + open).Seconds()
		if mean+min(float64(entries), deviations*math.Sqrt(mean)) <= borne {
			return p
		}
	}
	return leastPart
}

// near reports whether two numbers are the same for the slots.
func near(a, b float64) bool { return math.Abs(a-b) <= same*min(a, b) }

// Gate is what one entry knows of one upstream's limit. The zero value is of one that has
// named none.
type Gate struct {
	rate    float64 // 0: none
	entries int
	sent    time.Time // when a request was sent last
	named   time.Time // when the limit was named last
	rested  time.Time // before it no slot begins
	from    time.Time // the first slot begins
	pause   time.Duration
	used    int // slots that are over or used
}

// Name takes that the upstream names the limit. phase, in [0, 1), is where in the first
// pause the first slot begins. It reports whether that is news.
func (g *Gate) Name(rate float64, entries int, now time.Time, phase float64) (news bool) {
	g.named = now
	before := g.rate
	if before > 0 && near(before, rate) {
		return false
	}
	g.rate = rate
	g.plan(entries, now, phase)
	return true
}

// Share takes how many entries there are now.
func (g *Gate) Share(entries int, now time.Time, phase float64) {
	if g.rate > 0 && !near(float64(g.entries), float64(entries)) {
		g.plan(entries, now, phase)
	}
}

// plan lays the slots. What this entry has just sent is taken to be its part of a window.
func (g *Gate) plan(entries int, now time.Time, phase float64) {
	g.entries = max(entries, 1)
	g.pause = time.Duration(float64(g.entries) / (part(g.rate, g.entries) * g.rate) * float64(time.Second))
	g.rested = now
	if !g.sent.IsZero() && now.Sub(g.sent) < window {
		g.rested = g.sent.Add(window)
	}
	g.from = g.rested.Add(time.Duration(phase * float64(g.pause)))
	g.used = 0
}

// Answered takes an answer that names no limit, to a request that was sent then. It
// reports whether that lifts one: the upstream has to have named it before.
func (g *Gate) Answered(sent time.Time) (lifted bool) {
	if g.rate == 0 || !sent.After(g.named) {
		return false
	}
	g.Lift()
	return true
}

// Lift ends the limit.
func (g *Gate) Lift() { g.rate = 0 }

// Rate returns the limit, 0 if there is none.
func (g *Gate) Rate() float64 { return g.rate }

// Allows reports whether a request may be sent now.
func (g *Gate) Allows(now time.Time) bool {
	if g.rate == 0 {
		return true
	}
	n, since := g.slot(now)
	return n >= g.used && since >= 0 && since < open
}

// Take reports the same, and notes that a request is sent if so.
func (g *Gate) Take(now time.Time) bool {
	if !g.Allows(now) {
		return false
	}
	g.sent = now
	if g.rate > 0 {
		n, _ := g.slot(now)
		g.used = n + 1
	}
	return true
}

// Weight returns for how many entries this one sends to the upstream while its slot is open: those
// whose slots are shut send nothing there. Placed as if for itself alone, most slots would
// be over before a request comes that has its home there.
func (g *Gate) Weight() float64 {
	if g.rate == 0 {
		return 1
	}
	return max(float64(g.pause)/float64(open), 1)
}

// slot returns the number of the slot that began last, and when; negative before the first.
func (g *Gate) slot(now time.Time) (n int, since time.Duration) {
	d := now.Sub(g.from)
	if d < 0 {
		return -1, d
	}
	n = int(d / g.pause)
	return n, d - time.Duration(n)*g.pause
}

// Wait returns in which time some entry may send a request to the upstream, 0 if there is no
// limit.
func (g *Gate) Wait(now time.Time) time.Duration {
	if g.rate == 0 {
		return 0
	}
	return max(g.rested.Sub(now), 0) + g.pause/time.Duration(g.entries)
}
