package relay

import (
	"net/http"
	"testing"

	"persimmoncross"
)

// An upstream that announces that it is draining gets no new work, even before the list shows
// that it is draining. Without this, it would get new work until the list is updated. Rejections
// and failures announce draining too, and later responses and lists without the announcement
// change nothing.
func TestNoRequestsToDrainingTarget(t *testing.T) {
	for _, tt := range []struct {
		name     string
		response *fakeResponse
	}{
		{"announced in a successful response", okResponse("x")},
		{"announced in a rejection", rejectedResponse()},
		{"announced in a failure", failedResponse(http.StatusInternalServerError)},
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
				t.Errorf("%s: a draining upstream got another request", tt.name)
				break
			}
		}
		// A later list that does not show the upstream as draining changes nothing.
		first.Slots++
		for _, u := range p.Update([]persimmoncross.Upstream{first})[testService] {
			if !u.IsDraining(e.clock.Now()) {
				t.Errorf("%s: the draining state is lost with the next list", tt.name)
			}
		}
	}
}
