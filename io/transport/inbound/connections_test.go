package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// handClock is a clock that a test sets.
type handClock struct{ now time.Time }

func (c *handClock) Now() time.Time                         { return c.now }
func (c *handClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// closable is a connection that only knows whether it was closed.
type closable struct {
	net.Conn
	closed bool
}

func (c *closable) Close() error {
	c.closed = true
	return nil
}

func newConnections(most int, clock *handClock) *Connections {
	return &Connections{
		Name:    "test",
		Max:     most,
		Clock:   clock,
		Metrics: metrics.NewRegistry(),
		Log:     zerolog.Nop(),
	}
}

// Connections that send nothing would take all descriptors, and requests in work must not pay for them.
func TestConnectionsThatProvedNothingAreClosedFirst(t *testing.T) {
	clock := &handClock{
		now: time.Unix(100, 0),
	}
	l := newConnections(4, clock)
	open := func() *closable {
		c := &closable{}
		clock.now = clock.now.Add(time.Millisecond)
		l.Opened(c)
		return c
	}
	working, idle, fresh := open(), open(), open()
	l.Working(working)
	l.Working(idle)
	l.setIdle(idle)
	older := open()
	newer := open()
	if !fresh.closed || working.closed || idle.closed || older.closed || newer.closed {
		t.Error("the oldest connection without a request was not the one that was closed")
	}
	l.Working(older)
	l.Working(newer)
	next := open()
	if !idle.closed || next.closed {
		t.Error("the idle connection was not the one that was closed")
	}
	l.Working(next)
	last := open()
	if !last.closed || working.closed || older.closed || newer.closed || next.closed {
		t.Error("a connection was closed whose request is in work")
	}
	if l.Len() != 4 {
		t.Errorf("%d connections are open, want 4", l.Len())
	}
	for _, c := range []net.Conn{working, older, newer, next, last} {
		l.Closed(c)
	}
	if l.Len() != 0 || l.fresh.Len() != 0 || l.idle.Len() != 0 {
		t.Error("closed connections are still known")
	}
}

func TestOverdueConnectionsAreClosed(t *testing.T) {
	const head, idle = 6 * time.Second, 30 * time.Second
	for _, tt := range []struct {
		name    string
		prepare func(l *Connections, c net.Conn)
		after   time.Duration
		want    bool
	}{
		{"sends nothing", func(*Connections, net.Conn) {}, 31 * time.Second, true},
		{"sends nothing yet", func(*Connections, net.Conn) {}, 29 * time.Second, false},
		{"sends its head", func(l *Connections, c net.Conn) { l.sending(c) }, 5 * time.Second, false},
		{"sends its head without end", func(l *Connections, c net.Conn) { l.sending(c) }, 7 * time.Second, true},
		{"is in work", func(l *Connections, c net.Conn) { l.sending(c); l.Working(c) }, time.Hour, false},
		{"is reused", func(l *Connections, c net.Conn) { l.Working(c); l.setIdle(c) }, 29 * time.Second, false},
		{"is idle", func(l *Connections, c net.Conn) { l.Working(c); l.setIdle(c) }, 31 * time.Second, true},
	} {
		clock := &handClock{
			now: time.Unix(100, 0),
		}
		l := newConnections(4, clock)
		c := &closable{}
		l.Opened(c)
		tt.prepare(l, c)
		clock.now = clock.now.Add(tt.after)
		if got := len(l.takeOverdue(head, idle)) == 1; got != tt.want {
			t.Errorf("%s: overdue %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Connections whose bodies never come would count as requests in work, and keep others out.
func TestConnectionsWithoutTheirBodiesAreClosedFirst(t *testing.T) {
	l := newConnections(2, &handClock{
		now: time.Unix(100, 0),
	})
	var begun sync.WaitGroup
	begun.Add(2)
	server := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			begun.Done()
			io.Copy(io.Discard, r.Body)
		}),
	}
	l.Bind(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	defer server.Close()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		return c
	}
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
	first := dial(head)
	defer first.Close()
	second := dial(head + "12345")
	defer second.Close()
	begun.Wait()
	begun.Add(1)
	third := dial(head + "1234567890")
	defer third.Close()
	third.SetReadDeadline(time.Now().Add(10 * time.Second)) // a test that hangs must end
	if r, err := http.ReadResponse(bufio.NewReader(third), nil); err != nil || r.StatusCode != http.StatusOK {
		t.Errorf("a whole request beside incomplete ones got %v, %v", r, err)
	}
}

func TestDescriptors(t *testing.T) {
	for _, tt := range []struct {
		configured, callers int
	}{
		{256, 84},
		{4100, 1462},
	} {
		if got := FindDescriptors(tt.configured).Part(3, 8); got != tt.callers {
			t.Errorf("%d descriptors: %d connections, want %d", tt.configured, got, tt.callers)
		}
	}
}
