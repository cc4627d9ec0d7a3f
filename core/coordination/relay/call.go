package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/retry"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
)

// Limits of one request.
const (
	maxAttempts = 6 // attempts, including rejected ones
)

// call is the handling of one request.
type call struct {
	relay             *Relay
	request           *persimmoncross.ProxyRequest
	route             *catalog.Route
	service           string
	organisation      string
	quarantineRequest quarantine.Request
	priority          int
	residency         residency
	deadline          time.Time
	sink              persimmoncross.ProxyResponseSink

	versionFilter  versionFilter
	upgrade        *register.Upgrade // upgrade in progress, nil if there is none
	results        requestResults    // while an upgrade is in progress
	modelIndex     int               // index among the route's models
	triedUpstreams map[string]bool   // names of the upstreams tried in this round
	expectedWait   time.Duration     // expected wait of the attempt's upstream when it was picked
	prefixSource   netip.AddrPort    // address of the upstream to copy the prompt's shared parts from; invalid if none
	attempts       int
	retries        *requestRetries
	executions     int          // attempts that an upstream may have begun
	headSent       bool         // the response head was sent to the caller
	responseBegun  *atomic.Bool // headSent, for other goroutines; nil outside Serve
	lastEventID    string
	fallback       *bufferedResponse // an upstream's failure, sent if no later attempt succeeds
	lastError      *persimmoncross.AttemptError
	cancelAttempt  context.CancelFunc
	resources      *attemptResources // what the current attempt holds
	keptAnswer     *keptAnswer       // a smaller model's answer, delivered if the larger model's does not come; may be nil
	recalls        int               // attempts that were withdrawn from an upstream's queue
	recallTarget   *Target           // where the withdrawn attempt goes next; nil if none
	quarantineRun  *quarantine.Run   // the current attempt's run
	capacity       *attemptCapacity  // the current attempt's use of capacity; nil where the part is not enabled
	admission      admissionState
	recalledFrom   *Target   // upstream that it was withdrawn from
	largestTooLate bool      // it was logged that the largest model can't answer in time
	slotWaitSince  time.Time // since when a stream that has begun waits for a slot; zero: it does not
	noConnection   bool      // the last pick found upstreams, but no free connection to any
	// connectionWaitSince is since when the request waits for a connection; zero: it does not.
	connectionWaitSince time.Time
	heldSink            *heldSink // the sink if this call's bytes are counted, else nil
	heldResponses       int64     // bytes of responses counted in HeldBytes
}

// bufferedResponse is a complete response that was not sent yet.
type bufferedResponse struct {
	head persimmoncross.ProxyResponseHead
	body []byte
}

// outcome is the result of an attempt.
type outcome uint8

const (
	outcomeDone      outcome = iota // the response was sent, or the caller disconnected
	outcomeRetry                    // another attempt may be made
	outcomeNoRetry                  // no other attempt may be made
	outcomeRecalled                 // the attempt was withdrawn, and another one may be made
	outcomeEscalated                // a larger model is asked next
)

