package relay

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/capacity"
	"persimmoncross/core/coordination/outlier"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/coordination/slotshare"
	"persimmoncross/core/coordination/slowstart"
)

// maxLoadAge is how long a load that an upstream reported is used. After that, only this
// entry's own requests are counted.
const maxLoadAge = 2 * time.Second

// Parameters of the estimate of a target's time to the response head.
const (
	timeToHeadWeight   = 0.3                     // weight of one response
	timeToHeadHalfLife = 1500 * time.Millisecond // half-life of an estimate that gets no new responses
)

// Target is one instance of an upstream with the state that this entry keeps for it.
type Target struct {
	persimmoncross.Upstream
	*targetState
}

// targetState is the state of a target that an entry observes or receives apart from the list
// of upstreams. The state is kept when the list changes.
type targetState struct {
	inFlight      atomic.Int64
	activeStreams atomic.Int64 // streams of this entry in progress
	clockOrigin   time.Time    // origin of lastReceived, because the time of day may jump
	lastReceived  atomic.Int64 // when bytes were last received, in nanoseconds since clockOrigin
	removed       atomic.Bool  // the instance has left the list

	mu               sync.Mutex // guards all below
	reportedLoad     persimmoncross.UpstreamLoad
	inFlightAtReport int64 // in-flight requests of this entry when reportedLoad was received
	reportedAt       time.Time
	// lastReceivedPublished is the value of lastReceived that was last published.
	lastReceivedPublished int64
	loadUnpublished       bool       // reportedLoad was not published yet
	fleet                 fleetState // observations of all entries

	meanTimeToHead float64 // recent mean time to the response head in seconds
	meanUpdatedAt  time.Time
	pendingHeads   map[uint64]pendingHead // requests whose response heads are pending
	lastPendingID  uint64

	breaker      outlier.Breaker
	suspicion    outlier.Suspicion
	addressReuse outlier.Misdirection
	pauses       outlier.PauseTracker
	slowStart    slowstart.Pacer
	rateLimit    ratelimit.Limiter
	backoff      ratelimit.Backoff
	draining     bool // a response said that the upstream is draining
	capacity     targetCapacity
	slotShare    slotshare.Share
	silence      silentTarget
}

// pendingHead is a request whose response head is pending.
type pendingHead struct {
	sentAt      time.Time
	prefillTime time.Duration // estimated prefill time of its prompt
}

// IsDraining reports whether the target gets no new work because the list or a response says
// that it is draining, or because another upstream answers at its address.
func (t *Target) IsDraining(now time.Time) bool {
	if t.Draining {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining || t.addressReuse.IsActive(now)
}

// markDraining stops new work to the target after a response announced that it is draining.
// An instance that drains never gets new work again. markDraining reports whether the state
// changed.
func (t *Target) markDraining() (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = !t.draining
	t.draining = true
	return changed
}

// recordMisdirected records a response that another upstream sent from the target's address.
func (t *Target) recordMisdirected(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.AbandonProbe()
	t.addressReuse.Record(now)
}

// recordLoad records the load that a response reported.
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

// requestEstimate estimates the number of requests at the upstream: the number that the upstream
// reported, adjusted by the requests that this entry has sent and finished since.
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

// markSuspected makes this entry prefer other targets for a while. The time grows with each
// suspicion.
func (t *Target) markSuspected(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspicion.Suspect(now)
}

// recordAttempt records that an attempt starts.
func (t *Target) recordAttempt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.StartAttempt()
}

// recordResult records the result of an attempt that may have run.
func (t *Target) recordResult(failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.RecordOutcome(failed, now)
	if failed {
		t.suspicion.RecordFailure(now)
	}
}

// recordUnreachable records an attempt that did not reach the target.
func (t *Target) recordUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.RecordOutcome(true, now)
	t.suspicion.Suspect(now)
}

// recordInconclusive records an attempt whose result says nothing about the target's health.
func (t *Target) recordInconclusive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.AbandonProbe()
}

// clearSuspicion ends the suspicion of the target and the record that another upstream uses its
// address, because the target has answered.
func (t *Target) clearSuspicion() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspicion.Clear()
	t.addressReuse.Clear()
}

// isSuspected reports whether other targets are preferred because the circuit breaker is open or
// the target is suspected.
func (t *Target) isSuspected(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.breaker.Allows(now) || t.suspicion.IsActive(now)
}

// recordPause records the pause before an event of a stream.
func (t *Target) recordPause(d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses.Record(d, now)
}

// longestPause returns the longest recent pause between events of the target's streams.
func (t *Target) longestPause(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses.Longest(now)
}

// recordReceived records that bytes were received from the target.
func (t *Target) recordReceived(now time.Time) { t.lastReceived.Store(int64(now.Sub(t.clockOrigin))) }

