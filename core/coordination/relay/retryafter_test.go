package relay

import (
	"context"
	"testing"
	"time"

	"persimmoncross"
)

// serveRetryAfter sends a request at the clock's time. It returns the Retry-After delay of the
// refusal, 0 if the request was served.
func serveRetryAfter(t *testing.T, e *testEnv) time.Duration {
	t.Helper()
	r := e.relay.Serve(context.Background(), &persimmoncross.ProxyRequest{
		ID:            "id",
		Host:          "h",
		Path:          "/once/x",
		RequestTarget: "/once/x",
		APIKey:        testKey,
		ArrivedAt:     e.clock.Now(),
	}, &recordingSink{})
	if r == nil {
		return 0
	}
	if r.Run != persimmoncross.NotRun {
		t.Fatalf("run status %q, want not run", r.Run)
	}
	return r.RetryAfter
}

// During an outage of a service the Retry-After delay grows with the age of the outage and has
// jitter, so that callers don't all return at once. A response ends the outage, so that the
// next one starts with short delays again.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	e := newTestEnv(okResponse("x"))
	clock := e.clock.(*steppingClock)
	clock.now = time.Now() // the deadlines of contexts use the system clock
	outageView := *e.view
	outageView.Targets = map[string][]*Target{
		"other": e.targets,
	}
	healthyView := e.view
	e.view = &outageView
	first := serveRetryAfter(t, e)
	clock.advance(2 * time.Second)
	delays := map[time.Duration]bool{}
	for range 20 {
		later := serveRetryAfter(t, e)
		if later < 2*time.Second || later > 4*time.Second {
			t.Fatalf("Retry-After %v after 2 s of outage, want 2s to 4s", later)
		}
		delays[later] = true
	}
	if first < 500*time.Millisecond || first > time.Second {
		t.Errorf("Retry-After %v for the first refusal, want 500ms to 1s", first)
	}
	if len(delays) < 10 {
		t.Errorf("20 refusals have %d different Retry-After delays, want at least 10", len(delays))
	}
	clock.advance(maxRefusalGap + time.Second)
	if again := serveRetryAfter(t, e); again > time.Second {
		t.Errorf("Retry-After %v after the refusal gap of an old outage, want at most 1s", again)
	}
	clock.advance(2 * time.Second)
	if later := serveRetryAfter(t, e); later < 2*time.Second {
		t.Errorf("Retry-After %v after 2 s of the next outage, want at least 2s", later)
	}
	e.view = healthyView
	if serveRetryAfter(t, e) != 0 {
		t.Fatal("the request was refused after the outage")
	}
	clock.advance(3 * time.Second)
	e.view = &outageView
	if again := serveRetryAfter(t, e); again > time.Second {
		t.Errorf("Retry-After %v at the start of a new outage, want at most 1s", again)
	}
}

// If the upstreams are overloaded, the Retry-After delay follows the recent time to the response
// head.
func TestRetryAfterOfBusyService(t *testing.T) {
	e := newTestEnv()
	clock := e.clock.(*steppingClock)
	clock.now = time.Now()
	for range maxAttempts {
		e.forwarder.responses = append(e.forwarder.responses, rejectedResponse())
	}
	recordHead := e.relay.ModelStats.trackPendingHead(testService, "", 0, clock.Now())
	recordHead(clock.Now().Add(1500*time.Millisecond), true)
	if after := serveRetryAfter(t, e); after < 1500*time.Millisecond || after > 2250*time.Millisecond {
		t.Errorf("Retry-After %v with a time to the response head of 1.5 s, want 1.5s to 2.25s", after)
	}
}
