package relay

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
)

// limited is a good answer that names a limit.
func limited(rate float64) *answer {
	a := whole("x")
	a.head.Limit = rate
	return a
}

// After an answer with a limit the upstream gets no request for a window, also from an entry
// that learned of the limit from another.
func TestLimitIsObserved(t *testing.T) {
	answers := []*answer{limited(0.5)}
	for range 40 {
		answers = append(answers, whole("x"))
	}
	e, p := pooled(answers...)
	p.Limits = &ratelimit.Store{}
	e.relay.Limits = p.Limits
	for range 40 {
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(refusal)
		}
	}
	reached := map[string]int{}
	for _, a := range e.forward.attempts {
		reached[a.Upstream.Incarnation]++
	}
	first := e.forward.attempts[0].Upstream
	if reached[first.Incarnation] != 1 || len(reached) != 4 {
		t.Errorf("reached: %v", reached)
	}
	limits, _, _ := p.Limits.Since(0, 10)
	if len(limits) != 1 || limits[0].Life != first.Life() || limits[0].Rate != 0.5 {
		t.Errorf("sent to the other entries: %v", limits)
	}
	other, q := pooled(whole("x"), whole("x"), whole("x"))
	q.Limits = &ratelimit.Store{}
	q.MergeLimits(limits)
	for _, u := range other.targets {
		if u.Bears(other.clock.Now()) != (u.Life() != first.Life()) {
			t.Errorf("%s bears requests: %v", u.Incarnation, u.Bears(other.clock.Now()))
		}
	}
	later := &Pool{
		Clock:  other.clock,
		Limits: q.Limits,
	}
	if u := later.Update([]persimmoncross.Upstream{first})[service][0]; u.Bears(other.clock.Now()) {
		t.Error("a life that is listed after its limit is known gets requests")
	}
}

// Before the number of entries is known, an entry does not use a limit alone.
func TestLimitOfAnUnknownNumberOfEntries(t *testing.T) {
	e, p := pooled()
	p.Limits = &ratelimit.Store{}
	p.MergeLimits([]ratelimit.Observation{{Life: e.targets[0].Life(), Rate: 1, At: e.clock.Now()}})
	alone := &Target{
		knowledge: &knowledge{},
	}
	alone.setLimit(1, 1, e.clock.Now())
	if got, least := e.targets[0].limit.Weight(), alone.limit.Weight(); got < entriesIdle*least {
		t.Errorf("its slots are %v apart, those of the only entry %v", got, least)
	}
}

// Only an answer to a request that ran, and was sent after the limit was named, ends it.
func TestWhatEndsALimit(t *testing.T) {
	for _, tt := range []struct {
		what string
		last *answer
		ends bool
	}{
		{"an answer without one", whole("x"), true},
		{"an answer that names it again", limited(0.5), false},
		{"a rejection", rejection(), false},
		{"a failure", failure(500), false},
	} {
		e, p := pooled(tt.last, whole("x"), whole("x"))
		p.Limits = &ratelimit.Store{}
		e.relay.Limits = p.Limits
		u := e.targets[0]
		u.setLimit(0.5, 8, time.Now().Add(-time.Hour))
		e.view.Targets[service] = e.targets[:1]
		for range 1000 {
			e.serve(t, "safe", nil)
			if len(e.forward.attempts) > 0 {
				break
			}
			// The entry's slot is not open: an earlier beginning lets another one be.
			u.limit = ratelimit.Limiter{}
			u.setLimit(0.5, 8, time.Now().Add(-time.Hour))
		}
		if ended := u.limit.Rate() == 0; len(e.forward.attempts) == 0 || ended != tt.ends {
			t.Errorf("%s: %d attempts, ended %v", tt.what, len(e.forward.attempts), ended)
		}
	}
}

// With every upstream over its limit callers are refused at once, with a Retry-After.
func TestAllAreLimited(t *testing.T) {
	e, p := pooled()
	e.clock.(*leaping).now = time.Now()
	p.SetEntries(8)
	for _, u := range e.targets {
		u.setLimit(1, 8, time.Now())
	}
	for _, route := range []string{"once", "safe", "stream"} {
		refusal := e.serve(t, route, nil)
		if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || refusal.Code != persimmoncross.CodeNoUpstream {
			t.Errorf("%s: %+v", route, refusal)
		}
	}
	if n := len(e.forward.attempts); n > 0 {
		t.Errorf("%d were sent", n)
	}
	if n := metrics.GetOrRegisterCounter("relay.refused.limit", e.relay.Metrics).Count(); n != 3 {
		t.Errorf("%d refusals for a limit are counted", n)
	}
}
