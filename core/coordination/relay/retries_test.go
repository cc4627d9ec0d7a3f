package relay

import (
	"errors"
	"testing"
	"time"

	"persimmoncross"
)

// Guards against retries at silent upstreams that leave the window before they arrive.
func TestRetriesStayReservedUntilArrival(t *testing.T) {
	sent := time.Unix(1000, 0)
	lost := &persimmoncross.AttemptError{Run: persimmoncross.RunUnknown}
	for _, tt := range []struct {
		name     string
		event    func(target *Target)
		err      error
		resolved bool
	}{
		{"nothing is heard", func(*Target) {}, lost, false},
		{"bytes that were under way", func(u *Target) { u.recordReceived(sent.Add(arrivalDelay / 2)) }, lost, false},
		{"bytes sent after the arrival", func(u *Target) { u.recordReceived(sent.Add(arrivalDelay + 1)) }, lost, true},
		{"the instance is gone", func(u *Target) { u.removed.Store(true) }, lost, true},
		{"a response", func(*Target) {}, nil, true},
	} {
		e := newTestEnv()
		clock := e.clock.(*steppingClock)
		e.relay.Config.RetryBudgetRatio, e.relay.Config.RetryBudgetMinimum = 0, defaultEntryCount/retryMinimumFactor
		c := &call{
			relay:   e.relay,
			service: testService,
			request: &persimmoncross.ProxyRequest{},
		}
		q := c.requestRetries()
		first := q.send(e.targets[0], sent)
		if !q.take("test") {
			t.Fatal("no retry is left")
		}
		q.received(q.send(e.targets[1], sent), nil, sent) // arrives before the first attempt may
		tt.event(e.targets[0])
		clock.advance(e.relay.Config.RetryBudgetWindow / 2)
		q.received(first, tt.err, clock.Now())
		q.end()
		e.relay.retryBudgetLeft(testService)
		clock.advance(e.relay.Config.RetryBudgetWindow + time.Second)
		if left := e.relay.takeRetry(testService); left != tt.resolved {
			t.Errorf("%s: a retry is left after the window: %v, want %v", tt.name, left, tt.resolved)
		}
	}
}

// A target that stays silent for good does not use up the budget for good.
func TestReservedRetriesExpire(t *testing.T) {
	e := newTestEnv()
	clock := e.clock.(*steppingClock)
	e.relay.Config.RetryBudgetRatio, e.relay.Config.RetryBudgetMinimum = 0, defaultEntryCount/retryMinimumFactor
	c := &call{
		relay:   e.relay,
		service: testService,
		request: &persimmoncross.ProxyRequest{},
	}
	q := c.requestRetries()
	for _, u := range e.targets[:2] {
		if !q.take("test") {
			t.Fatal("no retry is left")
		}
		q.received(q.send(u, clock.Now()), errors.New("silent"), clock.Now())
	}
	q.end()
	clock.advance(maxArrivalDelay + 1)
	if e.relay.takeRetry(testService) {
		t.Error("a retry is left although one may just have arrived")
	}
	clock.advance(e.relay.Config.RetryBudgetWindow + time.Second)
	if !e.relay.takeRetry(testService) {
		t.Error("no retry is left after the window")
	}
}

// Guards against entries whose parts of the minimum add up to more than the minimum: after a start, while the number of
// entries is not known, and after the loss of some.
func TestMinimumIsSharedOverWindows(t *testing.T) {
	e := newTestEnv()
	clock := e.clock.(*steppingClock)
	e.relay.StartedAt = clock.Now()
	share := func() float64 {
		e.relay.mu.Lock()
		defer e.relay.mu.Unlock()
		return e.relay.minimumShare(clock.Now())
	}
	window := e.relay.Config.RetryBudgetWindow
	for _, step := range []struct {
		name    string
		after   time.Duration
		entries int
		want    float64
	}{
		{"just started", 0, 4, 0},
		{"a window after the start", window, 4, 0},
		{"settled", window, 4, 1.0 / 4},
		{"more entries", time.Millisecond, 5, 1.0 / 5},
		{"fewer entries", time.Millisecond, 2, 1.0 / 5},
		{"fewer for a window", window, 2, 1.0 / 5},
		{"fewer for longer", window, 2, 1.0 / 2},
		{"not known", time.Millisecond, 0, 1.0 / 2},
		{"not known for long", 2 * window, 0, 0},
		{"known again", time.Millisecond, 3, 1.0 / 3},
	} {
		clock.advance(step.after)
		e.view.EntryCount = step.entries
		if got := share(); got != step.want {
			t.Errorf("%s: share %v, want %v", step.name, got, step.want)
		}
	}
}
