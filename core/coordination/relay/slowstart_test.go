package relay

import (
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/slowstart"
)

// newTestEnvWithPool returns a test environment with four upstreams in one data centre, and its
// pool.
func newTestEnvWithPool(responses ...*fakeResponse) (*testEnv, *Pool) {
	e := newTestEnv(responses...)
	p := &Pool{
		Clock: e.clock,
	}
	list := []persimmoncross.Upstream{}
	for _, t := range e.targets {
		u := t.Upstream
		u.DataCentre = "a"
		list = append(list, u)
	}
	e.view.Targets = p.Update(list)
	e.targets = e.view.Targets[testService]
	return e, p
}

// Cold upstreams get requests from their owners only, at the owner's interval, and the warm
// upstream gets the rest. The cold period ends at ColdUntil without a further update.
func TestColdTargetsGetRequestsFromOwners(t *testing.T) {
	var responses []*fakeResponse
	for range 40 {
		responses = append(responses, okResponse("x"))
	}
	e, p := newTestEnvWithPool(responses...)
	now := time.Now()
	coldUpstreams := map[string]slowstart.ColdUpstream{}
	for i, u := range e.targets[:3] {
		c := slowstart.ColdUpstream{
			ColdUntil: now.Add(time.Hour),
		}
		if i == 0 {
			c.Interval = time.Minute
		}
		coldUpstreams[u.InstanceID()] = c
	}
	p.SetCold(coldUpstreams)
	requestCounts := map[string]int{}
	for range 20 {
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for _, a := range e.forwarder.attempts {
		requestCounts[a.Upstream.Name]++
	}
	if requestCounts["u1"] != 1 || requestCounts["u2"]+requestCounts["u3"] != 0 || requestCounts["u4"] != 19 {
		t.Errorf("requests per upstream: %v, want 1 at u1, none at u2 and u3, 19 at u4", requestCounts)
	}
	p.SetCold(map[string]slowstart.ColdUpstream{}) // an update without them, before ColdUntil
	if e.targets[1].IsAvailable(now) || !e.targets[1].IsAvailable(now.Add(time.Hour)) {
		t.Error("a cold upstream is available before ColdUntil or not available at ColdUntil")
	}
}

// If all upstreams are cold and this entry owns none, requests are refused at once as not run,
// with a Retry-After.
func TestAllTargetsCold(t *testing.T) {
	e, p := newTestEnvWithPool()
	p.AssumeCold("a", map[string]time.Duration{testService: 3 * time.Second})
	e.clock.(*steppingClock).now = time.Now()
	p.AssumeCold("a", map[string]time.Duration{testService: 3 * time.Second})
	for _, route := range []string{"once", "safe", "stream"} {
		refusal := e.serve(t, route, nil)
		if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || refusal.Code != persimmoncross.CodeNoUpstream {
			t.Errorf("route %s: refusal %+v, want no upstream, not run, with a Retry-After", route, refusal)
		}
	}
	if n := len(e.forwarder.attempts); n > 0 {
		t.Errorf("got %d attempts, want none", n)
	}
}

// An instance that is new on the list is cold as set before by SetCold, or as the list itself
// says if SetCold did not cover the instance.
func TestNewTargetUsesKnownCold(t *testing.T) {
	e, p := newTestEnvWithPool()
	now := e.clock.Now()
	list := []persimmoncross.Upstream{e.targets[0].Upstream, e.targets[1].Upstream, e.targets[2].Upstream}
	for i, id := range []string{"n1", "n2", "n3"} {
		list[i].Name = id
	}
	list[2].SlowStartRemaining = time.Second
	p.SetCold(map[string]slowstart.ColdUpstream{
		list[1].InstanceID(): {
			ColdUntil: now.Add(2 * time.Second),
		},
	})
	for _, u := range p.Update(list)[testService] {
		if want := u.Name == "n1"; u.IsAvailable(now) != want {
			t.Errorf("%s: available = %v", u.Name, !want)
		}
	}
}
