package relay

import (
	"net/http"
	"testing"

	"persimmoncross"
)

// An upstream that announces that it is leaving gets new work until the list says so too.
// Rejections and failures announce it as well; later answers without it change nothing.
func TestRequestsToALeavingUpstream(t *testing.T) {
	for _, tt := range []struct {
		what string
		says *answer
	}{
		{"with an answer", whole("x")},
		{"with a rejection", rejection()},
		{"with a failure", failure(http.StatusInternalServerError)},
	} {
		tt.says.head.Leaving = true
		answers := []*answer{tt.says}
		for range 60 {
			answers = append(answers, whole("x"))
		}
		e, p := pooled(answers...)
		for range 40 {
			if refusal := e.serve(t, "safe", nil); refusal != nil {
				t.Fatal(refusal)
			}
		}
		first := e.forward.attempts[0].Upstream
		for _, a := range e.forward.attempts[1:] {
			if a.Upstream.Life() == first.Life() {
				t.Errorf("%s: an upstream that leaves got another request", tt.what)
				break
			}
		}
		// A later list that does not show it yet changes nothing.
		first.Slots++
		for _, u := range p.Update([]persimmoncross.Upstream{first})[service] {
			if !u.Leaves(e.clock.Now()) {
				t.Errorf("%s: it is forgotten with the next list", tt.what)
			}
		}
	}
}
