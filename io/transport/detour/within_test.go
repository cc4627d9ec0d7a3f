package detour

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross/core/coordination/detour"
)

// TestDialWithinDataCentres guards against a request that leaves its regions through a VM of another one, and against
// an entry that counts as cut off since the VMs that may pass such a request on don't answer.
func TestDialWithinDataCentres(t *testing.T) {
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) { c.Close() })
	refused := func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	near, far := startVM(t, direct), startVM(t, direct)
	d := newDialer(t, refused, near, far)
	d.Paths.SetPeers([]detour.Peer{
		{
			Name:       near.node.VM,
			DataCentre: "near",
		},
		{
			Name:       far.node.VM,
			DataCentre: "far",
		},
	})
	awaitPeer(t, d, near)
	awaitPeer(t, d, far)
	for range 10 {
		c, err := d.DialWithin(t.Context(), address, func(dataCentre string) bool { return dataCentre == "near" })
		if err != nil {
			continue // a busy machine
		}
		if at := c.(interface{ DataCentre() string }).DataCentre(); at != "near" {
			t.Errorf("the connection passes through %q", at)
		}
		c.Close()
	}
	if n := metrics.GetOrRegisterCounter("detour.passed", far.server.Metrics).Count(); n > 0 {
		t.Errorf("%d connections passed through another data centre", n)
	}
	if n := metrics.GetOrRegisterCounter("detour.passed", near.server.Metrics).Count(); n == 0 {
		t.Error("no connection passed through the permitted data centre")
	}
	if _, err := d.DialWithin(t.Context(), address, func(string) bool { return false }); err == nil || d.Paths.IsCutOff(time.Now()) {
		t.Errorf("without a permitted VM: error %v, cut off %v", err, d.Paths.IsCutOff(time.Now()))
	}
}
