package relay

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// fleetLoadDelay is how old what all entries know is taken to be when it comes: half
// the interval of accounts and of updates, over two controllers.
const fleetLoadDelay = 500 * time.Millisecond

// FleetLoad is what all entries together know of an upstream.
type FleetLoad struct {
	InstanceID        string
	Reported          *persimmoncross.UpstreamLoad // by the upstream, without its slots; nil: not lately
	ReportAge         time.Duration                // of Told, at the controller
	PrefillTime       time.Duration                // that the prompts take to be read whose answers have not begun
	SuspectingEntries int                          // entries
	Received          bool                         // bytes came from it lately
	SinceReceived     time.Duration                // since then, at the controller
}

// fleetState is the same, kept with its target.
type fleetState struct {
	FleetLoad
	asOf time.Time // to which Work and Doubters belong
}

// reportedAt returns when the target reportedAt its load, zero if not lately.
func (f fleetState) reportedAt() time.Time {
	if f.Reported == nil {
		return time.Time{}
	}
	return f.asOf.Add(-f.ReportAge)
}

// receivedAt returns when bytes came from the target to any entry, zero if not lately.
func (f fleetState) receivedAt() time.Time {
	if !f.Received {
		return time.Time{}
	}
	return f.asOf.Add(-f.SinceReceived)
}

// EntryLoad is what this entry knows of an upstream.
type EntryLoad struct {
	InstanceID    string
	Reported      *persimmoncross.UpstreamLoad // nil: nothing since the call before
	ReportedAt    time.Time                    // of Told
	PrefillTime   time.Duration                // of this entry's own prompts
	Suspected     bool
	Received      bool          // bytes came since the call before
	SinceReceived time.Duration // since then
}

// CollectLoads returns what this entry knows that the others may not.
func (p *Pool) CollectLoads() []EntryLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var loads []EntryLoad
	for instanceID, t := range p.byInstanceID {
		l := t.collectLoad(now)
		if l.Reported == nil && l.PrefillTime == 0 && !l.Suspected && !l.Received {
			continue
		}
		l.InstanceID = instanceID
		loads = append(loads, l)
	}
	return loads
}

func (t *Target) collectLoad(now time.Time) EntryLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := EntryLoad{
		Suspected: t.addressReuse.IsActive(now) || t.suspicion.ShouldReport(t.breaker.IsOpen(), now),
	}
	if t.loadUnpublished {
		reported := t.reportedLoad
		l.Reported = &reported
		l.ReportedAt = t.reportedAt
		t.loadUnpublished = false
	}
	if received := t.lastReceived.Load(); received > t.lastReceivedPublished {
		l.Received = true
		l.SinceReceived = max(now.Sub(t.clockOrigin.Add(time.Duration(received))), 0)
		t.lastReceivedPublished = received
	}
	_, l.PrefillTime = t.pendingSince(time.Time{})
	return l
}

// ApplyFleetLoads takes what all entries know.
func (p *Pool) ApplyFleetLoads(loads []FleetLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := p.Clock.Now().Add(-fleetLoadDelay)
	for _, l := range loads {
		if t := p.byInstanceID[l.InstanceID]; t != nil {
			t.applyFleetLoad(l, asOf)
		}
	}
}

func (t *Target) applyFleetLoad(l FleetLoad, asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = fleetState{
		FleetLoad: l,
		asOf:      asOf,
	}
}

// isAvoidedByFleet reports whether other targets are to be preferred for what other
// entries know: several doubt it and it has answered none. chance is between 0
// and 1; by it a few requests try whether it works again.
func (t *Target) isAvoidedByFleet(now time.Time, entryCount int, chance float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.fleet.asOf) > maxLoadAge {
		return false
	}
	shared := outlier.FleetSuspicion{
		SuspectingEntries: t.fleet.SuspectingEntries,
		LoadReportAge:     now.Sub(t.fleet.reportedAt()) - fleetLoadDelay,
		Entries:           entryCount,
	}
	return shared.ShouldAvoid(chance)
}

// isSuspectedByOthers reports whether so many entries doubt the target that it is not
// this one's link.
func (t *Target) isSuspectedByOthers(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.SuspectingEntries >= outlier.SuspicionQuorum && now.Sub(t.fleet.asOf) <= maxLoadAge
}

// pendingSince counts the requests whose heads are awaited and that were sent after the
// time, and adds up the reading of their prompts. The caller holds mu.
func (t *Target) pendingSince(sentAfter time.Time) (n int, prefillTime time.Duration) {
	for _, a := range t.pendingHeads {
		if a.sentAt.After(sentAfter) {
			n++
			prefillTime += a.prefillTime
		}
	}
	return n, prefillTime
}

// pendingPrefill estimates how long the prompts take to be read that the target has to
// read now: what all entries await there, and what this one has sent since.
func (t *Target) pendingPrefill(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, own := t.pendingSince(time.Time{})
	if now.Sub(t.fleet.asOf) > maxLoadAge {
		return own
	}
	_, sentSince := t.pendingSince(t.fleet.asOf)
	return max(t.fleet.PrefillTime+sentSince, own)
}

// fleetRequestEstimate estimates the requests at the target from what it told any entry. It is
// half a second old: of use where requests last longer than that.
func (t *Target) fleetRequestEstimate(now time.Time) float64 {
	t.mu.Lock()
	fleet := t.fleet
	reportedAt := fleet.reportedAt()
	sentSince, _ := t.pendingSince(reportedAt)
	newer := reportedAt.After(t.reportedAt) && now.Sub(reportedAt) <= maxLoadAge
	t.mu.Unlock()
	if !newer {
		return t.requestEstimate(now)
	}
	return max(float64(fleet.Reported.Running+fleet.Reported.Waiting+sentSince), float64(t.inFlight.Load()))
}
