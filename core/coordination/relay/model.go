package relay

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
)

// modelName is the model that the next attempt asks.
func (c *call) modelName() string {
	if c.passage.AnyModel && len(c.route.Models) > 0 {
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
	o := cascade.Outset{
		Doubted:   r.Pressure.lowConfidenceShare(c.service, models[max(min(r.Cascade.Start, len(models)-1), 0)]),
		Begin:     timeToHead,
		Reading:   prefillTime,
		Crowd:     c.fleetUtilization(now),
		Objective: c.latencyObjective(),
		Retries:   r.retryBudgetLeft(c.service),
	}
	first := r.Cascade.First(models, o)
	r.logEvent(c.passage).Float64("doubted", o.Doubted).Dur("begin", o.Begin).Dur("reading", o.Reading).Float64("crowd", o.Crowd).Float64("retries", o.Retries).Int("model", first).Msg("first model")
	return first
}

// escalateModel drops an answer that its model doubts, while the caller has none
// of it, and lets a larger model be asked.
func (c *call) escalateModel(confidence int) bool {
	r := c.relay
	if c.headSent || c.quarantineCopy.Trial() || !c.passage.AnyModel || len(c.route.Models) == 0 || c.executions >= c.maxExecutions() {
		return false
	}
	r.Pressure.recordConfidence(c.service, c.modelName(), r.Cascade.Doubted(c.route.Models, c.modelIndex, confidence))
	d := c.escalationInputs(confidence, r.Clock.Now())
	next, escalate := r.Cascade.Larger(c.route.Models, d)
	r.logEvent(c.passage).Dur("begin", d.Begin).Dur("reading", d.Reading).Float64("crowd", d.Crowd).Dur("left", d.Left).Float64("retries", d.Retries).Bool("larger", escalate).Msg("confidence weighed")
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
func (c *call) escalationInputs(confidence int, now time.Time) cascade.Doubt {
	timeToHead, prefillTime := c.estimateLargestModel(now)
	return cascade.Doubt{
		Model:      c.modelIndex,
		Confidence: confidence,
		Begin:      timeToHead,
		Reading:    prefillTime,
		Crowd:      c.fleetUtilization(now),
		Objective:  c.latencyObjective(),
		Left:       c.passage.Arrived.Add(c.latencyObjective()).Sub(now),
		End:        c.deadline.Sub(now),
		Retries:    c.relay.retryBudgetLeft(c.service),
	}
}

// estimateLargestModel estimates how long the route's estimateLargestModel model takes to begin an answer to the
// prompt now, and how much of that is its reading; zero if nothing is known.
func (c *call) estimateLargestModel(now time.Time) (timeToHead, prefillTime time.Duration) {
	stats, model, tokens := c.relay.Pressure, c.route.Models[len(c.route.Models)-1], c.passage.PromptTokens
	return stats.timeToHead(c.service, model, tokens, now), stats.prefillTime(c.service, model, tokens)
}

// fleetUtilization returns the part of the slots that are taken at the upstreams that the
// passage may go to.
func (c *call) fleetUtilization(now time.Time) float64 {
	requests, slots := 0.0, 0
	for _, u := range c.eligibleTargets() {
		if !u.Leaves(now) && c.versionFilter.matches(u) {
			requests += u.fleetRequestEstimate(now)
			slots += u.Slots
		}
	}
	return requests / float64(max(slots, 1))
}
