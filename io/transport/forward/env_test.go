package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

// codec is a stand-in for a platform's names.
type codec struct{}

func (codec) Encode(h http.Header, a *persimmoncross.ProxyAttempt, left time.Duration) {
	h.Set("Id", a.Request.ID)
	h.Set("Left", strconv.FormatInt(left.Milliseconds(), 10))
}

func (codec) Decode(status int, h http.Header) persimmoncross.ProxyResponseHead {
	return persimmoncross.ProxyResponseHead{
		Status:    status,
		RequestID: h.Get("Id"),
		NotRun:    h.Get("Not-Run") != "",
	}
}

// upstream is a stand-in that answers the requests of each connection with a
// script, and keeps what it read.
type upstream struct {
	listener net.Listener
	requests chan string
	conns    chan net.Conn
}

// script answers the n-th request of a connection; false closes it.
type script func(n int, id string, c net.Conn) bool

func newUpstream(t *testing.T, s script) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{
		listener: l,
		requests: make(chan string, 100),
		conns:    make(chan net.Conn, 100),
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns <- c
			go u.serve(c, s)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, s script) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		var text strings.Builder
		id := ""
		length := 0
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			text.WriteString(line)
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			switch strings.ToLower(name) {
			case "id":
				id = value
			case "content-length":
				length, _ = strconv.Atoi(value)
			}
			if line == "\r\n" {
				break
			}
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		u.requests <- text.String() + string(body)
		if !s(n, id, c) {
			return
		}
	}
}

func (u *upstream) attempt(id string) *persimmoncross.ProxyAttempt {
	return attemptTo(id, netip.MustParseAddrPort(u.listener.Addr().String()))
}

func attemptTo(id string, address netip.AddrPort) *persimmoncross.ProxyAttempt {
	return &persimmoncross.ProxyAttempt{
		Request: &persimmoncross.ProxyRequest{
			ID:            id,
			Method:        http.MethodGet,
			RequestTarget: "/a/%2e%2e/b?x=%zz&y=1",
			Host:          "h.example",
			Header: http.Header{
				"Kept": {"1", "2"},
			},
		},
		Upstream: persimmoncross.Upstream{
			Name:    "u",
			Address: address,
		},
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func newClient() *Client {
	return &Client{
		Codec:   codec{},
		Clock:   persimmoncross.SystemClock{},
		Metrics: metrics.NewRegistry(),
	}
}

func answerOf(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func (c *Client) get(t *testing.T, a *persimmoncross.ProxyAttempt) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Forward(ctx, a)
	if err != nil {
		return "", err
	}
	defer r.Close()
	body, err := io.ReadAll(r)
	return string(body), err
}

func runOf(err error) persimmoncross.RunStatus {
	var e *persimmoncross.AttemptError
	if errors.As(err, &e) {
		return e.Run
	}
	return ""
}
