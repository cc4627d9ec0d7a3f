package fleet

import (
	"net"
	"net/netip"
	"testing"
)

// TestPortsStayFree: no outgoing connection within the VM has as its source an
// address whose ports freePorts hands out, and no port is handed out twice.
func TestPortsStayFree(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 20 {
		ports, err := freePorts(3)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range ports {
			if seen[p] {
				t.Fatalf("%s was handed out twice", p)
			}
			seen[p] = true
			l, err := net.Listen("tcp", p.String())
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp", p.String())
			if err != nil {
				t.Fatal(err)
			}
			source := c.LocalAddr().(*net.TCPAddr).AddrPort().Addr()
			if source == p.Addr() {
				t.Errorf("a connection to %s has the source %s", p, source)
			}
			c.Close()
			l.Close()
		}
	}
}
