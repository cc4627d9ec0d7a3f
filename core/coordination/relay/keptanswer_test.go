package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// smallAnswer returns a smaller model's answer of low confidence, with a header that tells it apart.
func smallAnswer(interrupted bool, ids ...string) *fakeResponse {
	response := streamResponse(eventStream(ids...), interrupted)
	response.head.ModelConfidence = 5
	response.head.Header = http.Header{"Model": {"small"}}
	return response
}

func largeAnswer(interrupted bool, ids ...string) *fakeResponse {
	response := streamResponse(eventStream(ids...), interrupted)
	response.head.Header = http.Header{"Model": {"large"}}
	return response
}

func pickModel(p *persimmoncross.ProxyRequest) { p.RouterPicksModel = true }

// Guards against a complete answer of a smaller model that is thrown away, though the larger model
// that was asked instead lies in a queue until the deadline, rejects the request or fails. The caller
// gets all events of one run, with that run's head.
func TestKeptAnswerIsDelivered(t *testing.T) {
	tests := []struct {
		name   string
		larger *fakeResponse
		queued bool
		small  *fakeResponse
		rest   *fakeResponse // of an attempt after the larger model's
		want   string
		models []string
	}{
		{name: "larger model in a queue", larger: largeAnswer(false), queued: true},
		{name: "larger model rejects", larger: rejectedResponse()},
		{name: "larger model fails", larger: failedResponse(500)},
		{name: "larger model answers a client error", larger: failedResponse(429)},
		{name: "connection lost", larger: lostResponse(persimmoncross.RunUnknown)},
		{name: "cut before the first event", larger: largeAnswer(true)},
		{
			name:   "small answer cut while it was kept",
			larger: rejectedResponse(),
			small:  smallAnswer(true, "1", "2"),
			rest:   smallAnswer(false, "3"),
			// It resumes with the same model, or is replaced as a whole, but never spliced.
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			small := tt.small
			if small == nil {
				small = smallAnswer(false, "1", "2", "3")
			}
			responses := []*fakeResponse{small, tt.larger}
			if tt.rest != nil {
				responses = append(responses, tt.rest)
			}
			e := newRecallEnv(responses...)
			if tt.queued {
				e.forwarder.queued[1] = true
			}
			refusal := e.serveQueued("stream", 5*time.Second, nil, pickModel)
			if tt.rest != nil {
				e.checkNotSpliced(t)
				return
			}
			if refusal != nil {
				t.Fatal(refusal)
			}
			if got := e.sink.body.String(); got != eventStream("1", "2", "3") {
				t.Errorf("the caller got %q", got)
			}
			if got := e.sink.head.Header.Get("Model"); got != "small" || e.sink.head.Status != http.StatusOK {
				t.Errorf("the head is that of model %q with status %d", got, e.sink.head.Status)
			}
			if waited := e.forwarder.canceledAt.Sub(e.start); tt.queued && (waited < 3*time.Second || waited >= 4800*time.Millisecond) {
				t.Errorf("the larger model was waited for until %v, want nearly until the deadline at 5s", waited)
			}
			if n := e.counter("kept.delivered"); n != 1 {
				t.Errorf("counter kept.delivered = %d, want 1", n)
			}
			for _, u := range e.targets {
				if tt.queued && u.isSuspected(e.clock.Now()) {
					t.Errorf("%s is suspected, but only has a queue", u.Name)
				}
			}
			e.checkEnded(t)
		})
	}
}

// checkNotSpliced checks that each attempt that resumes after an event has the model of the attempt
// that sent the event.
func (e *recallEnv) checkNotSpliced(t *testing.T) {
	t.Helper()
	for _, a := range e.forwarder.attempts {
		if a.LastEventID != "" && a.Model != "small" {
			t.Errorf("model %q resumes after event %s of the small model", a.Model, a.LastEventID)
		}
	}
	e.checkEnded(t)
}

// Guards against a smaller model's run that goes on after the larger model's answer was accepted.
func TestKeptAnswerIsDroppedWhenLargerAnswers(t *testing.T) {
	e := newRecallEnv(smallAnswer(false, "1"), largeAnswer(false, "1", "2"))
	e.forwarder.stayOpen[0] = true
	if refusal := e.serveQueued("stream", 5*time.Second, nil, pickModel); refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2") || e.sink.head.Header.Get("Model") != "large" {
		t.Errorf("the caller got %q of model %s", got, e.sink.head.Header.Get("Model"))
	}
	if begun, dropped := e.counter("kept.begun"), e.counter("kept.dropped"); begun != 1 || dropped != 1 {
		t.Errorf("%d answers kept and %d dropped, want 1 and 1", begun, dropped)
	}
	e.checkEnded(t)
}

// Guards against runs that go on for a caller that has left.
func TestKeptAnswerEndsWithCaller(t *testing.T) {
	e := newRecallEnv(smallAnswer(false, "1"), largeAnswer(false, "1"))
	e.forwarder.stayOpen[0] = true
	e.forwarder.queued[1] = true
	e.maxSteps = 5
	if refusal := e.serveQueued("stream", 15*time.Second, nil, pickModel); refusal == nil {
		t.Error("the request of a caller that left was answered")
	}
	if e.sink.head != nil {
		t.Error("something was sent to the caller that left")
	}
	e.checkEnded(t)
}

// Guards against kept answers that take the memory of the entry, and against two slots held for an
// answer of which it is not known that it ends soon: the answer is then dropped as without the part.
func TestKeptAnswerLimits(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *recallEnv)
		begun  int64
	}{
		{"no memory", func(e *recallEnv) { e.relay.Config.Overload.MaxHeldBytes = 0 }, 1},
		{"pace of the small model not known", func(e *recallEnv) { e.relay.ModelStats = &ModelStats{} }, 0},
		{"part not in force", func(e *recallEnv) { e.relay.Config.Overload.Mode = persimmoncross.OverloadOff }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newRecallEnv(smallAnswer(false, "1"), largeAnswer(false, "1", "2"))
			tt.change(e)
			if refusal := e.serveQueued("stream", 5*time.Second, nil, pickModel); refusal != nil {
				t.Fatal(refusal)
			}
			if got := e.sink.body.String(); got != eventStream("1", "2") {
				t.Errorf("the caller got %q, want the larger model's answer", got)
			}
			if n := e.counter("kept.begun"); n != tt.begun {
				t.Errorf("counter kept.begun = %d, want %d", n, tt.begun)
			}
			e.checkEnded(t)
		})
	}
}

// Guards against the loss of a complete answer where no retry is left for the larger model, and where
// the deadline has passed meanwhile.
func TestKeptAnswerIsDeliveredAtGiveUp(t *testing.T) {
	for _, tt := range []struct {
		name  string
		ended func() (context.Context, context.CancelFunc)
	}{
		{"no retry left", func() (context.Context, context.CancelFunc) { return context.WithCancel(context.Background()) }},
		{"after the deadline", func() (context.Context, context.CancelFunc) {
			return context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
		}},
	} {
		e := newRecallEnv()
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
		ctx, cancel := tt.ended()
		refusal := c.giveUp(ctx, "retry budget")
		cancel()
		if refusal != nil || e.sink.body.String() != eventStream("1", "2") {
			t.Errorf("%s: the caller got %q and refusal %v", tt.name, e.sink.body.String(), refusal)
		}
		e.checkEnded(t)
	}
}

// onceReader returns its data at once and then io.EOF.
type onceReader struct{ data string }

func (r *onceReader) Read(p []byte) (int, error) {
	if r.data == "" {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}
