package fleet

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"persimmoncross/io/transport/engine"
)

// lostPaths are a VM's paths to all upstreams, which a test takes away.
type lostPaths struct {
	hang bool // new connections hang instead of being refused

	mu    sync.Mutex // guards all below
	lost  bool
	tried int // connections that were tried while the paths were lost
	open  []net.Conn
}

// dial opens a connection while the paths are not lost.
func (p *lostPaths) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	lost := p.lost
	if lost {
		p.tried++
	}
	p.mu.Unlock()
	switch {
	case lost && p.hang:
		<-ctx.Done()
		return nil, &net.OpError{
			Op:  "dial",
			Err: ctx.Err(),
		}
	case lost:
		return nil, &net.OpError{
			Op:  "dial",
			Err: syscall.ECONNREFUSED,
		}
	}
	c, err := engine.DialDirect(ctx, address)
	if err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open = append(p.open, c)
	}
	return c, err
}

// take takes the paths away, and resets the connections that are open.
func (p *lostPaths) take() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = true
	for _, c := range p.open {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// TestVMWithoutPathsServes guards against a VM that refuses callers of the own interface while other
// VMs reach the upstreams.
func TestVMWithoutPathsServes(t *testing.T) {
	for _, tt := range []struct {
		name string
		hang bool
	}{
		{"new connections are refused", false},
		{"new connections hang", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			paths := &lostPaths{
				hang: tt.hang,
			}
			f := &Fleet{
				Folder: t.TempDir(),
				Dial: func(name string) func(context.Context, netip.AddrPort) (net.Conn, error) {
					if name != "vm-a" {
						return nil
					}
					return paths.dial
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
			paths.take()
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
			paths.mu.Lock()
			defer paths.mu.Unlock()
			if paths.tried == 0 {
				t.Error("no connection was tried over the lost paths")
			}
		})
	}
}
