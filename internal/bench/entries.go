package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/forecast"
	"persimmoncross/core/coordination/outlier"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/coordination/retry"
)

// decideFleet is the entries with what they know.
type decideFleet struct {
	play   *batchPlay
	way    decideWay
	policy cascade.EscalationPolicy
	random *rand.Rand
	heads  [decideEntries][2]forecast.FirstTokenEstimator
	spare  *[decideEntries]retry.Budget           // nil: retries are not bounded
	opined [decideEntries]cascade.ConfidenceStats // of the small model
	links  [decideEntries]outlier.LossyLinks
	knows  [decideEntries][decideEngines]decideView
	shared [decideEngines]time.Duration // the reading that all awaited at the last account
	at     time.Time                    // of shared
	earned []float64
	late   int
}

// decideView is what one entry knows of one engine.
type decideView struct {
	inFlight  int
	flowing   int
	asked     map[*decideTry]time.Time
	pauses    outlier.PauseTracker
	suspicion outlier.Suspicion
	heard     time.Time
}

// decideTry is one attempt of one request.
type decideTry struct {
	generation *generation
	run        *batchRun
	engine     int
	model      int
	work       time.Duration
	number     uint64
	came       bool // the head has
	begun      bool // the caller gets its events
	ended      bool
	last       time.Time // when bytes came
	arrives    time.Time // when the event sent last comes here
}

// decideCourse is a request on its way.
type decideCourse struct {
	generation *generation
	first      time.Time // head at the caller; zero: none yet
	made       int       // tokens that the caller has
	slow       bool      // a pause or an event was too long
	poor       bool
	since      time.Time // the caller's last event
	tries      int
	current    *decideTry
}

func newDecideFleet(p *batchPlay, w decideWay, seed uint64) *decideFleet {
	f := &decideFleet{
		play:   p,
		way:    w,
		random: rand.New(rand.NewPCG(seed, 41)),
		policy: cascade.EscalationPolicy{
			Thresholds: []int{55},
		},
	}
	for e := range f.knows {
		for i := range f.knows[e] {
			f.knows[e][i].asked = map[*decideTry]time.Time{}
		}
	}
	return f
}

// share takes the account of all entries; it is used when it has come.
func (f *decideFleet) share() {
	var sum [decideEngines]time.Duration
	for e := range f.knows {
		for i := range f.knows[e] {
			for t := range f.knows[e][i].asked {
				sum[i] += t.work
			}
		}
	}
	at := f.play.clock.now
	f.play.post(decideLag, func() {
		f.shared = sum
		f.at = at
	})
}

func (f *decideFleet) arrive(g *generation) {
	c := &decideCourse{
		generation: g,
	}
	f.play.post(decideDeadline, func() {
		if c.current != nil {
			f.over(c.current)
		}
	})
	if f.spare != nil {
		f.spare[g.entry].RecordRequest(doubtsShare, f.play.clock.now)
		for e := range f.spare {
			f.spare[e].RecordFleet(doubtsShare, 0, 0, f.play.clock.now)
		}
	}
	f.send(c, f.first(g), -1)
}

// first returns the model to begin with.
func (f *decideFleet) first(g *generation) int {
	if f.way.always >= 0 {
		return f.way.always
	}
	if f.way.plain {
		return smallModel
	}
	h, now := &f.heads[g.entry][largeModel], f.play.clock.now
	return f.policy.FirstModel(decideModels, cascade.StartConditions{
		LowConfidenceRate: f.opined[g.entry].LowConfidenceRate(),
		TimeToFirstToken:  h.TimeToFirstToken(g.prompt, now),
		PrefillTime:       h.PrefillTime(g.prompt),
		SlotUtilization:   f.crowd(),
		Objective:         decideObjective,
		RetryBudgetLeft:   f.retriesLeft(g.entry),
	})
}

// crowd returns the part of the slots that are taken.
func (f *decideFleet) crowd() float64 {
	taken := 0
	for _, e := range f.play.engines {
		taken += e.running
	}
	return float64(taken) / float64(decideEngines*f.play.slots)
}

// retriesLeft returns which part of the entry's retries is left.
func (f *decideFleet) retriesLeft(entry int) float64 {
	if f.spare == nil {
		return 1
	}
	return f.spare[entry].LeftFraction(f.play.clock.now)
}

