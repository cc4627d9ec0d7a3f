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
