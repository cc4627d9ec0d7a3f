package dispatch_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/record"
	"persimmoncross/internal/standin"
)

// TestUpstreamFaults causes each fault at the first engine that a request is sent to, and
// checks what the caller receives, which runs started, and what is billed.
func TestUpstreamFaults(t *testing.T) {
	const tokens = 30
	for _, c := range []struct {
		name   string
		fault  standin.Fault
		stall  time.Duration
		code   persimmoncross.Code // "" expects a complete answer
		run    persimmoncross.RunStatus
		starts int
	}{
		{
			name: "none",
			fault: standin.Fault{
				Kind: standin.FaultNone,
			},
			starts: 1,
		},
		{
			name: "error",
			fault: standin.Fault{
				Kind: standin.FaultErrors,
			},
			starts: 2,
		},
		{
			name: "response to another attempt",
			fault: standin.Fault{
				Kind: standin.FaultCrossed,
			},
			starts: 2,
		},
		{
			name: "silent",
			fault: standin.Fault{
				Kind: standin.FaultHang,
			},
			stall:  100 * time.Millisecond,
			starts: 2,
		},
		{
			name: "connection closed before the first token",
			fault: standin.Fault{
				Kind: standin.FaultCut,
			},
			starts: 2,
		},
		{
			name: "connection closed in the middle, resumable",
			fault: standin.Fault{
				Kind:      standin.FaultCut,
				After:     10,
				Resumable: true,
			},
			starts: 1,
		},
		{
			name: "connection closed in the middle, not resumable",
			fault: standin.Fault{
				Kind:  standin.FaultCut,
				After: 10,
			},
			code:   persimmoncross.CodeUpstreamFailed,
			run:    persimmoncross.Ran,
			starts: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEnv(t)
			e.engines["engine-1"].SetFault(c.fault)
			w := e.chatRequest("small@1", tokens)
			if c.stall > 0 {
				w.StallTimeout = c.stall
			}
			s := e.serve(w)
			if n := len(e.startedRuns()); n != c.starts {
				t.Errorf("%d runs started, want %d", n, c.starts)
			}
			if c.code != "" {
				if s.refusal == nil || s.refusal.Code != c.code || s.refusal.Run != c.run {
					t.Errorf("got refusal %v", s.refusal)
				}
				if n := len(e.settledRequests()); n != 0 {
					t.Errorf("got %d settled requests without an answer, want 0", n)
				}
				return
			}
			if s.refusal != nil || s.text() != wantText(tokens) {
				t.Errorf("got refusal %v, text %q", s.refusal, s.text())
			}
			bills := e.settledRequests()
			if len(bills) != 1 || len(bills[0].GetLines()) != 1 || bills[0].GetLines()[0].GetOutput() != tokens {
				t.Errorf("unexpected settled requests: %v", bills)
			}
		})
	}
}

// A request that must not run twice is sent once, whatever its outcome.
func TestAtMostOnceCallIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		kind string
	}{
		{
			name: "cut",
			kind: standin.FaultCut,
		},
		{
			name: "crossed",
			kind: standin.FaultCrossed,
		},
		{
			name: "silent",
			kind: standin.FaultHang,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEnv(t)
			e.service.SetFault(standin.Fault{
				Kind: c.kind,
			})
			w := e.serviceRequest("POST", "/deposit")
			w.IdempotencyKey = "d1"
			w.StallTimeout = 100 * time.Millisecond
			s := e.serve(w)
			if s.refusal == nil || s.refusal.Code != persimmoncross.CodeOutcomeUnknown || s.refusal.Run != persimmoncross.RunUnknown {
				t.Errorf("got refusal %v", s.refusal)
			}
			// The caller sends the request again, without the fault.
			e.service.SetFault(standin.Fault{
				Kind: standin.FaultNone,
			})
			again := e.serviceRequest("POST", "/deposit")
			again.IdempotencyKey = "d1"
			if s := e.serve(again); s.refusal == nil || s.refusal.Run == persimmoncross.NotRun {
				t.Errorf("got refusal %v for the repeated request", s.refusal)
			}
			if n := len(e.startedRuns()); n != 1 {
				t.Errorf("%d runs started, want 1", n)
			}
		})
	}
}

