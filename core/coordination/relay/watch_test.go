package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"persimmoncross"
)

// alarm is a clock whose waits end when the test says so.
type alarm struct {
	mu    sync.Mutex // guards all below
	now   time.Time
	waits chan chan time.Time
}

func newAlarm() *alarm {
	return &alarm{
		now:   time.Unix(1000, 0),
		waits: make(chan chan time.Time, 100),
	}
}

func (a *alarm) Now() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now
}

func (a *alarm) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	a.waits <- fired
	return fired
}

// ring ends the next wait, the given time later.
func (a *alarm) ring(d time.Duration) {
	fired := <-a.waits
	a.mu.Lock()
	a.now = a.now.Add(d)
	now := a.now
	a.mu.Unlock()
	fired <- now
}

// An upstream that has sent nothing to anybody since it was asked is left; one
// that still sends is only busy.
func TestSilentUpstream(t *testing.T) {
	e := newEnv()
	clock := newAlarm()
	e.relay.Clock = clock
	target := e.targets[0]
	trip := &trip{
		relay:   e.relay,
		route:   e.view.Catalog.Route("h", "/stream/x"),
		service: service,
		passage: &persimmoncross.Passage{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limit := trip.watchAttempt(ctx, cancel, target)
	target.hear(clock.Now().Add(1900 * time.Millisecond)) // an answer to another request
	clock.ring(2 * time.Second)
	clock.ring(2 * time.Second) // nothing since
	<-ctx.Done()
	if !limit.stop() {
		t.Error("the attempt was ended, and not for silence")
	}
	if v := trip.silent(target, limit, 4*time.Second); v != verdictAgain || trip.runs != 1 {
		t.Errorf("verdict %v, %d runs", v, trip.runs)
	}
	if !target.suspected(clock.Now()) {
		t.Error("a silent upstream is not avoided")
	}
	target.trust()
	if target.suspected(clock.Now()) {
		t.Error("an upstream that answers is still avoided")
	}
}

// What may not run twice is never ended for silence, nor is the last attempt.
func TestNoLimitWithoutAnotherAttempt(t *testing.T) {
	e := newEnv()
	clock := newAlarm()
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
		trip := &trip{
			relay:   e.relay,
			route:   e.view.Catalog.Route("h", tt.path),
			service: service,
			passage: &persimmoncross.Passage{},
			runs:    tt.runs,
		}
		ctx, cancel := context.WithCancel(context.Background())
		limit := trip.watchAttempt(ctx, cancel, e.targets[0])
		if len(clock.waits) > 0 || limit.stop() {
			t.Errorf("%s after %d runs has a limit", tt.path, tt.runs)
		}
		cancel()
	}
}

// A queue turns prompts away from their home before any answer is late: by what
// its prompts take to be read, and by the slots that are taken, not by their number.
func TestLongQueuesAreAvoided(t *testing.T) {
	now := time.Unix(100, 0)
	all := targets(4)
	home := placed(all, "part", 0, now)
	for _, u := range all {
		waiting := 0
		if u == home {
			waiting = 9
		}
		u.note(&persimmoncross.Load{
			Running: 12 - waiting,
			Waiting: waiting,
			Slots:   10,
		}, now)
	}
	if got := placed(all, "part", 0, now); got != home {
		t.Error("nine prompts that are read at once turn others away")
	}
	home.learn(FleetLoad{
		Work: 2 * time.Second,
	}, now)
	if got := placed(all, "part", 0, now); got == home {
		t.Error("a home with 2 s of reading before it takes more")
	}
	if got := placed(all, "part", 0, now.Add(loadAge+time.Second)); got != home {
		t.Error("an old word on the queue counts")
	}
	// More at the home than it has slots for, and room elsewhere.
	home.learn(FleetLoad{}, now)
	home.note(&persimmoncross.Load{
		Running: 10,
		Waiting: 9,
		Slots:   10,
	}, now)
	if got := placed(all, "part", 0, now); got == home {
		t.Error("a home with 9 prompts waiting for a slot takes more")
	}
}

// fading is a forwarder whose first answer sends an event and then nothing more.
type fading struct {
	forwarder
	faded chan struct{} // closed when nothing more is sent
	left  chan struct{} // closed when the first attempt is ended for that
}

func (f *fading) Forward(ctx context.Context, a *persimmoncross.PassageAttempt) (persimmoncross.PassageAnswer, error) {
	got, err := f.forwarder.Forward(ctx, a)
	if len(f.attempts) > 1 {
		return got, err
	}
	return &fadingAnswer{
		PassageAnswer: got,
		ctx:           ctx,
		fading:        f,
	}, err
}

type fadingAnswer struct {
	persimmoncross.PassageAnswer
	ctx    context.Context
	fading *fading
}

func (a *fadingAnswer) Read(p []byte) (int, error) {
	n, _ := a.PassageAnswer.Read(p)
	if n > 0 {
		return n, nil
	}
	close(a.fading.faded)
	<-a.ctx.Done()
	close(a.fading.left)
	return 0, &persimmoncross.AttemptError{
		Reason: "canceled",
		Run:    persimmoncross.Ran,
	}
}

// A stream whose upstream falls silent goes on at another well within the route's
// longest pause, and the silent one is avoided.
func TestSilentStreamGoesOn(t *testing.T) {
	e := newEnv()
	clock := newAlarm()
	e.relay.Clock = clock
	const ever = 100 * 365 * 24 * time.Hour // contexts have the system's clock
	route := e.view.Catalog.Route("h", "/stream/x")
	route.Pause = time.Second
	route.Timeout = ever
	f := &fading{
		forwarder: forwarder{
			answers: []*answer{streamed(events("1"), false), streamed(events("2", "3"), false)},
		},
		faded: make(chan struct{}),
		left:  make(chan struct{}),
	}
	e.relay.Forwarder = f
	ended := make(chan *persimmoncross.Refusal)
	go func() {
		ended <- e.relay.Serve(context.Background(), &persimmoncross.Passage{
			ID:      "id",
			Host:    "h",
			Path:    "/stream/x",
			Key:     key,
			Arrived: clock.Now(),
		}, e.caller)
	}()
	<-f.faded
	began := clock.Now()
	for silent := true; silent; {
		select {
		case <-f.left: // before the waits of the second attempt: time stands from here on
			silent = false
			continue
		default:
		}
		select {
		case <-f.left:
			silent = false
		case fired := <-clock.waits:
			clock.mu.Lock()
			clock.now = clock.now.Add(watchEvery)
			now := clock.now
			clock.mu.Unlock()
			fired <- now
		}
	}
	pause := clock.Now().Sub(began)
	if refusal := <-ended; refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.caller.body.String(); got != events("1", "2", "3") {
		t.Errorf("the caller got %q", got)
	}
	if pause < 600*time.Millisecond || pause > 900*time.Millisecond {
		t.Errorf("it went on after %v", pause)
	}
	if len(f.attempts) != 2 || f.attempts[1].LastEvent != "1" {
		t.Fatalf("%d attempts", len(f.attempts))
	}
	for _, u := range e.targets {
		if u.Incarnation == f.attempts[0].Upstream.Incarnation && !u.suspected(clock.Now()) {
			t.Error("the silent upstream is not avoided")
		}
	}
}

// Without a retry left an answer is not broken off for silence.
func TestNoRetryNoEnd(t *testing.T) {
	e := newEnv()
	clock := newAlarm()
	e.relay.Clock = clock
	for e.relay.mayRetry(service) {
		// Failures took them all.
	}
	trip := &trip{
		relay:   e.relay,
		route:   e.view.Catalog.Route("h", "/stream/x"),
		service: service,
		passage: &persimmoncross.Passage{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := trip.watchAttempt(ctx, cancel, e.targets[0])
	for range 5 {
		clock.ring(2 * time.Second)
	}
	if w.stop() || ctx.Err() != nil {
		t.Error("the attempt was ended")
	}
}
