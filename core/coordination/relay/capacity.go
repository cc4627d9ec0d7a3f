package relay

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/capacity"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/coordination/slotshare"
)

// beginDelay estimates how long the target takes to begin a request that this entry sends now,
// without the prefill of its prompt. holdTime is the mean time for which a request of the service
// holds a slot; see [Relay.holdTime].
func (t *Target) beginDelay(holdTime time.Duration, now time.Time) time.Duration {
	slots := float64(max(t.Slots, 1))
	excess := max(t.fleetRequestEstimate(now)+1-slots, 0)
	return time.Duration(excess / slots * float64(holdTime) * t.relativePace(now))
}

// holdTime returns the mean time for which a request of the target's service holds a slot, as
// measured by this entry, fallback while nothing was measured.
func (t *Target) holdTime(fallback time.Duration) time.Duration {
	t.mu.Lock()
	service := t.capacity.service
	t.mu.Unlock()
	if d := service.holdTime(); d > 0 {
		return d
	}
	return fallback
}

// serviceCapacity is what this entry has measured of a service. It is nil-safe.
type serviceCapacity struct {
	mu       sync.Mutex // guards all below
	service  capacity.Service
	byModel  map[string]*capacity.Service // for what differs between models
	recorded bool                         // service has hold times
	slots    slotshare.Service
	place    slotshare.Place // of this entry
}

func (s *serviceCapacity) holdTime() time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recorded {
		return 0
	}
	return s.service.HoldTime()
}

func (s *serviceCapacity) recordHold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.RecordHold(d)
	s.recorded = true
}

func (s *serviceCapacity) recordPace(pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.RecordPace(pace)
}

// recordMeanPace records the mean of n paces in octaves above the usual.
func (s *serviceCapacity) recordMeanPace(octaves float64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.RecordMeanPace(octaves, n)
}

func (s *serviceCapacity) pace() float64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service.Pace()
}

// model returns the measurements of a model. The caller holds mu.
func (s *serviceCapacity) model(name string) *capacity.Service {
	if s.byModel == nil {
		s.byModel = map[string]*capacity.Service{}
	}
	if s.byModel[name] == nil {
		s.byModel[name] = &capacity.Service{}
	}
	return s.byModel[name]
}

func (s *serviceCapacity) outputTokens(model string, hint, limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model(model).OutputTokens(hint, limit)
}

// recordStream records a complete stream, and returns the time between its tokens as a multiple
// of the model's mean.
func (s *serviceCapacity) recordStream(model string, tokens, limit int, gap time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model(model).RecordOutput(tokens, limit)
	return s.model(model).RecordTokenGap(gap)
}

// targetCapacity is what a target can do now. The target's mu guards it. The zero value is that
// of a target of which nothing is known: it has the pace of the others.
type targetCapacity struct {
	service     *serviceCapacity
	pace        capacity.Pace
	measured    capacity.Measured
	held        map[uint64]heldTokens // of this entry's requests
	lastHeldID  uint64
	fleetTokens int       // tokens that all entries' requests held at fleetAt
	fleetAt     time.Time // zero: none received
}

// heldTokens are the tokens that one request is expected to hold.
type heldTokens struct {
	sentAt time.Time
	tokens int
}

// heldSince returns the tokens of this entry's requests that were sent after the given time.
func (c *targetCapacity) heldSince(sentAfter time.Time) int {
	sum := 0
	for _, h := range c.held {
		if h.sentAt.After(sentAfter) {
			sum += h.tokens
		}
	}
	return sum
}

// heldTokens estimates the tokens that all entries' requests hold at the target.
func (t *Target) heldTokens(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.capacity.heldSince(time.Time{})
	if now.Sub(t.capacity.fleetAt) > maxLoadAge {
		return own
	}
	return max(t.capacity.fleetTokens+t.capacity.heldSince(t.capacity.fleetAt), own)
}

// relativePace returns how long work takes at the target now, as a multiple of the mean of the
// service's upstreams. It is 1 where nothing is known.
func (t *Target) relativePace(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := t.capacity.service.pace()
	if reported := t.capacity.pace.Brief(usual, now); reported > 0 && usual > 0 {
		return reported / usual
	}
	return t.capacity.measured.Ratio(now)
}

