package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/adaptivelimit"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/settings"
)

// startCallers serves callers by the handler, and returns the gate and a function that opens a connection and sends a text.
func startCallers(t *testing.T, limits catalog.Limits, h http.HandlerFunc) (g *callerGate, send func(text string) net.Conn) {
	t.Helper()
	e := &Entry{
		Site: &settings.Site{
			Caller: new(freeAddress(t)),
		},
		Clock:   persimmoncross.SystemClock{},
		Metrics: metrics.NewRegistry(),
		Log:     zerolog.Nop(),
	}
	e.gate = &callerGate{
		Clock:     e.Clock,
		Metrics:   e.Metrics,
		Log:       e.Log,
		Limits:    e.Limits,
		PeerDelay: newPeerDelay(e.Clock, func() string { return "" }, func(string) (time.Duration, error) { return 0, nil }),
	}
	e.view.Store(&relay.View{
		Catalog: &catalog.Catalog{
			Limits: limits,
		},
	})
	server, err := e.serveCallers(t.Context(), h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return e.gate, func(text string) net.Conn {
		c, err := net.Dial("tcp", e.Site.Caller.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		return c
	}
}

func (g *callerGate) state() (s adaptivelimit.State) {
	g.update(func(l *adaptivelimit.Limit, now time.Time) {
		l.HasRoom(now) // evaluates
		s = l.State(now)
	})
	return s
}

// Clients that send their heads slowly would lower the limit for all others.
func TestSlowHeadsAreNotOwnWork(t *testing.T) {
	g, send := startCallers(t, catalog.Limits{}, func(http.ResponseWriter, *http.Request) {})
	const clients = 40
	for range clients {
		send("POST / HTTP/1.1\r\nHost: h\r\n")
	}
	for g.state().InWork < clients {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // until the rest of all heads is awaited
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		if s := g.state(); s.InWork != clients || s.WorkDelay != 0 {
			t.Fatalf("%d requests are in work, late by %v", s.InWork, s.WorkDelay)
		}
	}
}

// Clients whose bodies are refused would lower the limit for all others while their connections are being closed.
func TestRestOfRefusedBodyIsNotOwnWork(t *testing.T) {
	g, send := startCallers(t, catalog.Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	c := send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n")
	if _, err := io.ReadFull(c, make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	for g.state().InWork > 0 {
		time.Sleep(time.Millisecond)
	}
	// Bytes are taken as long as the connection is not closed.
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, "x"); err != nil && !os.IsTimeout(err) {
		t.Fatalf("the request was in work until its connection was closed: %v", err)
	}
	time.Sleep(20 * time.Millisecond)
	if _, err := io.WriteString(c, "x"); err != nil && !os.IsTimeout(err) {
		t.Errorf("the request was in work until its connection was closed: %v", err)
	}
}

// The limits of documents would be read and not be kept.
func TestConnectionsBeyondDocumentsLimitsAreClosed(t *testing.T) {
	_, send := startCallers(t, catalog.Limits{
		HeaderBytes:   1 << 10,
		HeaderTimeout: 10 * time.Second,
		IdleTimeout:   500 * time.Millisecond,
	}, func(http.ResponseWriter, *http.Request) {})
	for _, tt := range []struct {
		name   string
		head   int // bytes of a header
		body   int
		answer bool
	}{
		{"a head within the limit", 900, 0, true},
		{"a head within the limit that comes with its body", 900, 3 << 10, true},
		{"a head beyond the limit and its margin", 12 << 10, 0, false},
	} {
		head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nLong: %s\r\n\r\n", tt.body, strings.Repeat("x", tt.head))
		c := send(head + strings.Repeat("x", tt.body))
		c.SetReadDeadline(time.Now().Add(30 * time.Second)) // an idle connection is closed after 90 s without the limit
		text, err := io.ReadAll(c)
		if strings.HasPrefix(string(text), "HTTP/1.1 200") != tt.answer || os.IsTimeout(err) {
			t.Errorf("%s: got %q, %v", tt.name, text, err)
		}
	}
}
