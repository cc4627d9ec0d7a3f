package adaptivelimit

import "time"

// baseTime is how long the least delay is remembered at least, so that it follows paths and processors that become
// slower for good.
const baseTime = 30 * time.Second

// base is the least delay of the last baseTime to twice that. The zero value knows none.
type base struct {
	known             bool // a delay was recorded before
	current, previous time.Duration
	since             time.Time // when current began
}

// excess records a delay, and returns by how much it exceeds the least one.
func (b *base) excess(delay time.Duration, now time.Time) time.Duration {
	switch {
	case b.since.IsZero():
		b.current, b.previous, b.since = delay, delay, now
	case now.Sub(b.since) >= baseTime:
		b.current, b.previous, b.since = delay, b.current, now
	default:
		b.current = min(b.current, delay)
	}
	return delay - b.least()
}

// least returns the least delay.
func (b *base) least() time.Duration { return min(b.current, b.previous) }
