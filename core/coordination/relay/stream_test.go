package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

func eventStream(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

// streamResponse returns an event stream that ends regularly or is interrupted.
func streamResponse(body string, interrupted bool) *fakeResponse {
	response := okResponse(body)
	response.interrupted = interrupted
	return response
}

func TestStreamResumes(t *testing.T) {
	tests := []struct {
		name         string
		responses    []*fakeResponse
		lastEventIDs []string // LastEventID of each attempt
		body         string
		refused      bool
	}{
		{
			name:         "whole",
			responses:    []*fakeResponse{streamResponse(eventStream("1", "2"), false)},
			lastEventIDs: []string{""},
			body:         eventStream("1", "2"),
		},
		{
			name:         "interrupted between events",
			responses:    []*fakeResponse{streamResponse(eventStream("1", "2"), true), streamResponse(eventStream("3"), false)},
			lastEventIDs: []string{"", "2"},
			body:         eventStream("1", "2", "3"),
		},
		{
			name:         "interrupted inside an event",
			responses:    []*fakeResponse{streamResponse(eventStream("1")+"id: 2\nda", true), streamResponse(eventStream("2"), false)},
			lastEventIDs: []string{"", "1"},
			body:         eventStream("1", "2"),
		},
		{
			name:         "ended inside an event",
			responses:    []*fakeResponse{streamResponse(eventStream("1")+"id: 2\nda", false), streamResponse(eventStream("2"), false)},
			lastEventIDs: []string{"", "1"},
			body:         eventStream("1", "2"),
		},
		{
			name:         "missing event",
			responses:    []*fakeResponse{streamResponse(eventStream("1", "3"), false), streamResponse(eventStream("2", "3"), false)},
			lastEventIDs: []string{"", "1"},
			body:         eventStream("1", "2", "3"),
		},
		{
			name:         "failure response instead of the rest",
			responses:    []*fakeResponse{streamResponse(eventStream("1"), true), failedResponse(500), streamResponse(eventStream("2"), false)},
			lastEventIDs: []string{"", "1", "1"},
			body:         eventStream("1", "2"),
		},
		{
			name:         "no attempt left",
			responses:    []*fakeResponse{streamResponse(eventStream("1"), true), streamResponse(eventStream("2"), true), streamResponse(eventStream("3"), true)},
			lastEventIDs: []string{"", "1", "2"},
			body:         eventStream("1", "2", "3"),
			refused:      true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newTestEnv(tt.responses...)
			r := e.serve(t, "stream", nil)
			if (r != nil) != tt.refused {
				t.Errorf("refusal %v", r)
			}
			if got := e.sink.body.String(); got != tt.body {
				t.Errorf("the caller got %q, want %q", got, tt.body)
			}
			for i, a := range e.forwarder.attempts {
				if a.LastEventID != tt.lastEventIDs[i] {
					t.Errorf("attempt %d resumes after event %q, want %q", i, a.LastEventID, tt.lastEventIDs[i])
				}
			}
		})
	}
}

// A stream that may not run twice ends where the upstream's response was interrupted.
func TestNonRepeatableStreamIsNotRetried(t *testing.T) {
	e := newTestEnv(streamResponse(eventStream("1"), true), streamResponse(eventStream("2"), false))
	if r := e.serve(t, "fixed", nil); r == nil {
		t.Error("an interrupted stream was not refused")
	}
	if len(e.forwarder.attempts) != 1 {
		t.Errorf("got %d attempts, want 1", len(e.forwarder.attempts))
	}
}

func TestLowConfidenceEscalatesModel(t *testing.T) {
	tests := []struct {
		name       string
		confidence int
		models     []string
	}{
		{
			name:       "trusted",
			confidence: 80,
			models:     []string{"small"},
		},
		{
			name:       "doubted",
			confidence: 20,
			models:     []string{"small", "large"},
		},
		{
			name:       "no confidence reported",
			confidence: -1,
			models:     []string{"small"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			small := streamResponse(eventStream("1"), false)
			small.head.ModelConfidence = tt.confidence
			large := streamResponse(eventStream("1", "2"), false)
			large.head.ModelConfidence = 10
			e := newTestEnv(small, large)
			if r := e.serve(t, "stream", func(p *persimmoncross.ProxyRequest) { p.RouterPicksModel = true }); r != nil {
				t.Fatal(r)
			}
			var models []string
			for _, a := range e.forwarder.attempts {
				models = append(models, a.Model)
			}
			if strings.Join(models, " ") != strings.Join(tt.models, " ") {
				t.Errorf("models %v, want %v", models, tt.models)
			}
			want := eventStream("1")
			if len(tt.models) > 1 {
				want = eventStream("1", "2") // without any event of the dropped response
			}
			if got := e.sink.body.String(); got != want {
				t.Errorf("the caller got %q, want %q", got, want)
			}
		})
	}
}

// A response of which a part was sent to the caller is not dropped for that of a larger model.
func TestNoEscalationAfterStreamBegan(t *testing.T) {
	small := streamResponse(eventStream("1"), true)
	small.head.ModelConfidence = 80
	rest := streamResponse(eventStream("2"), false)
	rest.head.ModelConfidence = 5
	e := newTestEnv(small, rest)
	if r := e.serve(t, "stream", func(p *persimmoncross.ProxyRequest) { p.RouterPicksModel = true }); r != nil {
		t.Fatal(r)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2") {
		t.Errorf("the caller got %q", got)
	}
	if m := e.forwarder.attempts[1].Model; m != "small" {
		t.Errorf("the stream resumed with model %q, want small", m)
	}
}

