package dispatch_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

// failAll lets all engines fail every request, after the function was called.
func (e *testEnv) failAll(before func()) {
	for name := range e.engines {
		e.addServer(name, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			before()
			w.WriteHeader(http.StatusInternalServerError)
		})))
	}
	e.apply("")
}

// shiftedClock is the system's clock, some time later.
type shiftedClock struct {
	persimmoncross.SystemClock
	later atomic.Int64 // nanoseconds
}

func (c *shiftedClock) Now() time.Time {
	return c.SystemClock.Now().Add(time.Duration(c.later.Load()))
}

// Guards against retries that count when they are sent and arrive later, at engines that are silent for a while.
func TestRetryUnderWayCounts(t *testing.T) {
	e := newEnv(t)
	clock := &shiftedClock{}
	e.dispatcher.Clock = clock
	e.dispatcher.Limiter.LiveEntries = func() int { return 10 } // one retry for this entry
	var received atomic.Int64
	silent, resume := make(chan struct{}), make(chan struct{})
	e.failAll(func() {
		if received.Add(1) == 2 {
			close(silent)
			<-resume
		}
	})
	first := make(chan struct{})
	go func() {
		defer close(first)
		e.serve(e.chatRequest("small", 1))
	}()
	<-silent
	clock.later.Store(int64(11 * time.Second))
	e.serve(e.chatRequest("small", 1))
	if n := received.Load(); n != 3 {
		t.Errorf("engines received %d requests, want 3: the retry of one is under way", n)
	}
	close(resume)
	<-first
}

// Guards against a fleet in which every entry has the retries that all entries together are allowed at least.
func TestEntriesShareMinimumRetries(t *testing.T) {
	const entries, requests = 5, 15
	e := newEnv(t)
	e.dispatcher.Limiter.LiveEntries = func() int { return entries }
	e.failAll(func() {})
	for range requests {
		e.serve(e.chatRequest("small", 1))
	}
	retried := metrics.GetOrRegisterCounter("retried", e.dispatcher.Metrics).Count()
	if retried == 0 || retried > 10/entries {
		t.Errorf("%d retries of %d requests at one of %d entries, want at most %d", retried, requests, entries, 10/entries)
	}
}
