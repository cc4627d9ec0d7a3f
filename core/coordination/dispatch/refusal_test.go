package dispatch_test

import (
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/dispatch"
)

// Every refusal with run status not-run is checked against the runs recorded by the
// upstreams.
func TestNotRunRefusalsStartNoRun(t *testing.T) {
	stop := persimmoncross.NewRefusal(persimmoncross.CodeStopping, "stopping")
	lapsed := persimmoncross.NewRefusal(persimmoncross.CodeNoLease, "no lease")
	for _, c := range []struct {
		name           string
		prepare        func(e *testEnv)
		request        func(e *testEnv) *dispatch.Request
		code           persimmoncross.Code
		wantRetryAfter bool // the refusal must have a Retry-After delay
	}{
		{
			name:    "stopping",
			prepare: func(e *testEnv) { e.admitter.set(stop, nil) },
			code:    persimmoncross.CodeStopping,
		},
		{
			name:    "no lease",
			prepare: func(e *testEnv) { e.admitter.set(nil, lapsed) },
			code:    persimmoncross.CodeNoLease,
		},
		{
			name:    "rate",
			prepare: func(e *testEnv) { e.apply(`, "rate": 0.001, "burst": 1`); e.serve(e.chatRequest("nothing", 1)) },
			request: func(e *testEnv) *dispatch.Request {
				e.dispatcher.Limiter.Admit("relay", quotaOf(e))
				return e.chatRequest("small", 1)
			},
			code:           persimmoncross.CodeRateLimited,
			wantRetryAfter: true,
		},
		{
			name:    "concurrency",
			prepare: func(e *testEnv) { e.apply(`, "concurrency": 1`) },
			request: func(e *testEnv) *dispatch.Request {
				e.dispatcher.Limiter.Admit("relay", quotaOf(e))
				return e.chatRequest("small", 1)
			},
			code:           persimmoncross.CodeConcurrencyLimited,
			wantRetryAfter: true,
		},
		{
			name:    "withdrawn",
			prepare: func(e *testEnv) { e.withdraw("large@1") },
			request: func(e *testEnv) *dispatch.Request { return e.chatRequest("large", 1) },
			code:    persimmoncross.CodeVersionWithdrawn,
		},
		{
			name:    "unknown model",
			request: func(e *testEnv) *dispatch.Request { return e.chatRequest("huge", 1) },
			code:    persimmoncross.CodeModelUnknown,
		},
		{
			name:    "forbidden model",
			prepare: func(e *testEnv) { e.apply(`, "deny": ["large"]`) },
			request: func(e *testEnv) *dispatch.Request { return e.chatRequest("large", 1) },
			code:    persimmoncross.CodeModelForbidden,
		},
		{
			name:           "claim without a quorum",
			prepare:        func(e *testEnv) { e.ledger.unavailable = true },
			request:        func(e *testEnv) *dispatch.Request { return e.serviceRequest("POST", "/deposit") },
			code:           persimmoncross.CodeLedgerUnavailable,
			wantRetryAfter: true,
		},
		{
			name: "deadline exceeded",
			request: func(e *testEnv) *dispatch.Request {
				w := e.chatRequest("small", 1)
				w.Deadline = time.Now().Add(-time.Second)
				return w
			},
			code: persimmoncross.CodeDeadlineExceeded,
		},
		{
			name: "no engine has the version",
			prepare: func(e *testEnv) {
				u, _ := e.dispatcher.Table.Find("engine-3")
				u.SetDraining(true)
			},
			request:        func(e *testEnv) *dispatch.Request { return e.chatRequest("large", 1) },
			code:           persimmoncross.CodeNoUpstream,
			wantRetryAfter: true,
		},
		{
			name:           "no connection to any engine",
			prepare:        func(e *testEnv) { e.addresses["engine-3"] = "127.0.0.1:1"; e.apply("") },
			request:        func(e *testEnv) *dispatch.Request { return e.chatRequest("large", 1) },
			code:           persimmoncross.CodeUpstreamFailed,
			wantRetryAfter: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEnv(t)
			if c.prepare != nil {
				c.prepare(e)
			}
			w := e.chatRequest("small", 1)
			if c.request != nil {
				w = c.request(e)
			}
			s := e.serve(w)
			if s.refusal == nil || s.refusal.Code != c.code || s.refusal.Run != persimmoncross.NotRun {
				t.Fatalf("got refusal %v, want not-run with code %s", s.refusal, c.code)
			}
			if c.wantRetryAfter && s.refusal.RetryAfter <= 0 {
				t.Error("the refusal has no Retry-After delay")
			}
			if n := len(e.startedRuns()); n != 0 {
				t.Errorf("%d runs started, want 0", n)
			}
			if n := len(e.settledRequests()); n != 0 {
				t.Errorf("got %d settled requests, want 0", n)
			}
		})
	}
}
