// Package ratelimit enforces the limits that upstreams set in their responses: a request
// rate that all entries share ([Limiter], [Store]), and a backoff of this process alone
// ([Backoff]). It has no I/O and no clock.
//
// Entries can't coordinate on each request, and leases from a leader would have to be
// reassigned whenever an entry or the leader is lost. So every entry takes an equal share
// of the rate, in time slots at a random phase. Observed limits are replicated to all
// entries; otherwise each of them would have to send a request of its own to observe a limit.
package ratelimit

import (
	"math"
	"time"
)

// In any window, an upstream tolerates overshoot times the number of requests that its limit
// allows, plus burst requests.
const (
	window    = 4 * time.Second
	overshoot = 1.5
	burst     = 5
)

const (
	// slotLength limits how long an unused slot stays open. Otherwise the slots of all
	// entries would be open after an idle period, and be used at once when the other
	// upstreams fail.
	slotLength = time.Second
	// minShare is the minimum part of a limit that the entries use together.
	minShare  = 0.5
	shareStep = 0.25 // step by which usableShare reduces the part
	// maxDeviations is the number of standard deviations above the mean number of slots in a
	// window that the upstream has to tolerate.
	maxDeviations = 5
	// relativeTolerance is the relative change of a limit, or of the number of entries, below
	// which the slots stay as they are.
	relativeTolerance = 0.1
	// unheardRetention is how long a request counts that an upstream which sends nothing may not have
	// received. It ends, because the upstream can only be heard again if it is sent something.
	unheardRetention = 2 * window
)

// usableShare returns the part of the limit that the entries use together. With few entries,
// their number limits how many slots can coincide; with many, slots coincide at random.
func usableShare(rate float64, entries int) float64 {
	tolerated := overshoot*rate*window.Seconds() + burst
	for share := 1.0; share > minShare; share -= shareStep {
		meanSlots := share * rate * (window + slotLength).Seconds()
		if meanSlots+min(float64(entries), maxDeviations*math.Sqrt(meanSlots)) <= tolerated {
			return share
		}
	}
	return minShare
}

// withinTolerance reports whether two numbers are within the tolerance.
func withinTolerance(a, b float64) bool { return math.Abs(a-b) <= relativeTolerance*min(a, b) }

// Limiter is one entry's share of one upstream's limit. The zero value does not limit.
// It is not safe for concurrent use.
type Limiter struct {
	rate         float64 // requests per second of all entries; 0: no limit
	entries      int
	share        float64 // part of the limit that this entry uses; 0: an equal part
	lastSent     time.Time
	lastObserved time.Time // when SetLimit was called last
	notBefore    time.Time // no slot starts earlier
	firstSlot    time.Time // start of the first slot
	period       time.Duration
	nextSlot     int // index of the first unused slot
	// unheard are the times of the requests since which the upstream has sent nothing. It may receive them
	// together, when it goes on. They are kept if hears is set.
	unheard []time.Time
	hears   bool // SetHeard was called
}

// SetLimit sets the limit that a response to this entry or to another one contained. phase, in
// [0, 1), is the position of the first slot in the first period. SetLimit reports whether the
// limit has changed.
func (l *Limiter) SetLimit(rate float64, entries int, now time.Time, phase float64) (changed bool) {
	l.lastObserved = now
	if l.rate > 0 && withinTolerance(l.rate, rate) {
		return false
	}
	l.rate = rate
	l.schedule(entries, now, phase)
	return true
}

// SetEntries sets the number of entries that share the limit.
func (l *Limiter) SetEntries(entries int, now time.Time, phase float64) {
	if l.rate > 0 && !withinTolerance(float64(l.entries), float64(entries)) {
		l.schedule(entries, now, phase)
	}
}

// schedule sets the period and the start of the slots. A request that was sent less than a
// window ago counts as this entry's share of that window.
func (l *Limiter) schedule(entries int, now time.Time, phase float64) {
	l.entries = max(entries, 1)
	l.period = l.slotPeriod()
	l.notBefore = now
	if !l.lastSent.IsZero() && now.Sub(l.lastSent) < window {
		l.notBefore = l.lastSent.Add(window)
	}
	l.firstSlot = l.notBefore.Add(time.Duration(phase * float64(l.period)))
	l.nextSlot = 0
}