// The end of a permission while a request is retried, escalated or moved to another version
// must be noticed before the next attempt.
func TestPermissionRevokedBetweenAttempts(t *testing.T) {
	for _, c := range []struct {
		name   string
		revoke func(e *testEnv)
		code   persimmoncross.Code
	}{
		{
			name:   "withdrawn before a retry",
			revoke: func(e *testEnv) { e.withdraw("small@1") },
			code:   persimmoncross.CodeVersionWithdrawn,
		},
		{
			name:   "denied before a retry",
			revoke: func(e *testEnv) { e.apply(`, "deny": ["small@1"]`) },
			code:   persimmoncross.CodeModelForbidden,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEnv(t)
			e.engines["engine-1"].SetFault(standin.Fault{
				Kind: standin.FaultHang,
			})
			w := e.chatRequest("small@1", 5)
			w.StallTimeout = 300 * time.Millisecond
			done := make(chan *fakeSink)
			go func() { done <- e.serve(w) }()
			for len(e.startedRuns()) == 0 {
				time.Sleep(time.Millisecond)
			}
			c.revoke(e)
			s := <-done
			if s.refusal == nil || s.refusal.Code != c.code {
				t.Errorf("got refusal %v", s.refusal)
			}
			if n := len(e.startedRuns()); n != 1 {
				t.Errorf("%d runs started, want 1", n)
			}
		})
	}
	t.Run("a service denied before a retry", func(t *testing.T) {
		e := newEnv(t)
		e.service.SetFault(standin.Fault{
			Kind: standin.FaultHang,
		})
		w := e.serviceRequest("GET", "/items")
		w.StallTimeout = 300 * time.Millisecond
		done := make(chan *fakeSink)
		go func() { done <- e.serve(w) }()
		for len(e.startedRuns()) == 0 {
			time.Sleep(time.Millisecond)
		}
		e.services = ""
		e.apply("")
		s := <-done
		if s.refusal == nil || s.refusal.Code != persimmoncross.CodeServiceForbidden || s.refusal.Run == persimmoncross.NotRun {
			t.Errorf("got refusal %v", s.refusal)
		}
		if n := len(e.startedRuns()); n != 1 {
			t.Errorf("%d runs started, want 1", n)
		}
	})
	t.Run("denied before an escalation", func(t *testing.T) {
		e := newEnv(t)
		e.rater.smallRating = 0.1
		e.rater.onRate = func() { e.apply(`, "deny": ["large"]`) }
		s := e.serve(e.chatRequest("auto", 5))
		if s.refusal == nil || s.refusal.Run != persimmoncross.Ran {
			t.Errorf("got refusal %v", s.refusal)
		}
		for _, r := range e.startedRuns() {
			if r.Version == "large@1" {
				t.Error("the denied version ran the request")
			}
		}
	})
	t.Run("withdrawn before an escalation", func(t *testing.T) {
		e := newEnv(t)
		e.rater.smallRating = 0.1
		e.rater.onRate = func() { e.withdraw("large@1") }
		s := e.serve(e.chatRequest("auto", 5))
		if s.refusal == nil || s.refusal.Code != persimmoncross.CodeVersionWithdrawn || s.refusal.Run != persimmoncross.Ran {
			t.Errorf("got refusal %v", s.refusal)
		}
		for _, r := range e.startedRuns() {
			if r.Version == "large@1" {
				t.Error("the withdrawn version ran the request")
			}
		}
	})
	t.Run("lease lost before a retry", func(t *testing.T) {
		e := newEnv(t)
		e.engines["engine-1"].SetFault(standin.Fault{
			Kind: standin.FaultHang,
		})
		w := e.chatRequest("small", 5)
		w.StallTimeout = 200 * time.Millisecond
		done := make(chan *fakeSink)
		go func() { done <- e.serve(w) }()
		for len(e.startedRuns()) == 0 {
			time.Sleep(time.Millisecond)
		}
		e.admitter.set(nil, persimmoncross.NewRefusal(persimmoncross.CodeNoLease, "lapsed"))
		s := <-done
		if s.refusal == nil || s.refusal.Code != persimmoncross.CodeNoLease || s.refusal.Run == persimmoncross.NotRun {
			t.Errorf("got refusal %v", s.refusal)
		}
		if n := len(e.startedRuns()); n != 1 {
			t.Errorf("%d runs started, want 1", n)
		}
	})
}

