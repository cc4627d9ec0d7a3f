package node

import "time"

const (
	// refusalTime is the time over which the part of refused connections is measured, and maxRefusal the part from which
	// the load balancer is told to send callers elsewhere. It asks once a second.
	refusalTime = 400 * time.Millisecond
	maxRefusal  = 0.5
)

// refusalShare measures the part of the time in which connections are refused.
type refusalShare struct {
	closedAt time.Time // since when they are; zero: they are not
	since    time.Time // when the measurement began; zero: no limit is in force
	closed   time.Duration
	most     bool
}

// set records that connections are refused from now on, or not.
func (r *refusalShare) set(closed bool, now time.Time) {
	if !r.closedAt.IsZero() {
		r.closed += now.Sub(r.closedAt)
		r.closedAt = time.Time{}
	}
	if closed {
		r.closedAt = now
	}
}

// isMost reports whether connections were refused for most of a refusalTime or more, and a limit has been in force since.
func (r *refusalShare) isMost(inForce bool, now time.Time) bool {
	r.set(!r.closedAt.IsZero(), now)
	if !inForce {
		*r = refusalShare{}
		return false
	}
	if r.since.IsZero() {
		r.since = now
		r.closed = 0
	}
	if elapsed := now.Sub(r.since); elapsed >= refusalTime {
		r.most = r.most || float64(r.closed) > maxRefusal*float64(elapsed)
		r.since = now
		r.closed = 0
	}
	return r.most
}