// run makes attempts until one of them is answered or no further attempt may be made.
func (c *call) run(ctx context.Context) *persimmoncross.Refusal {
	r := c.relay
	defer func() { c.quarantineRequest.Done(c.executions > 0) }()
	defer func() { c.dropKeptAnswer("ended") }()
	defer func() { c.results.finish(r.CanaryStats, c.upgrade) }()
	defer func() { c.requestRetries().end() }()
	c.lastEventID = c.request.LastEventID
	if refusal := c.refuseOverShare(); refusal != nil {
		return refusal
	}
	defer c.endTurn()
	c.triedUpstreams = map[string]bool{}
	if c.request.RouterPicksModel {
		c.modelIndex = c.firstModelIndex()
	}
	for {
		// The quarantine stage is looked up before each attempt, by the digest of what the
		// request asks for. With the request ID as the key, each copy of a request would
		// start without a record, and the number of executions would be bounded only by the
		// product of the copies, the entries and the executions of one copy.
		stage := c.quarantineStage()
		if stage != persimmoncross.QuarantineNone && c.keptAnswer != nil {
			// A request in quarantine has one run at a time.
			if result, delivered := c.deliverKeptAnswer(ctx, "quarantine"); delivered && result == outcomeDone {
				return nil
			} else if delivered {
				return c.giveUp(ctx, "final")
			}
		}
		if stage == persimmoncross.QuarantineRefuse {
			return c.refuseQuarantined(ctx)
		}
		target := c.pickTarget(stage)
		if target == nil && stage == persimmoncross.QuarantineIsolate {
			return c.refuseIsolated(ctx)
		}
		if target == nil && c.shouldQueue(stage) {
			if refusal, ok := c.awaitTurn(ctx); !ok {
				return refusal
			}
			continue
		}
		if target == nil && c.admission.noRoom && (c.headSent && c.awaitSlot(ctx) || c.awaitConnection(ctx)) {
			continue
		}
		if target == nil {
			if !c.awaitRetryRound(ctx) {
				return c.giveUp(ctx, "no upstream")
			}
			continue
		}
		if !c.requestRetries().take(c.retryCause()) {
			r.incrementCounter("refused.retry-budget")
			return c.giveUp(ctx, "retry budget")
		}
		c.attempts++
		result := c.attempt(ctx, target)
		if (result == outcomeRetry || result == outcomeNoRetry) && c.keptAnswer != nil {
			if kept, delivered := c.deliverKeptAnswer(ctx, c.lastError.Reason); delivered {
				result = kept
			}
		}
		switch result {
		case outcomeDone:
			return nil
		case outcomeNoRetry:
			return c.giveUp(ctx, "final")
		}
		if ctx.Err() != nil || c.attempts >= maxAttempts || c.executions >= c.maxExecutions() {
			return c.giveUp(ctx, "attempts")
		}
		r.incrementCounter("retry." + c.lastError.Reason)
	}
}

func (c *call) maxExecutions() int { return max(c.route.MaxAttempts, 1) }

// updateVersionFilter chooses the versions that the next attempt may run on. It is called when an
// upstream is picked, because the choice is only valid at that time. All attempts get
// the same filter while the upgrade's stage stays the same.
func (c *call) updateVersionFilter() {
	r := c.relay
	u, ok := r.View().Upgrades[c.service]
	if !ok {
		return
	}
	c.versionFilter = r.Sessions.chooseVersions(u, c.request.SessionID, c.request.ID, upgrade.SharesOf(u, r.Config.MaxCanaryShare), r.CanaryStats.isHalted(u), r.Clock.Now())
	if u.Stage.Ended() {
		return
	}
	c.upgrade = &u
	if r.View().UpgradesStale {
		c.versionFilter = chooseStale(c.versionFilter, c.request.SessionID)
	}
	if c.request.SessionID == "" && c.results.failedOn(u.Target) {
		// The old version's result tells whether the failure is the new version's.
		c.versionFilter = versionFilter{
			version:  u.Target,
			rejected: u.Rejected,
		}
	}
}

// pinSessionVersion pins the session to the version of the target that is about to run the
// request. The caller calls the returned function when the attempt ends.
func (c *call) pinSessionVersion(target *Target) func(now time.Time) {
	return c.relay.Sessions.BeginRun(c.service, c.request.SessionID, target.Version, c.relay.Clock.Now())
}

