package relay

import (
	"context"
	"testing"
	"time"

	"persimmoncross"
)

// refusedAfter sends a passage at the clock's time and returns when its caller is
// to come back, 0 if it was served.
func refusedAfter(t *testing.T, e *env) time.Duration {
	t.Helper()
	r := e.relay.Serve(context.Background(), &persimmoncross.Passage{
		ID:      "id",
		Host:    "h",
		Path:    "/once/x",
		Target:  "/once/x",
		Key:     key,
		Arrived: e.clock.Now(),
	}, &recorder{})
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
func TestComeBackAfterAnOutage(t *testing.T) {
	e := newEnv(whole("x"))
	clock := e.clock.(*leaping)
	clock.now = time.Now() // contexts end by the system's clock
	away := *e.view
	away.Targets = map[string][]*Target{
		"other": e.targets,
	}
	there := e.view
	e.view = &away
	first := refusedAfter(t, e)
	clock.leap(2 * time.Second)
	different := map[time.Duration]bool{}
	for range 20 {
		later := refusedAfter(t, e)
		if later < 2*time.Second || later > 4*time.Second {
			t.Fatalf("after 2 s of outage a caller is sent away for %v", later)
		}
		different[later] = true
	}
	if first < 500*time.Millisecond || first > time.Second {
		t.Errorf("the first caller is sent away for %v", first)
	}
	if len(different) < 10 {
		t.Errorf("20 callers come back at %d times", len(different))
	}
	clock.leap(troubleGap + time.Second)
	if again := refusedAfter(t, e); again > time.Second {
		t.Errorf("a trouble of long ago counts: %v", again)
	}
	clock.leap(2 * time.Second)
	if later := refusedAfter(t, e); later < 2*time.Second {
		t.Errorf("after 2 s of the next outage a caller is sent away for %v", later)
	}
	e.view = there
	if refusedAfter(t, e) != 0 {
		t.Fatal("a service that is back does not serve")
	}
	clock.leap(3 * time.Second)
	e.view = &away
	if again := refusedAfter(t, e); again > time.Second {
		t.Errorf("the trouble before counts: %v", again)
	}
}

// Where upstreams have no room, their callers come back when the heads of answers
// come lately.
func TestComeBackToABusyService(t *testing.T) {
	e := newEnv()
	clock := e.clock.(*leaping)
	clock.now = time.Now()
	for range maxSends {
		e.forward.answers = append(e.forward.answers, rejection())
	}
	came := e.relay.Pressure.begin(service, "", 0, clock.Now())
	came(clock.Now().Add(1500*time.Millisecond), true)
	if after := refusedAfter(t, e); after < 1500*time.Millisecond || after > 2250*time.Millisecond {
		t.Errorf("heads come after 1.5 s, and a caller is sent away for %v", after)
	}
}
