package relay

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
)

// modelName is the model that the next attempt asks.
func (c *call) modelName() string {
	if c.passage.RouterPicksModel && len(c.route.Models) > 0 {
		return c.route.Models[c.modelIndex]
	}
	return c.passage.Model
}

// firstModelIndex returns the model to begin with.
func (c *call) firstModelIndex() int {
	r, models := c.relay, c.route.Models
	if len(models) == 0 {
		return 0
	}
	now := r.Clock.Now()
	timeToHead, prefillTime := c.estimateLargestModel(now)
	o := cascade.StartConditions{
		LowConfidenceRate: r.ModelStats.lowConfidenceShare(c.service, models[max(min(r.Cascade.StartModel, len(models)-1), 0)]),
		TimeToFirstToken:  timeToHead,
		PrefillTime:       prefillTime,
		SlotUtilization:   c.fleetUtilization(now),
		Objective:         c.latencyObjective(),
		RetryBudgetLeft:   r.retryBudgetLeft(c.service),
	}
	first := r.Cascade.FirstModel(models, o)
	r.logEvent(c.passage).Float64("doubted", o.LowConfidenceRate).Dur("begin", o.TimeToFirstToken).Dur("reading", o.PrefillTime).Float64("crowd", o.SlotUtilization).Float64("retries", o.RetryBudgetLeft).Int("model", first).Msg("first model")
	return first
}

// escalateModel drops an answer that its model doubts, while the caller has none
// of it, and lets a larger model be asked.
func (c *call) escalateModel(confidence int) bool {
	r := c.relay
	if c.headSent || c.quarantineCopy.IsTrial() || !c.passage.RouterPicksModel || len(c.route.Models) == 0 || c.executions >= c.maxExecutions() {
		return false
	}
	r.ModelStats.recordConfidence(c.service, c.modelName(), r.Cascade.IsLowConfidence(c.route.Models, c.modelIndex, confidence))
	d := c.escalationInputs(confidence, r.Clock.Now())
	next, escalate := r.Cascade.Escalate(c.route.Models, d)
	r.logEvent(c.passage).Dur("begin", d.TimeToFirstToken).Dur("reading", d.PrefillTime).Float64("crowd", d.SlotUtilization).Dur("left", d.ObjectiveLeft).Float64("retries", d.RetryBudgetLeft).Bool("larger", escalate).Msg("confidence weighed")
	if !escalate {
		return false
	}
	c.lastError = &persimmoncross.AttemptError{
		Reason: "doubt",
		Run:    persimmoncross.Ran,
	}
	c.modelIndex = next
	clear(c.triedIncarnations)
	return true
}

// escalationInputs tells what is known when a model has answered with the confidence.
func (c *call) escalationInputs(confidence int, now time.Time) cascade.EscalationConditions {
	timeToHead, prefillTime := c.estimateLargestModel(now)
	return cascade.EscalationConditions{
		Model:            c.modelIndex,
		Confidence:       confidence,
		TimeToFirstToken: timeToHead,
		PrefillTime:      prefillTime,
		SlotUtilization:  c.fleetUtilization(now),
		Objective:        c.latencyObjective(),
		ObjectiveLeft:    c.passage.ArrivedAt.Add(c.latencyObjective()).Sub(now),
		TimeToDeadline:   c.deadline.Sub(now),
		RetryBudgetLeft:  c.relay.retryBudgetLeft(c.service),
	}
}

// estimateLargestModel estimates how long the route's estimateLargestModel model takes to begin an answer to the
// prompt now, and how much of that is its reading; zero if nothing is known.
func (c *call) estimateLargestModel(now time.Time) (timeToHead, prefillTime time.Duration) {
	stats, model, tokens := c.relay.ModelStats, c.route.Models[len(c.route.Models)-1], c.passage.PromptTokens
	return stats.timeToHead(c.service, model, tokens, now), stats.prefillTime(c.service, model, tokens)
}

// fleetUtilization returns the part of the slots that are taken at the upstreams that the
// passage may go to.
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