// attempt sends the request to the target and forwards the response to the caller.
func (c *call) attempt(ctx context.Context, target *Target) outcome {
	r := c.relay
	c.triedUpstreams[target.Name] = true
	resources := &attemptResources{}
	defer resources.release()
	c.resources = resources
	endRun := c.pinSessionVersion(target)
	resources.add(func() { endRun(r.Clock.Now()) })
	target.recordAttempt()
	r.CanaryStats.recordSent(c.upgrade, c.canaryKey(target))
	target.inFlight.Add(1)
	resources.add(func() { target.inFlight.Add(-1) })
	resources.add(r.ownLoad.hold(c.service, c.organisation))
	start := r.Clock.Now()
	c.capacity = c.beginCapacity(target, start)
	usedCapacity := c.capacity
	resources.add(func() { usedCapacity.end(r.Clock.Now()) })
	c.quarantineRun = c.quarantineRequest.BeginRun(target.InstanceID(), start)
	if c.quarantineRequest.IsTrial() {
		r.logEvent(c.request).Stringer("for", c.quarantineRequest.IsolationDigest()).Str("upstream", target.Name).Msg("trial of a quarantined request sent")
	}
	run := c.quarantineRun
	resources.add(func() { run.Close(r.Clock.Now()) })
	ctx, cancel := context.WithCancel(ctx)
	resources.add(cancel)
	c.cancelAttempt = cancel
	detector := c.startStallDetector(ctx, cancel, target)
	defer detector.stop()
	c.heldSink.watch(detector)
	recordModelHead := r.ModelStats.trackPendingHead(c.service, c.modelName(), c.request.PromptTokens, start)
	recordTargetHead := target.trackPendingHead(start, r.ModelStats.prefillTime(c.service, c.modelName(), c.request.PromptTokens))
	defer c.trackAttempt(target, start)()
	sent := c.requestRetries().send(target, start)
	response, err := r.Forwarder.Forward(ctx, &persimmoncross.ProxyAttempt{
		Request:           c.request,
		Upstream:          target.Upstream,
		Organisation:      c.organisation,
		Model:             c.modelName(),
		LastEventID:       c.lastEventID,
		Priority:          c.priority,
		Deadline:          c.deadline,
		MaxConns:          r.maxConnections(c.service),
		PrefixCacheSource: c.prefixSource,
		MayCarry:          c.residency.mayCarry(),
	})
	c.requestRetries().received(sent, err, r.Clock.Now())
	executed := err == nil && !response.Head().NotRun
	recordModelHead(r.Clock.Now(), executed)
	recordTargetHead(r.Clock.Now(), executed)
	if err != nil && detector.stop() {
		return c.handleAbort(target, detector, r.Clock.Now().Sub(start))
	}
	if err != nil {
		return c.handleAttemptError(ctx, target, err, r.Clock.Now().Sub(start))
	}
	withdrawn := !detector.recordHead(r.Clock.Now())
	if !response.Head().NotRun && !response.Head().Misdirected {
		r.endOutage(c.service)
		r.ownLoad.recordBegun(c.service)
		c.quarantineRun.MarkStarted(r.Clock.Now())
	}
	target.clearSuspicion()
	target.recordReceived(r.Clock.Now())
	r.pacedServices.record(c.service, response.Head().Load)
	c.capacity.recordHead(response.Head(), r.Clock.Now())
	c.applyFeedback(target, response.Head(), start)
	resources.add(func() { response.Close() })
	head := response.Head()
	c.logResponseHead(target, head, r.Clock.Now().Sub(start))
	if head.Status < http.StatusInternalServerError || head.NotRun {
		target.recordLoad(head.Load, r.Clock.Now()) // a target that fails at once must not look idle
	}
	if head.Misdirected || head.NotRun {
		return c.handleRejection(target, head)
	}
	c.executions++
	c.slotWaitSince = time.Time{}
	resources.add(func() { target.serviceCapacity().recordSlotHold(r.Clock.Now().Sub(start)) })
	c.recordHead(head)
	c.recordResult(target, head.Status >= 500)
	if withdrawn {
		<-ctx.Done() // the detector has set the reason then
		return c.handleAbort(target, detector, r.Clock.Now().Sub(start))
	}
	if c.route.Stream && head.Status == 200 {
		return c.forwardStream(ctx, target, response, detector)
	}
	detector.stop() // the body of a response that is no stream directly follows the head
	if head.Status < 500 {
		r.CanaryStats.recordDuration(c.upgrade, c.canaryKey(target), r.Clock.Now().Sub(start))
	}
	return c.forwardResponse(ctx, target, response)
}

// mayHaveReachedUpstream reports whether an attempt that failed may have reached its upstream.
func mayHaveReachedUpstream(err error) bool {
	var e *persimmoncross.AttemptError
	return !errors.As(err, &e) || e.Run != persimmoncross.NotRun
}

