package relay

import (
	"testing"
	"time"

	"persimmoncross"
)

// resting is a rejection that asks for rest.
func resting(d time.Duration) *answer {
	a := rejection()
	a.head.Rest = d
	return a
}

// An upstream that asked this entry for rest gets the next requests all the same.
func TestRestIsKept(t *testing.T) {
	answers := []*answer{resting(time.Hour)}
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
		t.Errorf("an upstream that asked for rest got %d requests", n)
	}
}

// Where all have asked for rest, callers are told at once when the first of them is over, and
// the upstreams are not asked again meanwhile.
func TestAllAskForRest(t *testing.T) {
	rests := []time.Duration{8 * time.Second, 3 * time.Second, 8 * time.Second, 8 * time.Second}
	var answers []*answer
	for _, d := range rests {
		answers = append(answers, resting(d))
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
