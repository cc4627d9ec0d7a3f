package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// lastWriteTimeout is how long the end of the peer's bytes waits for a write that is under way. The peer
// of a write that ends later has left without reading it.
const lastWriteTimeout = 200 * time.Millisecond

// Conn is a dialed TCP connection that tells a reset from the end of the peer's bytes also while it is
// written to: the kernel reports a reset once, and if that is to a write, a read finds an ordinary end. A read returns
// ECONNRESET in place of io.EOF once a write has failed or waits in vain.
type Conn struct {
	tcp *net.TCPConn

	mu      sync.Mutex // guards all below
	writing int
	failed  bool          // a write failed for another reason than Close or a deadline
	idle    chan struct{} // closed when no write is under way; nil: none is
}

// Dial opens a connection with the dialer.
func Dial(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &Conn{
		tcp: tcp,
	}, nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if err == io.EOF && c.lostWrite() {
		return n, &net.OpError{
			Op:     "read",
			Net:    "tcp",
			Source: c.LocalAddr(),
			Addr:   c.RemoteAddr(),
			Err:    syscall.ECONNRESET,
		}
	}
	return n, err
}

// lostWrite reports whether a write failed, or one that is under way goes on for lastWriteTimeout.
func (c *Conn) lostWrite() bool {
	c.mu.Lock()
	idle, failed := c.idle, c.failed
	c.mu.Unlock()
	if failed || idle == nil {
		return failed
	}
	timer := time.NewTimer(lastWriteTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writing == 0 {
		c.idle = make(chan struct{})
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.tcp.Write(p)
	var timeout net.Error
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.failed || err != nil && !errors.Is(err, net.ErrClosed) && !(errors.As(err, &timeout) && timeout.Timeout())
	if c.writing--; c.writing == 0 {
		close(c.idle)
		c.idle = nil
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error { return c.tcp.Close() }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.tcp.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.tcp.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.tcp.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.tcp.SetWriteDeadline(t) }

// SetLinger is that of [net.TCPConn].
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }
