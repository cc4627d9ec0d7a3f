package relay

import (
	"net/http"
	"testing"

	"persimmoncross"
)

func TestRetryDecisions(t *testing.T) {
	const (
		runUnknown = persimmoncross.RunUnknown
		notRun     = persimmoncross.NotRun
	)
	tests := []struct {
		name      string
		route     string
		responses []*fakeResponse
		attempts  int
		body      string
		status    int // status that the caller got; 0 for a refusal
		refusal   persimmoncross.Code
		run       persimmoncross.RunStatus
	}{
		{
			name:      "answered",
			route:     "once",
			responses: []*fakeResponse{okResponse("x")},
			attempts:  1,
			body:      "x",
			status:    200,
		},
		{
			name:      "request that may have run is not retried",
			route:     "once",
			responses: []*fakeResponse{lostResponse(runUnknown)},
			attempts:  1,
			refusal:   persimmoncross.CodeUpstreamFailed,
			run:       persimmoncross.RunUnknown,
		},
		{
			name:      "request that did not run is retried",
			route:     "once",
			responses: []*fakeResponse{rejectedResponse(), lostResponse(notRun), okResponse("x")},
			attempts:  3,
			body:      "x",
			status:    200,
		},
		{
			name:      "failure of the upstream is forwarded",
			route:     "once",
			responses: []*fakeResponse{failedResponse(500)},
			attempts:  1,
			body:      "failed",
			status:    500,
		},
		{
			name:      "every upstream rejects",
			route:     "once",
			responses: []*fakeResponse{rejectedResponse(), rejectedResponse()},
			attempts:  maxAttempts,
			refusal:   persimmoncross.CodeNoUpstream,
			run:       persimmoncross.NotRun,
		},
		{
			name:      "repeatable request is retried after a lost connection",
			route:     "safe",
			responses: []*fakeResponse{lostResponse(runUnknown), okResponse("x")},
			attempts:  2,
			body:      "x",
			status:    200,
		},
		{
			name:      "repeatable request is retried after a failure",
			route:     "safe",
			responses: []*fakeResponse{failedResponse(500), okResponse("x")},
			attempts:  2,
			body:      "x",
			status:    200,
		},
		{
			name:      "repeatable request is retried as often as the route allows",
			route:     "safe",
			responses: []*fakeResponse{failedResponse(500), failedResponse(502), failedResponse(503)},
			attempts:  3,
			body:      "failed",
			status:    503,
		},
		{
			name:  "interrupted body is replaced before anything is sent",
			route: "safe",
			responses: []*fakeResponse{{
				head:        okResponse("").head,
				body:        "ab",
				interrupted: true,
			}, okResponse("abc")},
			attempts: 2,
			body:     "abc",
			status:   200,
		},
		{
			name:  "interrupted body is not sent if the request may not run again",
			route: "once",
			responses: []*fakeResponse{{
				head:        okResponse("").head,
				body:        "ab",
				interrupted: true,
			}},
			attempts: 1,
			refusal:  persimmoncross.CodeUpstreamFailed,
			run:      persimmoncross.RunUnknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newTestEnv(tt.responses...)
			r := e.serve(t, tt.route, nil)
			if got := len(e.forwarder.attempts); got != tt.attempts {
				t.Errorf("got %d attempts, want %d", got, tt.attempts)
			}
			if e.forwarder.openResponses != 0 {
				t.Errorf("%d responses were not closed", e.forwarder.openResponses)
			}
			if tt.status == 0 {
				if r == nil || r.Code != tt.refusal || r.Run != tt.run {
					t.Fatalf("refusal %v, want %s (%s)", r, tt.refusal, tt.run)
				}
				if e.sink.head != nil {
					t.Error("the caller got a response head and a refusal")
				}
				return
			}
			if r != nil {
				t.Fatal(r)
			}
			if e.sink.head.Status != tt.status || e.sink.body.String() != tt.body {
				t.Errorf("the caller got %d %q, want %d %q", e.sink.head.Status, e.sink.body.String(), tt.status, tt.body)
			}
		})
	}
}