// logResponseHead logs which upstream began a response, and the load and estimates at that time.
func (c *call) logResponseHead(target *Target, head persimmoncross.ProxyResponseHead, took time.Duration) {
	event := c.relay.logEvent(c.request).Str("session", c.request.SessionID).Str("upstream", target.Name).Str("version", target.Version).Int("status", head.Status).Int("send", c.attempts).Dur("took", took).Int64("own", target.inFlight.Load())
	if head.Load != nil {
		event.Int("running", head.Load.Running).Int("waiting", head.Load.Waiting)
	}
	if head.RateLimit > 0 {
		event.Float64("limit", head.RateLimit)
	}
	if c.modelName() != "" {
		event.Str("model", c.modelName()).Int("prompt", c.request.PromptTokens).Int("confidence", head.ModelConfidence)
		event.Dur("outlook", c.expectedWait).Dur("reading", c.relay.ModelStats.prefillTime(c.service, c.modelName(), c.request.PromptTokens)).Bool("copy", c.prefixSource.IsValid())
	}
	c.addCapacityFields(event, target, head)
	event.Msg("head")
	c.relay.observeDuration("head", took)
}

// recordResult records the result of an attempt that ran in the target's circuit breaker and in
// the canary statistics.
func (c *call) recordResult(target *Target, failed bool) {
	target.recordResult(failed, c.relay.Clock.Now())
	if failed {
		c.results.recordFailure(c.relay.CanaryStats, c.upgrade, c.canaryKey(target), target.Name)
	} else {
		c.results.recordSuccess(c.relay.CanaryStats, c.upgrade, c.canaryKey(target))
	}
}

// canaryKey returns the key under which the canary statistics count the target's responses.
func (c *call) canaryKey(target *Target) CanaryKey {
	k := CanaryKey{
		Service: c.service,
		Version: target.Version,
		Route:   c.route.Name,
	}
	if c.upgrade != nil {
		k.UpgradeOrder = c.upgrade.Order
		if target.Version == c.upgrade.Target {
			k.Upstream = target.Name
		}
	}
	return k
}

// asAttemptError returns err as an AttemptError. An error of another type is wrapped with the
// given reason and run status.
func asAttemptError(err error, reason string, run persimmoncross.RunStatus) *persimmoncross.AttemptError {
	var e *persimmoncross.AttemptError
	if errors.As(err, &e) {
		return e
	}
	return &persimmoncross.AttemptError{
		Reason: reason,
		Run:    run,
		Detail: err.Error(),
	}
}

// Conditions under which a version is held responsible for a request that its upstream has not answered
// by the deadline: the upstream has had the request for a fraction of the latency objective, and it was
// heard from so shortly before that the path to it works.
const (
	minUnansweredFraction = 0.5
	maxUnheardTime        = time.Second
)

// handleAttemptError handles an attempt that failed before the response head.
func (c *call) handleAttemptError(ctx context.Context, target *Target, err error, took time.Duration) outcome {
	r := c.relay
	e := asAttemptError(err, "internal", persimmoncross.RunUnknown)
	c.lastError = e
	c.recordDisconnect(ctx, target, e)
	switch {
	case ctx.Err() != nil || e.Overloaded:
		target.recordInconclusive()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && e.Run != persimmoncross.NotRun && c.isUnanswered(target, took) {
			c.results.recordFailure(r.CanaryStats, c.upgrade, c.canaryKey(target), target.Name)
		}
	case e.Run == persimmoncross.NotRun:
		target.recordUnreachable(c.relay.Clock.Now())
	default:
		c.recordResult(target, true)
	}
	c.logEventWithDigest().Str("upstream", target.Name).Str("reason", e.Reason).Str("run", string(e.Run)).Str("detail", e.Detail).Strs("parts", quarantine.LoggedDigests(c.quarantineRequest.Parts)).Int("send", c.attempts).Msg("attempt failed")
	if e.Run != persimmoncross.NotRun {
		c.executions++
		if c.route.Repeat == persimmoncross.RetryNever {
			return outcomeNoRetry
		}
	}
	return outcomeRetry
}

// isUnanswered reports whether the target is responsible for an attempt that the deadline has ended.
func (c *call) isUnanswered(target *Target, took time.Duration) bool {
	sentAt := c.relay.Clock.Now().Add(-took)
	return float64(took) >= minUnansweredFraction*float64(c.latencyObjective()) && target.receivedSince(sentAt.Add(-maxUnheardTime))
}

