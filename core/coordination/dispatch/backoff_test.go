package dispatch_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"persimmoncross"
)

// serveRejections replaces the engine by a server that rejects all requests with the status
// and a Retry-After header. It returns the number of requests that reached the server.
func (e *testEnv) serveRejections(name string, status int) *atomic.Int64 {
	reached := &atomic.Int64{}
	e.addServer(name, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		w.Header().Set("Run", "not-run")
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(status)
	})))
	e.apply("")
	return reached
}

// An engine must get no requests during the Retry-After delay of its response.
func TestRequestsDuringAnEngineBackoff(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		e := newEnv(t)
		reached := e.serveRejections("engine-1", status)
		for range 5 {
			if s := e.serve(e.chatRequest("small", 1)); s.refusal != nil {
				t.Fatal(s.refusal)
			}
		}
		if n := reached.Load(); n != 1 {
			t.Errorf("status %d: the engine received %d requests, want 1", status, n)
		}
	}
}

// When all engines are in a backoff, callers must be refused at once, with the end of the
// backoff as Retry-After.
func TestAllEnginesInBackoff(t *testing.T) {
	e := newEnv(t)
	reached := e.serveRejections("engine-3", http.StatusServiceUnavailable)
	e.serve(e.chatRequest("large", 1))
	before := reached.Load()
	s := e.serve(e.chatRequest("large", 1))
	if s.refusal == nil || s.refusal.Run != persimmoncross.NotRun || s.refusal.RetryAfter < 25*time.Second || s.refusal.RetryAfter > 30*time.Second {
		t.Errorf("got refusal %+v, want not-run with a Retry-After of 25 to 30 s", s.refusal)
	}
	if n := reached.Load(); before != 1 || n != before {
		t.Errorf("the engine received %d requests, then %d; want 1 both times", before, n)
	}
}