// No attempt is sent to an upstream that was tried already or is draining, or whose address
// another upstream uses.
func TestRetryPicksAnotherUpstream(t *testing.T) {
	e := newTestEnv(lostResponse(persimmoncross.NotRun), lostResponse(persimmoncross.NotRun), okResponse("x"))
	e.targets[0].Draining = true
	if r := e.serve(t, "once", nil); r != nil {
		t.Fatal(r)
	}
	seen := map[string]bool{
		e.targets[0].Name: true,
	}
	for _, a := range e.forwarder.attempts {
		if seen[a.Upstream.Name] {
			t.Errorf("%s is draining or was tried already, but got an attempt", a.Upstream.Name)
		}
		seen[a.Upstream.Name] = true
	}
	misdirected := failedResponse(http.StatusMisdirectedRequest)
	misdirected.head.Misdirected = true
	e = newTestEnv(misdirected, okResponse("x"))
	start := e.clock.Now()
	if r := e.serve(t, "once", nil); r != nil {
		t.Fatal(r)
	}
	for _, u := range e.targets {
		if got := u.IsDraining(start); got != (u.Name == e.forwarder.attempts[0].Upstream.Name) {
			t.Errorf("%s: draining = %v after a misdirected response", u.Name, got)
		}
	}
}

func TestUnknownRouteOrKeyIsRefused(t *testing.T) {
	tests := []struct {
		name   string
		route  string
		key    string
		status int
	}{
		{
			name:   "no route",
			route:  "nowhere",
			key:    testKey,
			status: http.StatusNotFound,
		},
		{
			name:   "no key",
			route:  "safe",
			status: http.StatusUnauthorized,
		},
		{
			name:   "unknown key",
			route:  "safe",
			key:    "other",
			status: http.StatusUnauthorized,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newTestEnv(okResponse("x"))
			r := e.serve(t, tt.route, func(p *persimmoncross.ProxyRequest) { p.APIKey = tt.key })
			if r == nil || r.Status() != tt.status || r.Run != persimmoncross.NotRun {
				t.Errorf("refusal %v, want status %d", r, tt.status)
			}
			if len(e.forwarder.attempts) > 0 {
				t.Error("the request was sent to an upstream")
			}
		})
	}
}

// A VM without settings refuses neither an unknown key nor an unknown route as such. It asks the
// caller to retry later.
func TestRequestBeforeSettingsArrive(t *testing.T) {
	e := newTestEnv(okResponse("x"))
	view := e.view
	e.relay.View = func() *View { return &View{} }
	r := e.serve(t, "nowhere", func(p *persimmoncross.ProxyRequest) { p.APIKey = "" })
	if r == nil || r.Status() != http.StatusServiceUnavailable || r.RetryAfter <= 0 || r.Run != persimmoncross.NotRun {
		t.Fatalf("refusal %v, want status 503, not run, with a Retry-After", r)
	}
	calls := 0
	e.relay.View = func() *View {
		if calls++; calls < 5 {
			return nil
		}
		return view
	}
	if r := e.serve(t, "safe", nil); r != nil {
		t.Errorf("the request was refused though the settings arrived soon: %v", r)
	}
}

func TestRetryBudgetLimitsAttempts(t *testing.T) {
	e := newTestEnv()
	failed := 0
	for range 40 {
		e.forwarder.responses = append(e.forwarder.responses, lostResponse(persimmoncross.RunUnknown))
	}
	for range 12 {
		if e.serve(t, "safe", nil) != nil {
			failed++
		}
	}
	if failed != 12 {
		t.Fatalf("%d of 12 requests failed, want all", failed)
	}
	extra := len(e.forwarder.attempts) - 12
	// The bound is ten retries of base allowance, more than the 60*0.7/8 of this entry, and at
	// most 0.9 retries for each of the 12 requests.
	const maxExtra = 10 + 11
	if extra > maxExtra {
		t.Errorf("got %d retries for 12 requests, want at most %d", extra, maxExtra)
	}
}
