package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

// The target, the headers and the body reach the upstream as they came.
func TestRequestUnchanged(t *testing.T) {
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, answerOf(id, "ok"))
		return true
	})
	a := u.attempt("1")
	a.Request.Method = http.MethodPost
	a.Request.Body = []byte("b\x00dy\r\n\r\n")
	if _, err := newClient().get(t, a); err != nil {
		t.Fatal(err)
	}
	got := <-u.requests
	for _, want := range []string{
		"POST /a/%2e%2e/b?x=%zz&y=1 HTTP/1.1\r\n", "Host: h.example\r\n", "Kept: 1\r\nKept: 2\r\n", "\r\n\r\nb\x00dy\r\n\r\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("the upstream got %q, without %q", got, want)
		}
	}
}

// A large body, which is written from where it was read, must reach the upstream whole and stay as it
// was, since a retry reads it again.
func TestLargeBodyUnchanged(t *testing.T) {
	for _, size := range []int{writeAtOnce, writeAtOnce + 1, 1 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte('a' + i/7%26)
		}
		want := string(body)
		u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
			io.WriteString(c, answerOf(id, "ok"))
			return true
		})
		for _, id := range []string{"1", "2"} {
			a := u.attempt(id)
			a.Request.Method = http.MethodPost
			a.Request.Body = body
			if _, err := newClient().get(t, a); err != nil {
				t.Fatal(size, err)
			}
			_, got, _ := strings.Cut(<-u.requests, "\r\n\r\n")
			if got != want || string(body) != want {
				t.Errorf("a body of %d bytes was changed", size)
			}
		}
	}
}

// A connection that the upstream closes under a request gives an error, and the
// request is sent by nobody again.
func TestNothingIsSentTwice(t *testing.T) {
	u := newUpstream(t, func(n int, id string, c net.Conn) bool {
		if n == 0 {
			io.WriteString(c, answerOf(id, "ok"))
			return true
		}
		return false // reads the second request of a connection and closes
	})
	c := newClient()
	if _, err := c.get(t, u.attempt("1")); err != nil {
		t.Fatal(err)
	}
	_, err := c.get(t, u.attempt("2"))
	if runOf(err) != persimmoncross.RunUnknown {
		t.Errorf("error %v, want that it may have run", err)
	}
	if n := len(u.requests); n != 2 {
		t.Errorf("%d requests came, want 2", n)
	}
}

// A connection that was closed while it was idle is not used.
func TestClosedIdleConnection(t *testing.T) {
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, answerOf(id, "ok"))
		return false
	})
	c := newClient()
	for i := range 3 {
		if body, err := c.get(t, u.attempt(strconv.Itoa(i))); err != nil || body != "ok" {
			t.Fatalf("request %d: %q %v", i, body, err)
		}
		waitGone(t, c)
	}
}

// waitGone waits until the idle connections have ended or hold stray bytes.
func waitGone(t *testing.T, c *Client) {
	t.Helper()
	for range 500 {
		c.mu.Lock()
		sound := 0
		for _, h := range c.hosts {
			for _, k := range h.idle {
				if k.quiet() {
					sound++
				}
			}
		}
		c.mu.Unlock()
		if sound == 0 {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal("a connection stays idle")
}

func TestAnswers(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray"
	tests := []struct {
		name   string
		answer string // %s is replaced by the id
		close  bool
		body   string
		run    persimmoncross.RunStatus // of the error; "": none
	}{
		{
			name:   "with a length",
			answer: answerOf("%s", "abc"),
			body:   "abc",
		},
		{
			name:   "in chunks",
			answer: "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			body:   "abc",
		},
		{
			name:   "to the end of the connection",
			answer: "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nabc",
			close:  true,
			body:   "abc",
		},
		{
			name:   "after an interim answer",
			answer: "HTTP/1.1 100 Continue\r\n\r\n" + answerOf("%s", "abc"),
			body:   "abc",
		},
		{
			name:   "after another's answer",
			answer: late + answerOf("%s", "abc"),
			body:   "abc",
		},
		{
			name:   "another's answer alone",
			answer: late,
			close:  true,
			run:    persimmoncross.RunUnknown,
		},
		{
			name:   "too short",
			answer: "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nabc",
			close:  true,
			run:    persimmoncross.Ran,
		},
		{
			name:   "chunks without an end",
			answer: "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
			close:  true,
			run:    persimmoncross.Ran,
		},
		{
			name:  "no answer",
			close: true,
			run:   persimmoncross.RunUnknown,
		},
		{
			name:   "not HTTP",
			answer: "hello\r\n\r\n",
			close:  true,
			run:    persimmoncross.RunUnknown,
		},
		{
			name:   "without an id",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
			close:  true,
			run:    persimmoncross.RunUnknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
				io.WriteString(c, strings.ReplaceAll(tt.answer, "%s", id))
				return !tt.close
			})
			body, err := newClient().get(t, u.attempt("1"))
			if runOf(err) != tt.run {
				t.Fatalf("error %v, want %q", err, tt.run)
			}
			if tt.run == "" && body != tt.body {
				t.Errorf("body %q, want %q", body, tt.body)
			}
		})
	}
}

// Bytes after a whole answer belong to no request: their connection is not used.
func TestExtraBytes(t *testing.T) {
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, answerOf(id, "ok"))
		io.WriteString(c, answerOf(id, "ok again"))
		return true
	})
	c := newClient()
	for i := range 3 {
		body, err := c.get(t, u.attempt(strconv.Itoa(i)))
		if err != nil || body != "ok" {
			t.Fatalf("request %d: %q %v", i, body, err)
		}
		waitGone(t, c)
	}
	if n := len(u.conns); n != 3 {
		t.Errorf("%d connections, want one for each request", n)
	}
}

