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

// TestUpstreamFaults causes each fault at the first engine that a request is
// sent to, and checks what the caller gets, what ran, and what is billed.
func TestUpstreamFaults(t *testing.T) {
	const tokens = 30
	for _, c := range []struct {
		name   string
		fault  standin.Fault
		stall  time.Duration
		code   persimmoncross.Code // "": a whole answer
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
			name: "crossed answer",
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
			name: "cut before the first token",
			fault: standin.Fault{
				Kind: standin.FaultCut,
			},
			starts: 2,
		},
		{
			name: "cut in the middle, resumable",
			fault: standin.Fault{
				Kind:      standin.FaultCut,
				After:     10,
				Resumable: true,
			},
			starts: 1,
		},
		{
			name: "cut in the middle, not resumable",
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
				t.Errorf("%d runs began, want %d", n, c.starts)
			}
			if c.code != "" {
				if s.refusal == nil || s.refusal.Code != c.code || s.refusal.Run != c.run {
					t.Errorf("refusal %v", s.refusal)
				}
				if n := len(e.settledRequests()); n != 0 {
					t.Errorf("%d bills for no answer", n)
				}
				return
			}
			if s.refusal != nil || s.text() != wantText(tokens) {
				t.Errorf("refusal %v, text %q", s.refusal, s.text())
			}
			bills := e.settledRequests()
			if len(bills) != 1 || len(bills[0].GetLines()) != 1 || bills[0].GetLines()[0].GetOutput() != tokens {
				t.Errorf("bills %v", bills)
			}
		})
	}
}

// A call that may not run twice is sent once, whatever becomes of it.
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
				t.Errorf("refusal %v", s.refusal)
			}
			// The caller asks again, with the fault gone.
			e.service.SetFault(standin.Fault{
				Kind: standin.FaultNone,
			})
			again := e.serviceRequest("POST", "/deposit")
			again.IdempotencyKey = "d1"
			if s := e.serve(again); s.refusal == nil || s.refusal.Run == persimmoncross.NotRun {
				t.Errorf("resend: refusal %v", s.refusal)
			}
			if n := len(e.startedRuns()); n != 1 {
				t.Errorf("%d runs began, want 1", n)
			}
		})
	}
}

// Permission that ends while a request retries, climbs or moves on must be
// seen before the next attempt.
func TestPermissionRevokedBetweenAttempts(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(e *testEnv)
		code persimmoncross.Code
	}{
		{
			name: "withdrawn before a retry",
			end:  func(e *testEnv) { e.withdraw("small@1") },
			code: persimmoncross.CodeVersionWithdrawn,
		},
		{
			name: "denied before a retry",
			end:  func(e *testEnv) { e.apply(`, "deny": ["small@1"]`) },
			code: persimmoncross.CodeModelForbidden,
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
			c.end(e)
			s := <-done
			if s.refusal == nil || s.refusal.Code != c.code {
				t.Errorf("refusal %v", s.refusal)
			}
			if n := len(e.startedRuns()); n != 1 {
				t.Errorf("%d runs began", n)
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
			t.Errorf("refusal %v", s.refusal)
		}
		if n := len(e.startedRuns()); n != 1 {
			t.Errorf("%d runs began", n)
		}
	})
	t.Run("denied before a climb", func(t *testing.T) {
		e := newEnv(t)
		e.rater.smallRating = 0.1
		e.rater.onRate = func() { e.apply(`, "deny": ["large"]`) }
		s := e.serve(e.chatRequest("auto", 5))
		if s.refusal == nil || s.refusal.Run != persimmoncross.Ran {
			t.Errorf("refusal %v", s.refusal)
		}
		for _, r := range e.startedRuns() {
			if r.Version == "large@1" {
				t.Error("a run on the denied version")
			}
		}
	})
	t.Run("withdrawn before a climb", func(t *testing.T) {
		e := newEnv(t)
		e.rater.smallRating = 0.1
		e.rater.onRate = func() { e.withdraw("large@1") }
		s := e.serve(e.chatRequest("auto", 5))
		if s.refusal == nil || s.refusal.Code != persimmoncross.CodeVersionWithdrawn || s.refusal.Run != persimmoncross.Ran {
			t.Errorf("refusal %v", s.refusal)
		}
		for _, r := range e.startedRuns() {
			if r.Version == "large@1" {
				t.Error("a run on the withdrawn version")
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
		e.gate.set(nil, persimmoncross.NewRefusal(persimmoncross.CodeNoLease, "lapsed"))
		s := <-done
		if s.refusal == nil || s.refusal.Code != persimmoncross.CodeNoLease || s.refusal.Run == persimmoncross.NotRun {
			t.Errorf("refusal %v", s.refusal)
		}
		if n := len(e.startedRuns()); n != 1 {
			t.Errorf("%d runs began", n)
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
			name:    "no rating",
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
				t.Errorf("refusal %v, version %s, text %q", s.refusal, s.head.Version, s.text())
			}
			if b := e.settledRequests(); len(b) != 1 || len(b[0].GetLines()) != c.lines {
				t.Errorf("bills %v", b)
			}
		})
	}
}

