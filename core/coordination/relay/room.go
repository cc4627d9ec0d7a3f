package relay

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/admission"
)

// targetsWithRoom returns the targets that would begin a request within maxDelay.
func targetsWithRoom(targets []*Target, inflow admission.Inflow, maxDelay time.Duration, now time.Time) []*Target {
	var withRoom []*Target
	for _, u := range targets {
		free := u.Slots - int(u.fleetRequestEstimate(now))
		delay := max(u.beginDelay(inflow.HoldTime, now), u.queueDelay(inflow.HoldTime, now))
		if delay+inflow.Delay(u.Slots, free) <= maxDelay {
			withRoom = append(withRoom, u)
		}
	}
	return withRoom
}

// queueDelay estimates how long the requests that the target reported as waiting delay a new one.
// An engine may let requests wait while slots are free, if its memory or prefill is the limit.
func (t *Target) queueDelay(holdTime time.Duration, now time.Time) time.Duration {
	return time.Duration(t.queueAhead(now) * float64(holdTime))
}

// queueAhead returns the number of requests that wait at the target before a new one, as a multiple
// of those that run there. It is 0 if the target has not recently reported that any wait.
func (t *Target) queueAhead(now time.Time) float64 {
	load, sentSince := t.latestLoad(now)
	if load == nil || load.Waiting == 0 {
		return 0
	}
	return float64(load.Waiting+sentSince+1) / float64(max(load.Running, 1))
}

// latestLoad returns the last load that the target reported to any entry, and the number of
// requests of this entry since whose heads are pending. The load is nil if it is too old.
func (t *Target) latestLoad(now time.Time) (load *persimmoncross.UpstreamLoad, sentSince int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest, at := t.reportedLoad, t.reportedAt
	if fleetAt := t.fleet.reportedAt(); fleetAt.After(at) {
		latest, at = *t.fleet.Reported, fleetAt
	}
	if now.Sub(at) > maxLoadAge {
		return nil, 0
	}
	sentSince, _ = t.pendingSince(at)
	return &latest, sentSince
}