// A refused connection is known not to have run anything.
func TestRefusedConnection(t *testing.T) {
	u := newUpstream(t, func(int, string, net.Conn) bool { return false })
	u.listener.Close()
	if _, err := newClient().get(t, u.attempt("1")); runOf(err) != persimmoncross.NotRun {
		t.Errorf("error %v, want that nothing ran", err)
	}
}

// No more connections are opened than the attempt allows.
func TestConnectionCap(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		<-release
		io.WriteString(c, answerOf(id, "ok"))
		return true
	})
	c := newClient()
	first := make(chan error, 1)
	go func() {
		a := u.attempt("1")
		a.MaxConns = 1
		_, err := c.get(t, a)
		first <- err
	}()
	<-u.requests
	a := u.attempt("2")
	a.MaxConns = 1
	_, err := c.get(t, a)
	var e *persimmoncross.AttemptError
	if !errors.As(err, &e) || !e.Overloaded || e.Run != persimmoncross.NotRun {
		t.Errorf("error %v, want that no connection is free", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// An answer that comes before the body was read leaves a connection whose rest
// would be taken for the body: it is not used again.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan struct{}, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- struct{}{}
			in := bufio.NewReader(c)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.WriteString(c, answerOf(r.Header.Get("Id"), "no"))
		}
	}()
	u := &upstream{
		listener: l,
	}
	c := newClient()
	for i := range 2 {
		a := u.attempt(strconv.Itoa(i))
		a.Request.Method = http.MethodPost
		a.Request.Body = make([]byte, 32<<20) // more than the sockets hold
		if body, err := c.get(t, a); err != nil || body != "no" {
			t.Fatalf("request %d: %q %v", i, body, err)
		}
	}
	if n := len(conns); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// The end of the context ends the run: the upstream sees its connection closed.
func TestCancel(t *testing.T) {
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 10\r\n\r\nabc")
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := newClient().Forward(ctx, u.attempt("1"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.ReadAll(r); err == nil {
		t.Error("a cancelled answer looks whole")
	}
	if _, err := (<-u.conns).Read(make([]byte, 1)); err == nil {
		t.Error("the upstream's connection is open")
	}
}

func TestStripHop(t *testing.T) {
	h := http.Header{
		"Connection":        {"close, Mine"},
		"Mine":              {"1"},
		"Kept":              {"1"},
		"Transfer-Encoding": {"chunked"},
		"Keep-Alive":        {"timeout=5"},
	}
	StripHop(h)
	if len(h) != 1 || h.Get("Kept") != "1" {
		t.Errorf("left: %v", h)
	}
}

func TestKeepAliveIsLearnt(t *testing.T) {
	for _, tt := range []struct {
		text string
		want time.Duration
	}{
		{"", idleDefault},
		{"timeout=5", 5*time.Second - idleMargin},
		{"max=100, timeout=3", 3*time.Second - idleMargin},
		{"timeout=0", 0},
		{"timeout=x", idleDefault},
	} {
		k := &conn{
			idleFor: idleDefault,
		}
		k.learn(http.Header{
			"Keep-Alive": {tt.text},
		})
		if k.idleFor != tt.want {
			t.Errorf("%q: idle for %v, want %v", tt.text, k.idleFor, tt.want)
		}
	}
}

// heldConn takes bytes when it is let go.
type heldConn struct {
	net.Conn
	free chan struct{}
}

// Write implements net.Conn.
func (c heldConn) Write(p []byte) (int, error) {
	<-c.free
	return len(p), nil
}

// What the send buffer takes at once is known to be sent before the answer is
// looked for; the answer to more than that may come before it is sent.
func TestWritingIsKnownToBeOver(t *testing.T) {
	open := make(chan struct{})
	close(open)
	if !write(heldConn{free: open}, make([]byte, writeAtOnce)).over() {
		t.Error("a small request is not over when its answer is looked for")
	}
	free := make(chan struct{})
	w := write(heldConn{free: free}, make([]byte, writeAtOnce+1))
	if w.over() {
		t.Error("a large request is over before it was taken")
	}
	close(free)
	<-w.done
	if !w.over() {
		t.Error("a large request is not over after it was taken")
	}
}

// A connection to an upstream's former life carries nothing to the later one, at
// whatever address that is.
func TestLivesHaveTheirOwnConnections(t *testing.T) {
	echoes := func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, answerOf(id, id))
		return true
	}
	one, other := newUpstream(t, echoes), newUpstream(t, echoes)
	c := newClient()
	a := one.attempt("a")
	if body, err := c.get(t, a); err != nil || body != "a" {
		t.Fatal(body, err)
	}
	moved := other.attempt("b")
	if body, err := c.get(t, moved); err != nil || body != "b" {
		t.Fatal(body, err)
	}
	if n := len(one.requests); n != 1 {
		t.Errorf("%d requests at the address that it had", n)
	}
	again := one.attempt("c")
	again.Upstream.StartedAt = time.UnixMilli(1_790_000_000_000)
	if body, err := c.get(t, again); err != nil || body != "c" {
		t.Fatal(body, err)
	}
	if n := metrics.GetOrRegisterCounter("forward.dialled", c.Metrics).Count(); n != 3 {
		t.Errorf("%d connections, want one for each life", n)
	}
	kept := one.attempt("d")
	if body, err := c.get(t, kept); err != nil || body != "d" {
		t.Fatal(body, err)
	}
	if n := metrics.GetOrRegisterCounter("forward.dialled", c.Metrics).Count(); n != 3 {
		t.Errorf("%d connections after a second request to one life", n)
	}
}