// Several events that arrive together after a pause indicate packet loss on the link to the
// upstream's data centre. The next streams avoid that data centre, long streams most of all.
func TestLossyLinkIsAvoided(t *testing.T) {
	e := newTestEnv()
	for i, u := range e.targets {
		u.DataCentre = []string{"a", "a", "b", "b"}[i]
	}
	now := e.clock.Now()
	e.relay.recordEventBatch("b", 300*time.Millisecond, 3, now)
	request := &persimmoncross.ProxyRequest{
		MaxOutputTokens: 400,
	}
	c := &call{
		relay:   e.relay,
		request: request,
		route:   e.view.Catalog.Route("h", "/stream/x"),
	}
	for i := range 40 {
		p := newPrompt(fmt.Sprint("part", i), 0)
		got, _ := placeRequest(e.targets, p, now, func(u *Target) time.Duration { return c.linkDelay(u, now) })
		if got.DataCentre != "a" {
			t.Fatalf("a long stream is placed at %s, over the lossy link", got.Name)
		}
	}
	if n := metrics.GetOrRegisterCounter("relay.held-up.b", e.relay.Metrics).Count(); n != 1 {
		t.Errorf("counter held-up.b = %d, want 1", n)
	}
}

// A stream that began before the upgrade was completed resumes on the new version, because the
// old version's upstreams have exited.
func TestStreamResumesOnNewVersionAfterUpgrade(t *testing.T) {
	u := register.Upgrade{
		Service: testService,
		Target:  "v2",
		Stage:   register.Prepare,
	}
	first := streamResponse(eventStream("1"), true)
	e := newTestEnv(first, streamResponse(eventStream("2"), false))
	for _, target := range e.targets[2:] {
		target.Version = "v2"
	}
	e.view.Upgrades[testService] = u
	first.onAttempt = func() {
		u.Stage = register.Completed
		e.view.Upgrades[testService] = u
	}
	if r := e.serve(t, "stream", nil); r != nil {
		t.Fatal(r)
	}
	if a := e.forwarder.attempts; len(a) != 2 || a[0].Upstream.Version != "v1" || a[1].Upstream.Version != "v2" {
		t.Errorf("got %d attempts, the last one on version %s, want 2, first on v1 and then on v2", len(a), a[len(a)-1].Upstream.Version)
	}
}

// While enough retries are left, a request begins with the smallest model. If the entry has used
// up the retries that escalations may take, a short prompt begins with the largest model, so that
// it needs no retry. A long prompt does not, since its prefill would delay other requests.
func TestFirstModelDependsOnRetryBudget(t *testing.T) {
	for _, tt := range []struct {
		name         string
		takenRetries int // retries taken before the request, out of 85 in the retry budget
		tokens       int
		wantModel    string
	}{
		{"all retries are left", 0, 300, "small"},
		{"half of the retries are left", 40, 300, "small"},
		{"only retries for failures are left", 62, 300, "large"},
		{"only retries for failures are left, long prompt", 62, 60_000, "small"},
	} {
		e := newTestEnv(&fakeResponse{
			head: persimmoncross.ProxyResponseHead{
				Status:          http.StatusOK,
				ModelConfidence: 90,
			},
			body: "id: 1\ndata: x\n\n",
		})
		e.relay.Config.RetryBudgetMinimum = 0
		e.view.EntryCount = 1
		e.clock.(*steppingClock).advance(time.Since(e.clock.Now())) // to the time that serve sets
		for i := range 100 {
			e.relay.countRequest(testService)
			prompt := 500 + 100*(i%9)
			recordHead := e.relay.ModelStats.trackPendingHead(testService, "large", prompt, e.clock.Now())
			recordHead(e.clock.Now().Add(time.Duration(prompt)*50*time.Microsecond), true)
			e.relay.ModelStats.recordConfidence(testService, "small", i%5 < 3)
		}
		for range tt.takenRetries {
			if !e.relay.takeRetry(testService) {
				t.Fatalf("%s: no retry is left", tt.name)
			}
		}
		if refusal := e.serve(t, "stream", func(p *persimmoncross.ProxyRequest) {
			p.RouterPicksModel = true
			p.PromptTokens = tt.tokens
		}); refusal != nil {
			t.Fatalf("%s: %v", tt.name, refusal)
		}
		if got := e.forwarder.attempts[0].Model; got != tt.wantModel {
			t.Errorf("%s: first model %s, want %s", tt.name, got, tt.wantModel)
		}
	}
}

// A caller may let the router pick the model on a route that lists no models. Its response is
// then accepted whatever its confidence.
func TestAnyModelOnRouteWithoutModels(t *testing.T) {
	e := newTestEnv(&fakeResponse{
		head: persimmoncross.ProxyResponseHead{
			Status:          http.StatusOK,
			ModelConfidence: 5,
		},
		body: eventStream("1"),
	})
	for _, r := range e.view.Catalog.Routes {
		r.Models = nil
	}
	if r := e.serve(t, "stream", func(p *persimmoncross.ProxyRequest) { p.RouterPicksModel = true }); r != nil {
		t.Fatalf("refused: %v", r)
	}
	if len(e.forwarder.attempts) != 1 {
		t.Errorf("got %d attempts, want 1", len(e.forwarder.attempts))
	}
}

// An upstream that ends after the head of an answer without length or chunks must not look as if it had answered.
func TestStreamWithoutEventsIsInterrupted(t *testing.T) {
	e := newTestEnv(streamResponse("", false), streamResponse(eventStream("1", "2"), false))
	if r := e.serve(t, "stream", nil); r != nil {
		t.Fatal(r)
	}
	if n := len(e.forwarder.attempts); n != 2 || e.sink.body.String() != eventStream("1", "2") {
		t.Errorf("%d attempts, answer %q; want the second one's", n, e.sink.body.String())
	}
}
