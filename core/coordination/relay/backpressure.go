package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
)

// IsAvailable reports whether this entry may send the target a request now. It may not while
// slow start, the target's rate limit or a backoff blocks the target.
func (t *Target) IsAvailable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isAvailableLocked(now)
}

// isAvailableLocked is like IsAvailable, but the caller holds mu.
func (t *Target) isAvailableLocked(now time.Time) bool {
	t.rateLimit.SetHeard(t.clockOrigin.Add(time.Duration(t.lastReceived.Load())), now)
	return t.slowStart.CanSend(now) && t.rateLimit.CanSend(now) && t.backoff.Remaining(now) == 0
}

// acquire reports whether this entry may send the target a request now and, if so, counts the
// request against the rate limit and the slow start interval.
func (t *Target) acquire(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isAvailableLocked(now) && t.rateLimit.TryAcquire(now) && t.slowStart.TryAcquire(now)
}

// Reasons why a target gets no requests from this entry. They are also parts of counter names.
const (
	blockedLimit   = "limit"
	blockedCold    = "cold"
	blockedBackoff = "backoff"
)

// availableIn returns the expected time until the target may get a request, and the reason for
// the wait. Under a rate limit it is the time until some entry may send a request, which is
// more than 0 even if this entry may send one now. The wait is 0 if nothing blocks the target.
func (t *Target) availableIn(now time.Time) (wait time.Duration, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait = t.rateLimit.ExpectedWait(now); wait > 0 {
		reason = blockedLimit
	}
	if cold := t.slowStart.NextSendTime().Sub(now); cold > wait {
		wait, reason = cold, blockedCold
	}
	if backoff := t.backoff.Remaining(now); backoff > wait {
		wait, reason = backoff, blockedBackoff
	}
	return wait, reason
}

// extendBackoff blocks requests to the target until the given time.
func (t *Target) extendBackoff(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoff.Extend(until)
}

// setRateLimit sets the target's rate limit, in requests per second of all entries together;
// 0 clears the limit. It reports whether the limit changed.
func (t *Target) setRateLimit(rate float64, entryCount int, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate > 0 {
		return t.rateLimit.SetLimit(rate, entryCount, now, rand.Float64())
	}
	changed = t.rateLimit.Rate() > 0
	t.rateLimit.Clear()
	return changed
}

// setEntryCount sets the number of entries that share the target's rate limit.
func (t *Target) setEntryCount(entryCount int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rateLimit.SetEntries(entryCount, now, rand.Float64())
}

// handleUnlimited handles a response that names no rate limit, to a request that was sent at the
// given time. It reports whether the response ends a limit.
func (t *Target) handleUnlimited(sent time.Time) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rateLimit.HandleUnlimited(sent)
}

// applyFeedback applies the rate limit, the Retry-After and the draining state that a response
// head carries. The attempt began at start. A misdirected response is ignored, because it
// comes from another upstream.
func (c *call) applyFeedback(target *Target, head persimmoncross.ProxyResponseHead, start time.Time) {
	if head.Misdirected {
		return
	}
	c.applyRateLimit(target, head, start)
	c.applySlotFeedback(target, head, start)
	if head.RetryAfter > 0 {
		c.relay.incrementCounter("backoff")
		target.extendBackoff(c.relay.Clock.Now().Add(head.RetryAfter))
	}
	if head.Draining && target.markDraining() {
		c.relay.incrementCounter("leaving")
		c.relay.logEvent(c.request).Str("upstream", target.Name).Bool("listed", target.Draining).Msg("upstream is draining")
	}
}

// applyRateLimit updates the target's rate limit and publishes changes to the other entries.
// A rejection or a failure that names no limit does not clear the limit.
func (c *call) applyRateLimit(target *Target, head persimmoncross.ProxyResponseHead, start time.Time) {
	r := c.relay
	now := r.Clock.Now()
	switch {
	case head.RateLimit > 0:
		r.incrementCounter("limit.named")
		entryCount := r.View().entryCountOrDefault()
		if target.setRateLimit(head.RateLimit, entryCount, now) {
			r.incrementCounter("limit.set")
			r.logEvent(c.request).Str("upstream", target.Name).Float64("limit", head.RateLimit).Int("entries", entryCount).Msg("upstream rate limit set")
		}
	case head.NotRun || head.Status >= 500 || !target.handleUnlimited(start):
		return
	default:
		r.incrementCounter("limit.cleared")
		r.logEvent(c.request).Str("upstream", target.Name).Msg("upstream rate limit cleared")
	}
	if r.RateLimits == nil {
		return
	}
	r.RateLimits.Merge([]ratelimit.Observation{
		{
			InstanceID: target.InstanceID(),
			Rate:       head.RateLimit,
			ObservedAt: now,
		},
	}, now)
}

// availableIn returns the expected time until the first of the blocked upstreams may get a
// request, and the reason why that upstream is blocked. It covers the upstreams that may run
// the request and are not draining. The time is 0 if none of them is blocked.
func (c *call) availableIn() (shortest time.Duration, reason string) {
	now := c.relay.Clock.Now()
	for _, u := range c.eligibleTargets() {
		wait, blocked := u.availableIn(now)
		if !u.IsDraining(now) && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest, reason = wait, blocked
		}
	}
	return shortest, reason
}

// noneAvailable reports whether no upstream that may run the request may get one now.
func (c *call) noneAvailable() bool {
	now := c.relay.Clock.Now()
	return !slices.ContainsFunc(c.eligibleTargets(), func(u *Target) bool { return !u.IsDraining(now) && u.IsAvailable(now) })
}

// MergeRateLimits adds rate limits that other entries have observed.
func (p *Pool) MergeRateLimits(observations []ratelimit.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, o := range p.RateLimits.Merge(observations, now) {
		if t := p.byInstanceID[o.InstanceID]; t != nil {
			t.setRateLimit(o.Rate, p.entryCountOrDefault(), now)
		}
	}
}

// entryCountOrDefault returns how many entries share the upstreams, or defaultEntryCount while
// the number is not known. The caller holds mu.
func (p *Pool) entryCountOrDefault() int {
	if p.entryCount == 0 {
		return defaultEntryCount
	}
	return p.entryCount
}

// SetEntryCount sets the number of entries that share the upstreams.
func (p *Pool) SetEntryCount(entryCount int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryCount = entryCount
	for _, t := range p.byInstanceID {
		t.setEntryCount(entryCount, p.Clock.Now())
	}
}
