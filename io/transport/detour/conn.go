package detour

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// maxSegment is the number of bytes in one Segment.
const maxSegment = 16 << 10

// errBroken ends the reads of a connection whose end was not announced: what was read may be
// incomplete.
var errBroken = errors.New("detour: the connection through another VM broke")

// conn is a connection to an upstream through another VM. It implements net.Conn. One goroutine
// reads and one writes.
type conn struct {
	stream   *peer.Stream
	upstream netip.AddrPort
	// dataCentre is that of the VM that passes the connection on.
	dataCentre string
	unread     []byte
	end        error // what Read returns once unread is empty; nil: not known yet
	leaving    atomic.Bool
	closed     atomic.Bool
}

// Read implements net.Conn. It returns io.EOF only if the upstream closed the connection.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 && c.end == nil {
		s := &wire.Segment{}
		err := c.stream.Receive(s)
		switch {
		case c.closed.Load():
			c.end = net.ErrClosed
		case err != nil:
			c.end = &net.OpError{
				Op:  "read",
				Err: fmt.Errorf("%w: %v", errBroken, err), // an io.EOF in the chain would look like the upstream's end
			}
		case s.GetReset_():
			c.end = &net.OpError{
				Op:  "read",
				Err: syscall.ECONNRESET,
			}
		case s.GetEnd():
			c.end = io.EOF
		case s.GetLeaving():
			c.leaving.Store(true)
		}
		c.unread = s.GetData()
	}
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return 0, c.end
}

// Write implements net.Conn. The bytes of a Segment that could not be sent whole count as written,
// because the upstream may receive them.
func (c *conn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n := min(len(p)-sent, maxSegment)
		err := c.stream.Send(&wire.Segment{
			Data: p[sent : sent+n],
		})
		sent += n
		if err != nil {
			return sent, &net.OpError{
				Op:  "write",
				Err: err,
			}
		}
	}
	return sent, nil
}

// Close implements net.Conn. The other VM closes its connection to the upstream.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.stream.Abort()
	return nil
}

// Quiet reports whether the connection is open and nothing has come that was not read.
func (c *conn) Quiet() bool {
	return len(c.unread) == 0 && c.end == nil && !c.leaving.Load() && !c.closed.Load() && c.stream.Quiet()
}

// Leaving reports whether the other VM is about to stop, so that the connection is not to be used
// for another request.
func (c *conn) Leaving() bool { return c.leaving.Load() }

// DataCentre returns the data centre of the VM that passes the connection on.
func (c *conn) DataCentre() string { return c.dataCentre }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(netip.AddrPort{}) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.upstream) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.stream.Deadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn. Writes end with the connection between the VMs.
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