func TestCascade(t *testing.T) {
	for _, c := range []struct {
		name    string
		small   float64
		err     error
		version string
		lines   int
	}{
		{
			name:    "good enough",
			small:   0.9,
			version: "small@1",
			lines:   1,
		},
		{
			name:    "climbs",
			small:   0.2,
			version: "large@1",
			lines:   2,
		},
		{
			name:    "rating fails",
			err:     errors.New("down"),
			version: "large@1",
			lines:   2,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEnv(t)
			e.rater.smallRating = c.small
			e.rater.err = c.err
			s := e.serve(e.chatRequest("auto", 8))
			if s.refusal != nil || s.head.Version.String() != c.version || s.text() != wantText(8) {
				t.Errorf("got refusal %v, version %s, text %q", s.refusal, s.head.Version, s.text())
			}
			if b := e.settledRequests(); len(b) != 1 || len(b[0].GetLines()) != c.lines {
				t.Errorf("unexpected settled requests: %v", b)
			}
		})
	}
}

// Guards against a chat request that may not run twice and runs again with the next model of a cascade,
// because the answer of the first one, which has run, was rated too low or could not be rated.
func TestCascadeKeepsOnlyAnswerOfRequestThatMayNotRunTwice(t *testing.T) {
	for _, ratingError := range []error{nil, errors.New("down")} {
		e := newEnv(t)
		e.rater.smallRating = 0.2
		e.rater.err = ratingError
		w := e.chatRequest("auto", 8)
		w.AtMostOnce = true
		s := e.serve(w)
		if s.refusal != nil || s.head.Version.String() != "small@1" || s.text() != wantText(8) {
			t.Errorf("rating error %v: got refusal %v, version %s, text %q, want the whole answer of small@1", ratingError, s.refusal, s.head.Version, s.text())
		}
		if n := len(e.startedRuns()); n != 1 {
			t.Errorf("rating error %v: %d runs started, want 1", ratingError, n)
		}
	}
}

