package relay

import (
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
