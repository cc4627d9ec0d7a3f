package dispatch_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// failAll lets all engines fail every request.
func (e *testEnv) failAll() {
	for name := range e.engines {
		e.addServer(name, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		})))
	}
	e.apply("")
}

// Guards against a fleet in which every entry has the retries that all entries together are allowed at least.
func TestEntriesShareMinimumRetries(t *testing.T) {
	const entries, requests = 5, 15
	e := newEnv(t)
	e.dispatcher.Limiter.LiveEntries = func() int { return entries }
	e.failAll()
	for range requests {
		e.serve(e.chatRequest("small", 1))
	}
	retried := metrics.GetOrRegisterCounter("retried", e.dispatcher.Metrics).Count()
	if retried == 0 || retried > 10/entries {
		t.Errorf("%d retries of %d requests at one of %d entries, want at most %d", retried, requests, entries, 10/entries)
	}
}