// sentSince reports whether this entry received bytes from the target after the given time.
func (t *Target) sentSince(start time.Time) bool {
	return t.lastReceived.Load() > int64(start.Sub(t.clockOrigin))
}

// receivedSince reports whether this or another entry received bytes after the given time.
func (t *Target) receivedSince(start time.Time) bool {
	if t.sentSince(start) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.receivedAt().After(start)
}

// trackPendingHead records that a response head is pending at the target, for a prompt of the
// given prefill time. The caller calls the returned function when the wait ends.
func (t *Target) trackPendingHead(now time.Time, prefillTime time.Duration) func(now time.Time, received bool) {
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

// timeToHead estimates how long the target now takes to send a response head.
func (t *Target) timeToHead(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.meanTimeToHead * math.Exp2(-now.Sub(t.meanUpdatedAt).Seconds()/timeToHeadHalfLife.Seconds())
	for _, pending := range t.pendingHeads {
		wait = max(wait, now.Sub(pending.sentAt).Seconds())
	}
	return time.Duration(wait * float64(time.Second))
}

// placementCandidate returns the properties of the target that placement uses.
func (t *Target) placementCandidate(now time.Time) placement.Candidate {
	c := placement.Candidate{
		Name:              t.Name,
		Slots:             t.Slots,
		HashWeight:        t.entryWeight(now),
		SlotUtilization:   t.utilization(now),
		InflightRequests:  t.fleetRequestEstimate(now),
		TimeToFirstToken:  t.timeToHead(now),
		QueuedPrefillTime: t.pendingPrefill(now),
	}
	t.addCapacity(&c, now)
	return c
}

// utilization returns the slot utilization by requestEstimate, as a fraction.
func (t *Target) utilization(now time.Time) float64 {
	return t.requestEstimate(now) / float64(max(t.Slots, 1))
}

// Pool keeps the targets and their state over changes of the list of upstreams. The exported
// fields are set before Update.
type Pool struct {
	Clock persimmoncross.Clock
	// OnRemoved is called with the instance ID of each upstream that left the list; may be nil.
	OnRemoved func(instanceID string)
	// OnReplaced is called for each instance that another one replaced under its name or at
	// its address; may be nil.
	OnReplaced func(previous, current persimmoncross.Upstream)
	// RateLimits are the rate limits that this entry or others have observed.
	RateLimits *ratelimit.Store
	// CapacityEnabled reports whether paces and held tokens from the controllers are used for the
	// service; nil: for none.
	CapacityEnabled func(service string) bool
	// HasLostPath reports whether this entry's own path to an upstream is lost, so that its failures
	// there are not reported to the other entries; nil: it never is.
	HasLostPath func(address netip.AddrPort, now time.Time) bool
	// OnPaceChanged is called when the lasting pace of an upstream has changed; may be nil.
	OnPaceChanged func(u persimmoncross.Upstream, change capacity.Change)

	mu            sync.Mutex // guards all below
	byInstanceID  map[string]*Target
	coldInstances map[string]slowstart.ColdUpstream // from SetCold, by instance ID
	entryCount    int                               // entries that share the upstreams; 0 if not known yet
	capacities    map[string]*serviceCapacity       // by service
	place         slotshare.Place                   // of this entry among all; zero: not known
	assumedIndex  int                               // index while place is not known; 0: not drawn yet
}

// Update applies a new list of upstreams and returns the targets by service.
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
	p.updateSlotShares()
	return services
}

// notifyRemovals calls OnRemoved and OnReplaced for the instances that left the list. The caller
// holds mu.
func (p *Pool) notifyRemovals(old map[string]*Target) {
	byName := map[string]persimmoncross.Upstream{}
	byAddress := map[netip.AddrPort]persimmoncross.Upstream{}
	for instanceID, t := range old {
		if p.byInstanceID[instanceID] != nil {
			continue
		}
		t.removed.Store(true)
		byName[t.Name] = t.Upstream
		byAddress[t.Address] = t.Upstream
		if p.OnRemoved != nil {
			p.OnRemoved(instanceID)
		}
	}
	for instanceID, t := range p.byInstanceID {
		if old[instanceID] != nil || p.OnReplaced == nil {
			continue
		}
		previous, ok := byName[t.Name]
		if !ok {
			previous, ok = byAddress[t.Address]
		}
		if ok {
			p.OnReplaced(previous, t.Upstream)
		}
	}
}

// updateTarget returns the target for an upstream on the list. It keeps the state of an instance
// whose properties on the list have changed.
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
	state.setService(p.serviceCapacity(u.Service))
	return &Target{
		Upstream:    u,
		targetState: state,
	}
}
