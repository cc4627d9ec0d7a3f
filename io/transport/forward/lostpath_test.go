package forward

import (
	"context"
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
