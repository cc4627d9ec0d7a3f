package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"persimmoncross"
)

// Guards against a stream that may not be resumed and runs again with the largest model, because the
// smaller model's answer, which has run, has low confidence.
func TestStreamThatMayNotRunTwiceKeepsItsOnlyAnswer(t *testing.T) {
	e := newRecallEnv(smallAnswer(false, "1", "2"), largeAnswer(false, "1", "2", "3"))
	if refusal := e.serveQueued("fixed", e.view.Catalog.Route("h", "/fixed/x").Timeout, nil, pickModel); refusal != nil {
		t.Fatal(refusal)
	}
	if n := len(e.forwarder.attempts); n != 1 {
		t.Errorf("%d upstreams ran the request, want 1", n)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2") || e.sink.head.Header.Get("Model") != "small" {
		t.Errorf("the caller got %q of model %q, want the small model's whole answer", got, e.sink.head.Header.Get("Model"))
	}
	e.checkEnded(t)
}

// Guards against a small first model where its answer is final and too seldom good enough: a request
// that may not run again has no second chance.
func TestFirstModelOfStreamThatMayNotRunTwice(t *testing.T) {
	for _, tt := range []struct {
		route string
		want  string
	}{
		{"stream", "small"},
		{"fixed", "large"},
	} {
		e := newRecallEnv(largeAnswer(false, "1"))
		for i := range 100 {
			prompt := 500 + 100*(i%9)
			recordHead := e.relay.ModelStats.trackPendingHead(testService, "large", prompt, e.start)
			recordHead(e.start.Add(time.Duration(prompt)*50*time.Microsecond), true)
			e.relay.ModelStats.recordConfidence(testService, "small", i%5 < 3)
		}
		if refusal := e.serveQueued(tt.route, e.view.Catalog.Route("h", "/"+tt.route+"/x").Timeout, nil, func(p *persimmoncross.ProxyRequest) {
			p.RouterPicksModel = true
			p.PromptTokens = 300
		}); refusal != nil {
			t.Fatalf("%s: %v", tt.route, refusal)
		}
		if got := e.forwarder.attempts[0].Model; got != tt.want {
			t.Errorf("%s: first model %s, want %s", tt.route, got, tt.want)
		}
	}
}

// Guards against an answer that is dropped for a larger model's when no attempt is left: after
// rejections the answer of the last one was lost.
func TestAnswerOfLastAttemptIsNotDropped(t *testing.T) {
	responses := []*fakeResponse{}
	for range maxAttempts - 1 {
		responses = append(responses, rejectedResponse())
	}
	e := newTestEnv(append(responses, smallAnswer(false, "1", "2"))...)
	e.relay.Config.RetryBudgetMinimum = 600
	if refusal := e.serve(t, "stream", pickModel); refusal != nil {
		t.Fatalf("refused with %v after %d attempts", refusal, len(e.forwarder.attempts))
	}
	if got := e.sink.body.String(); got != eventStream("1", "2") {
		t.Errorf("the caller got %q", got)
	}
}

// takingForwarder takes a retry from the budget when the first response is closed, as another request
// of the entry would.
type takingForwarder struct {
	*fakeForwarder
	relay *Relay
}

func (f takingForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	response, err := f.fakeForwarder.Forward(ctx, a)
	if err != nil || len(f.attempts) > 1 {
		return response, err
	}
	return takingResponse{
		ProxyResponse: response,
		relay:         f.relay,
	}, nil
}

type takingResponse struct {
	persimmoncross.ProxyResponse
	relay *Relay
}

func (r takingResponse) Close() error {
	r.relay.takeRetry(testService)
	return r.ProxyResponse.Close()
}

// Guards against an answer that is dropped for a larger model's, for which another request then takes
// the last retry.
func TestEscalationTakesItsRetryBeforeItDropsTheAnswer(t *testing.T) {
	e := newTestEnv(smallAnswer(false, "1"), largeAnswer(false, "1", "2"))
	e.relay.Config.RetryBudgetRatio = 0
	e.relay.Config.RetryBudgetMinimum = float64(defaultEntryCount) / retryMinimumFactor // one retry for this entry
	e.relay.Forwarder = takingForwarder{
		fakeForwarder: e.forwarder,
		relay:         e.relay,
	}
	if refusal := e.serve(t, "stream", pickModel); refusal != nil {
		t.Fatalf("refused with %v", refusal)
	}
	if got := e.sink.body.String(); e.sink.head.Status != http.StatusOK || got != eventStream("1", "2") {
		t.Errorf("the caller got %q", got)
	}
}
