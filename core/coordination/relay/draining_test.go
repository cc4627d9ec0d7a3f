package relay

import (
	"net/http"
	"testing"

	"persimmoncross"
)

// An upstream that announces that it is leaving gets new work until the list says so too.
// Rejections and failures announce it as well; later answers without it change nothing.
func TestNoRequestsToDrainingTarget(t *testing.T) {
	for _, tt := range []struct {
		name     string
		response *fakeResponse
	}{
		{"with an answer", okResponse("x")},
		{"with a rejection", rejectedResponse()},
		{"with a failure", failedResponse(http.StatusInternalServerError)},
	} {
		tt.response.head.Draining = true
		responses := []*fakeResponse{tt.response}
		for range 60 {
			responses = append(responses, okResponse("x"))
		}
		e, p := newTestEnvWithPool(responses...)
		for range 40 {
			if refusal := e.serve(t, "safe", nil); refusal != nil {
				t.Fatal(refusal)
			}
		}
		first := e.forwarder.attempts[0].Upstream
		for _, a := range e.forwarder.attempts[1:] {
			if a.Upstream.InstanceID() == first.InstanceID() {
				t.Errorf("%s: an upstream that leaves got another request", tt.name)
				break
			}
		}
		// A later list that does not show it yet changes nothing.
		first.Slots++
		for _, u := range p.Update([]persimmoncross.Upstream{first})[testService] {
			if !u.IsDraining(e.clock.Now()) {
				t.Errorf("%s: it is forgotten with the next list", tt.name)
			}
		}
	}
}
