package relay

import (
	"context"
	"net/http"
	"testing"

	"persimmoncross"
)

// stoppingForwarder stops the process at each attempt, and passes it on when the attempt's context has ended.
type stoppingForwarder struct {
	*fakeForwarder
	relay *Relay
}

// Forward implements [persimmoncross.Forwarder].
func (f stoppingForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	f.relay.EndUnanswered()
	<-ctx.Done()
	return f.fakeForwarder.Forward(ctx, a)
}

// Guards against requests that get no answer because the process which has read them ends.
func TestUnansweredRequestsEndBeforeStop(t *testing.T) {
	for _, tt := range []struct {
		name     string
		response *fakeResponse
		status   int // of the refusal; 0: answered
		run      persimmoncross.RunStatus
	}{
		{"at an upstream that is silent", lostResponse(persimmoncross.RunUnknown), http.StatusGatewayTimeout, persimmoncross.RunUnknown},
		{"not begun", lostResponse(persimmoncross.NotRun), http.StatusServiceUnavailable, persimmoncross.NotRun},
		{"answered meanwhile", okResponse("body"), 0, ""},
	} {
		e := newTestEnv(tt.response, tt.response)
		e.relay.Forwarder = stoppingForwarder{
			fakeForwarder: e.forwarder,
			relay:         e.relay,
		}
		refusal := e.serve(t, "safe", nil)
		switch {
		case tt.status == 0:
			if refusal != nil || e.sink.body.String() != "body" {
				t.Errorf("%s: refusal %v, body %q, want the answer", tt.name, refusal, e.sink.body.String())
			}
		case refusal == nil || refusal.Status() != tt.status || refusal.Run != tt.run:
			t.Errorf("%s: refusal %v, want status %d, %s", tt.name, refusal, tt.status, tt.run)
		case refusal.Run == persimmoncross.NotRun && refusal.RetryAfter == 0:
			t.Errorf("%s: refused without a time to come back", tt.name)
		}
		if len(e.forwarder.attempts) > 1 {
			t.Errorf("%s: %d attempts, want 1", tt.name, len(e.forwarder.attempts))
		}
	}
}

// A stream that has begun goes on until its connection is closed.
func TestStreamGoesOnAtStop(t *testing.T) {
	e := newTestEnv(streamResponse(eventStream("1"), true), streamResponse(eventStream("2"), false))
	e.forwarder.responses[1].onAttempt = e.relay.EndUnanswered
	if refusal := e.serve(t, "stream", nil); refusal != nil || e.sink.body.String() != eventStream("1", "2") {
		t.Errorf("refusal %v, body %q, want the whole stream", refusal, e.sink.body.String())
	}
}
