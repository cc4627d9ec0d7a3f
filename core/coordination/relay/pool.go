package relay

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/coordination/slowstart"
)

// maxLoadAge is how long an upstream's own word on its load is used. Past it only
// this entry's own requests are counted.
const maxLoadAge = 2 * time.Second

// Of the estimate of how long a target takes to begin an answer: the weight of
// one answer, and the time in which an estimate that is not renewed halves.
const (
	timeToHeadWeight   = 0.3
	timeToHeadHalfLife = 1500 * time.Millisecond
)

// Target is one life of an upstream with what this entry knows of it.
type Target struct {
	persimmoncross.Upstream
	*targetState
}

// targetState is what an entry learns by itself. It outlives changes of the list.
type targetState struct {
	inFlight      atomic.Int64
	activeStreams atomic.Int64 // streams that have begun
	clockOrigin   time.Time    // of heard: the time of day may jump
	lastReceived  atomic.Int64 // nanoseconds since origin at which bytes came last

	mu               sync.Mutex // guards all below
	reportedLoad     persimmoncross.UpstreamLoad
	inFlightAtReport int64 // requests of this entry when told came
	reportedAt       time.Time
	// lastReceivedPublished is heard when it was last passed on.
	lastReceivedPublished int64
	loadUnpublished       bool       // told came from the upstream and was not passed on
	fleet                 fleetState // what all entries know

	meanTimeToHead float64 // mean seconds to the head of an answer, lately
	meanUpdatedAt  time.Time
	pendingHeads   map[uint64]pendingHead // heads that are awaited
	lastPendingID  uint64

	breaker      outlier.Breaker
	suspicion    outlier.Suspicion
	addressReuse outlier.Misdirection
	pauses       outlier.PauseTracker
	slowStart    slowstart.Pacer
	rateLimit    ratelimit.Limiter
	backoff      ratelimit.Backoff
	draining     bool // an answer said that the upstream is leaving
}

// pendingHead is a request whose head is awaited.
type pendingHead struct {
	sentAt      time.Time
	prefillTime time.Duration // that its prompt takes to be read
}

// IsDraining reports whether the target gets no new work: the list or an answer says that it
// is leaving, or another upstream answers at its address.
func (t *Target) IsDraining(now time.Time) bool {
	if t.Draining {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining || t.addressReuse.IsActive(now)
}

// markDraining stops new work to the target: its answers announce that it is leaving, which is
// final for a life. It reports whether that is new.
func (t *Target) markDraining() (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = !t.draining
	t.draining = true
	return changed
}

// recordMisdirected takes an answer by another upstream at the target's address.
func (t *Target) recordMisdirected(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.AbandonProbe()
	t.addressReuse.Record(now)
}

// recordLoad takes the load that an answer told.
func (t *Target) recordLoad(load *persimmoncross.UpstreamLoad, now time.Time) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportedLoad = *load
	t.inFlightAtReport = t.inFlight.Load()
	t.reportedAt = now
	t.loadUnpublished = true
}

// requestEstimate estimates the requests at the upstream: its own word, moved by what this
// entry has sent and finished since.
func (t *Target) requestEstimate(now time.Time) float64 {
	inFlight := t.inFlight.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.reportedAt) > maxLoadAge {
		return float64(inFlight)
	}
	reported := int64(t.reportedLoad.Running + t.reportedLoad.Waiting)
	return float64(max(reported+inFlight-t.inFlightAtReport, inFlight))
}

// markSuspected prefers other targets for a while, each time longer.
func (t *Target) markSuspected(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspicion.Suspect(now)
}

// recordAttempt notes that an attempt starts.
func (t *Target) recordAttempt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.StartAttempt()
}

// recordResult takes the outcome of an attempt that may have run.
func (t *Target) recordResult(failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.RecordOutcome(failed, now)
	if failed {
		t.suspicion.RecordFailure(now)
	}
}

// recordUnreachable takes an attempt that did not get there.
func (t *Target) recordUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.RecordOutcome(true, now)
	t.suspicion.Suspect(now)
}

// recordInconclusive takes an attempt that tells nothing of the target.
func (t *Target) recordInconclusive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.AbandonProbe()
}

// clearSuspicion ends the suspicion: the target has answered.
func (t *Target) clearSuspicion() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspicion.Clear()
	t.addressReuse.Clear()
}

// isSuspected reports whether other targets are to be preferred.
func (t *Target) isSuspected(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.breaker.Allows(now) || t.suspicion.IsActive(now)
}

// recordPause notes the recordPause before an event of a stream.
func (t *Target) recordPause(d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses.Record(d, now)
}

// longestPause returns the longest pause between events of its streams lately.
func (t *Target) longestPause(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses.Longest(now)
}

// recordReceived notes that bytes came from the target.
func (t *Target) recordReceived(now time.Time) { t.lastReceived.Store(int64(now.Sub(t.clockOrigin))) }

// receivedSince reports whether bytes came after the time, here or to another entry.
func (t *Target) receivedSince(start time.Time) bool {
	if t.lastReceived.Load() > int64(start.Sub(t.clockOrigin)) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.receivedAt().After(start)
}

