package relay

import (
	"maps"
	"math/rand/v2"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/recall"
)

const (
	// unhintedOutputFraction is the fraction of the limit of tokens that an answer is expected to
	// have if the caller names no length.
	unhintedOutputFraction = 0.2
	// defaultHoldTime is assumed as the time for which a request holds a slot until the first
	// answers of its model were received.
	defaultHoldTime = 2 * time.Second
	// maxRecallCandidates is the number of upstreams of which one is chosen for a withdrawn
	// attempt. A random sample keeps the check cheap with thousands of upstreams, and keeps the
	// entries from all choosing the same one.
	maxRecallCandidates = 12
)

// expectedOutputTokens returns the number of tokens that the answer is expected to have, 0 if
// nothing is known.
func (c *call) expectedOutputTokens() int {
	if c.request.OutputTokensHint > 0 {
		return c.request.OutputTokensHint
	}
	return int(unhintedOutputFraction * float64(c.request.MaxOutputTokens))
}

// canLargestFinish reports whether an answer of the route's largest model, asked for now, can end
// before the deadline. Without the part it is assumed to.
func (c *call) canLargestFinish(now time.Time) bool {
	r := c.relay
	if !r.overloadEnabled(persimmoncross.OverloadRecall, c.service) {
		return true
	}
	timeToHead, _ := c.estimateLargestModel(now)
	generation := r.ModelStats.recentGenerationTime(c.service, c.route.Models[len(c.route.Models)-1], c.expectedOutputTokens(), now)
	answer := recall.Answer{
		TimeToHead:     timeToHead,
		Generation:     generation,
		TimeToDeadline: c.deadline.Sub(now),
	}
	if answer.CanFinish() {
		return true
	}
	if c.largestTooLate {
		return false
	}
	c.largestTooLate = true
	r.incrementCounter("larger.too-late")
	r.logEvent(c.request).Dur("begin", timeToHead).Dur("generation", generation).Dur("left", answer.TimeToDeadline).Int("tokens", c.expectedOutputTokens()).Msg("larger model not asked: its answer would end after the deadline")
	return false
}

// recallWatch watches an attempt whose head is pending, for the goroutine of its stallDetector.
type recallWatch struct {
	call         call // state at the start of the attempt; the call itself goes on meanwhile
	target       *Target
	enabled      bool
	prefill      time.Duration // of the whole prompt
	expectedWait time.Duration // in the target's queue when the attempt was sent
}

// newRecallWatch returns the watch of an attempt at the target that starts now.
func (c *call) newRecallWatch(target *Target, now time.Time) *recallWatch {
	if !c.relay.overloadEnabled(persimmoncross.OverloadRecall, c.service) {
		return &recallWatch{}
	}
	w := &recallWatch{
		call:    *c,
		target:  target,
		enabled: true,
	}
	w.call.triedUpstreams = maps.Clone(c.triedUpstreams)
	w.prefill = c.relay.ModelStats.prefillTime(c.service, c.modelName(), c.request.PromptTokens)
	w.expectedWait = target.beginDelay(c.holdTime(), now)
	return w
}

// holdTime returns the mean time for which a request like this one holds a slot, without its wait.
func (c *call) holdTime() time.Duration {
	stats := c.relay.ModelStats
	generation, _ := stats.generationTime(c.service, c.modelName(), c.expectedOutputTokens())
	if generation == 0 {
		return defaultHoldTime
	}
	return generation + stats.prefillTime(c.service, c.modelName(), c.request.PromptTokens)
}

// shouldReplace reports whether the kept answer is delivered in place of the watched attempt's.
func (w *recallWatch) shouldReplace(detector *stallDetector, now time.Time) bool {
	return w.enabled && !detector.headReceived.Load() && w.call.shouldDeliverKept(now)
}

