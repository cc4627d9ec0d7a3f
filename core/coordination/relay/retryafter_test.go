package relay

import (
	"context"
	"testing"
	"time"

	"persimmoncross"
)

// serveRetryAfter sends a passage at the clock's time and returns when its caller is
// to come back, 0 if it was served.
func serveRetryAfter(t *testing.T, e *testEnv) time.Duration {
	t.Helper()
	r := e.relay.Serve(context.Background(), &persimmoncross.ProxyRequest{
		ID:             "id",
		Host:           "h",
		Path:           "/once/x",
		RequestTarget:  "/once/x",
		IdempotencyKey: testKey,
		ArrivedAt:      e.clock.Now(),
	}, &recordingSink{})
	if r == nil {
		return 0
	}
	if r.Run != persimmoncross.NotRun {
		t.Fatalf("the refusal says %q", r.Run)
	}
	return r.RetryAfter
}

// While a service is away its callers are told to come back the later the longer
// that has lasted, and not all at once; after an answer the next trouble begins
// anew.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	e := newTestEnv(okResponse("x"))
	clock := e.clock.(*steppingClock)
	clock.now = time.Now() // contexts end by the system's clock
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
			t.Fatalf("after 2 s of outage a caller is sent away for %v", later)
		}
		delays[later] = true
	}
	if first < 500*time.Millisecond || first > time.Second {
		t.Errorf("the first caller is sent away for %v", first)
	}
	if len(delays) < 10 {
		t.Errorf("20 callers come back at %d times", len(delays))
	}
	clock.advance(maxRefusalGap + time.Second)
	if again := serveRetryAfter(t, e); again > time.Second {
		t.Errorf("a trouble of long ago counts: %v", again)
	}
	clock.advance(2 * time.Second)
	if later := serveRetryAfter(t, e); later < 2*time.Second {
		t.Errorf("after 2 s of the next outage a caller is sent away for %v", later)
	}
	e.view = healthyView
	if serveRetryAfter(t, e) != 0 {
		t.Fatal("a service that is back does not serve")
	}
	clock.advance(3 * time.Second)
	e.view = &outageView
	if again := serveRetryAfter(t, e); again > time.Second {
		t.Errorf("the trouble before counts: %v", again)
	}
}

// Where upstreams have no room, their callers come back when the heads of answers
// come lately.
func TestRetryAfterOfBusyService(t *testing.T) {
	e := newTestEnv()
	clock := e.clock.(*steppingClock)
	clock.now = time.Now()
	for range maxAttempts {
		e.forwarder.responses = append(e.forwarder.responses, rejectedResponse())
	}
	recordHead := e.relay.ModelStats.awaitHead(testService, "", 0, clock.Now())
	recordHead(clock.Now().Add(1500*time.Millisecond), true)
	if after := serveRetryAfter(t, e); after < 1500*time.Millisecond || after > 2250*time.Millisecond {
		t.Errorf("heads come after 1.5 s, and a caller is sent away for %v", after)
	}
}
