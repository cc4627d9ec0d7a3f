package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/retry"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
)

// Bounds of one passage.
const (
	maxAttempts      = 6   // attempts, rejected ones too
	minConnsPerEntry = 2   // connections to an upstream, however many entries there are
	maxConnsFraction = 0.9 // of an upstream's connections that all entries together use
)

// call is one passage on its way.
type call struct {
	relay          *Relay
	passage        *persimmoncross.ProxyRequest
	route          *catalog.Route
	service        string
	organisation   string
	quarantineCopy quarantine.Request
	priority       int
	residency      residency
	deadline       time.Time
	sink           persimmoncross.ProxyResponseSink

	versionFilter     versionFilter
	upgrade           *register.Upgrade // under way, nil if none is
	modelIndex        int               // index among the route's models
	triedIncarnations map[string]bool   // incarnations
	expectedWait      time.Duration     // that the upstream of the attempt had when it was picked
	prefixSource      netip.AddrPort    // of the attempt's prompt, an upstream's; invalid: none
	attempts          int
	reachedUpstream   bool // an attempt may have reached an upstream
	retryTaken        bool // the next attempt's retry is taken out already
	executions        int  // attempts that an upstream may have begun
	headSent          bool // the caller has got the head
	lastEventID       string
	fallback          *bufferedResponse // an upstream's failure, answered if nothing better comes
	lastError         *persimmoncross.AttemptError
	quarantineRun     *quarantine.Run // of the attempt
}

// bufferedResponse is a whole answer that was not sent yet.
type bufferedResponse struct {
	head persimmoncross.ProxyResponseHead
	body []byte
}

// outcome is what became of an attempt.
type outcome uint8

const (
	outcomeDone    outcome = iota // answered, or the caller is gone
	outcomeRetry                  // another attempt may be made
	outcomeNoRetry                // no other attempt may be made
)

