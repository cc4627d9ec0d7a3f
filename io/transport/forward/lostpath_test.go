package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
)

// detouredConn is a connection through another VM.
type detouredConn struct{ net.Conn }

func (detouredConn) Quiet() bool   { return true }
func (detouredConn) Leaving() bool { return false }

// leavingConn is a connection through another VM that is about to stop.
type leavingConn struct{ detouredConn }

func (leavingConn) Leaving() bool { return true }

// TestIdleConnectionsOverLostPathAreNotUsed guards against requests that hang on idle connections
// after the path to their upstream is lost.
func TestIdleConnectionsOverLostPathAreNotUsed(t *testing.T) {
	u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
		_, err := c.Write([]byte(answerOf(id, "x")))
		return err == nil
	})
	for _, tt := range []struct {
		name    string
		wrap    func(net.Conn) net.Conn
		matches bool
		conns   int // that the upstream gets for two requests
	}{
		{"direct, lost", func(c net.Conn) net.Conn { return c }, true, 2},
		{"direct, another is lost", func(c net.Conn) net.Conn { return c }, false, 1},
		{"through another VM", func(c net.Conn) net.Conn { return detouredConn{c} }, true, 1},
		{"through a VM that stops", func(c net.Conn) net.Conn { return leavingConn{detouredConn{c}} }, false, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newClient()
			c.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
				raw, err := DialDirect(ctx, a)
				if err != nil {
					return nil, err
				}
				return tt.wrap(raw), nil
			}
			for _, id := range []string{"1", "2"} {
				if body, err := c.get(t, u.attempt(id)); err != nil || body != "x" {
					t.Fatal(body, err)
				}
				c.CloseDirect(func(netip.AddrPort) bool { return tt.matches })
			}
			if n := len(u.conns); n != tt.conns {
				t.Errorf("%d connections, want %d", n, tt.conns)
			}
			for len(u.conns) > 0 {
				<-u.conns
			}
		})
	}
}

// brokenConn ends like a connection through another VM that breaks.
type brokenConn struct{ net.Conn }

func (c brokenConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		err = &net.OpError{
			Op:  "read",
			Err: errors.Join(errors.New("broke"), err),
		}
	}
	return n, err
}

// TestAnswerOverBrokenConnectionIsCut guards against an answer that broke off and is delivered as
// complete, because the error of its connection wraps the end of another one.
func TestAnswerOverBrokenConnectionIsCut(t *testing.T) {
	for _, tt := range []struct{ name, head, body string }{
		{"without a length", "Connection: close\r\n\r\n", "hello"},
		{"in chunks", "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
		{"with a length", "Content-Length: 9\r\n\r\n", "hello"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+tt.head+tt.body)
				return false
			})
			c := newClient()
			c.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
				raw, err := DialDirect(ctx, a)
				return brokenConn{raw}, err
			}
			if body, err := c.get(t, u.attempt("1")); err == nil {
				t.Errorf("%q is delivered as complete", body)
			}
		})
	}
}
