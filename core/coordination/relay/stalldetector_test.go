package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"persimmoncross"
)

// manualClock is a clock whose waits end when the test says so.
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

// fireNext ends the next wait, the given time later.
func (c *manualClock) fireNext(d time.Duration) {
	fired := <-c.waits
	c.mu.Lock()
	c.now = c.now.Add(d)
	now := c.now
	c.mu.Unlock()
	fired <- now
}

// An upstream that has sent nothing to anybody since it was asked is left; one
// that still sends is only busy.
func TestStalledAttemptIsAborted(t *testing.T) {
	e := newTestEnv()
	clock := newManualClock()
	e.relay.Clock = clock
	target := e.targets[0]
	c := &call{
		relay:   e.relay,
		route:   e.view.Catalog.Route("h", "/stream/x"),
		service: testService,
		passage: &persimmoncross.ProxyRequest{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	detector := c.startStallDetector(ctx, cancel, target)
	target.recordReceived(clock.Now().Add(1900 * time.Millisecond)) // an answer to another request
	clock.fireNext(2 * time.Second)
	clock.fireNext(2 * time.Second) // nothing since
	<-ctx.Done()
	if !detector.stop() {
		t.Error("the attempt was ended, and not for silence")
	}
	if v := c.handleStall(target, detector, 4*time.Second); v != outcomeRetry || c.executions != 1 {
		t.Errorf("verdict %v, %d runs", v, c.executions)
	}
	if !target.isSuspected(clock.Now()) {
		t.Error("a silent upstream is not avoided")
	}
	target.clearSuspicion()
	if target.isSuspected(clock.Now()) {
		t.Error("an upstream that answers is still avoided")
	}
}

// What may not run twice is never ended for silence, nor is the last attempt.
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
			passage:    &persimmoncross.ProxyRequest{},
			executions: tt.runs,
		}
		ctx, cancel := context.WithCancel(context.Background())
		detector := c.startStallDetector(ctx, cancel, e.targets[0])
		if len(clock.waits) > 0 || detector.stop() {
			t.Errorf("%s after %d runs has a limit", tt.path, tt.runs)
		}
		cancel()
	}
}

// A queue turns prompts away from their home before any answer is late: by what
// its prompts take to be read, and by the slots that are taken, not by their number.
func TestPlacementAvoidsLongQueues(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(4)
	home := placeByPrefix(all, "part", 0, now)
	for _, u := range all {
		waiting := 0
		if u == home {
			waiting = 9
		}
		u.recordLoad(&persimmoncross.UpstreamLoad{
			Running: 12 - waiting,
			Waiting: waiting,
			Slots:   10,
		}, now)
	}
	if got := placeByPrefix(all, "part", 0, now); got != home {
		t.Error("nine prompts that are read at once turn others away")
	}
	home.applyFleetLoad(FleetLoad{
		PrefillTime: 2 * time.Second,
	}, now)
	if got := placeByPrefix(all, "part", 0, now); got == home {
		t.Error("a home with 2 s of reading before it takes more")
	}
	if got := placeByPrefix(all, "part", 0, now.Add(maxLoadAge+time.Second)); got != home {
		t.Error("an old word on the queue counts")
	}
	// More at the home than it has slots for, and room elsewhere.
	home.applyFleetLoad(FleetLoad{}, now)
	home.recordLoad(&persimmoncross.UpstreamLoad{
		Running: 10,
		Waiting: 9,
		Slots:   10,
	}, now)
	if got := placeByPrefix(all, "part", 0, now); got == home {
		t.Error("a home with 9 prompts waiting for a slot takes more")
	}
}

// stallingForwarder is a forwarder whose first answer sends an event and then nothing more.
type stallingForwarder struct {
	fakeForwarder
	stalled  chan struct{} // closed when nothing more is sent
	canceled chan struct{} // closed when the first attempt is ended for that
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

// A stream whose upstream falls silent goes on at another well within the route's
// longest pause, and the silent one is avoided.
func TestStalledStreamResumes(t *testing.T) {
	e := newTestEnv()
	clock := newManualClock()
	e.relay.Clock = clock
	const ever = 100 * 365 * 24 * time.Hour // contexts have the system's clock
	route := e.view.Catalog.Route("h", "/stream/x")
	route.Pause = time.Second
	route.Timeout = ever
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
			ID:             "id",
			Host:           "h",
			Path:           "/stream/x",
			IdempotencyKey: testKey,
			ArrivedAt:      clock.Now(),
		}, e.sink)
	}()
	<-f.stalled
	began := clock.Now()
	for silent := true; silent; {
		select {
		case <-f.canceled: // before the waits of the second attempt: time stands from here on
			silent = false
			continue
		default:
		}
		select {
		case <-f.canceled:
			silent = false
		case fired := <-clock.waits:
			clock.mu.Lock()
			clock.now = clock.now.Add(stallCheckInterval)
			now := clock.now
			clock.mu.Unlock()
			fired <- now
		}
	}
	pause := clock.Now().Sub(began)
	if refusal := <-ended; refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2", "3") {
		t.Errorf("the caller got %q", got)
	}
	if pause < 600*time.Millisecond || pause > 900*time.Millisecond {
		t.Errorf("it went on after %v", pause)
	}
	if len(f.attempts) != 2 || f.attempts[1].LastEventID != "1" {
		t.Fatalf("%d attempts", len(f.attempts))
	}
	for _, u := range e.targets {
		if u.Incarnation == f.attempts[0].Upstream.Incarnation && !u.isSuspected(clock.Now()) {
			t.Error("the silent upstream is not avoided")
		}
	}
}

// Without a retry left an answer is not broken off for silence.
func TestStalledAttemptContinuesWithoutRetryBudget(t *testing.T) {
	e := newTestEnv()
	clock := newManualClock()
	e.relay.Clock = clock
	for e.relay.takeRetry(testService) {
		// Failures took them all.
	}
	c := &call{
		relay:   e.relay,
		route:   e.view.Catalog.Route("h", "/stream/x"),
		service: testService,
		passage: &persimmoncross.ProxyRequest{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	detector := c.startStallDetector(ctx, cancel, e.targets[0])
	for range 5 {
		clock.fireNext(2 * time.Second)
	}
	if detector.stop() || ctx.Err() != nil {
		t.Error("the attempt was ended")
	}
}