// betterTarget returns a target that would begin the watched attempt sooner than the one in whose
// queue it lies, nil if it is to stay there.
func (w *recallWatch) betterTarget(detector *stallDetector, now time.Time) *Target {
	c, r := &w.call, w.call.relay
	if !w.enabled || detector.headReceived.Load() || c.isQuarantined() {
		return nil
	}
	hold := c.holdTime()
	attempt := recall.Attempt{
		Age:             now.Sub(detector.start),
		PrefillTime:     w.prefill,
		ExpectedWait:    w.expectedWait,
		Requests:        w.target.fleetRequestEstimate(now),
		Slots:           w.target.Slots,
		Waiting:         w.target.waitingReported(now),
		QueueDelay:      w.target.beginDelay(hold, now) + w.target.pendingPrefill(now),
		Recalls:         c.recalls,
		ObjectiveLeft:   c.request.ArrivedAt.Add(c.latencyObjective()).Sub(now) - w.prefill,
		DeadlineLeft:    c.deadline.Sub(now) - hold,
		RetryBudgetLeft: r.retryBudgetLeft(c.service),
	}
	if !attempt.MayRecall() {
		return nil
	}
	prefixPrefill := r.ModelStats.prefillTime(c.service, c.modelName(), c.request.SharedPromptTokens())
	var next *Target
	for _, u := range c.recallCandidates(now) {
		if !attempt.IsBetter(u.beginDelay(hold, now)+u.pendingPrefill(now)+c.linkDelay(u, now), prefixPrefill) {
			continue
		}
		next = u
		break // the candidates are in random order
	}
	if next != nil {
		r.logEvent(c.request).Str("upstream", w.target.Name).Str("to", next.Name).Dur("waited", attempt.Age).Dur("remaining", attempt.RemainingWait()).Dur("queue", attempt.QueueDelay).Float64("requests", attempt.Requests).Int("waiting", attempt.Waiting).Dur("begin", next.beginDelay(hold, now)).Dur("prefix", prefixPrefill).Msg("attempt could begin sooner elsewhere")
	}
	return next
}

// recallCandidates returns up to maxRecallCandidates targets in random order that the request may be
// sent to now.
func (c *call) recallCandidates(now time.Time) []*Target {
	all := c.relay.View().Targets[c.service]
	if len(all) == 0 {
		return nil
	}
	sample := make([]*Target, 0, maxRecallCandidates)
	start := rand.IntN(len(all))
	step := coprimeStep(len(all))
	for i := 0; i < len(all) && len(sample) < maxRecallCandidates; i++ {
		u := all[(start+i*step)%len(all)]
		if c.residency.allows(u.DataCentre) {
			sample = append(sample, u)
		}
	}
	return c.withMemoryRoom(c.candidateTargets(sample, c.versionFilter.matches), now)
}

// coprimeStep returns a random step that visits each of n positions once.
func coprimeStep(n int) int {
	for {
		step := 1 + rand.IntN(n)
		a, b := n, step
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return step
		}
	}
}

// waitingReported returns the number of requests that the target last reported as waiting to this or
// another entry, 0 if it did not recently.
func (t *Target) waitingReported(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	fleetReportedAt := t.fleet.reportedAt()
	switch {
	case fleetReportedAt.After(t.reportedAt) && now.Sub(fleetReportedAt) <= maxLoadAge:
		return t.fleet.Reported.Waiting
	case now.Sub(t.reportedAt) <= maxLoadAge:
		return t.reportedLoad.Waiting
	}
	return 0
}

// handleAbort handles an attempt that the stall detector has canceled.
func (c *call) handleAbort(target *Target, detector *stallDetector, took time.Duration) outcome {
	if detector.reason == abortStalled {
		return c.handleStall(target, detector, took)
	}
	// The upstream is not at fault, but it may have begun the request just now. Its head may even
	// have been received meanwhile, and the execution counted.
	if !detector.headReceived.Load() {
		c.executions++
	}
	target.recordInconclusive()
	c.lastError = &persimmoncross.AttemptError{
		Reason: "recalled",
		Run:    persimmoncross.RunUnknown,
	}
	if detector.reason == abortReplaced {
		c.lastError.Reason = "deadline"
		c.logEventWithDigest().Str("upstream", target.Name).Dur("took", took).Int("send", c.attempts).Msg("larger model can't answer in time; attempt canceled")
		return outcomeRetry
	}
	c.recalls++
	c.recallTarget = detector.recallTarget
	c.recalledFrom = target
	c.relay.incrementCounter("recalled")
	c.relay.observeDuration("recalled.waited", took)
	c.logEventWithDigest().Str("upstream", target.Name).Dur("took", took).Int("send", c.attempts).Int("recalls", c.recalls).Msg("attempt recalled from the upstream's queue")
	return outcomeRecalled
}

// takeRecallTarget returns the target that a withdrawn attempt goes to, nil if there is none or it
// takes nothing now.
func (c *call) takeRecallTarget() *Target {
	target := c.recallTarget
	c.recallTarget = nil
	now := c.relay.Clock.Now()
	if target == nil {
		return nil
	}
	if target.IsDraining(now) || !c.versionFilter.matches(target) || !target.acquireSlot(now) || !target.acquire(now) {
		delete(c.triedUpstreams, c.recalledFrom.Name) // it is healthy, and may be the only one
		return nil
	}
	c.expectedWait = target.placementCandidate(now).ExpectedWait()
	if c.route.Sticky {
		c.prefixSource = c.recalledFrom.Address
	}
	return target
}
