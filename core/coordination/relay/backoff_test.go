package relay

import (
	"testing"
	"time"

	"persimmoncross"
)

// rejectionFor is a rejection with a Retry-After.
func rejectionFor(d time.Duration) *answer {
	a := rejection()
	a.head.RetryAfter = d
	return a
}

// An upstream gets requests within the Retry-After that it answered.
func TestRequestsDuringABackoff(t *testing.T) {
	answers := []*answer{rejectionFor(time.Hour)}
	for range 60 {
		answers = append(answers, whole("x"))
	}
	e, _ := pooled(answers...)
	for range 40 {
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(refusal)
		}
	}
	first, n := e.forward.attempts[0].Upstream.Incarnation, 0
	for _, a := range e.forward.attempts {
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
func TestAllInBackoff(t *testing.T) {
	rests := []time.Duration{8 * time.Second, 3 * time.Second, 8 * time.Second, 8 * time.Second}
	var answers []*answer
	for _, d := range rests {
		answers = append(answers, rejectionFor(d))
	}
	for range 20 {
		answers = append(answers, whole("x"))
	}
	e, _ := pooled(answers...)
	for i, route := range []string{"safe", "once", "stream"} {
		refusal := e.serve(t, route, nil)
		if refusal == nil || refusal.Run != persimmoncross.NotRun || refusal.RetryAfter < 2900*time.Millisecond || refusal.RetryAfter > 5*time.Second {
			t.Errorf("request %d: %+v", i, refusal)
		}
	}
	if n := len(e.forward.attempts); n != len(rests) {
		t.Errorf("%d attempts, want one at each of %d upstreams", n, len(rests))
	}
}