// handleRejection handles a response that says that the upstream did not run the request.
func (c *call) handleRejection(target *Target, head persimmoncross.ProxyResponseHead) outcome {
	reason := "rejected"
	if head.Misdirected {
		reason = "misdirected"
		target.recordMisdirected(c.relay.Clock.Now())
	} else {
		target.recordInconclusive()
	}
	c.lastError = &persimmoncross.AttemptError{
		Reason:     reason,
		Run:        persimmoncross.NotRun,
		Overloaded: !head.Misdirected,
		HTTPStatus: head.Status,
	}
	event := c.relay.logEvent(c.request).Str("upstream", target.Name).Str("reason", reason).Int("status", head.Status).Int("send", c.attempts)
	if head.RetryAfter > 0 {
		event.Dur("retryAfter", head.RetryAfter)
	}
	event.Msg("attempt rejected")
	return outcomeRetry
}

// giveUp returns the refusal for a request that got no response, or sends the failure response
// of an upstream if there is one.
func (c *call) giveUp(ctx context.Context, reason string) *persimmoncross.Refusal {
	r := c.relay
	c.endTurn() // a slow caller must not hold up the queue
	event := c.logEventWithDigest().Str("route", c.route.Name).Str("why", reason).Int("sends", c.attempts).Int("runs", c.executions).Bool("started", c.headSent).Dur("after", r.Clock.Now().Sub(c.request.ArrivedAt))
	if c.lastError != nil {
		event = event.Str("reason", c.lastError.Reason)
	}
	wait, blockReason := c.availableIn()
	if wait > 0 {
		event = event.Str("blocked", blockReason).Dur("availableIn", wait)
	}
	event.Msg("giving up on the request")
	if result, delivered := c.deliverKeptAnswer(ctx, reason); delivered && result == outcomeDone {
		return nil
	}
	r.incrementCounter("given-up." + strings.ReplaceAll(reason, " ", "-"))
	if c.fallback != nil && !c.headSent {
		c.sendBuffered(c.fallback.head, c.fallback.body)
		return nil
	}
	switch {
	case callerLeft(ctx):
		return persimmoncross.NewRefusal(persimmoncross.CodeDeadlineExceeded, "the caller left").WithRunStatus(persimmoncross.RunUnknown)
	case c.executions > 0 && ctx.Err() != nil:
		return persimmoncross.NewRefusal(persimmoncross.CodeDeadlineExceeded, "no answer in time").WithRunStatus(persimmoncross.RunUnknown)
	case c.executions > 0:
		return persimmoncross.NewRefusal(persimmoncross.CodeUpstreamFailed, "the upstream's answer was lost").WithRunStatus(persimmoncross.RunUnknown)
	}
	return c.refuseNotRun(wait, blockReason)
}

// refuseNotRun returns the refusal for a request that no upstream has begun. The arguments are
// the results of availableIn.
func (c *call) refuseNotRun(wait time.Duration, blockReason string) *persimmoncross.Refusal {
	busy := c.lastError != nil && c.lastError.Overloaded || c.admission.noRoom
	switch {
	case busy && !c.noneAvailable():
		wait = c.timeToHead()
	case wait > 0:
		c.relay.incrementCounter("refused." + blockReason)
	}
	if busy {
		return persimmoncross.NewRefusal(persimmoncross.CodeOverloaded, "no upstream has room").WithRetryAfter(c.retryAfter(wait))
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeNoUpstream, "no upstream took the request").WithRetryAfter(c.retryAfter(wait))
}

// logEventWithDigest returns a log event for a failure of the request. The digest relates the
// event to those of all requests with the same content.
func (c *call) logEventWithDigest() *zerolog.Event {
	return c.relay.logEvent(c.request).Stringer("digest", c.quarantineRequest.Digest)
}

// timeToHead estimates how long the service now takes to send the response head for the request.
func (c *call) timeToHead() time.Duration {
	r := c.relay
	return r.ModelStats.timeToHead(c.service, c.modelName(), c.request.PromptTokens, r.Clock.Now())
}

// retryAfter returns the delay after which the caller should retry. expectedWait is the time
// until an upstream should have capacity, 0 if that is not known.
func (c *call) retryAfter(expectedWait time.Duration) time.Duration {
	r := c.relay
	hint := retry.RetryAfter{
		ExpectedWait:   expectedWait,
		OutageAge:      r.recordRefusal(c.service, c.request.ArrivedAt),
		UntilDeadline:  c.deadline.Sub(r.Clock.Now()),
		Priority:       c.route.Priority,
		PriorityLevels: r.View().Catalog.Ranks(),
	}
	return hint.Delay(rand.Float64())
}
