package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// lateForwarder begins each attempt when the run of a kept answer has ended.
type lateForwarder struct {
	*queueForwarder
	targets []*Target
}

func (f lateForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	for {
		inFlight := int64(0)
		for _, u := range f.targets {
			inFlight += u.inFlight.Load()
		}
		if inFlight <= 1 {
			return f.queueForwarder.Forward(ctx, a)
		}
		time.Sleep(20 * time.Microsecond)
	}
}

// Guards against a request that runs twice where it may not, and against a client error that is not
// passed on, when the answer that was kept for that case turns out to be lost.
func TestErrorWithLostKeptAnswer(t *testing.T) {
	for _, tt := range []struct {
		name     string
		route    string
		status   int
		max      int // executions that the route allows
		attempts int
	}{
		{"client error", "stream", 400, 6, 2},
		{"server error at the last execution", "stream", 500, 2, 2},
		{"server error", "stream", 500, 6, 3},
	} {
		e := newRecallEnv(smallAnswer(true, "1"), failedResponse(tt.status), largeAnswer(false, "1"))
		e.view.Catalog.Route("h", "/"+tt.route+"/x").MaxAttempts = tt.max
		e.relay.Forwarder = lateForwarder{
			queueForwarder: e.forwarder,
			targets:        e.targets,
		}
		refusal := e.serveQueued(tt.route, 5*time.Second, nil, pickModel)
		if got := len(e.forwarder.attempts); got != tt.attempts {
			t.Errorf("%s: %d attempts, want %d", tt.name, got, tt.attempts)
		}
		if refusal != nil {
			t.Errorf("%s: refused with %v", tt.name, refusal)
		} else if want := tt.status; tt.attempts == 2 && e.sink.head.Status != want {
			t.Errorf("%s: the caller got status %d, want %d", tt.name, e.sink.head.Status, want)
		}
		e.checkEnded(t)
	}
}

// Guards against a second run, at once or later, on a route of which at most one upstream may start a
// request: the answer is neither kept nor replaced, and neither is one that fails.
func TestAnswerIsNotKeptWhereRepeatsAreForbidden(t *testing.T) {
	for _, interrupted := range []bool{false, true} {
		e := newRecallEnv(smallAnswer(interrupted, "1"), largeAnswer(false, "1", "2"))
		refusal := e.serveQueued("fixed", 5*time.Second, nil, pickModel)
		if (refusal != nil) != interrupted {
			t.Errorf("interrupted %v: refused with %v", interrupted, refusal)
		}
		if n := e.counter("kept.begun"); n != 0 || e.forwarder.maxWork != 1 || len(e.forwarder.attempts) != 1 {
			t.Errorf("interrupted %v: %d answers kept, %d runs at once, %d in all, want 0, 1 and 1", interrupted, n, e.forwarder.maxWork, len(e.forwarder.attempts))
		}
		e.checkEnded(t)
	}
}

// newCallWithKeptAnswer returns a call whose kept answer is complete.
func newCallWithKeptAnswer(e *recallEnv) *call {
	k := &keptAnswer{
		head: persimmoncross.ProxyResponseHead{
			Status: http.StatusOK,
		},
		target:    e.targets[0],
		cancel:    func() {},
		resources: &attemptResources{},
		heldBytes: &e.relay.keptBytes,
		maxHeld:   1 << 10,
		ended:     make(chan struct{}),
	}
	k.received = sync.NewCond(&k.mu)
	k.receive(&onceReader{
		data: eventStream("1", "2"),
	}, func(error) {})
	c := &call{
		relay:   e.relay,
		route:   e.view.Catalog.Route("h", "/stream/x"),
		service: testService,
		request: &persimmoncross.ProxyRequest{
			ArrivedAt: e.start,
		},
		sink:       e.sink,
		keptAnswer: k,
		executions: 1,
		quarantineRequest: quarantine.Request{
			Service:  testService,
			Recorder: e.relay.QuarantineRecorder,
		},
	}
	k.run = c.quarantineRequest.BeginRun("instance", e.start)
	return c
}

// Guards against a kept answer that counts as delivered to a caller that has left.
func TestKeptAnswerIsNotDeliveredToCallerThatLeft(t *testing.T) {
	e := newRecallEnv()
	c := newCallWithKeptAnswer(e)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if refusal := c.giveUp(ctx, "attempts"); refusal == nil || e.sink.head != nil || e.counter("kept.delivered") != 0 {
		t.Errorf("refusal %v, head %v, delivered %d, want a refusal and nothing sent", refusal, e.sink.head, e.counter("kept.delivered"))
	}
	e.checkEnded(t)
}

// Guards against a run beside the kept one when a quarantine begins meanwhile, which would blame the
// request for the crash of either, and against the loss of the kept answer then.
func TestKeptAnswerIsDeliveredWhenQuarantined(t *testing.T) {
	for _, stage := range []persimmoncross.QuarantineStage{persimmoncross.QuarantineIsolate, persimmoncross.QuarantineRefuse} {
		e := newRecallEnv(largeAnswer(false, "1"))
		c := newCallWithKeptAnswer(e)
		e.view.Quarantines = map[persimmoncross.Digest]persimmoncross.Quarantine{
			c.quarantineRequest.Digest: {
				Stage: stage,
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		refusal := c.run(ctx)
		cancel()
		if refusal != nil || e.sink.body.String() != eventStream("1", "2") || len(e.forwarder.attempts) != 0 {
			t.Errorf("stage %v: refusal %v, the caller got %q, %d attempts, want the kept answer without an attempt", stage, refusal, e.sink.body.String(), len(e.forwarder.attempts))
		}
		e.checkEnded(t)
	}
}
