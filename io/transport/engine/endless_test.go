package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"persimmoncross"
)

// endlessLimit is what a stand-in sends before it takes its reader for one that reads without end.
const endlessLimit = 12 << 20

// endless sends a beginning and then the same bytes until its caller closes. Nothing between the two holds bytes.
type endless struct {
	beginning string
	rest      string
	taken     int
	read      bool // to the limit
	ended     chan struct{}
}

func (u *endless) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go u.serve(far)
	return near, nil
}

func (u *endless) serve(c net.Conn) {
	defer close(u.ended)
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	go io.Copy(io.Discard, request.Body)
	if _, err := io.WriteString(c, strings.ReplaceAll(u.beginning, "%id", request.Header.Get(headerAttempt))); err != nil {
		return
	}
	for piece := []byte(strings.Repeat(u.rest, 1+(16<<10)/len(u.rest))); u.taken < endlessLimit; {
		n, err := c.Write(piece)
		u.taken += n
		if err != nil {
			return
		}
	}
	u.read = true
}

// Guards against a VM whose memory an engine, a service or a rater fills with bytes that are no answer, and
// against a request that is held by them.
func TestBytesWithoutEndAreClosed(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\nAttempt-Id: %id\r\n"
		events = ok + "Content-Type: text/event-stream\r\n\r\n"
	)
	chat := func(stream bool) func(ctx context.Context, c *Client, at netip.AddrPort) error {
		return func(ctx context.Context, c *Client, at netip.AddrPort) error {
			response, err := c.Send(ctx, at, persimmoncross.Attempt{
				ID:      "a",
				Version: persimmoncross.ParseModelVersion("m@1"),
				Stream:  stream,
				Body:    []byte(`{"model":"m","messages":[{"role":"user","content":"q"}]}`),
			})
			for err == nil {
				_, err = response.NextChunk()
				if err != nil {
					response.Close()
				}
			}
			return err
		}
	}
	report := func(ctx context.Context, c *Client, at netip.AddrPort) error {
		_, err := c.Report(ctx, at)
		return err
	}
	rate := func(ctx context.Context, c *Client, at netip.AddrPort) error {
		r := &Rater{
			Client:  c,
			Address: func() (netip.AddrPort, bool) { return at, true },
		}
		_, err := r.Rate(ctx, []byte("q"), []byte("a"), persimmoncross.ParseModelVersion("m@1"))
		return err
	}
	for _, tt := range []struct {
		what      string
		call      func(ctx context.Context, c *Client, at netip.AddrPort) error
		beginning string
		rest      string
	}{
		{"first line", chat(true), "", "x"},
		{"header", chat(true), ok + "Long: ", "x"},
		{"headers", chat(true), ok, "A: b\r\n"},
		{"interim answers", chat(false), "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"event", chat(true), events + "data: ", "x"},
		{"lines of an event", chat(true), events, "data: x\n"},
		{"comments", chat(true), events, ": x\n\n"},
		{"fields that are not known", chat(true), events, "retry: 1\n"},
		{"whole answer", chat(false), ok + "\r\n", "x"},
		{"refusal", chat(false), "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
		{"head of a report", report, ok + "Long: ", "x"},
		{"report", report, ok + "\r\n", " "},
		{"rating", rate, ok + "\r\n{\"rating\":\"", "x"},
	} {
		u := &endless{
			beginning: tt.beginning,
			rest:      tt.rest,
			ended:     make(chan struct{}),
		}
		c := NewClient()
		c.Dial = u.dial
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		err := tt.call(ctx, c, netip.MustParseAddrPort("127.0.0.1:1"))
		if ctx.Err() != nil {
			t.Errorf("%s: the call was not ended", tt.what)
		}
		cancel()
		<-u.ended
		most := maxBody
		if !strings.Contains(tt.beginning, "\r\n\r\n") {
			most = maxHead
		}
		if err == nil || u.read || u.taken > most+64<<10 {
			t.Errorf("%s: %d bytes were read, then: %v", tt.what, u.taken, err)
		}
	}
}
