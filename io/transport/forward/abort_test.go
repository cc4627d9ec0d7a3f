package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"persimmoncross"
)

// Guards against requests that reach an upstream after their caller has left, since they waited to be sent.
func TestUnsentBytesAreDroppedOnCancel(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := &upstream{
		listener: l,
	}
	a := u.attempt("1")
	a.Request.Method = http.MethodPost
	a.Request.Body = make([]byte, 64<<20)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := newClient().Forward(ctx, a)
		done <- err
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-done
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// Guards against requests that are sent once a connection is made, though their callers have left meanwhile.
func TestNothingIsSentAfterCancel(t *testing.T) {
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, answerOf(id, "x"))
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	client := newClient()
	client.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		c, err := DialDirect(ctx, address)
		cancel()
		return c, err
	}
	_, err := client.Forward(ctx, u.attempt("1"))
	var e *persimmoncross.AttemptError
	if !errors.As(err, &e) || e.Reason != reasonCanceled || e.Run != persimmoncross.NotRun {
		t.Errorf("error %v, want one that says canceled and not run", err)
	}
	select {
	case text := <-u.requests:
		t.Errorf("the upstream got %q", text)
	case <-time.After(50 * time.Millisecond):
	}
}
