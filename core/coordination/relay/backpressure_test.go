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

// An upstream that names a limit in an answer gets no request from here in the window after
// it, the others get all; an entry that is told of it by others sends nothing either.
func TestLimitIsHeard(t *testing.T) {
	answers := []*answer{limited(0.5)}
	for range 40 {
		answers = append(answers, whole("x"))
	}
	e, p := pooled(answers...)
	p.Limits = &ratelimit.Board{}
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
	facts, _, _ := p.Limits.Since(0, 10)
	if len(facts) != 1 || facts[0].Life != first.Life() || facts[0].Rate != 0.5 {
		t.Errorf("told to the others: %v", facts)
	}
	other, q := pooled(whole("x"), whole("x"), whole("x"))
	q.Limits = &ratelimit.Board{}
	q.Limited(facts)
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
		t.Error("a life that comes to the list after its limit was told bears requests")
	}
}

// An entry that has not been told how many there are does not take itself for the only one.
func TestLimitOfAnUnknownNumberOfEntries(t *testing.T) {
	e, p := pooled()
	p.Limits = &ratelimit.Board{}
	p.Limited([]ratelimit.Fact{{Life: e.targets[0].Life(), Rate: 1, At: e.clock.Now()}})
	alone := &Target{
		knowledge: &knowledge{},
	}
	alone.limitTo(1, 1, e.clock.Now())
	if got, least := e.targets[0].limit.Weight(), alone.limit.Weight(); got < entriesIdle*least {
		t.Errorf("its slots are %v apart, those of the only entry %v", got, least)
	}
}

// Which answers end a limit: of upstreams that ran a request sent after the limit was named.
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
		p.Limits = &ratelimit.Board{}
		e.relay.Limits = p.Limits
		u := e.targets[0]
		u.limitTo(0.5, 8, time.Now().Add(-time.Hour))
		e.view.Targets[service] = e.targets[:1]
		for range 1000 {
			e.serve(t, "safe", nil)
			if len(e.forward.attempts) > 0 {
				break
			}
			// The entry's slot is not open: an earlier beginning lets another one be.
			u.limit = ratelimit.Gate{}
			u.limitTo(0.5, 8, time.Now().Add(-time.Hour))
		}
		if ended := u.limit.Rate() == 0; len(e.forward.attempts) == 0 || ended != tt.ends {
			t.Errorf("%s: %d attempts, ended %v", tt.what, len(e.forward.attempts), ended)
		}
	}
}

// Where every upstream has named a limit that leaves no room now, callers are told at once
// that nothing ran, and when to come back.
func TestAllAreLimited(t *testing.T) {
	e, p := pooled()
	e.clock.(*leaping).now = time.Now()
	p.Share(8)
	for _, u := range e.targets {
		u.limitTo(1, 8, time.Now())
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