// run makes attempts until one is answered or none may be made.
func (c *call) run(ctx context.Context) *persimmoncross.Refusal {
	r := c.relay
	defer func() { c.quarantineCopy.Done(c.executions > 0) }()
	c.triedIncarnations = map[string]bool{}
	c.lastEventID = c.passage.LastEventID
	if c.passage.RouterPicksModel {
		c.modelIndex = c.firstModelIndex()
	}
	c.updateVersionFilter()
	for {
		if c.attempts > 0 {
			// The upgrade may have gone on: at its completion the old version's
			// upstreams end at once, and their streams must find the new one's.
			c.updateVersionFilter()
		}
		// What a request does to upstreams is asked before each attempt, by what it asks
		// for: kept by id it would be forgotten with each copy, and the bound on retries
		// be a product of copies, entries and runs.
		stage := c.quarantineStage()
		if stage == persimmoncross.QuarantineRefuse {
			return c.refuseQuarantined(ctx)
		}
		target := c.pickTarget(stage)
		if target == nil && stage == persimmoncross.QuarantineIsolate {
			return c.refuseIsolated(ctx)
		}
		if target == nil {
			if !c.awaitRetryRound(ctx) {
				return c.giveUp(ctx, "no upstream")
			}
			continue
		}
		if c.reachedUpstream && !c.retryTaken && !r.takeRetry(c.service) {
			r.incrementCounter("refused.retry-budget")
			return c.giveUp(ctx, "retry budget")
		}
		c.retryTaken = false
		c.attempts++
		switch c.attempt(ctx, target) {
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

// updateVersionFilter chooses the version's group. While the upgrade's stage stays, all
// attempts get the same.
func (c *call) updateVersionFilter() {
	r := c.relay
	u, ok := r.View().Upgrades[c.service]
	if !ok {
		return
	}
	c.versionFilter = r.Sessions.chooseVersions(u, c.passage.SessionID, c.passage.ID, upgrade.CanaryShare(u.Duration, r.Config.MaxCanaryShare), r.CanaryStats.isHalted(u), r.Clock.Now())
	if !u.Stage.Ended() {
		c.upgrade = &u
	}
}

// pinSessionVersion binds the session to the version of the upstream that is about to
// get it. What it returns is called at the attempt's end.
func (c *call) pinSessionVersion(target *Target) func(now time.Time) {
	return c.relay.Sessions.BeginRun(c.service, c.passage.SessionID, target.Version, c.relay.Clock.Now())
}

// attempt sends the passage to the target and carries the answer back.
func (c *call) attempt(ctx context.Context, target *Target) outcome {
	r := c.relay
	c.triedIncarnations[target.Incarnation] = true
	endRun := c.pinSessionVersion(target)
	defer func() { endRun(r.Clock.Now()) }()
	target.recordAttempt()
	target.inFlight.Add(1)
	defer target.inFlight.Add(-1)
	start := r.Clock.Now()
	c.quarantineRun = c.quarantineCopy.BeginRun(target.InstanceID(), start)
	defer func(run *quarantine.Run) { run.Close(r.Clock.Now()) }(c.quarantineRun)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	detector := c.startStallDetector(ctx, cancel, target)
	defer detector.stop()
	recordModelHead := r.ModelStats.awaitHead(c.service, c.modelName(), c.passage.PromptTokens, start)
	recordTargetHead := target.awaitHead(start, r.ModelStats.prefillTime(c.service, c.modelName(), c.passage.PromptTokens))
	response, err := r.Forwarder.Forward(ctx, &persimmoncross.ProxyAttempt{
		Request:           c.passage,
		Upstream:          target.Upstream,
		Organisation:      c.organisation,
		Model:             c.modelName(),
		LastEventID:       c.lastEventID,
		Priority:          c.priority,
		Deadline:          c.deadline,
		MaxConns:          c.maxConns(),
		PrefixCacheSource: c.prefixSource,
	})
	c.reachedUpstream = c.reachedUpstream || err == nil || mayHaveReachedUpstream(err)
	executed := err == nil && !response.Head().NotRun
	recordModelHead(r.Clock.Now(), executed)
	recordTargetHead(r.Clock.Now(), executed)
	if err != nil && detector.stop() {
		return c.handleStall(target, detector, r.Clock.Now().Sub(start))
	}
	if err != nil {
		return c.handleAttemptError(ctx, target, err)
	}
	detector.recordHead(r.Clock.Now())
	if !response.Head().NotRun && !response.Head().Misdirected {
		r.endOutage(c.service)
		c.quarantineRun.MarkStarted(r.Clock.Now())
	}
	target.clearSuspicion()
	target.recordReceived(r.Clock.Now())
	c.applyFeedback(target, response.Head(), start)
	defer response.Close()
	head := response.Head()
	c.logResponseHead(target, head, r.Clock.Now().Sub(start))
	if head.Status < http.StatusInternalServerError || head.NotRun {
		target.recordLoad(head.Load, r.Clock.Now()) // what fails at once is not to look idle
	}
	if head.Misdirected || head.NotRun {
		return c.handleRejection(target, head)
	}
	c.executions++
	c.recordResult(target, head.Status >= 500)
	if c.route.Stream && head.Status == 200 {
		return c.forwardStream(ctx, target, response, detector)
	}
	detector.stop() // the body of a plain answer follows its head
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

// logResponseHead tells where an answer began and what was known of the upstream then.
func (c *call) logResponseHead(target *Target, head persimmoncross.ProxyResponseHead, took time.Duration) {
	event := c.relay.logEvent(c.passage).Str("session", c.passage.SessionID).Str("upstream", target.Incarnation).Str("version", target.Version).Int("status", head.Status).Int("send", c.attempts).Dur("took", took).Int64("own", target.inFlight.Load())
	if head.Load != nil {
		event.Int("running", head.Load.Running).Int("waiting", head.Load.Waiting)
	}
	if head.RateLimit > 0 {
		event.Float64("limit", head.RateLimit)
	}
	if c.modelName() != "" {
		event.Str("model", c.modelName()).Int("prompt", c.passage.PromptTokens).Int("confidence", head.ModelConfidence)
		event.Dur("outlook", c.expectedWait).Dur("reading", c.relay.ModelStats.prefillTime(c.service, c.modelName(), c.passage.PromptTokens)).Bool("copy", c.prefixSource.IsValid())
	}
	event.Msg("head")
	c.relay.observeDuration("head", took)
}

func (c *call) maxConns() int {
	v := c.relay.View()
	s := v.Catalog.Services[c.service]
	if s == nil || s.MaxConns == 0 {
		return 0
	}
	return max(int(maxConnsFraction*float64(s.MaxConns))/v.entryCountOrDefault(), minConnsPerEntry)
}

// recordResult tells the breaker and the evidence of an attempt that ran.
func (c *call) recordResult(target *Target, failed bool) {
	target.recordResult(failed, c.relay.Clock.Now())
	c.relay.CanaryStats.recordResult(c.upgrade, c.canaryKey(target), failed)
}

// canaryKey names what the evidence counts of the target.
func (c *call) canaryKey(target *Target) CanaryKey {
	k := CanaryKey{
		Service: c.service,
		Version: target.Version,
		Route:   c.route.Name,
	}
	if c.upgrade != nil {
		k.UpgradeOrder = c.upgrade.Order
	}
	return k
}

// asAttemptError returns the error of an attempt; one of another kind has the reason,
// and the run may have come so far.
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

// handleAttemptError takes an attempt that gave no head.
func (c *call) handleAttemptError(ctx context.Context, target *Target, err error) outcome {
	e := asAttemptError(err, "internal", persimmoncross.RunUnknown)
	c.lastError = e
	c.recordCut(ctx, target, e)
	switch {
	case ctx.Err() != nil || e.Overloaded:
		target.recordInconclusive()
	case e.Run == persimmoncross.NotRun:
		target.recordUnreachable(c.relay.Clock.Now())
	default:
		c.recordResult(target, true)
	}
	c.logEventWithDigest().Str("upstream", target.Incarnation).Str("reason", e.Reason).Str("run", string(e.Run)).Str("detail", e.Detail).Int("send", c.attempts).Msg("attempt failed")
	if e.Run != persimmoncross.NotRun {
		c.executions++
		if c.route.Repeat == persimmoncross.RetryNever {
			return outcomeNoRetry
		}
	}
	return outcomeRetry
}

// handleRejection takes an answer that says that nothing ran.
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
	event := c.relay.logEvent(c.passage).Str("upstream", target.Incarnation).Str("reason", reason).Int("status", head.Status).Int("send", c.attempts)
	if head.RetryAfter > 0 {
		event.Dur("retryAfter", head.RetryAfter)
	}
	event.Msg("attempt rejected")
	return outcomeRetry
}

// giveUp returns the final answer to a passage that got none, or sends the
// failure that an upstream gave.
func (c *call) giveUp(ctx context.Context, reason string) *persimmoncross.Refusal {
	r := c.relay
	event := c.logEventWithDigest().Str("route", c.route.Name).Str("why", reason).Int("sends", c.attempts).Int("runs", c.executions).Bool("started", c.headSent).Dur("after", r.Clock.Now().Sub(c.passage.ArrivedAt))
	if c.lastError != nil {
		event = event.Str("reason", c.lastError.Reason)
	}
	wait, blockReason := c.availableIn()
	if wait > 0 {
		event = event.Str("blocked", blockReason).Dur("availableIn", wait)
	}
	event.Msg("given up")
	r.incrementCounter("given-up." + strings.ReplaceAll(reason, " ", "-"))
	if c.fallback != nil && !c.headSent {
		c.sendBuffered(c.fallback.head, c.fallback.body)
		return nil
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return persimmoncross.NewRefusal(persimmoncross.CodeDeadlineExceeded, "the caller left").WithRunStatus(persimmoncross.RunUnknown)
	case c.executions > 0 && ctx.Err() != nil:
		return persimmoncross.NewRefusal(persimmoncross.CodeDeadlineExceeded, "no answer in time").WithRunStatus(persimmoncross.RunUnknown)
	case c.executions > 0:
		return persimmoncross.NewRefusal(persimmoncross.CodeUpstreamFailed, "the upstream's answer was lost").WithRunStatus(persimmoncross.RunUnknown)
	}
	return c.refuseNotRun(wait, blockReason)
}

// refuseNotRun refuses a passage that no upstream has begun. The arguments are the results
// of availableIn.
func (c *call) refuseNotRun(wait time.Duration, blockReason string) *persimmoncross.Refusal {
	busy := c.lastError != nil && c.lastError.Overloaded
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

// logEventWithDigest begins a log logEventWithDigest on a trouble of the passage: its digest joins those of
// all passages that ask for the same.
func (c *call) logEventWithDigest() *zerolog.Event {
	return c.relay.logEvent(c.passage).Stringer("digest", c.quarantineCopy.Digest)
}

// timeToHead estimates in which time an answer of the service timeToHead now.
func (c *call) timeToHead() time.Duration {
	r := c.relay
	return r.ModelStats.timeToHead(c.service, c.modelName(), c.passage.PromptTokens, r.Clock.Now())
}

// retryAfter returns when the caller should come back; expected is when there should
// be room, 0 if that is not known.
func (c *call) retryAfter(expectedWait time.Duration) time.Duration {
	r := c.relay
	hint := retry.RetryAfter{
		ExpectedWait:   expectedWait,
		OutageAge:      r.recordRefusal(c.service, c.passage.ArrivedAt),
		UntilDeadline:  c.deadline.Sub(r.Clock.Now()),
		Priority:       c.route.Priority,
		PriorityLevels: r.View().Catalog.Ranks(),
	}
	return hint.Delay(rand.Float64())
}
