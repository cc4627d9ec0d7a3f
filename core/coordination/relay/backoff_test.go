package relay

import (
	"testing"
	"time"

	"persimmoncross"
)

// rejectionWithRetryAfter is a rejection with a Retry-After.
func rejectionWithRetryAfter(d time.Duration) *fakeResponse {
	a := rejectedResponse()
	a.head.RetryAfter = d
	return a
}

// An upstream gets requests within the Retry-After that it answered.
func TestNoRequestsDuringBackoff(t *testing.T) {
	responses := []*fakeResponse{rejectionWithRetryAfter(time.Hour)}
	for range 60 {
		responses = append(responses, okResponse("x"))
	}
	e, _ := newTestEnvWithPool(responses...)
	for range 40 {
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(refusal)
		}
	}
	first, n := e.forwarder.attempts[0].Upstream.Incarnation, 0
	for _, a := range e.forwarder.attempts {
		if a.Upstream.Incarnation == first {
			n++
		}
	}
	if n != 1 {
		t.Errorf("an upstream in a backoff got %d requests", n)
	}
}

// With all upstreams in a backoff callers are refused at once, with the shortest of them, and no
// upstream is tried again.
func TestAllTargetsInBackoff(t *testing.T) {
	backoffs := []time.Duration{8 * time.Second, 3 * time.Second, 8 * time.Second, 8 * time.Second}
	var responses []*fakeResponse
	for _, d := range backoffs {
		responses = append(responses, rejectionWithRetryAfter(d))
	}
	for range 20 {
		responses = append(responses, okResponse("x"))
	}
	e, _ := newTestEnvWithPool(responses...)
	for i, route := range []string{"safe", "once", "stream"} {
		refusal := e.serve(t, route, nil)
		if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter < 2900*time.Millisecond || refusal.RetryAfter > 5*time.Second {
			t.Errorf("request %d: %+v", i, refusal)
		}
	}
	if n := len(e.forwarder.attempts); n != len(backoffs) {
		t.Errorf("%d attempts, want one at each of %d upstreams", n, len(backoffs))
	}
}
