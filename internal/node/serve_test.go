package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestGracefulShutdown checks a planned stop: the entry reports at once that it is not ready, still
// serves requests during readinessNoticePeriod, completes a long response, and then Serve returns.
func TestGracefulShutdown(t *testing.T) {
	e := newFleet(t, 77).stoppedEntry()
	e.Site.Caller = new(freeAddress(t))
	e.Site.Ready = new(freeAddress(t))
	e.Site.Bounds.Grace = 20 * time.Second
	release := make(chan struct{})
	callerHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			io.WriteString(w, "begin ")
			http.NewResponseController(w).Flush()
			<-release
		}
		io.WriteString(w, "end")
	})
	readyHandler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if e.IsStopping() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, callerHandler, readyHandler) }()
	get := func(a netip.AddrPort, path string) (*http.Response, error) {
		return http.Get("http://" + a.String() + path)
	}
	longResponse, err := get(*e.Site.Caller, "/long")
	for err != nil { // the server does not listen yet
		time.Sleep(10 * time.Millisecond)
		longResponse, err = get(*e.Site.Caller, "/long")
	}
	defer longResponse.Body.Close()
	stop()
	for !e.IsStopping() {
		time.Sleep(10 * time.Millisecond)
	}
	for _, tt := range []struct {
		address netip.AddrPort
		status  int
	}{
		{
			address: *e.Site.Ready,
			status:  http.StatusServiceUnavailable,
		},
		{
			address: *e.Site.Caller,
			status:  http.StatusOK,
		},
	} {
		r, err := get(tt.address, "/")
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if r.StatusCode != tt.status {
			t.Errorf("%s responds with %d during the stop, want %d", tt.address, r.StatusCode, tt.status)
		}
	}
	for {
		r, err := get(*e.Site.Caller, "/")
		if err != nil {
			break // the listener is closed after readinessNoticePeriod
		}
		r.Body.Close()
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case err := <-done:
		t.Fatalf("Serve returned with a response in flight: %v", err)
	default:
	}
	close(release)
	body, err := io.ReadAll(longResponse.Body)
	if err != nil || string(body) != "begin end" {
		t.Errorf("the long response is %q, %v", body, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// freeAddress returns a loopback address with a free port chosen by the kernel.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestControllerStopsDuringCall checks that a controller which stops while an operator's call hangs
// stops in time and without an error.
func TestControllerStopsDuringCall(t *testing.T) {
	f := newFleet(t, 78)
	c := f.prepareController(1, true)
	c.Site.Operator = new(freeAddress(t))
	callReceived := make(chan struct{})
	operatorHandler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(callReceived)
		<-r.Context().Done()
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.ServeOperators(ctx, operatorHandler) }()
	go func() {
		for {
			r, err := http.Get("http://" + c.Site.Operator.String() + "/")
			if err == nil {
				r.Body.Close()
				return
			}
			select {
			case <-callReceived:
				return // the request was received and cut off by the stop
			default:
				time.Sleep(10 * time.Millisecond) // the server does not listen yet
			}
		}
	}()
	<-callReceived
	stop()
	if err := <-done; err != nil {
		t.Errorf("the stop failed: %v", err)
	}
}
