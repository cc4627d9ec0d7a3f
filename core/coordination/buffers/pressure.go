package buffers

import "time"

// Parameters of [Pressure].
const (
	// fullFraction and clearedFraction of the limit begin and end pressure.
	fullFraction    = 0.875
	clearedFraction = 0.5
	// fullTime is over what a burst needs to be read and answered.
	fullTime = 2 * time.Second
	// maxAwayTime and minBackTime keep the entry away from callers for less than a tenth of the
	// time: a load balancer needs two checks, a second apart, to notice, and the other entries bear the load.
	maxAwayTime = 3 * time.Second
	minBackTime = 30 * time.Second
)

// Pressure decides when callers should use other entries because this one has held nearly all bytes
// that it may hold for a while. Pressure is not safe for concurrent use.
type Pressure struct {
	fullSince time.Time // zero: the bytes are not near the limit
	awaySince time.Time // zero: the entry takes callers
	backSince time.Time // when the entry last began to take callers again
}

// Update applies the bytes held at the given time. It reports whether callers should use other
// entries, and whether that has changed.
func (p *Pressure) Update(held, limit int64, now time.Time) (away, changed bool) {
	full := float64(held) >= fullFraction*float64(limit)
	cleared := float64(held) <= clearedFraction*float64(limit)
	switch {
	case cleared || p.fullSince.IsZero() && !full:
		p.fullSince = time.Time{}
	case p.fullSince.IsZero():
		p.fullSince = now
	}
	if !p.awaySince.IsZero() {
		if !cleared && now.Sub(p.awaySince) < maxAwayTime {
			return true, false
		}
		p.awaySince = time.Time{}
		p.backSince = now
		return false, true
	}
	if p.fullSince.IsZero() || now.Sub(p.fullSince) < fullTime {
		return false, false
	}
	if !p.backSince.IsZero() && now.Sub(p.backSince) < minBackTime {
		return false, false
	}
	p.awaySince = now
	return true, true
}
