package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// slowDials opens connections after a delay, as over a link on which other bytes wait.
type slowDials struct{ delay atomic.Int64 }

func (d *slowDials) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Duration(d.delay.Load())):
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
}

// relayHandler serves requests of callers by the entry's relay.
func relayHandler(e *Entry) http.Handler {
	var last atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		now := time.Now()
		recorder := &responseRecorder{}
		refusal := e.Relay().Serve(r.Context(), &persimmoncross.ProxyRequest{
			ID:            fmt.Sprint("g", last.Add(1)),
			Method:        http.MethodPost,
			Host:          "h",
			Path:          r.URL.Path,
			RequestTarget: r.URL.Path,
			Header:        http.Header{},
			Body:          body,
			ArrivedAt:     now,
			Deadline:      now.Add(10 * time.Second),
		}, recorder)
		if refusal != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// closingUpstream answers and closes the connection, so that each request opens one.
type closingUpstream struct{}

// ServeHTTP implements http.Handler.
func (closingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request", r.Header.Get("Request"))
	w.Header().Set("Connection", "close")
}

// Guards against an entry that reads more requests than its link carries, until nothing that it has read is served in time.
func TestConnectionsAreRefusedWhileLinkIsFull(t *testing.T) {
	f := newFleet(t, 164)
	f.listUpstreams([]http.Handler{closingUpstream{}, closingUpstream{}, closingUpstream{}})
	dials := &slowDials{}
	c := f.startController(1, true)
	for n := 2; n <= 3; n++ {
		f.startController(n, true)
	}
	site := f.siteSettings(4, true)
	site.Caller, site.Ready = new(freeAddress(t)), new(freeAddress(t))
	e := f.startServingEntry(site, dials)
	f.waitForVoters(c, 3)
	f.declare(c, 1)
	f.waitFor("the entry is ready", e.Ready)
	var refused, served atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	for range 16 {
		go func() {
			client := &http.Client{
				Transport: &http.Transport{
					DisableKeepAlives: true,
				},
			}
			for {
				select {
				case <-stop:
					return
				default:
				}
				response, err := client.Post("http://"+site.Caller.String()+"/once/x", "", strings.NewReader("x"))
				switch {
				case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
					refused.Add(1)
				case err == nil && response.StatusCode == http.StatusOK:
					served.Add(1)
				}
				if err == nil {
					response.Body.Close()
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	f.waitFor("requests are served", func() bool { return served.Load() > 200 })
	dials.delay.Store(int64(200 * time.Millisecond))
	before := refused.Load()
	f.waitFor("connections are refused", func() bool { return refused.Load() > before+200 })
	f.waitFor("the entry says that it is not ready", func() bool { return !e.Ready() })
	dials.delay.Store(0)
	now := served.Load()
	f.waitFor("requests are served again", func() bool { return served.Load() > now+200 })
}

// startServingEntry starts an entry that serves callers at the site's address.
func (f *fleet) startServingEntry(site *settings.Site, dials *slowDials) *Entry {
	e := &Entry{
		Site:         site,
		Clock:        persimmoncross.SystemClock{},
		Log:          zerolog.Nop(),
		Metrics:      metrics.NewRegistry(),
		Lister:       f.lister,
		Codec:        testCodec{},
		Decode:       decodeTestCatalog,
		DialUpstream: dials.dial,
	}
	e.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	p := &testProcess{
		entry:  e,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	f.processes[e.Site.Name] = p
	go func() {
		defer close(p.done)
		e.Serve(ctx, relayHandler(e), http.NotFoundHandler())
	}()
	return e
}