// The end of an answer waits for its settlement: without one the answer is not
// shown as whole. The claim is closed once the ledger answers again.
func TestResponseEndsAfterSettlement(t *testing.T) {
	e := newEnv(t)
	e.ledger.onCommand = func(c *record.Command) { e.ledger.unavailable = c.GetSettle() != nil }
	s := e.serve(e.chatRequest("small", 5))
	if s.refusal == nil || s.refusal.Code != persimmoncross.CodeLedgerUnavailable || s.refusal.Run != persimmoncross.Ran {
		t.Errorf("refusal %v", s.refusal)
	}
	if n, _, _ := e.ledger.machine.Sizes(); n != 1 {
		t.Fatalf("%d claims", n)
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
		t.Errorf("%d bills for no answer", n)
	}
}

// A caller without a key who leaves cancels the run and is billed for what was
// generated; the run of one with a key goes on.
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
			t.Errorf("bills %v", bills)
		}
		for e.startedRuns()[0].End == "" {
			time.Sleep(time.Millisecond)
		}
		if r := e.startedRuns()[0]; r.End != "cancelled" {
			t.Errorf("the run ended %q", r.End)
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
			t.Errorf("refusal %v, %d runs", s.refusal, len(e.startedRuns()))
		}
	})
}

// A long answer to a request with a key takes bounded memory, and a reader that
// comes too late is refused.
func TestLongKeyedResponseUsesBoundedMemory(t *testing.T) {
	const tokens = 20_000
	e := newEnv(t)
	w := e.chatRequest("small@1", tokens)
	w.IdempotencyKey = "long"
	late := &fakeSink{}
	first := &fakeSink{}
	asked := make(chan struct{})
	first.onWrite = func() {
		if len(first.chunks) == tokens-5 {
			if !e.dispatcher.ServeJoin(t.Context(), "relay", "long", late) {
				t.Error("the request does not run any more")
			}
			close(asked)
		}
	}
	// The run must not end before the late reader has asked.
	e.ledger.onCommand = func(c *record.Command) {
		if c.GetSettle() != nil {
			<-asked
		}
	}
	e.dispatcher.Serve(t.Context(), w, first)
	if first.refusal != nil || first.text() != wantText(tokens) {
		t.Errorf("refusal %v, %d bytes", first.refusal, len(first.text()))
	}
	if late.refusal == nil || late.refusal.Code != persimmoncross.CodeAnswerLost {
		t.Errorf("the late reader got %v", late.refusal)
	}
}

// One that may not be repeated must not be sent again by net/http either, when
// its connection breaks.
func TestConnectionDoesNotResend(t *testing.T) {
	e := newEnv(t)
	// A connection is kept alive, then the service cuts the next call on it.
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
		t.Errorf("the call was sent %d times", n)
	}
}

// A version that fails at an engine must not take the engine from the others.
func TestCircuitBreakerIsPerVersion(t *testing.T) {
	e := newEnv(t)
	e.engines["engine-1"].SetFault(standin.Fault{
		Kind:    standin.FaultErrors,
		Version: "small@2",
	})
	at := func(version string) int {
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
	if n := at("small@2"); n != 5 {
		t.Errorf("%d runs of the failing version before the circuit opened, want 5", n)
	}
	for range 3 {
		e.serve(e.chatRequest("small@1", 1))
	}
	if n := at("small@1"); n != 3 {
		t.Errorf("%d runs of the good version at the engine, want 3", n)
	}
}
