package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"persimmoncross"
)

// manualClock is a clock whose waits end when the test calls fireNext.
type manualClock struct {
	mu    sync.Mutex // guards all below
	now   time.Time
	waits chan chan time.Time
}

func newManualClock() *manualClock {
	return &manualClock{
		now:   time.Unix(1000, 0),
		waits: make(chan chan time.Time, 100),
	}
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	c.waits <- fired
	return fired
}

// fireNext advances the clock by d and ends the next wait.
func (c *manualClock) fireNext(d time.Duration) {
	fired := <-c.waits
	c.mu.Lock()
	c.now = c.now.Add(d)
	now := c.now
	c.mu.Unlock()
	fired <- now
}

// An attempt is canceled if its upstream has sent nothing on any request for the idle timeout.
// An upstream that still sends on other requests is busy and has not stalled.
func TestStalledAttemptIsAborted(t *testing.T) {
	e := newTestEnv()
	clock := newManualClock()
	e.relay.Clock = clock
	target := e.targets[0]
	c := &call{
		relay:   e.relay,
		route:   e.view.Catalog.Route("h", "/stream/x"),
		service: testService,
		request: &persimmoncross.ProxyRequest{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	detector := c.startStallDetector(ctx, cancel, target)
	target.recordReceived(clock.Now().Add(1900 * time.Millisecond)) // a response to another request
	clock.fireNext(2 * time.Second)
	clock.fireNext(2 * time.Second) // nothing was received since
	<-ctx.Done()
	if !detector.stop() {
		t.Error("the attempt was canceled, but not by the stall detector")
	}
	if v := c.handleStall(target, detector, 4*time.Second); v != outcomeRetry || c.executions != 1 {
		t.Errorf("outcome %v with %d executions, want outcomeRetry with 1", v, c.executions)
	}
	if !target.isSuspected(clock.Now()) {
		t.Error("a stalled upstream is not suspected")
	}
	target.clearSuspicion()
	if target.isSuspected(clock.Now()) {
		t.Error("an upstream that has answered is still suspected")
	}
}

// The stall detector does not run for a request that may not run twice, nor for the last attempt.
func TestLastAttemptHasNoStallDetector(t *testing.T) {
	e := newTestEnv()
	clock := newManualClock()
	e.relay.Clock = clock
	for _, tt := range []struct {
		path string
		runs int
	}{
		{
			path: "/once/x",
		},
		{
			path: "/stream/x",
			runs: 2,
		},
	} {
		c := &call{
			relay:      e.relay,
			route:      e.view.Catalog.Route("h", tt.path),
			service:    testService,
			request:    &persimmoncross.ProxyRequest{},
			executions: tt.runs,
		}
		ctx, cancel := context.WithCancel(context.Background())
		detector := c.startStallDetector(ctx, cancel, e.targets[0])
		if len(clock.waits) > 0 || detector.stop() {
			t.Errorf("%s: the stall detector runs after %d executions", tt.path, tt.runs)
		}
		cancel()
	}
}

// A queue at the preferred upstream moves prompts to other upstreams before any response is late.
// What counts is the prefill time of the queued prompts and the slots in use, not the number of
// the prompts.
func TestPlacementAvoidsLongQueues(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(4)
	preferred := placeByPrefix(all, "part", 0, now)
	for _, u := range all {
		waiting := 0
		if u == preferred {
			waiting = 9
		}
		u.recordLoad(&persimmoncross.UpstreamLoad{
			Running: 12 - waiting,
			Waiting: waiting,
			Slots:   10,
		}, now)
	}
	if got := placeByPrefix(all, "part", 0, now); got != preferred {
		t.Error("nine waiting prompts with no prefill time move a prompt to another upstream")
	}
	preferred.applyFleetLoad(FleetLoad{
		PrefillTime: 2 * time.Second,
	}, now)
	if got := placeByPrefix(all, "part", 0, now); got == preferred {
		t.Error("a preferred upstream with 2 s of queued prefill time gets another request")
	}
	if got := placeByPrefix(all, "part", 0, now.Add(maxLoadAge+time.Second)); got != preferred {
		t.Error("a fleet load older than maxLoadAge is used")
	}
	// The preferred upstream has more requests than slots, and others have free slots.
	preferred.applyFleetLoad(FleetLoad{}, now)
	preferred.recordLoad(&persimmoncross.UpstreamLoad{
		Running: 10,
		Waiting: 9,
		Slots:   10,
	}, now)
	if got := placeByPrefix(all, "part", 0, now); got == preferred {
		t.Error("a preferred upstream with 9 prompts waiting for a slot gets another request")
	}
}

// stallingForwarder is a forwarder whose first response sends an event and then stalls.
type stallingForwarder struct {
	fakeForwarder
	stalled  chan struct{} // closed when the first response stalls
	canceled chan struct{} // closed when the first attempt is canceled because of the stall
}

func (f *stallingForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	got, err := f.fakeForwarder.Forward(ctx, a)
	if len(f.attempts) > 1 {
		return got, err
	}
	return &stallingResponse{
		ProxyResponse: got,
		ctx:           ctx,
		forwarder:     f,
	}, err
}

type stallingResponse struct {
	persimmoncross.ProxyResponse
	ctx       context.Context
	forwarder *stallingForwarder
}

func (r *stallingResponse) Read(p []byte) (int, error) {
	n, _ := r.ProxyResponse.Read(p)
	if n > 0 {
		return n, nil
	}
	close(r.forwarder.stalled)
	<-r.ctx.Done()
	close(r.forwarder.canceled)
	return 0, &persimmoncross.AttemptError{
		Reason: "canceled",
		Run:    persimmoncross.Ran,
	}
}

// A stream whose upstream stalls resumes at another one well within the route's longest pause,
// and the stalled upstream is suspected.
func TestStalledStreamResumes(t *testing.T) {
	e := newTestEnv()
	clock := newManualClock()
	e.relay.Clock = clock
	const noTimeout = 100 * 365 * 24 * time.Hour // contexts use the system clock
	route := e.view.Catalog.Route("h", "/stream/x")
	route.Pause = time.Second
	route.Timeout = noTimeout
	f := &stallingForwarder{
		fakeForwarder: fakeForwarder{
			responses: []*fakeResponse{streamResponse(eventStream("1"), false), streamResponse(eventStream("2", "3"), false)},
		},
		stalled:  make(chan struct{}),
		canceled: make(chan struct{}),
	}
	e.relay.Forwarder = f
	ended := make(chan *persimmoncross.Refusal)
	go func() {
		ended <- e.relay.Serve(context.Background(), &persimmoncross.ProxyRequest{
			ID:        "id",
			Host:      "h",
			Path:      "/stream/x",
			APIKey:    testKey,
			ArrivedAt: clock.Now(),
		}, e.sink)
	}()
	<-f.stalled
	stalledAt := clock.Now()
	for attemptActive := true; attemptActive; {
		select {
		case <-f.canceled: // checked before the waits of the second attempt, so that the clock stops here
			attemptActive = false
			continue
		default:
		}
		select {
		case <-f.canceled:
			attemptActive = false
		case fired := <-clock.waits:
			clock.mu.Lock()
			clock.now = clock.now.Add(stallCheckInterval)
			now := clock.now
			clock.mu.Unlock()
			fired <- now
		}
	}
	pause := clock.Now().Sub(stalledAt)
	if refusal := <-ended; refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2", "3") {
		t.Errorf("the caller got %q", got)
	}
	if pause < 600*time.Millisecond || pause > 900*time.Millisecond {
		t.Errorf("the stream resumed after %v, want 600ms to 900ms", pause)
	}
	if len(f.attempts) != 2 || f.attempts[1].LastEventID != "1" {
		t.Fatalf("got %d attempts, want 2, with the second one resuming after event 1", len(f.attempts))
	}
	for _, u := range e.targets {
		if u.Name == f.attempts[0].Upstream.Name && !u.isSuspected(clock.Now()) {
			t.Error("the stalled upstream is not suspected")
		}
	}
}

// A stalled attempt is not canceled if the retry budget is exhausted.
func TestStalledAttemptContinuesWithoutRetryBudget(t *testing.T) {
	e := newTestEnv()
	clock := newManualClock()
	e.relay.Clock = clock
	for e.relay.takeRetry(testService) {
		// Use up the retry budget, as failures would.
	}
	c := &call{
		relay:   e.relay,
		route:   e.view.Catalog.Route("h", "/stream/x"),
		service: testService,
		request: &persimmoncross.ProxyRequest{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.requestRetries().send(e.targets[0], clock.Now())
	detector := c.startStallDetector(ctx, cancel, e.targets[0])
	for range 5 {
		clock.fireNext(2 * time.Second)
	}
	if detector.stop() || ctx.Err() != nil {
		t.Error("the attempt was canceled without a retry left")
	}
}