// The end of an answer must wait for the settlement: if the settlement fails, the answer is
// not reported as complete. The claim is settled once the ledger is available again.
func TestResponseEndsAfterSettlement(t *testing.T) {
	e := newEnv(t)
	e.ledger.onCommand = func(c *record.Command) { e.ledger.unavailable = c.GetSettle() != nil }
	s := e.serve(e.chatRequest("small", 5))
	if s.refusal == nil || s.refusal.Code != persimmoncross.CodeLedgerUnavailable || s.refusal.Run != persimmoncross.Ran {
		t.Errorf("got refusal %v", s.refusal)
	}
	if n, _, _ := e.ledger.machine.Sizes(); n != 1 {
		t.Fatalf("got %d claims, want 1", n)
	}
	e.ledger.mu.Lock()
	e.ledger.onCommand = nil
	e.ledger.unavailable = false
	e.ledger.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.dispatcher.RunLateSettlements(ctx)
	for {
		if n, _, _ := e.ledger.machine.Sizes(); n == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if n := len(e.settledRequests()); n != 0 {
		t.Errorf("got %d settled requests without an answer, want 0", n)
	}
}

// A caller without an idempotency key who disconnects cancels the run and is billed for the
// tokens generated so far. The run of a request with a key continues.
func TestCallerDisconnects(t *testing.T) {
	t.Run("without a key", func(t *testing.T) {
		e := newEnv(t)
		e.engines["engine-1"].TokenTime = 2 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeSink{
			failAtChunk: 25,
			onWrite:     func() {},
		}
		s.onWrite = func() {
			if len(s.chunks) == 25 {
				cancel()
			}
		}
		e.dispatcher.Serve(ctx, e.chatRequest("small@1", 5000), s)
		bills := e.settledRequests()
		if len(bills) != 1 || bills[0].GetOutcome() != "cancelled" || bills[0].GetLines()[0].GetOutput() != 25 {
			t.Errorf("unexpected settled requests: %v", bills)
		}
		for e.startedRuns()[0].End == "" {
			time.Sleep(time.Millisecond)
		}
		if r := e.startedRuns()[0]; r.End != "cancelled" {
			t.Errorf("the run ended as %q, want cancelled", r.End)
		}
	})
	t.Run("with a key", func(t *testing.T) {
		e := newEnv(t)
		w := e.chatRequest("small@1", 50)
		w.IdempotencyKey = "k1"
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		e.dispatcher.Serve(ctx, w, &fakeSink{})
		for e.dispatcher.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		again := *w
		again.ID = "again"
		s := e.serve(&again)
		if s.refusal != nil || s.text() != wantText(50) || len(e.startedRuns()) != 1 {
			t.Errorf("got refusal %v and %d started runs", s.refusal, len(e.startedRuns()))
		}
	})
}

// The answer to a request with an idempotency key uses bounded memory however long it is, and
// a reader that starts after chunks were dropped is refused.
func TestLongKeyedResponseUsesBoundedMemory(t *testing.T) {
	const tokens = 20_000
	e := newEnv(t)
	w := e.chatRequest("small@1", tokens)
	w.IdempotencyKey = "long"
	late := &fakeSink{}
	first := &fakeSink{}
	joined := make(chan struct{})
	first.onWrite = func() {
		if len(first.chunks) == tokens-5 {
			if !e.dispatcher.ServeJoin(t.Context(), "relay", "long", late) {
				t.Error("the request is no longer running")
			}
			close(joined)
		}
	}
	// The run must not end before the late reader has joined.
	e.ledger.onCommand = func(c *record.Command) {
		if c.GetSettle() != nil {
			<-joined
		}
	}
	e.dispatcher.Serve(t.Context(), w, first)
	if first.refusal != nil || first.text() != wantText(tokens) {
		t.Errorf("got refusal %v and %d bytes of text", first.refusal, len(first.text()))
	}
	if late.refusal == nil || late.refusal.Code != persimmoncross.CodeAnswerLost {
		t.Errorf("got refusal %v for the late reader, want answer-lost", late.refusal)
	}
}

// net/http must not resend a request that must not run twice when its connection breaks.
func TestConnectionDoesNotResend(t *testing.T) {
	e := newEnv(t)
	// The first request leaves a keep-alive connection; the service closes it during the next.
	e.serve(e.serviceRequest("GET", "/ping"))
	e.service.SetFault(standin.Fault{
		Kind: standin.FaultCut,
	})
	w := e.serviceRequest("PUT", "/thing")
	w.IdempotencyKey = "put-1"
	w.AtMostOnce = true
	e.serve(w)
	n := 0
	for _, r := range e.service.Book.Runs() {
		if strings.HasPrefix(r.Path, "/thing") {
			n++
		}
	}
	if n != 1 {
		t.Errorf("the request was sent %d times, want 1", n)
	}
}

// A version that fails at an engine must not keep requests for other versions from the
// engine.
func TestCircuitBreakerIsPerVersion(t *testing.T) {
	e := newEnv(t)
	e.engines["engine-1"].SetFault(standin.Fault{
		Kind:    standin.FaultErrors,
		Version: "small@2",
	})
	runsOf := func(version string) int {
		n := 0
		for _, r := range e.engines["engine-1"].Book.Runs() {
			if r.Version == version {
				n++
			}
		}
		return n
	}
	for range 20 {
		if s := e.serve(e.chatRequest("small@2", 1)); s.refusal != nil {
			t.Fatal(s.refusal)
		}
	}
	if n := runsOf("small@2"); n != 5 {
		t.Errorf("%d runs of the failing version before the circuit breaker opened, want 5", n)
	}
	for range 3 {
		e.serve(e.chatRequest("small@1", 1))
	}
	if n := runsOf("small@1"); n != 3 {
		t.Errorf("%d runs of the working version at the engine, want 3", n)
	}
}
