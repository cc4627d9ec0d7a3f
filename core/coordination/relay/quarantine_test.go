package relay

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// fakeProber tells of all upstreams the same.
type fakeProber bool

func (f fakeProber) Gone(context.Context, netip.AddrPort) bool { return bool(f) }

// addQuarantine puts a hold on what serve sends on the route.
func (e *testEnv) addQuarantine(route string, h persimmoncross.Quarantine) persimmoncross.Digest {
	d := quarantine.DigestOf("o", http.MethodPost, "h", "/"+route+"/x", [32]byte{})
	h.Digest = d
	h.Service = testService
	e.view.Quarantines = map[persimmoncross.Digest]persimmoncross.Quarantine{
		d: h,
	}
	e.view.ReservedInstances = ReservedInstances(e.view.Quarantines, e.view.Targets)
	return d
}

// cutResponse is an attempt whose connection ended.
func cutResponse() *fakeResponse {
	a := lostResponse(persimmoncross.RunUnknown)
	a.err.ConnectionLost = true
	return a
}

// What is refused gets its answer at once, and a true one: not run, and not to come
// back soon.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	e := newTestEnv(okResponse("x"))
	e.addQuarantine("safe", persimmoncross.Quarantine{
		Stage: persimmoncross.QuarantineRefuse,
	})
	refusal := e.serve(t, "safe", nil)
	if refusal == nil || refusal.Code != persimmoncross.CodeQuarantined || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter < quarantine.RetryAfter {
		t.Errorf("%+v", refusal)
	}
	if len(e.forwarder.attempts) != 0 {
		t.Error("it was sent on")
	}
	if refusal := e.serve(t, "safe", func(p *persimmoncross.ProxyRequest) { p.BodyDigest[0] = 1 }); refusal != nil {
		t.Errorf("another body: %v", refusal)
	}
}

// A request that has run when it is found out is not said not to have.
func TestQuarantineDuringExecution(t *testing.T) {
	e := newTestEnv()
	first := cutResponse()
	first.onAttempt = func() {
		e.addQuarantine("safe", persimmoncross.Quarantine{
			Stage: persimmoncross.QuarantineRefuse,
		})
	}
	e.forwarder.responses = []*fakeResponse{first, okResponse("x")}
	refusal := e.serve(t, "safe", nil)
	if refusal == nil || refusal.Run == persimmoncross.NotRun || refusal.Status() != http.StatusBadGateway {
		t.Errorf("%+v", refusal)
	}
	if n := len(e.forwarder.attempts); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// Under suspicion it runs at one upstream, and nothing else does there; where that
// one is down it goes nowhere else, and is not said to have run.
func TestSuspectRequestIsIsolated(t *testing.T) {
	e := newTestEnv()
	d := e.addQuarantine("safe", persimmoncross.Quarantine{
		Stage: persimmoncross.QuarantineIsolate,
	})
	isolated := isolationTarget(d, e.targets).Incarnation
	for range 40 {
		e.forwarder.responses = append(e.forwarder.responses, okResponse("x"))
	}
	for i := range 40 {
		suspect := i%2 == 0
		refusal := e.serve(t, "safe", func(p *persimmoncross.ProxyRequest) {
			if !suspect {
				p.BodyDigest[0] = byte(i)
			}
		})
		if refusal != nil {
			t.Fatal(refusal)
		}
		if at := e.forwarder.attempts[i].Upstream.Incarnation; (at == isolated) != suspect {
			t.Fatalf("suspect %v at %s, its own is %s", suspect, at, isolated)
		}
		e.sink.head = nil
	}
	refusal := e.serve(t, "safe", nil) // the stand-in has no more answers: nobody there
	if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || refusal.RetryAfter > 5*time.Second {
		t.Errorf("%+v", refusal)
	}
	if n := len(e.forwarder.attempts); n != 41 {
		t.Errorf("%d attempts, want one more", n)
	}
}

// A trial runs once, at the VM that is to make it; what it shows is told.
func TestQuarantineTrialRunsOnce(t *testing.T) {
	e := newTestEnv(okResponse("x"), okResponse("y"))
	e.relay.QuarantineRecorder.VM = "vm"
	e.addQuarantine("safe", persimmoncross.Quarantine{
		Stage:      persimmoncross.QuarantineRefuse,
		TrialVM:    "another",
		TrialCount: 1,
	})
	if refusal := e.serve(t, "safe", nil); refusal == nil {
		t.Fatal("the trial of another VM ran here")
	}
	digest := e.addQuarantine("safe", persimmoncross.Quarantine{
		Stage:      persimmoncross.QuarantineRefuse,
		TrialVM:    "vm",
		TrialCount: 1,
	})
	if refusal := e.serve(t, "safe", nil); refusal != nil {
		t.Fatal(refusal)
	}
	if refusal := e.serve(t, "safe", nil); refusal == nil {
		t.Error("a second copy ran")
	}
	cases, _ := e.relay.QuarantineRecorder.Records(0, e.clock.Now())
	if len(cases) != 1 || cases[0].Digest != digest || cases[0].ClearedAt.IsZero() {
		t.Errorf("%+v", cases)
	}
}

// An answer that breaks off counts as an end only where nothing listens any more.
func TestCutCountsOnlyIfUpstreamIsGone(t *testing.T) {
	for _, gone := range []bool{false, true} {
		e := newTestEnv(cutResponse(), okResponse("x"))
		e.relay.Prober = fakeProber(gone)
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(refusal)
		}
		// The look at the upstream is made beside the request.
		probed := func() bool {
			return e.relay.Metrics.Get("relay.quarantine.ended") != nil || e.relay.Metrics.Get("relay.quarantine.lived") != nil
		}
		for !probed() {
			time.Sleep(time.Millisecond)
		}
		cases, _ := e.relay.QuarantineRecorder.Records(0, e.clock.Now())
		if (len(cases) == 1 && len(cases[0].Crashes) == 1) != gone {
			t.Errorf("gone %v: %+v", gone, cases)
		}
	}
}