// retry takes a retry of the entry, and reports whether there was one.
func (f *decideFleet) retry(entry int) bool {
	if f.spare == nil {
		return true
	}
	if !f.spare[entry].TryRetry(f.play.clock.now) {
		return false
	}
	for e := range f.spare {
		f.spare[e].RecordFleet(0, 1, 0, f.play.clock.now)
	}
	return true
}

// place chooses the engine as the way does.
func (f *decideFleet) place(c *decideCourse, not int) int {
	g, now := c.generation, f.play.clock.now
	var candidates []placement.Candidate
	var of []int
	for i, e := range f.play.engines {
		k := &f.knows[g.entry][i]
		if i == not || (!f.way.simple && k.suspicion.IsActive(now)) {
			continue
		}
		candidate := placement.Candidate{
			Name:            e.name,
			Slots:           f.play.slots,
			SlotUtilization: float64(k.inFlight) / float64(f.play.slots),
		}
		if !f.way.simple {
			f.fill(&candidate, g, i, now)
		}
		candidates = append(candidates, candidate)
		of = append(of, i)
	}
	if len(of) == 0 {
		return f.random.IntN(decideEngines)
	}
	prompt := placement.Prompt{
		PrefixKey:         g.home,
		PrefixPrefillTime: f.heads[g.entry][smallModel].PrefillTime(g.shared),
	}
	if f.way.simple {
		prompt.PrefixKey = ""
	}
	at, _ := placement.Place(candidates, prompt, f.random.Uint64())
	return of[at]
}

// fill adds what is known of an engine's load and link.
func (f *decideFleet) fill(c *placement.Candidate, g *generation, engine int, now time.Time) {
	k := &f.knows[g.entry][engine]
	e := f.play.engines[engine]
	c.InflightRequests = float64(e.running) // told on answers, about as fresh
	own, since := time.Duration(0), time.Duration(0)
	for t, at := range k.asked {
		own += t.work
		if at.After(f.at) {
			since += t.work
		}
		c.TimeToFirstToken = max(c.TimeToFirstToken, now.Sub(at))
	}
	c.QueuedPrefillTime = max(f.shared[engine]+since, own)
	if !f.way.blind {
		c.LinkDelay = f.links[g.entry].ExpectedDelay(zoneName(e.zone), g.tokens, now)
	}
}

func zoneName(zone int) string { return fmt.Sprint("zone", zone) }

// send makes an attempt.
func (f *decideFleet) send(c *decideCourse, model, not int) {
	g, now := c.generation, f.play.clock.now
	i := f.place(c, not)
	k := &f.knows[g.entry][i]
	pace := []float64{smallPace, largePace}[model]
	t := &decideTry{
		generation: g,
		engine:     i,
		model:      model,
		work:       f.heads[g.entry][model].PrefillTime(g.prompt),
		number:     f.heads[g.entry][model].TrackRequest(g.prompt, now),
		last:       now,
	}
	t.run = &batchRun{
		generation: g,
		pace:       pace,
		unread:     g.prompt + c.made,
		made:       c.made,
	}
	t.run.head = func() { f.head(c, t) }
	t.run.event = func(made int) { f.event(c, t, made) }
	t.run.end = func() { f.over(t) }
	c.tries++
	c.current = t
	k.inFlight++
	k.asked[t] = now
	f.play.add(f.play.engines[i], t.run)
	if !f.way.simple {
		f.watch(c, t)
	}
}

// over ends the attempt's part in what the entry knows.
func (f *decideFleet) over(t *decideTry) {
	if t.ended {
		return
	}
	t.ended = true
	k := &f.knows[t.generation.entry][t.engine]
	k.inFlight--
	delete(k.asked, t)
	if t.begun {
		k.flowing--
	}
	if !t.came {
		f.heads[t.generation.entry][t.model].FinishRequest(t.number, false, f.play.clock.now)
	}
	t.run.dropped = true
}

