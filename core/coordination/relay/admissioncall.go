package relay

import (
	"context"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/admission"
)

// admissionState is what a call keeps of its waits in the entry's queue.
type admissionState struct {
	noRoom    bool      // the last pick found upstreams, but none that would begin the request soon
	hasTurn   bool      // the call was dispatched and may pick its upstream
	notBefore time.Time // the call is not dispatched before this time
	headAt    time.Time // when the current attempt's head was received; zero if it was not
	waiting   int       // requests that waited at the upstream when it sent the head
	// endPending ends the count of the current attempt as not begun; nil if that was done.
	endPending func(received bool)
}

// roomKey selects requests that may be sent to the same upstreams.
type roomKey struct {
	filter       versionFilterKey
	overShare    bool
	route        string
	organisation string
}

// mustWait reports whether others wait that the call may not overtake, or the window is closed. A stream whose head was sent
// is not queued.
func (c *call) mustWait() bool {
	q := c.relay.queueOf(c.service)
	return q != nil && !c.headSent && !c.admission.hasTurn && !q.mayOvertake()
}

// withRoom returns the candidates that would begin the request soon: within the age of the loads,
// so that an upstream has just the queue that covers that age. The rest of what waits stays at the
// entry, where it can be ordered, moved and refused.
func (c *call) withRoom(candidates []*Target, now time.Time) []*Target {
	if len(candidates) > 0 {
		candidates = c.withConnections(candidates)
		c.noConnection = len(candidates) == 0
		candidates = c.withSlots(candidates, now)
		c.admission.noRoom = len(candidates) == 0
	}
	q := c.relay.queueOf(c.service)
	if q == nil || len(candidates) == 0 {
		return candidates
	}
	overShare := c.mayBeOverShare() && c.relay.overShare(c.service, now)(c.organisation)
	free := targetsWithRoom(candidates, q.inflow(len(candidates), now), maxDelay(overShare), now)
	if len(free) == 0 && c.headSent {
		return candidates
	}
	c.admission.noRoom = len(free) == 0
	if c.admission.noRoom && overShare {
		c.relay.incrementCounter("queue.over-share")
	}
	return free
}

// isDispatchable reports whether the waiting call would find an upstream now. It is also true if no
// upstream may get the request at all, so that the call goes on and is refused at once. A session's
// version is chosen here, when the request is sent. room has the results of this check of the
// queue. The caller holds the queue's mu. The call's goroutine touches the call's fields only before it
// is queued, and again after it has received its turn or has locked mu to leave the queue, so that mu
// guards them meanwhile.
func (c *call) isDispatchable(q *serviceQueue, room map[roomKey]bool, now time.Time) bool {
	if now.Before(c.admission.notBefore) {
		return false
	}
	c.updateVersionFilter()
	key := roomKey{
		filter:    c.versionFilter.key(),
		overShare: c.mayBeOverShare() && q.overShare(c.organisation),
	}
	if len(c.residency.routeRegions)+len(c.residency.organisationRegions) > 0 {
		key.route, key.organisation = c.route.Name, c.organisation
	}
	found, known := room[key]
	if known && len(c.triedUpstreams) == 0 {
		return found
	}
	candidates := c.sendableTargets(c.eligibleTargets())
	none := len(candidates) == 0
	candidates = c.withSlots(c.withConnections(candidates), now)
	found = none || len(targetsWithRoom(candidates, q.inflowLocked(len(candidates), now), maxDelay(key.overShare), now)) > 0
	if len(c.triedUpstreams) == 0 {
		room[key] = found
	}
	return found
}

// mayBeOverShare reports whether the share of the call's organisation limits the call. The rest of a
// stream that has begun is not delayed for it.
func (c *call) mayBeOverShare() bool { return c.organisation != "" && c.lastEventID == "" }

// maxDelay returns how long an upstream may take to begin a request. What an organisation wants beyond its
// share of a short service goes only where nobody waits for it, so that unused parts are lent.
func maxDelay(overShare bool) time.Duration {
	if overShare {
		return 0
	}
	return fleetLoadDelay
}

// wouldQueue reports whether another attempt of the call would wait in the queue now.
func (c *call) wouldQueue() bool {
	q := c.relay.queueOf(c.service)
	if q == nil {
		return false
	}
	if c.mustWait() {
		return true
	}
	now := c.relay.Clock.Now()
	candidates := c.sendableTargets(c.eligibleTargets())
	return len(candidates) > 0 && len(targetsWithRoom(c.withSlots(c.withConnections(candidates), now), q.inflow(len(candidates), now), fleetLoadDelay, now)) == 0
}

// shouldQueue reports whether the call waits in the queue after it found no upstream.
func (c *call) shouldQueue(stage persimmoncross.QuarantineStage) bool {
	if c.relay.queueOf(c.service) == nil || stage == persimmoncross.QuarantineIsolate || c.headSent || c.attempts >= maxAttempts || c.noneAvailable() {
		return false
	}
	return c.admission.noRoom || c.executions == 0 && len(c.triedUpstreams) > 0
}

// awaitTurn waits in the entry's queue. It returns a refusal, or false if the call has ended
// otherwise, or true if the call may pick its upstream.
func (c *call) awaitTurn(ctx context.Context) (*persimmoncross.Refusal, bool) {
	r := c.relay
	q := r.queueOf(c.service)
	hadTurn := c.admission.hasTurn
	c.endTurn()
	if c.admission.noRoom && hadTurn {
		// What the queue found for requests of its kind is no room for this one. The others go first.
		c.admission.notBefore = r.Clock.Now().Add(retryRoundDelay)
	}
	if !c.admission.noRoom {
		// All upstreams have rejected the request. They are tried again.
		clear(c.triedUpstreams)
		c.admission.notBefore = r.Clock.Now().Add(retryRoundDelay)
	}
	persimmoncross.OwnWorkOf(ctx).End()
	t, ok := q.wait(ctx, c)
	if !ok {
		return c.giveUp(ctx, "left the queue"), false
	}
	if t.refused != "" {
		return c.refuseQueued(ctx, q, t.refused), false
	}
	c.admission.noRoom = false
	c.admission.hasTurn = true
	return nil, true
}