// slotPeriod returns the time between two slots of this entry.
func (l *Limiter) slotPeriod() time.Duration {
	share := l.share
	if share == 0 {
		share = 1 / float64(l.entries)
	}
	return time.Duration(float64(time.Second) / (share * usableShare(l.rate, l.entries) * l.rate))
}

// SetShare sets the part of the limit that this entry uses, 0 for an equal part. The slots go on with the new period,
// since the parts of the other entries change by as much.
func (l *Limiter) SetShare(share float64, now time.Time) {
	if share == l.share || share > 0 && l.share > 0 && withinTolerance(share, l.share) {
		return
	}
	l.share = share
	if l.rate == 0 {
		return
	}
	l.period = l.slotPeriod()
	l.firstSlot = now
	if next := l.lastSent.Add(l.period); next.After(now) {
		l.firstSlot = next
	}
	l.notBefore = now
	l.nextSlot = 0
}

// HandleUnlimited handles a response without a limit to a request that was sent at the given
// time, and reports whether the response ends the limit. The response to a request that was
// sent before the limit was last observed does not, because it may be older than the limit.
func (l *Limiter) HandleUnlimited(sent time.Time) (ended bool) {
	if l.rate == 0 || !sent.After(l.lastObserved) {
		return false
	}
	l.Clear()
	return true
}

// Clear ends the limit.
func (l *Limiter) Clear() { l.rate = 0 }

// Rate returns the limit, 0 if there is none.
func (l *Limiter) Rate() float64 { return l.rate }

// maxUnheard returns how many requests of this entry a silent upstream may receive together, beside those of the
// slots after that.
func (l *Limiter) maxUnheard() int {
	share := l.share
	if share == 0 {
		share = 1 / float64(l.entries)
	}
	tolerated := share * (overshoot*l.rate*window.Seconds() + burst)
	inSlots := float64(window+slotLength)/float64(l.period) + 1
	return max(int(tolerated-inSlots), 1)
}

// SetHeard sets when the upstream last sent something. A silent upstream is only known by it.
func (l *Limiter) SetHeard(at, now time.Time) {
	l.hears = true
	for len(l.unheard) > 0 && (!l.unheard[0].After(at) || now.Sub(l.unheard[0]) > unheardRetention) {
		l.unheard = l.unheard[1:]
	}
}

// CanSend reports whether a request may be sent now.
func (l *Limiter) CanSend(now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	if len(l.unheard) >= l.maxUnheard() {
		return false
	}
	slot, elapsed := l.slotAt(now)
	return slot >= l.nextSlot && elapsed >= 0 && elapsed < slotLength
}

// TryAcquire reports whether a request may be sent now, and uses the slot if so.
func (l *Limiter) TryAcquire(now time.Time) bool {
	if !l.CanSend(now) {
		return false
	}
	l.lastSent = now
	if l.rate > 0 {
		slot, _ := l.slotAt(now)
		l.nextSlot = slot + 1
		if l.hears {
			l.unheard = append(l.unheard, now)
		}
	}
	return true
}

// Weight returns the number of entries for which this entry sends while its slot is open,
// because on average only one entry in that many has an open slot. With a weight of 1, most
// slots would pass before a request arrives whose preferred upstream this is.
func (l *Limiter) Weight() float64 {
	if l.rate == 0 {
		return 1
	}
	return max(float64(l.period)/float64(slotLength), 1)
}

// slotAt returns the index of the latest slot and the time since it started. The index is
// negative before the first slot.
func (l *Limiter) slotAt(now time.Time) (index int, elapsed time.Duration) {
	sinceFirst := now.Sub(l.firstSlot)
	if sinceFirst < 0 {
		return -1, sinceFirst
	}
	index = int(sinceFirst / l.period)
	return index, sinceFirst - time.Duration(index)*l.period
}

// ExpectedWait returns the expected time until some entry may send a request, 0 without a limit.
func (l *Limiter) ExpectedWait(now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return max(l.notBefore.Sub(now), 0) + time.Duration(float64(time.Second)/(usableShare(l.rate, l.entries)*l.rate))
}
