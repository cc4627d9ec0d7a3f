package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"persimmoncross"
)

// endlessLimit is what a stand-in sends before it takes its reader for one that reads without end.
const endlessLimit = 8 << 20

// endlessUpstream sends a beginning and then the same bytes until its caller closes. Nothing between the two holds
// bytes, so that taken is what was read.
type endlessUpstream struct {
	beginning string // with %id in place of the request's ID
	endless   string
	taken     int
	ended     chan struct{}
	endedBy   error
}

func (u *endlessUpstream) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	u.ended = make(chan struct{})
	go u.serve(far)
	return near, nil
}

func (u *endlessUpstream) serve(c net.Conn) {
	defer close(u.ended)
	defer c.Close()
	in := bufio.NewReader(c)
	id := ""
	for line := ""; line != "\r\n"; {
		line, u.endedBy = in.ReadString('\n')
		if u.endedBy != nil {
			return
		}
		if name, value, _ := strings.Cut(strings.TrimSpace(line), ": "); name == "Id" {
			id = value
		}
	}
	if _, u.endedBy = io.WriteString(c, strings.ReplaceAll(u.beginning, "%id", id)); u.endedBy != nil {
		return
	}
	for endless := []byte(strings.Repeat(u.endless, 1+(4<<10)/len(u.endless))); u.taken < endlessLimit; {
		n := 0
		n, u.endedBy = c.Write(endless)
		u.taken += n
		if u.endedBy != nil {
			return
		}
	}
	u.endedBy = errors.New("the caller still reads")
}

// forwardTo sends a request to the upstream, reads the answer to its end, and returns why there is none.
func forwardTo(t *testing.T, u *endlessUpstream) error {
	t.Helper()
	c := newClient()
	c.Dial = u.dial
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	a := attemptTo("1", netip.MustParseAddrPort("127.0.0.1:1"))
	r, err := c.Forward(ctx, a)
	if err != nil {
		return err
	}
	defer r.Close()
	_, err = io.Copy(io.Discard, r)
	return err
}

// Guards against an entry whose memory an upstream fills, and against a request that is held until its
// timeout: bytes that are no answer come without end where a head, or what belongs to the framing of a
// body, is read to its end.
func TestBytesWithoutEndAreClosed(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\nId: %id\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for _, tt := range []struct {
		where     string
		beginning string
		endless   string
	}{
		{"first line", "", "x"},
		{"first line of an answer", "HTTP/1.1 200 ", "x"},
		{"lines before the first one", "", "\r\n"},
		{"name of a header", ok, "x"},
		{"value of a header", ok + "Long: ", "x"},
		{"headers", ok, "A: b\r\n"},
		{"headers without a name", ok, ":\r\n"},
		{"lines that go on", ok + "Long: x\r\n", " x\r\n"},
		{"headers of an interim answer", "HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		{"body in chunks of an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\n" + chunked, "1\r\nx\r\n"},
		{"length of a chunk", ok + chunked, "0"},
		{"extension of a chunk", ok + chunked + "1;", "x"},
		{"trailer", ok + chunked + "0\r\n", "A: b\r\n"},
		{"value of a trailer", ok + chunked + "0\r\nA: ", "b"},
	} {
		u := &endlessUpstream{
			beginning: tt.beginning,
			endless:   tt.endless,
		}
		err := forwardTo(t, u)
		<-u.ended
		var e *persimmoncross.AttemptError
		if !errors.As(err, &e) || e.Run == persimmoncross.NotRun {
			t.Errorf("%s: %v, want an error of a request that may have run", tt.where, err)
		}
		if !errors.Is(u.endedBy, io.ErrClosedPipe) || u.taken > maxHead+8*maxStrayBody { // a chunk of one byte takes six
			t.Errorf("%s: %d bytes were read, then: %v", tt.where, u.taken, u.endedBy)
		}
	}
}

// Guards against a limit that sound answers reach: a head that is nearly as large as one may be, and
// headers that come in small pieces, with a body that is larger.
func TestLargeHeadIsRead(t *testing.T) {
	for _, head := range []string{
		"Long: " + strings.Repeat("x", maxHead/2) + "\r\n",
		strings.Repeat("A: b\r\n", maxHeadLines/2),
	} {
		body := strings.Repeat("\n", 4*maxHead)
		u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
			text := strings.Replace(answerOf(id, body), "\r\n", "\r\n"+head, 1)
			io.WriteString(c, text[:100])
			io.WriteString(c, text[100:])
			return true
		})
		c := newClient()
		for _, id := range []string{"1", "2"} { // of the second, bytes may be in the buffer already
			if got, err := c.get(t, u.attempt(id)); err != nil || got != body {
				t.Errorf("request %s: %d bytes, %v", id, len(got), err)
			}
		}
	}
}

// Guards against a connection that stays open for as long as it may be idle while its upstream sends on after
// the whole answer.
func TestIdleConnectionWithBytesIsClosed(t *testing.T) {
	sent := make(chan struct{})
	closed := make(chan error, 1)
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, strings.Replace(answerOf(id, "ok"), "\r\n", "\r\nKeep-Alive: timeout=600\r\n", 1))
		<-sent // the answer was read
		for {
			if _, err := io.WriteString(c, "more"); err != nil {
				closed <- err
				return false
			}
		}
	})
	clock := newSweepClock()
	c := newClient()
	c.Clock = clock
	go c.Run(t.Context())
	if _, err := c.get(t, u.attempt("1")); err != nil {
		t.Fatal(err)
	}
	close(sent)
	for range 5000 {
		clock.sweep()
		select {
		case <-closed:
			return
		case <-time.After(time.Millisecond):
		}
	}
	t.Fatal("the connection is still open")
}

// sweepClock is a clock whose waits end when sweep is called. Its time stands still.
type sweepClock struct {
	now  time.Time
	tick chan time.Time
}

func newSweepClock() sweepClock {
	return sweepClock{
		now:  time.Now(),
		tick: make(chan time.Time, 1),
	}
}

func (c sweepClock) Now() time.Time                       { return c.now }
func (c sweepClock) After(time.Duration) <-chan time.Time { return c.tick }

func (c sweepClock) sweep() {
	select {
	case c.tick <- c.now:
	default:
	}
}