// lastingPace returns the lasting pace as a multiple of the usual, 0 if it is not known.
func (t *Target) lastingPace() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.capacity.pace.Lasting()
}

// recordPace records a reported pace in percent of the usual.
func (t *Target) recordPace(percent int, at time.Time) (capacity.Change, bool) {
	if percent <= 0 {
		return capacity.Change{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity.service.recordPace(float64(percent) / 100)
	return t.capacity.pace.Record(float64(percent)/100, at)
}

func (t *Target) recordMeasuredPace(ratio float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity.measured.Record(ratio, now)
}

// addCapacity adds to a candidate what is known of the target's capacity.
func (t *Target) addCapacity(c *placement.Candidate, now time.Time) {
	c.HoldTime = t.holdTime(0)
	c.LastingPace = t.lastingPace()
	if pace := t.relativePace(now); pace != 1 {
		c.Pace = pace
	}
}

func (s *targetState) setService(service *serviceCapacity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.service = service
}

// serviceCapacity returns the measurements of a service. The caller holds mu.
func (p *Pool) serviceCapacity(service string) *serviceCapacity {
	if p.capacities == nil {
		p.capacities = map[string]*serviceCapacity{}
	}
	if p.capacities[service] == nil {
		p.capacities[service] = &serviceCapacity{
			place: p.placeOrDefault(),
		}
	}
	return p.capacities[service]
}

// attemptCapacity is one attempt's use of its target's capacity. Its methods do nothing on nil.
type attemptCapacity struct {
	call        *call
	target      *Target
	heldID      uint64 // 0: holds no tokens
	sentAt      time.Time
	headAt      time.Time     // zero: the upstream has not begun to answer
	prefillTime time.Duration // of the prompt, with the attempt's model
	service     *serviceCapacity
}

// beginCapacity records that an attempt is sent to the target. It returns nil where the part is
// not enabled.
func (c *call) beginCapacity(target *Target, now time.Time) *attemptCapacity {
	if !c.relay.overloadEnabled(persimmoncross.OverloadCapacity, c.service) {
		return nil
	}
	a := &attemptCapacity{
		call:        c,
		target:      target,
		sentAt:      now,
		prefillTime: c.relay.ModelStats.prefillTime(c.service, c.modelName(), c.request.PromptTokens),
	}
	tokens := c.expectedHeldTokens(target)
	target.mu.Lock()
	defer target.mu.Unlock()
	a.service = target.capacity.service
	if tokens > 0 {
		a.heldID = target.capacity.hold(tokens, now)
	}
	return a
}

// hold records tokens that a request holds until release is called with the returned ID.
func (c *targetCapacity) hold(tokens int, now time.Time) uint64 {
	if c.held == nil {
		c.held = map[uint64]heldTokens{}
	}
	c.lastHeldID++
	c.held[c.lastHeldID] = heldTokens{
		sentAt: now,
		tokens: tokens,
	}
	return c.lastHeldID
}

// expectedHeldTokens returns how many tokens the request is expected to hold at its end.
func (c *call) expectedHeldTokens(target *Target) int {
	q := c.request
	if q.PromptTokens == 0 {
		return 0
	}
	target.mu.Lock()
	service := target.capacity.service
	target.mu.Unlock()
	return q.PromptTokens + service.outputTokens(c.modelName(), q.OutputTokensHint, q.MaxOutputTokens)
}

// recordHead records the pace in a response head, and that the upstream has begun to answer.
func (a *attemptCapacity) recordHead(head persimmoncross.ProxyResponseHead, now time.Time) {
	if a == nil {
		return
	}
	if !head.NotRun && !head.Misdirected {
		a.headAt = now
	}
	if head.Load == nil || head.Misdirected {
		return
	}
	if change, changed := a.target.recordPace(head.Load.Pace, now); changed {
		a.call.relay.LogPaceChange(a.target.Upstream, change)
	}
}

// recordStream records a complete stream. took is the time since the response head.
func (a *attemptCapacity) recordStream(events int, took time.Duration) {
	if a == nil || events < minEventsForDuration {
		return
	}
	c := a.call
	ratio := a.service.recordStream(c.modelName(), events, c.request.MaxOutputTokens, took/time.Duration(events-1))
	a.target.recordMeasuredPace(ratio, c.relay.Clock.Now())
}

// end records the end of the attempt, and for how long it held a slot: from the head, and before
// that for as long as its prompt takes to be read. What it waited in the upstream's queue is
// left out; otherwise a queue would make the expected hold time longer, and that the expected
// queue. The answer may have been kept: the call is in another goroutine then, with another model.
func (a *attemptCapacity) end(now time.Time) {
	if a == nil {
		return
	}
	a.target.mu.Lock()
	delete(a.target.capacity.held, a.heldID)
	a.target.mu.Unlock()
	if a.headAt.IsZero() {
		return
	}
	hold := now.Sub(a.headAt)
	beforeHead := a.headAt.Sub(a.sentAt)
	if a.call.route.Stream {
		beforeHead = min(beforeHead, a.prefillTime)
	}
	a.service.recordHold(hold + beforeHead)
}

// withMemoryRoom returns the candidates whose memory has room for the request's tokens beside what is
// held there. If none has, it returns the one with the most room, because a request that is legal
// is not refused for memory. An engine whose memory is exceeded puts requests back, which have to
// be run again.
func (c *call) withMemoryRoom(candidates []*Target, now time.Time) []*Target {
	memory := c.engineMemory()
	if memory == 0 || c.request.PromptTokens == 0 || len(candidates) == 0 || !c.relay.overloadEnabled(persimmoncross.OverloadCapacity, c.service) {
		return candidates
	}
	tokens := c.expectedHeldTokens(candidates[0])
	var fitting []*Target
	roomiest, leastHeld := candidates[0], -1
	for _, t := range candidates {
		held := t.heldTokens(now)
		if capacity.Fits(memory, held, tokens) {
			fitting = append(fitting, t)
		}
		if leastHeld < 0 || held < leastHeld {
			roomiest, leastHeld = t, held
		}
	}
	switch {
	case len(fitting) == 0:
		c.relay.incrementCounter("capacity.memory.none")
		return []*Target{roomiest}
	case len(fitting) < len(candidates):
		c.relay.incrementCounter("capacity.memory.avoided")
	}
	return fitting
}

// engineMemory returns the memory of the service's engines in tokens, 0 if it is not known.
func (c *call) engineMemory() int {
	s := c.relay.View().Catalog.Services[c.service]
	if s == nil || s.Engine == nil {
		return 0
	}
	return s.Engine.Memory
}

// addCapacityFields adds the pace and the held tokens to the line on a response head.
func (c *call) addCapacityFields(event *zerolog.Event, target *Target, head persimmoncross.ProxyResponseHead) {
	if c.capacity == nil {
		return
	}
	now := c.relay.Clock.Now()
	if head.Load != nil && head.Load.Pace > 0 {
		event.Int("pace", head.Load.Pace)
	}
	event.Float64("relativePace", hundredths(target.relativePace(now)))
	if held := target.heldTokens(now); held > 0 {
		event.Int("held", held)
	}
}

// hundredths rounds a value for a log line.
func hundredths(v float64) float64 { return float64(int(v*100+0.5)) / 100 }

// LogPaceChange logs that the lasting pace of an upstream has changed, so that homes move.
func (r *Relay) LogPaceChange(u persimmoncross.Upstream, change capacity.Change) {
	if change.Was == 0 {
		return // the first one is no change
	}
	r.incrementCounter("capacity.pace.changed")
	r.Log.Info().Str("upstream", u.Name).Str("service", u.Service).Float64("was", hundredths(change.Was)).Float64("now", hundredths(change.Now)).Msg("upstream's lasting pace changed")
}

// CapacityEnabled reports whether the part capacity is in force for the service.
func (r *Relay) CapacityEnabled(service string) bool {
	return r.overloadEnabled(persimmoncross.OverloadCapacity, service)
}
