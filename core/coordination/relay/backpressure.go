package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
)

// Bears reports whether the target may get a request now: neither that it is cold, nor a
// limit that it has named, nor that it asked for rest keeps this entry from sending one.
func (t *Target) Bears(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bears(now)
}

// bears is Bears for a caller that holds mu.
func (t *Target) bears(now time.Time) bool {
	return t.start.Allows(now) && t.limit.Allows(now) && t.rest.Left(now) == 0
}

// take notes that the target gets a request now, and reports whether it may.
func (t *Target) take(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bears(now) && t.limit.Take(now) && t.start.Take(now)
}

// opens returns in which time the target may get a request, 0 if it may at any time, and
// what keeps it from that.
func (t *Target) opens(now time.Time) (in time.Duration, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in = t.limit.Wait(now); in > 0 {
		why = "limit"
	}
	if cold := t.start.Opens().Sub(now); cold > in {
		in, why = cold, "cold"
	}
	if rest := t.rest.Left(now); rest > in {
		in, why = rest, "rest"
	}
	return in, why
}

// restUntil takes until when the target wants nothing from this entry.
func (t *Target) restUntil(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rest.Ask(at)
}

// hearRest takes for how long an answer asks this entry for rest.
func (t *trip) hearRest(target *Target, head persimmoncross.PassageHead) {
	if head.Rest <= 0 || head.Misdirected {
		return
	}
	t.relay.count("rest.asked")
	target.restUntil(t.relay.Clock.Now().Add(head.Rest))
}

// hearLeaving takes that an answer's upstream leaves. Its word comes before the list's.
func (t *trip) hearLeaving(target *Target, head persimmoncross.PassageHead) {
	if head.Leaving && !head.Misdirected && target.leave() {
		t.relay.count("upstream.leaves")
		t.relay.line(t.passage).Str("upstream", target.Incarnation).Bool("listed", target.Leaving).Msg("upstream says that it leaves")
	}
}

// opensIn returns in which time the first of the service's upstreams that are cold, have named a
// limit or asked for rest may get a request, and which of these it is; 0 if there is none.
func (t *trip) opensIn() (first time.Duration, why string) {
	now := t.relay.Clock.Now()
	for _, u := range t.targets() {
		in, of := u.opens(now)
		if !u.Leaves(now) && in > 0 && (first == 0 || in < first) {
			first, why = in, of
		}
	}
	return first, why
}

// allShut reports whether none of the service's upstreams may get a request now.
func (t *trip) allShut() bool {
	now := t.relay.Clock.Now()
	return !slices.ContainsFunc(t.targets(), func(u *Target) bool { return !u.Leaves(now) && u.Bears(now) })
}

// limitTo takes the limit that the target is known to name, 0 for none any more.
func (t *Target) limitTo(rate float64, entries int, now time.Time) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rate > 0 {
		return t.limit.Name(rate, entries, now, rand.Float64())
	}
	news = t.limit.Rate() > 0
	t.limit.Lift()
	return news
}

// shareLimit takes how many entries share the target's limit.
func (t *Target) shareLimit(entries int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit.Share(entries, now, rand.Float64())
}

// unlimited takes an answer that names no limit, to a request that was sent then, and
// reports whether one is over.
func (t *Target) unlimited(sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit.Answered(sent)
}

// hearLimit takes what an answer says of the target's limit, to an attempt that began then.
// Of an upstream that rejects, or fails, the silence on limits says nothing.
func (t *trip) hearLimit(target *Target, head persimmoncross.PassageHead, began time.Time) {
	r := t.relay
	now := r.Clock.Now()
	switch {
	case head.Misdirected:
		return
	case head.Limit > 0:
		r.count("limit.named")
		if target.limitTo(head.Limit, r.View().entries(), now) {
			r.count("limit.began")
			r.line(t.passage).Str("upstream", target.Incarnation).Float64("limit", head.Limit).Int("entries", r.View().entries()).Msg("upstream names a limit")
		}
	case head.NotRun || head.Status >= 500 || !target.unlimited(began):
		return
	default:
		r.count("limit.ended")
		r.line(t.passage).Str("upstream", target.Incarnation).Msg("upstream names no limit any more")
	}
	if r.Limits != nil {
		r.Limits.Take([]ratelimit.Fact{
			{
				Life: target.Life(),
				Rate: head.Limit,
				At:   now,
			},
		}, now)
	}
}

// Limited takes what other entries have heard of limits.
func (p *Pool) Limited(facts []ratelimit.Fact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, f := range p.Limits.Take(facts, now) {
		if t := p.byLife[f.Life]; t != nil {
			t.limitTo(f.Rate, p.sharers(), now)
		}
	}
}

// sharers returns how many entries share the upstreams, as far as known. The caller holds mu.
func (p *Pool) sharers() int {
	if p.entries == 0 {
		return entriesIdle
	}
	return p.entries
}

// Share takes how many entries share the upstreams.
func (p *Pool) Share(entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
	for _, t := range p.byLife {
		t.shareLimit(entries, p.Clock.Now())
	}
}
