package relay

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// fleetLoadDelay is the assumed age of a FleetLoad on arrival. It is half the interval of the
// entries' reports plus half the interval of updates, with two controllers on the way.
const fleetLoadDelay = 500 * time.Millisecond

// FleetLoad is the load and state of an upstream as observed by all entries together.
type FleetLoad struct {
	InstanceID        string
	Reported          *persimmoncross.UpstreamLoad // reported by the upstream, without its slots; nil if not recently
	ReportAge         time.Duration                // age of Reported at the controller
	PrefillTime       time.Duration                // total prefill time of the prompts whose response heads are pending
	SuspectingEntries int                          // number of entries that suspect the upstream
	Received          bool                         // an entry recently received bytes from the upstream
	SinceReceived     time.Duration                // time since the last bytes were received, as measured at the controller
}

// fleetState is the last FleetLoad of a target.
type fleetState struct {
	FleetLoad
	asOf time.Time // when the values of FleetLoad are assumed to have been current
}

// reportedAt returns when the target reported its load, zero if it did not recently.
func (f fleetState) reportedAt() time.Time {
	if f.Reported == nil {
		return time.Time{}
	}
	return f.asOf.Add(-f.ReportAge)
}

// receivedAt returns when any entry last received bytes from the target, zero if none did
// recently.
func (f fleetState) receivedAt() time.Time {
	if !f.Received {
		return time.Time{}
	}
	return f.asOf.Add(-f.SinceReceived)
}

// EntryLoad is the load and state of an upstream as observed by this entry.
type EntryLoad struct {
	InstanceID    string
	Reported      *persimmoncross.UpstreamLoad // nil if the upstream reported none since the previous CollectLoads
	ReportedAt    time.Time                    // when Reported was received
	PrefillTime   time.Duration                // total prefill time of this entry's prompts whose response heads are pending
	Suspected     bool
	Received      bool          // bytes were received since the previous CollectLoads
	SinceReceived time.Duration // time since the last bytes were received
	HeldTokens    int           // tokens that this entry's requests hold
}

// CollectLoads returns the observations of this entry that the other entries may not have.
func (p *Pool) CollectLoads() []EntryLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var loads []EntryLoad
	for instanceID, t := range p.byInstanceID {
		l := t.collectLoad(now)
		l.Suspected = l.Suspected && (p.HasLostPath == nil || !p.HasLostPath(t.Address, now))
		if l.Reported == nil && l.PrefillTime == 0 && !l.Suspected && !l.Received && l.HeldTokens == 0 {
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
	l.HeldTokens = t.capacity.heldSince(time.Time{})
	return l
}

// ApplyFleetLoads applies the observations of all entries to the targets.
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

// isAvoidedByFleet reports whether other targets are preferred because several entries suspect
// this one and no entry has recently received a load report from it. chance is a random number
// between 0 and 1 that lets a few requests probe whether the target works again.
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

// isSuspectedByOthers reports whether a quorum of entries suspects the target, so that the cause
// is not this entry's link.
func (t *Target) isSuspectedByOthers(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.SuspectingEntries >= outlier.SuspicionQuorum && now.Sub(t.fleet.asOf) <= maxLoadAge
}

// pendingSince returns the number of requests that were sent after the given time and whose
// response heads are pending, and the total prefill time of their prompts. The caller holds mu.
func (t *Target) pendingSince(sentAfter time.Time) (n int, prefillTime time.Duration) {
	for _, pending := range t.pendingHeads {
		if pending.sentAt.After(sentAfter) {
			n++
			prefillTime += pending.prefillTime
		}
	}
	return n, prefillTime
}

// pendingPrefill estimates the total prefill time of the prompts that the target has to process
// now. It covers the pending prompts of all entries and those that this entry has sent since.
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

// fleetRequestEstimate estimates the number of requests at the target from the load that the
// target reported to any entry. The report is about half a second old, so the estimate is useful
// where requests last longer than that.
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