func (f *decideFleet) head(c *decideCourse, t *decideTry) {
	g, now := c.generation, f.play.clock.now
	if t.ended {
		return
	}
	k := &f.knows[g.entry][t.engine]
	delete(k.asked, t)
	f.heads[g.entry][t.model].FinishRequest(t.number, true, now)
	t.came = true
	k.heard, t.last = now, now
	k.suspicion.Clear()
	if t.model == smallModel && c.made == 0 && f.way.always < 0 && f.larger(g, now) && f.retry(g.entry) {
		f.over(t)
		f.send(c, largeModel, -1)
		return
	}
	t.begun = true
	k.flowing++
	if c.first.IsZero() {
		c.first = now
		c.poor = g.hard && t.model == smallModel
	} else if now.Sub(c.since) > decidePause {
		c.slow = true
	}
	c.since = now
}

// larger weighs the small model's answer.
func (f *decideFleet) larger(g *generation, now time.Time) bool {
	f.opined[g.entry].Record(f.policy.IsLowConfidence(decideModels, smallModel, g.doubt))
	arrived := f.play.start.Add(g.at)
	d := cascade.EscalationConditions{
		RetryBudgetLeft: f.retriesLeft(g.entry),
		Confidence:      g.doubt,
		ObjectiveLeft:   arrived.Add(decideObjective).Sub(now),
		Objective:       decideObjective,
		TimeToDeadline:  arrived.Add(decideDeadline).Sub(now),
	}
	if !f.way.fixed {
		h := &f.heads[g.entry][largeModel]
		d.TimeToFirstToken = h.TimeToFirstToken(g.prompt, now)
		d.PrefillTime = h.PrefillTime(g.prompt)
		d.SlotUtilization = f.crowd()
	}
	if f.way.plain {
		if d.RetryBudgetLeft < doubtsKept {
			return false
		}
		d.RetryBudgetLeft = 1
	}
	_, ask := f.policy.Escalate(decideModels, d)
	return ask
}

// event is passed on to the caller when it has come over the link.
func (f *decideFleet) event(c *decideCourse, t *decideTry, made int) {
	p := f.play
	now := p.clock.now
	comes := now.Add(p.held(c.generation.entry%decideZones, p.engines[t.engine].zone))
	if comes.Before(t.arrives) {
		comes = t.arrives // behind one that waits
	}
	t.arrives = comes
	p.post(comes.Sub(now), func() { f.came(c, t, made, comes.Sub(now)) })
}

func (f *decideFleet) came(c *decideCourse, t *decideTry, made int, held time.Duration) {
	g, now := c.generation, f.play.clock.now
	if made <= c.made {
		return
	}
	k := &f.knows[g.entry][t.engine]
	k.heard = now
	k.pauses.Record(now.Sub(t.last), now)
	if held > 0 && held < lossHold {
		f.links[g.entry].RecordEvents(zoneName(f.play.engines[t.engine].zone), lossHold, 2, now)
	}
	t.last = now
	c.slow = c.slow || now.Sub(c.since) > decidePause || held > decidePass
	c.since = now
	c.made = made
	if made < g.tokens {
		return
	}
	arrived := f.play.start.Add(g.at)
	worth := g.worth
	if c.poor {
		worth *= poorCredit
	}
	if c.slow || c.first.Sub(arrived) > decideObjective {
		f.late++
		worth *= lateCredit
	}
	if now.Sub(arrived) <= decideDeadline {
		f.earned = append(f.earned, worth)
	}
}

// watch leaves an engine that has fallen silent.
func (f *decideFleet) watch(c *decideCourse, t *decideTry) {
	f.play.post(watchStep, func() {
		if t.ended || c.made >= c.generation.tokens {
			return
		}
		now := f.play.clock.now
		k := &f.knows[c.generation.entry][t.engine]
		reading := time.Duration(0)
		for other := range k.asked {
			reading += other.work
		}
		s := outlier.IdleState{
			ExpectedHeadWait: f.heads[c.generation.entry][t.model].PrefillTime(c.generation.prompt),
			Objective:        decideObjective,
			PauseLimit:       decidePause,
			HeadReceived:     t.begun,
			ActiveStreams:    k.flowing,
			RecentPause:      k.pauses.Longest(now),
			PendingPrefill:   max(reading, f.shared[t.engine]),
		}
		limit, ok := s.Timeout()
		quiet := min(now.Sub(t.last), now.Sub(k.heard))
		if !ok || quiet < limit || c.tries >= 3 || (f.way.deaf && t.begun) || !f.retry(c.generation.entry) {
			f.watch(c, t)
			return
		}
		k.suspicion.Suspect(now)
		f.over(t)
		f.send(c, t.model, t.engine)
	})
}