// awaitHead notes that a head is awaited from the target, for a prompt that takes so
// long to be read, and returns what ends it.
func (t *Target) awaitHead(now time.Time, prefillTime time.Duration) func(now time.Time, received bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pendingHeads == nil {
		t.pendingHeads = map[uint64]pendingHead{}
	}
	t.lastPendingID++
	id := t.lastPendingID
	t.pendingHeads[id] = pendingHead{
		sentAt:      now,
		prefillTime: prefillTime,
	}
	return func(now time.Time, received bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		took := now.Sub(t.pendingHeads[id].sentAt).Seconds()
		delete(t.pendingHeads, id)
		if !received && took < t.meanTimeToHead {
			return
		}
		t.meanTimeToHead += timeToHeadWeight * (took - t.meanTimeToHead)
		t.meanUpdatedAt = now
	}
}

// timeToHead estimates how long the target takes to begin an answer now.
func (t *Target) timeToHead(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.meanTimeToHead * math.Exp2(-now.Sub(t.meanUpdatedAt).Seconds()/timeToHeadHalfLife.Seconds())
	for _, a := range t.pendingHeads {
		wait = max(wait, now.Sub(a.sentAt).Seconds())
	}
	return time.Duration(wait * float64(time.Second))
}

// placementCandidate returns what placing needs to know of the target.
func (t *Target) placementCandidate(now time.Time) placement.Candidate {
	return placement.Candidate{
		ID:                t.Incarnation,
		Slots:             t.Slots,
		HashWeight:        t.entryWeight(now),
		SlotUtilization:   t.utilization(now),
		InflightRequests:  t.fleetRequestEstimate(now),
		TimeToFirstToken:  t.timeToHead(now),
		QueuedPrefillTime: t.pendingPrefill(now),
	}
}

// utilization is busy as a part of the slots.
func (t *Target) utilization(now time.Time) float64 {
	return t.requestEstimate(now) / float64(max(t.Slots, 1))
}

// Pool keeps the targets over changes of the list. The exported fields are set
// before Update.
type Pool struct {
	Clock persimmoncross.Clock
	// OnRemoved is called for each life that left the list; may be nil.
	OnRemoved func(life string)
	// OnReplaced is called for each life that has another in its place, under its name or
	// at its address; may be nil.
	OnReplaced func(was, is persimmoncross.Upstream)
	// RateLimits are those that this entry or others have observed.
	RateLimits *ratelimit.Store

	mu            sync.Mutex // guards all below
	byInstanceID  map[string]*Target
	coldInstances map[string]slowstart.ColdUpstream // that were told, and are not over
	entryCount    int                               // that share the upstreams; 0: not known yet
}

// Update takes the list and returns the targets by service.
func (p *Pool) Update(upstreams []persimmoncross.Upstream) map[string][]*Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byInstanceID
	p.byInstanceID = make(map[string]*Target, len(upstreams))
	services := map[string][]*Target{}
	for _, u := range upstreams {
		instanceID := u.InstanceID()
		t := p.updateTarget(old[instanceID], u)
		p.applyKnownCold(t, u)
		if old[instanceID] == nil && p.RateLimits != nil {
			t.setRateLimit(p.RateLimits.Rate(instanceID), p.entryCountOrDefault(), p.Clock.Now())
		}
		p.byInstanceID[instanceID] = t
		services[u.Service] = append(services[u.Service], t)
	}
	p.notifyRemovals(old)
	return services
}

// notifyRemovals tells of the lives that are over. The caller holds mu.
func (p *Pool) notifyRemovals(old map[string]*Target) {
	byName := map[string]persimmoncross.Upstream{}
	byAddress := map[netip.AddrPort]persimmoncross.Upstream{}
	for instanceID, t := range old {
		if p.byInstanceID[instanceID] != nil {
			continue
		}
		byName[t.Incarnation] = t.Upstream
		byAddress[t.Address] = t.Upstream
		if p.OnRemoved != nil {
			p.OnRemoved(instanceID)
		}
	}
	for instanceID, t := range p.byInstanceID {
		if old[instanceID] != nil || p.OnReplaced == nil {
			continue
		}
		previous, ok := byName[t.Incarnation]
		if !ok {
			previous, ok = byAddress[t.Address]
		}
		if ok {
			p.OnReplaced(previous, t.Upstream)
		}
	}
}

// updateTarget keeps what is known of a life; its facts on the list may change.
func (p *Pool) updateTarget(old *Target, u persimmoncross.Upstream) *Target {
	if old != nil && old.Draining == u.Draining && old.Version == u.Version && old.Slots == u.Slots && old.Service == u.Service &&
		old.DataCentre == u.DataCentre && slices.Equal(old.Models, u.Models) {
		return old
	}
	state := &targetState{
		clockOrigin: p.Clock.Now(),
	}
	if old != nil {
		state = old.targetState
	}
	return &Target{
		Upstream:    u,
		targetState: state,
	}
}
