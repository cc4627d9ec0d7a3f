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
	limit := trip.limitHead(ctx, cancel, target)
	target.hear(clock.Now().Add(time.Millisecond)) // an answer to another request
	clock.ring(2 * time.Second)
	clock.ring(2 * time.Second) // nothing since
	<-ctx.Done()
	if !limit.stop() {
		t.Error("the attempt was ended, and not for silence")
	}
	if v := trip.silent(target, 4*time.Second); v != verdictAgain || trip.runs != 1 {
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
		limit := trip.limitHead(ctx, cancel, e.targets[0])
		if len(clock.waits) > 0 || limit.stop() {
			t.Errorf("%s after %d runs has a limit", tt.path, tt.runs)
		}
		cancel()
	}
}

// A queue of prompts that the upstream tells, or that this entry made since,
// turns requests away before any answer is late.
func TestLongQueuesAreAvoided(t *testing.T) {
	now := time.Unix(100, 0)
	all := targets(4)
	home := placed(all, "part", 0, now)
	home.note(&persimmoncross.Load{
		Running: 3,
		Waiting: 9,
		Slots:   10,
	}, now)
	for _, u := range all {
		if u != home {
			u.note(&persimmoncross.Load{
				Running: 12,
				Slots:   10,
			}, now)
		}
	}
	if got := placed(all, "part", 0, now); got == home {
		t.Error("a home with 9 prompts waiting takes more")
	}
	if got := placed(all, "part", 0, now.Add(loadAge+time.Second)); got != home {
		t.Error("an old word on the queue counts")
	}
}
