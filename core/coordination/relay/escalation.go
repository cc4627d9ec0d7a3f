package relay

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
)

// modelName returns the model that the next attempt uses.
func (c *call) modelName() string {
	if c.request.RouterPicksModel && len(c.route.Models) > 0 {
		return c.route.Models[c.modelIndex]
	}
	return c.request.Model
}

// firstModelIndex returns the index of the model that the first attempt uses.
func (c *call) firstModelIndex() int {
	r, models := c.relay, c.route.Models
	if len(models) == 0 {
		return 0
	}
	now := r.Clock.Now()
	timeToHead, prefillTime := c.estimateLargestModel(now)
	conditions := cascade.StartConditions{
		LowConfidenceRate: r.ModelStats.lowConfidenceRate(c.service, models[max(min(r.Cascade.StartModel, len(models)-1), 0)]),
		TimeToFirstToken:  timeToHead,
		PrefillTime:       prefillTime,
		SlotUtilization:   c.fleetUtilization(now),
		Objective:         c.latencyObjective(),
		RetryBudgetLeft:   r.retryBudgetLeft(c.service),
	}
	if c.route.Repeat == persimmoncross.RetryNever || c.maxExecutions() == 1 {
		conditions.RetryBudgetLeft = 0 // the first answer is final
	}
	first := r.Cascade.FirstModel(models, conditions)
	if smaller := r.Cascade.FirstModel(models, cascade.StartConditions{}); first != smaller && !c.canLargestFinish(now) {
		first = smaller
	}
	r.logEvent(c.request).Float64("doubted", conditions.LowConfidenceRate).Dur("begin", conditions.TimeToFirstToken).Dur("reading", conditions.PrefillTime).Float64("crowd", conditions.SlotUtilization).Float64("retries", conditions.RetryBudgetLeft).Int("model", first).Msg("first model chosen")
	return first
}

// escalateModel reports whether to drop a response of low confidence, of which nothing was sent
// to the caller, and to retry with a larger model. If so, it selects that model. The response has
// run, so a request that may not run twice keeps it. The retry is taken before the response is dropped.
func (c *call) escalateModel(confidence int) bool {
	r := c.relay
	if c.headSent || c.quarantineRequest.IsTrial() || !c.request.RouterPicksModel || len(c.route.Models) == 0 || c.executions >= c.maxExecutions() || c.attempts >= maxAttempts {
		return false
	}
	low := r.Cascade.IsLowConfidence(c.route.Models, c.modelIndex, confidence)
	r.ModelStats.recordConfidence(c.service, c.modelName(), low)
	if c.route.Repeat == persimmoncross.RetryNever {
		if low {
			r.incrementCounter("larger.repeat-forbidden")
		}
		return false
	}
	conditions := c.escalationConditions(confidence, r.Clock.Now())
	next, escalate := r.Cascade.Escalate(c.route.Models, conditions)
	r.logEvent(c.request).Dur("begin", conditions.TimeToFirstToken).Dur("reading", conditions.PrefillTime).Float64("crowd", conditions.SlotUtilization).Dur("left", conditions.ObjectiveLeft).Float64("retries", conditions.RetryBudgetLeft).Bool("larger", escalate).Msg("escalation decided")
	if !escalate || !c.canLargestFinish(r.Clock.Now()) {
		return false
	}
	if c.keptAnswer == nil && !c.shouldKeepAnswer(c.modelIndex) && c.wouldQueue() {
		// The smaller answer would be lost if the queue refused the request then.
		r.incrementCounter("larger.queue")
		return false
	}
	if !c.requestRetries().take("doubt") {
		return false // another request took the last one
	}
	c.lastError = &persimmoncross.AttemptError{
		Reason: "doubt",
		Run:    persimmoncross.Ran,
	}
	c.modelIndex = next
	clear(c.triedUpstreams)
	return true
}

// escalationConditions returns the conditions for the escalation decision after a model answered
// with the given confidence.
func (c *call) escalationConditions(confidence int, now time.Time) cascade.EscalationConditions {
	timeToHead, prefillTime := c.estimateLargestModel(now)
	return cascade.EscalationConditions{
		Model:            c.modelIndex,
		Confidence:       confidence,
		TimeToFirstToken: timeToHead,
		PrefillTime:      prefillTime,
		SlotUtilization:  c.fleetUtilization(now),
		Objective:        c.latencyObjective(),
		ObjectiveLeft:    c.request.ArrivedAt.Add(c.latencyObjective()).Sub(now),
		TimeToDeadline:   c.deadline.Sub(now),
		RetryBudgetLeft:  c.relay.retryBudgetLeft(c.service),
	}
}

// estimateLargestModel estimates how long the route's largest model now takes to send the
// response head for the prompt, with the wait in this entry's queue, and how much of that is
// prefill time. The estimates are 0 if nothing is known.
func (c *call) estimateLargestModel(now time.Time) (timeToHead, prefillTime time.Duration) {
	stats, model, tokens := c.relay.ModelStats, c.route.Models[len(c.route.Models)-1], c.request.PromptTokens
	timeToHead, prefillTime = stats.timeToHead(c.service, model, tokens, now), stats.prefillTime(c.service, model, tokens)
	if q := c.relay.queueOf(c.service); q != nil {
		timeToHead += q.expectedWait(c.priority)
	}
	return timeToHead, prefillTime
}

// fleetUtilization returns the slot utilization of the upstreams that the request may be sent
// to, as a fraction.
func (c *call) fleetUtilization(now time.Time) float64 {
	requests, slots := 0.0, 0
	for _, u := range c.eligibleTargets() {
		if !u.IsDraining(now) && c.versionFilter.matches(u) {
			requests += u.fleetRequestEstimate(now)
			slots += u.Slots
		}
	}
	return requests / float64(max(slots, 1))
}
