package relay

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
)

// modelName is the model that the next attempt asks.
func (t *trip) modelName() string {
	if t.passage.AnyModel && len(t.route.Models) > 0 {
		return t.route.Models[t.model]
	}
	return t.passage.Model
}

// firstModel returns the model to begin with.
func (t *trip) firstModel() int {
	r, models := t.relay, t.route.Models
	if len(models) == 0 {
		return 0
	}
	now := r.Clock.Now()
	begin, reading := t.largest(now)
	o := cascade.Outset{
		Doubted:   r.Pressure.doubted(t.service, models[max(min(r.Cascade.Start, len(models)-1), 0)]),
		Begin:     begin,
		Reading:   reading,
		Crowd:     t.crowd(now),
		Objective: t.objective(),
		Retries:   r.retriesLeft(t.service),
	}
	first := r.Cascade.First(models, o)
	r.line(t.passage).Float64("doubted", o.Doubted).Dur("begin", o.Begin).Dur("reading", o.Reading).Float64("crowd", o.Crowd).Float64("retries", o.Retries).Int("model", first).Msg("first model")
	return first
}

// askLarger drops an answer that its model doubts, while the caller has none
// of it, and lets a larger model be asked.
func (t *trip) askLarger(confidence int) bool {
	r := t.relay
	if t.started || t.copy.Trial() || !t.passage.AnyModel || len(t.route.Models) == 0 || t.runs >= t.maxRuns() {
		return false
	}
	r.Pressure.opinion(t.service, t.modelName(), r.Cascade.Doubted(t.route.Models, t.model, confidence))
	d := t.doubt(confidence, r.Clock.Now())
	next, ask := r.Cascade.Larger(t.route.Models, d)
	r.line(t.passage).Dur("begin", d.Begin).Dur("reading", d.Reading).Float64("crowd", d.Crowd).Dur("left", d.Left).Float64("retries", d.Retries).Bool("larger", ask).Msg("confidence weighed")
	if !ask {
		return false
	}
	t.last = &persimmoncross.AttemptError{
		Reason: "doubt",
		Run:    persimmoncross.Ran,
	}
	t.model = next
	clear(t.tried)
	return true
}

// doubt tells what is known when a model has answered with the confidence.
func (t *trip) doubt(confidence int, now time.Time) cascade.Doubt {
	begin, reading := t.largest(now)
	return cascade.Doubt{
		Model:      t.model,
		Confidence: confidence,
		Begin:      begin,
		Reading:    reading,
		Crowd:      t.crowd(now),
		Objective:  t.objective(),
		Left:       t.passage.Arrived.Add(t.objective()).Sub(now),
		End:        t.deadline.Sub(now),
		Retries:    t.relay.retriesLeft(t.service),
	}
}

// largest estimates how long the route's largest model takes to begin an answer to the
// prompt now, and how much of that is its reading; zero if nothing is known.
func (t *trip) largest(now time.Time) (begin, reading time.Duration) {
	p, model, tokens := t.relay.Pressure, t.route.Models[len(t.route.Models)-1], t.passage.PromptTokens
	return p.estimate(t.service, model, tokens, now), p.reading(t.service, model, tokens)
}

// crowd returns the part of the slots that are taken at the upstreams that the
// passage may go to.
func (t *trip) crowd(now time.Time) float64 {
	sum, slots := 0.0, 0
	for _, u := range t.targets() {
		if !u.Leaves(now) && t.group.holds(u) {
			sum += u.crowd(now)
			slots += u.Slots
		}
	}
	return sum / float64(max(slots, 1))
}
