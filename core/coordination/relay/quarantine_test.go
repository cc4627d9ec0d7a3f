package relay

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// fakeProber is a prober that returns the same result for all upstreams.
type fakeProber bool

func (f fakeProber) IsDown(context.Context, netip.AddrPort) bool { return bool(f) }

func (f fakeProber) Accepts(context.Context, netip.AddrPort) bool { return !bool(f) }

// addQuarantine quarantines the request that serve sends on the route.
func (e *testEnv) addQuarantine(route string, q persimmoncross.Quarantine) persimmoncross.Digest {
	d := quarantine.DigestOf("o", http.MethodPost, "h", "/"+route+"/x", [32]byte{})
	q.Digest = d
	q.Service = testService
	e.view.Quarantines = map[persimmoncross.Digest]persimmoncross.Quarantine{
		d: q,
	}
	e.view.ReservedInstances = ReservedInstances(e.view.Quarantines, e.view.Targets)
	return d
}

// disconnectedResponse returns the result of an attempt whose connection was lost.
func disconnectedResponse() *fakeResponse {
	response := lostResponse(persimmoncross.RunUnknown)
	response.err.ConnectionLost = true
	return response
}

// A quarantined request is refused at once. The refusal says that the request did not run and
// that the caller should not retry soon.
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
		t.Error("a quarantined request was sent to an upstream")
	}
	if refusal := e.serve(t, "safe", func(p *persimmoncross.ProxyRequest) { p.BodyDigest[0] = 1 }); refusal != nil {
		t.Errorf("a request with another body was refused: %v", refusal)
	}
}

// The refusal of a request that is quarantined while it runs does not say that it did not run.
func TestQuarantineDuringExecution(t *testing.T) {
	e := newTestEnv()
	first := disconnectedResponse()
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
		t.Errorf("got %d attempts, want 1", n)
	}
}

// An isolated request runs at one upstream, and no other request runs there. If that upstream is
// down, the request runs nowhere else, and its refusal says that it did not run.
func TestSuspectRequestIsIsolated(t *testing.T) {
	e := newTestEnv()
	d := e.addQuarantine("safe", persimmoncross.Quarantine{
		Stage: persimmoncross.QuarantineIsolate,
	})
	isolated := isolationTarget(d, e.targets).Name
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
		if at := e.forwarder.attempts[i].Upstream.Name; (at == isolated) != suspect {
			t.Fatalf("suspect = %v: ran at %s, the isolation upstream is %s", suspect, at, isolated)
		}
		e.sink.head = nil
	}
	refusal := e.serve(t, "safe", nil) // the fake has no more responses, as if the upstream were down
	if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || refusal.RetryAfter > 5*time.Second {
		t.Errorf("%+v", refusal)
	}
	if n := len(e.forwarder.attempts); n != 41 {
		t.Errorf("got %d attempts, want 41", n)
	}
}

// Guards against an isolated request that crashes upstream after upstream while a proxy hides the first crash.
func TestIsolatedRequestAwaitsOutcome(t *testing.T) {
	e := newTestEnv(disconnectedResponse(), okResponse("x"))
	e.relay.Clock = e.clock
	e.relay.Prober = fakeProber(false)
	isolated := isolationTarget(e.addQuarantine("safe", persimmoncross.Quarantine{
		Stage: persimmoncross.QuarantineIsolate,
	}), e.targets)
	refusal := e.serve(t, "safe", nil)
	if refusal == nil || refusal.Run == persimmoncross.NotRun {
		t.Errorf("the copy that was cut off: %+v", refusal)
	}
	e.view.Targets[testService] = slices.DeleteFunc(slices.Clone(e.view.Targets[testService]), func(u *Target) bool { return u == isolated })
	refusal = e.serve(t, "safe", nil)
	if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter <= 0 || refusal.RetryAfter > 5*time.Second {
		t.Errorf("the next copy: %+v", refusal)
	}
	if n := len(e.forwarder.attempts); n != 1 {
		t.Errorf("%d attempts while the outcome of the first is unknown", n)
	}
	e.relay.QuarantineRecorder.InstanceReplaced(isolated.InstanceID(), e.clock.Now())
	if refusal := e.serve(t, "safe", nil); refusal != nil {
		t.Errorf("after the crash is known: %v", refusal)
	}
}

// The trial run of a refused request takes place once, at the VM that TrialVM names, and its
// result is recorded.
func TestQuarantineTrialRunsOnce(t *testing.T) {
	e := newTestEnv(okResponse("x"), okResponse("y"))
	e.relay.QuarantineRecorder.VM = "vm"
	e.addQuarantine("safe", persimmoncross.Quarantine{
		Stage:      persimmoncross.QuarantineRefuse,
		TrialVM:    "another",
		TrialCount: 1,
	})
	if refusal := e.serve(t, "safe", nil); refusal == nil {
		t.Fatal("the trial run of another VM took place here")
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
		t.Error("a second copy of the request ran")
	}
	records, _ := e.relay.QuarantineRecorder.Records(0, e.clock.Now())
	if len(records) != 1 || records[0].Digest != digest || records[0].ClearedAt.IsZero() {
		t.Errorf("%+v", records)
	}
}

// A lost connection counts as a crash only if nothing listens at the upstream's address any more.
func TestDisconnectCountsOnlyIfUpstreamIsGone(t *testing.T) {
	for _, gone := range []bool{false, true} {
		e := newTestEnv(disconnectedResponse(), okResponse("x"))
		e.relay.Prober = fakeProber(gone)
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(refusal)
		}
		// The upstream is probed concurrently with the request.
		probed := func() bool {
			return e.relay.Metrics.Get("relay.quarantine.ended") != nil || e.relay.Metrics.Get("relay.quarantine.lived") != nil
		}
		for !probed() {
			time.Sleep(time.Millisecond)
		}
		records, _ := e.relay.QuarantineRecorder.Records(0, e.clock.Now())
		if (len(records) == 1 && len(records[0].Crashes) == 1) != gone {
			t.Errorf("gone = %v: records %+v", gone, records)
		}
	}
}
