package forward

import (
	"context"
	"net"
	"net/netip"
	"testing"
)

// carriedConn is a connection through a VM of a data centre.
type carriedConn struct {
	detouredConn
	dataCentre string
}

func (c carriedConn) DataCentre() string { return c.dataCentre }

// Guards against a request that may stay in some regions only and leaves them over a connection through
// another VM, a new one or one that another request has left.
func TestRequestStaysWithinItsDataCentres(t *testing.T) {
	within := func(dataCentre string) bool { return dataCentre == "near" }
	for _, tt := range []struct {
		what     string
		direct   bool
		maxConns int
		within   []bool // for each request, whether it may stay near only
		conns    int
	}{
		{what: "any request uses any connection", within: []bool{false, false}, conns: 1},
		{what: "an idle connection through another data centre is left", within: []bool{false, true}, conns: 2},
		{what: "there is room for one connection only", maxConns: 1, within: []bool{false, true}, conns: 2},
		{what: "a connection through a permitted one is used again", within: []bool{true, true, false}, conns: 1},
		{what: "direct connections are used by all", direct: true, within: []bool{false, true}, conns: 1},
	} {
		u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
			_, err := c.Write([]byte(answerOf(id, "x")))
			return err == nil
		})
		dial := func(ctx context.Context, address netip.AddrPort, dataCentre string) (net.Conn, error) {
			raw, err := DialDirect(ctx, address)
			if err != nil || tt.direct {
				return raw, err
			}
			return carriedConn{detouredConn{raw}, dataCentre}, nil
		}
		c := newClient()
		c.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) { return dial(ctx, address, "far") }
		c.DialWithin = func(ctx context.Context, address netip.AddrPort, mayCarry func(string) bool) (net.Conn, error) {
			if !mayCarry("near") || mayCarry("far") {
				t.Errorf("%s: not the request's data centres", tt.what)
			}
			return dial(ctx, address, "near")
		}
		for i, only := range tt.within {
			a := u.attempt([]string{"1", "2", "3"}[i])
			a.MaxConns = tt.maxConns
			if only {
				a.MayCarry = within
			}
			if _, err := c.get(t, a); err != nil {
				t.Errorf("%s: request %d: %v", tt.what, i+1, err)
			}
		}
		if n := len(u.conns); n != tt.conns {
			t.Errorf("%s: %d connections, want %d", tt.what, n, tt.conns)
		}
		h := c.hosts[u.attempt("1").Upstream.InstanceID()]
		if h.open != len(h.idle) || tt.maxConns > 0 && h.open > tt.maxConns {
			t.Errorf("%s: %d connections count as open, %d are idle", tt.what, h.open, len(h.idle))
		}
	}
}
