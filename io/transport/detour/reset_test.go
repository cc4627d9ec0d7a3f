package detour

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestResetDuringWriteIsToldApart guards against a reset being passed on as the end of the answer, since the VM between learns
// of it by its write to the upstream.
func TestResetDuringWriteIsToldApart(t *testing.T) {
	v := startVM(t, direct)
	l, address := listen(t)
	go serve(l, func(c *net.TCPConn) {
		io.WriteString(c, "a part")
		time.Sleep(20 * time.Millisecond)
		c.SetLinger(0)
		c.Close()
	})
	d := newDialer(t, refused, v)
	whole := 0
	for range 40 {
		c := mustDial(t, d, address)
		written := make(chan struct{})
		go func() {
			defer close(written)
			c.Write(make([]byte, 32<<20)) // more than the kernels and the VM between hold
		}()
		if _, err := io.ReadAll(c); err == nil {
			whole++
		}
		c.Close()
		<-written
	}
	if whole > 0 {
		t.Errorf("%d of 40 resets passed for the end of the answer", whole)
	}
}
