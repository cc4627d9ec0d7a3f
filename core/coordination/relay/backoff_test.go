package relay

import (
	"testing"
	"time"

	"persimmoncross"
)

// rejectionWithRetryAfter returns a rejection with a Retry-After delay.
func rejectionWithRetryAfter(d time.Duration) *fakeResponse {
	response := rejectedResponse()
	response.head.RetryAfter = d
	return response
}

// An upstream gets no request during the Retry-After delay that it answered with. Without the
// backoff the entry would go on sending it requests.
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
	first, n := e.forwarder.attempts[0].Upstream.Name, 0
	for _, a := range e.forwarder.attempts {
		if a.Upstream.Name == first {
			n++
		}
	}
	if n != 1 {
		t.Errorf("an upstream that answered with a Retry-After got %d requests, want 1", n)
	}
}

// If all upstreams are in a backoff, callers are refused at once with the shortest delay, and no
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
			t.Errorf("request %d: refusal %+v, want not run with a Retry-After of about 3s", i, refusal)
		}
	}
	if n := len(e.forwarder.attempts); n != len(backoffs) {
		t.Errorf("got %d attempts, want one at each of %d upstreams", n, len(backoffs))
	}
}
