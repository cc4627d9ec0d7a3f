package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
)

// Bears reports whether this entry may send the target a request now: the target is not
// cold, over the limit that it named, or in a backoff.
func (t *Target) Bears(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bears(now)
}

// bears is Bears for a caller that holds mu.
func (t *Target) bears(now time.Time) bool {
	return t.start.Allows(now) && t.limit.Allows(now) && t.backoff.Remaining(now) == 0
}

// take reports the same, and accounts for a request if so.
func (t *Target) take(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bears(now) && t.limit.Take(now) && t.start.Take(now)
}

// Why a target gets no requests from this entry; also names of counters.
const (
	blockedLimit   = "limit"
	blockedCold    = "cold"
	blockedBackoff = "backoff"
)

// availableIn returns how long the target gets no requests from this entry and why, 0 if
// it may get one at any time.
func (t *Target) availableIn(now time.Time) (in time.Duration, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in = t.limit.Wait(now); in > 0 {
		why = blockedLimit
	}
	if cold := t.start.Opens().Sub(now); cold > in {
		in, why = cold, blockedCold
	}
	if backoff := t.backoff.Remaining(now); backoff > in {
		in, why = backoff, blockedBackoff
	}
	return in, why
}

// backOff keeps requests from the target until then.
func (t *Target) backOff(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoff.Extend(until)
}

// setLimit sets the target's limit in requests per second of all entries, 0 for none. It
// reports whether that is a change.
func (t *Target) setLimit(rate float64, entries int, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate > 0 {
		return t.limit.SetLimit(rate, entries, now, rand.Float64())
	}
	changed = t.limit.Rate() > 0
	t.limit.Clear()
	return changed
}

// setEntries sets the number of entries that share the target's limit.
func (t *Target) setEntries(entries int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit.SetEntries(entries, now, rand.Float64())
}

// unlimited handles an answer without a limit to a request that was sent at the given
// time, and reports whether it ends one.
func (t *Target) unlimited(sent time.Time) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit.Unlimited(sent)
}

// observe handles what the head of an answer asks for, to an attempt that began at the
// given time. A misdirected answer is from another upstream.
func (t *trip) observe(target *Target, head persimmoncross.PassageHead, began time.Time) {
	if head.Misdirected {
		return
	}
	t.observeLimit(target, head, began)
	if head.RetryAfter > 0 {
		t.relay.count("backoff")
		target.backOff(t.relay.Clock.Now().Add(head.RetryAfter))
	}
	if head.Leaving && target.leave() {
		t.relay.count("leaving")
		t.relay.line(t.passage).Str("upstream", target.Incarnation).Bool("listed", target.Leaving).Msg("upstream is leaving")
	}
}

// observeLimit updates the target's limit and reports changes to the other entries. The
// absence of a limit from a rejection or a failure means nothing.
func (t *trip) observeLimit(target *Target, head persimmoncross.PassageHead, began time.Time) {
	r := t.relay
	now := r.Clock.Now()
	switch {
	case head.Limit > 0:
		r.count("limit.named")
		entries := r.View().entries()
		if target.setLimit(head.Limit, entries, now) {
			r.count("limit.set")
			r.line(t.passage).Str("upstream", target.Incarnation).Float64("limit", head.Limit).Int("entries", entries).Msg("upstream limit set")
		}
	case head.NotRun || head.Status >= 500 || !target.unlimited(began):
		return
	default:
		r.count("limit.cleared")
		r.line(t.passage).Str("upstream", target.Incarnation).Msg("upstream limit cleared")
	}
	if r.Limits == nil {
		return
	}
	r.Limits.Merge([]ratelimit.Observation{
		{
			Life: target.Life(),
			Rate: head.Limit,
			At:   now,
		},
	}, now)
}

// availableIn returns how long it takes until the first of the service's blocked upstreams
// may get a request, and why it is blocked; 0 if none is.
func (t *trip) availableIn() (first time.Duration, why string) {
	now := t.relay.Clock.Now()
	for _, u := range t.targets() {
		in, blocked := u.availableIn(now)
		if !u.Leaves(now) && in > 0 && (first == 0 || in < first) {
			first, why = in, blocked
		}
	}
	return first, why
}

// noneAvailable reports whether none of the service's upstreams may get a request now.
func (t *trip) noneAvailable() bool {
	now := t.relay.Clock.Now()
	return !slices.ContainsFunc(t.targets(), func(u *Target) bool { return !u.Leaves(now) && u.Bears(now) })
}

// MergeLimits adds limits that other entries have observed.
func (p *Pool) MergeLimits(list []ratelimit.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, o := range p.Limits.Merge(list, now) {
		if t := p.byLife[o.Life]; t != nil {
			t.setLimit(o.Rate, p.sharers(), now)
		}
	}
}

// sharers returns how many entries share the upstreams, or an estimate before that is
// known. The caller holds mu.
func (p *Pool) sharers() int {
	if p.entries == 0 {
		return entriesIdle
	}
	return p.entries
}

// SetEntries sets the number of entries that share the upstreams.
func (p *Pool) SetEntries(entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
	for _, t := range p.byLife {
		t.setEntries(entries, p.Clock.Now())
	}
}
