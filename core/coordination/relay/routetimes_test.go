package relay

import (
	"net/http"
	"testing"
	"time"

	"persimmoncross"
)

// The longest time of a route is forgotten after one to two windows, and others have no part in it.
func TestRouteTimes(t *testing.T) {
	times := &routeTimes{}
	start := time.Unix(1000, 0)
	times.record("a", 4*time.Second, start)
	times.record("a", time.Second, start.Add(routeTimeWindow))
	times.record("b", 2*time.Second, start.Add(routeTimeWindow))
	for _, tt := range []struct {
		route string
		after time.Duration
		want  time.Duration // 0: none is known
	}{
		{"a", routeTimeWindow + time.Second, 4 * time.Second},
		{"c", routeTimeWindow + time.Second, 0},
		{"a", 2 * routeTimeWindow, time.Second},
		{"b", 2 * routeTimeWindow, 2 * time.Second},
		{"a", 5 * routeTimeWindow, 0},
	} {
		if got, known := times.longest(tt.route, start.Add(tt.after)); got != tt.want || known != (tt.want != 0) {
			t.Errorf("%s after %v: %v, known %v; want %v", tt.route, tt.after, got, known, tt.want)
		}
	}
}

// TestStoppingEntryTakesOnlyWhatEndsInTime guards against requests that a stopping process takes and cuts at its end.
func TestStoppingEntryTakesOnlyWhatEndsInTime(t *testing.T) {
	for _, tt := range []struct {
		name     string
		lately   time.Duration // how long a request of the route took; 0: there was none
		deadline time.Duration // the caller's; 0: that of the route, 20 s
		left     time.Duration // until the end; 0: it is not stopping
		taken    bool
	}{
		{"not stopping", 0, 0, 0, true},
		{"short", 10 * time.Millisecond, 0, 5 * time.Second, true},
		{"long", 5500 * time.Millisecond, 0, 5 * time.Second, false},
		{"nearly as long as the time left", 4500 * time.Millisecond, 0, 5 * time.Second, false},
		{"long, early", 5500 * time.Millisecond, 0, 7 * time.Second, true},
		{"unknown", 0, 0, 5 * time.Second, false},
		{"unknown, with a short deadline", 0, time.Second, 5 * time.Second, true},
		{"long, with a short deadline", 5500 * time.Millisecond, time.Second, 5 * time.Second, true},
		{"at the end", 10 * time.Millisecond, 0, time.Millisecond, false},
	} {
		for _, route := range []string{"once", "safe", "stream", "fixed"} {
			response := okResponse("body")
			if route == "stream" || route == "fixed" {
				response = streamResponse(eventStream("1"), false)
			}
			e := newTestEnv(response)
			now := time.Now() // to which serve sets the clock
			if tt.lately > 0 {
				e.relay.routeTimes.record(route, tt.lately, now)
			}
			if tt.left > 0 {
				e.relay.BeginStop(now.Add(tt.left))
			}
			refusal := e.serve(t, route, func(p *persimmoncross.ProxyRequest) {
				if tt.deadline > 0 {
					p.Deadline = now.Add(tt.deadline)
				}
			})
			switch {
			case tt.taken && refusal != nil:
				t.Errorf("%s, %s: refused: %v", tt.name, route, refusal)
			case tt.taken:
			case refusal == nil || len(e.forwarder.attempts) > 0:
				t.Errorf("%s, %s: passed on, and may be cut at the end", tt.name, route)
			case refusal.Status() != http.StatusServiceUnavailable || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter == 0:
				t.Errorf("%s, %s: %v, to come back after %v", tt.name, route, refusal, refusal.RetryAfter)
			}
		}
	}
}

// The time of a request that ran is known to the next one of its route.
func TestRouteTimeOfServedRequest(t *testing.T) {
	e := newTestEnv(okResponse("body"))
	e.forwarder.responses[0].onAttempt = func() { e.clock.(*steppingClock).advance(3 * time.Second) }
	if refusal := e.serve(t, "safe", nil); refusal != nil {
		t.Fatal(refusal)
	}
	if got, _ := e.relay.routeTimes.longest("safe", e.clock.Now()); got < 3*time.Second {
		t.Errorf("the request took %v, want 3 s or more", got)
	}
}
