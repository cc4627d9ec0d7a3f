package relay

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
)

// rateLimitedResponse returns a successful response that names a rate limit, in requests per
// second.
func rateLimitedResponse(rate float64) *fakeResponse {
	response := okResponse("x")
	response.head.RateLimit = rate
	return response
}

// After a response with a rate limit the upstream gets no further request for a while. This also
// holds for an entry that received the limit from another entry.
func TestRateLimitIsObserved(t *testing.T) {
	responses := []*fakeResponse{rateLimitedResponse(0.5)}
	for range 40 {
		responses = append(responses, okResponse("x"))
	}
	e, p := newTestEnvWithPool(responses...)
	p.RateLimits = &ratelimit.Store{}
	e.relay.RateLimits = p.RateLimits
	for range 40 {
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(refusal)
		}
	}
	requestCounts := map[string]int{}
	for _, a := range e.forwarder.attempts {
		requestCounts[a.Upstream.Name]++
	}
	first := e.forwarder.attempts[0].Upstream
	if requestCounts[first.Name] != 1 || len(requestCounts) != 4 {
		t.Errorf("requests per upstream: %v, want 1 at the limited one and some at each of the others", requestCounts)
	}
	limits, _, _ := p.RateLimits.ChangesSince(0, 10)
	if len(limits) != 1 || limits[0].InstanceID != first.InstanceID() || limits[0].Rate != 0.5 {
		t.Errorf("limits published to the other entries: %v", limits)
	}
	other, q := newTestEnvWithPool(okResponse("x"), okResponse("x"), okResponse("x"))
	q.RateLimits = &ratelimit.Store{}
	q.MergeRateLimits(limits)
	for _, u := range other.targets {
		if u.IsAvailable(other.clock.Now()) != (u.InstanceID() != first.InstanceID()) {
			t.Errorf("%s: available = %v after another entry observed the limit", u.Name, u.IsAvailable(other.clock.Now()))
		}
	}
	later := &Pool{
		Clock:      other.clock,
		RateLimits: q.RateLimits,
	}
	if u := later.Update([]persimmoncross.Upstream{first})[testService][0]; u.IsAvailable(other.clock.Now()) {
		t.Error("an instance that was listed after its limit was known is available")
	}
}

// While the number of entries is not known, an entry does not use the whole rate limit.
func TestRateLimitWithUnknownEntryCount(t *testing.T) {
	e, p := newTestEnvWithPool()
	p.RateLimits = &ratelimit.Store{}
	p.MergeRateLimits([]ratelimit.Observation{{InstanceID: e.targets[0].InstanceID(), Rate: 1, ObservedAt: e.clock.Now()}})
	alone := &Target{
		targetState: &targetState{},
	}
	alone.setRateLimit(1, 1, e.clock.Now())
	if got, least := e.targets[0].rateLimit.Weight(), alone.rateLimit.Weight(); got < defaultEntryCount*least {
		t.Errorf("rate limit weight %v, want at least defaultEntryCount times that of a single entry, %v", got, least)
	}
}

// A rate limit is ended only by a response without a limit, to a request that ran and was sent
// after the limit was observed.
func TestEndOfRateLimit(t *testing.T) {
	for _, tt := range []struct {
		name     string
		response *fakeResponse
		ends     bool
	}{
		{"response without a limit", okResponse("x"), true},
		{"response with the same limit", rateLimitedResponse(0.5), false},
		{"rejection without a limit", rejectedResponse(), false},
		{"failure without a limit", failedResponse(500), false},
	} {
		e, p := newTestEnvWithPool(tt.response, okResponse("x"), okResponse("x"))
		p.RateLimits = &ratelimit.Store{}
		e.relay.RateLimits = p.RateLimits
		u := e.targets[0]
		u.setRateLimit(0.5, 8, time.Now().Add(-time.Hour))
		e.view.Targets[testService] = e.targets[:1]
		for range 1000 {
			e.serve(t, "safe", nil)
			if len(e.forwarder.attempts) > 0 {
				break
			}
			// The entry's slot is not open. A new limiter gets another slot.
			u.rateLimit = ratelimit.Limiter{}
			u.setRateLimit(0.5, 8, time.Now().Add(-time.Hour))
		}
		if ended := u.rateLimit.Rate() == 0; len(e.forwarder.attempts) == 0 || ended != tt.ends {
			t.Errorf("%s: got %d attempts, limit ended = %v", tt.name, len(e.forwarder.attempts), ended)
		}
	}
}

// If every upstream is over its rate limit, callers are refused at once with a Retry-After.
func TestAllTargetsRateLimited(t *testing.T) {
	e, p := newTestEnvWithPool()
	e.clock.(*steppingClock).now = time.Now()
	p.SetEntryCount(8)
	for _, u := range e.targets {
		u.setRateLimit(1, 8, time.Now())
	}
	for _, route := range []string{"once", "safe", "stream"} {
		refusal := e.serve(t, route, nil)
		if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || refusal.Code != persimmoncross.CodeNoUpstream {
			t.Errorf("route %s: refusal %+v, want no upstream, not run, with a Retry-After", route, refusal)
		}
	}
	if n := len(e.forwarder.attempts); n > 0 {
		t.Errorf("got %d attempts, want none", n)
	}
	if n := metrics.GetOrRegisterCounter("relay.refused.limit", e.relay.Metrics).Count(); n != 3 {
		t.Errorf("counter refused.limit = %d, want 3", n)
	}
}
