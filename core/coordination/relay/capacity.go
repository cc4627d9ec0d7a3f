package relay

import "time"

// beginDelay estimates how long the target takes to begin a request that this entry sends now,
// without the prefill of its prompt. holdTime is the mean time for which a request of the service
// holds a slot.
func (t *Target) beginDelay(holdTime time.Duration, now time.Time) time.Duration {
	slots := float64(max(t.Slots, 1))
	excess := max(t.fleetRequestEstimate(now)+1-slots, 0)
	return time.Duration(excess / slots * float64(holdTime))
}
