package admission

import "time"

// Parameters of a Window.
const (
	// maxBeginDelay is the time that an upstream may let requests wait. It covers a few times the age
	// of the loads, so that upstreams are never short of work; what waits longer is better kept at the
	// entry, where it can be ordered and refused.
	maxBeginDelay  = 2 * time.Second
	windowDecrease = 0.85 // factor of the limit when requests wait too long
	minWindow      = 1    // requests; an entry always finds out whether there is room
	baseWeight     = 0.05 // weight of one answer in the usual time to the head
)

// Window limits the requests of an entry that upstreams have not begun, so that they begin within
// about maxBeginDelay: additive increase, multiplicative decrease. It needs no news of what other
// entries send, whose requests the reported loads show too late. The zero value has no limit.
type Window struct {
	pending     int
	limit       float64 // 0 means no limit
	decreasedAt time.Time
	base        float64 // usual time to the head where nothing waits, in seconds
}

// Begun describes an attempt whose head was received, or that ended without one.
type Begun struct {
	SentAt   time.Time
	Received bool // the head was received
	// Waiting is the number of requests that waited at the upstream, as it last reported. An
	// upstream that is slow or gone without a queue says nothing of the room.
	Waiting int
}

// Open reports whether another request may be sent.
func (w *Window) Open() bool { return w.limit == 0 || float64(w.pending) < w.limit }

// Send counts a request as pending. Each is followed by one call of End.
func (w *Window) Send() { w.pending++ }

// End ends the wait for a head. The limit falls if the wait was too long because requests wait at
// the upstream, and not more than once for the requests that were sent under one limit.
func (w *Window) End(b Begun, now time.Time) {
	pending := w.pending
	w.pending--
	took := now.Sub(b.SentAt)
	late := took > maxBeginDelay+time.Duration(w.base*float64(time.Second))
	switch {
	case b.Received && b.Waiting == 0:
		w.base = mean(w.base, took.Seconds(), baseWeight)
		w.increase(pending)
	case late && b.Waiting > 0 && b.SentAt.After(w.decreasedAt):
		current := float64(pending)
		if w.limit > 0 {
			current = min(current, w.limit)
		}
		w.limit = max(current*windowDecrease, minWindow)
		w.decreasedAt = now
	case !late && b.Received:
		w.increase(pending)
	}
}

// increase raises the limit by one for each limit of answers, if the limit is used.
func (w *Window) increase(pending int) {
	if w.limit > 0 && float64(pending+1) >= w.limit {
		w.limit += 1 / w.limit
	}
}

// Idle reports whether no request is pending.
func (w *Window) Idle() bool { return w.pending == 0 }

// Limit returns the limit, 0 if there is none.
func (w *Window) Limit() float64 { return w.limit }
