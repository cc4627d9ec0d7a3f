package fleet

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"

	"persimmoncross/io/transport/engine"
)

// TestVMWithoutPathsServes guards against a VM that refuses callers of the own interface while other
// VMs reach the upstreams.
func TestVMWithoutPathsServes(t *testing.T) {
	lost := &atomic.Bool{}
	f := &Fleet{
		Folder: t.TempDir(),
		Dial: func(name string) func(context.Context, netip.AddrPort) (net.Conn, error) {
			if name != "vm-a" {
				return nil
			}
			return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				if lost.Load() {
					return nil, &net.OpError{
						Op:  "dial",
						Err: syscall.ECONNREFUSED,
					}
				}
				return engine.DialDirect(ctx, address)
			}
		},
	}
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	lost.Store(true)
	for range 10 {
		reply := f.must(t, Call{
			VM:     "vm-a",
			Key:    RelayKey,
			Model:  "small@1",
			Text:   "hello",
			Tokens: 8,
		})
		if reply.Status != http.StatusOK {
			t.Fatalf("status %d: %s", reply.Status, reply.Text)
		}
	}
}