// refuseQueued refuses a request that the queue gave up.
func (c *call) refuseQueued(ctx context.Context, q *serviceQueue, reason string) *persimmoncross.Refusal {
	r := c.relay
	wait := q.expectedWait(c.priority)
	overShare := c.mayBeOverShare() && r.overShare(c.service, r.Clock.Now())(c.organisation)
	r.incrementCounter("queue.refused." + reason)
	c.logEventWithDigest().Str("route", c.route.Name).Str("why", reason).Int("rank", c.priority).Str("organisation", c.organisation).
		Bool("overShare", overShare).Dur("expected", wait).Dur("left", c.deadline.Sub(r.Clock.Now())).Dur("after", r.Clock.Now().Sub(c.request.ArrivedAt)).Int64("queued", q.length.Load()).Int("sends", c.attempts).Msg("queue refused the request")
	if c.executions > 0 || c.fallback != nil {
		return c.giveUp(ctx, "queue "+reason)
	}
	if wait <= 0 {
		wait = c.timeToHead()
	}
	if overShare {
		r.incrementCounter("refused.share")
		return persimmoncross.NewRefusal(persimmoncross.CodeConcurrencyLimited, "%s is over its share of %s", c.organisation, c.service).WithRetryAfter(c.retryAfter(wait))
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeOverloaded, "no upstream has room in time").WithRetryAfter(c.retryAfter(wait))
}

// admissionRequest returns the call's entry in the queue.
func (c *call) admissionRequest(q *serviceQueue, now time.Time) *admission.Request {
	favourable, likely := q.runTimes(c)
	return &admission.Request{
		Rank:         c.priority,
		Begun:        c.attempts > 0,
		Organisation: c.organisation,
		Bytes:        int64(len(c.request.Body)) + queuedRequestBytes,
		Deadline:     c.deadline,
		RunTime:      favourable,
		LikelyTime:   likely,
		Objective:    c.request.ArrivedAt.Add(c.latencyObjective()),
		QueuedAt:     now,
	}
}

// endTurn ends the call's turn, if it has one.
func (c *call) endTurn() {
	if !c.admission.hasTurn {
		return
	}
	c.admission.hasTurn = false
	if q := c.relay.queueOf(c.service); q != nil {
		q.endTurn(c)
	}
}

// trackAttempt records an attempt that counts at its target from now on. The caller calls the
// returned function when the attempt has ended.
func (c *call) trackAttempt(target *Target, start time.Time) func() {
	c.admission.headAt = time.Time{}
	c.admission.waiting = 0
	c.admission.endPending = nil
	q := c.relay.queueOf(c.service)
	if q == nil {
		return func() {}
	}
	q.beginAttempt(c.organisation, start)
	ahead := target.queueAhead(start)
	c.endTurn()
	prefill := c.relay.ModelStats.prefillTime(c.service, c.modelName(), c.request.PromptTokens)
	c.admission.endPending = func(received bool) {
		c.admission.endPending = nil
		if load, _ := target.latestLoad(c.relay.Clock.Now()); !received && load != nil {
			c.admission.waiting = load.Waiting
		}
		q.endPending(admission.Begun{
			SentAt:   start,
			Received: received,
			Waiting:  c.admission.waiting,
		}, ahead, c.route.Stream, c.relay.Clock.Now())
	}
	return func() {
		if c.admission.endPending != nil {
			c.admission.endPending(false)
		}
		q.endAttempt(c.organisation, c.slotHoldTime(target, start, prefill))
	}
}

// slotHoldTime returns how long the attempt that ends now held a slot; 0 if that is not known. A
// stream's head comes with the first token, after the wait for the slot. A plain answer's time
// includes the wait, which lasted as many times longer as requests waited for each slot.
func (c *call) slotHoldTime(target *Target, start time.Time, prefill time.Duration) time.Duration {
	if c.admission.headAt.IsZero() {
		return 0
	}
	now := c.relay.Clock.Now()
	if c.route.Stream {
		return now.Sub(c.admission.headAt) + prefill
	}
	perSlot := float64(c.admission.waiting) / float64(max(target.Slots, 1))
	return time.Duration(float64(now.Sub(start)) / (1 + perSlot))
}

// recordHead records the head of a response that runs.
func (c *call) recordHead(head persimmoncross.ProxyResponseHead) {
	c.admission.headAt = c.relay.Clock.Now()
	c.admission.waiting = 0
	if head.Load != nil {
		c.admission.waiting = head.Load.Waiting
	}
	if c.admission.endPending != nil {
		c.admission.endPending(true)
	}
}

func (c *call) logQueued(r *admission.Request, expected time.Duration, length int) {
	c.relay.incrementCounter("queue.entered")
	c.relay.logEvent(c.request).Str("route", c.route.Name).Int("rank", r.Rank).Str("organisation", r.Organisation).Int("send", c.attempts).
		Dur("expected", expected).Dur("run", r.RunTime).Dur("left", r.Deadline.Sub(r.QueuedAt)).Int("queued", length).Msg("request queued")
}

func (c *call) logDispatched(waited time.Duration, length int) {
	c.relay.incrementCounter("queue.dispatched")
	c.relay.observeDuration("queue.wait", waited)
	c.relay.logEvent(c.request).Int("rank", c.priority).Dur("waited", waited).Int("queued", length).Msg("request dispatched")
}
