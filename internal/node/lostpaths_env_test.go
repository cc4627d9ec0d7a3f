package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"persimmoncross/io/transport/socket"
)

// pathLoss says what becomes of the connections between an entry and the upstreams while their
// paths are lost.
type pathLoss struct {
	hang bool // new connections hang instead of being refused
	open openConnections
}

// openConnections is what becomes of the connections that are open when the paths are lost.
type openConnections uint8

const (
	openLive  openConnections = iota // they go on
	openReset                        // they are reset
	openHang                         // they carry nothing, and end at the user timeout
)

// lossyPaths are the paths of one entry to all upstreams, which a test takes away and restores.
type lossyPaths struct {
	mu    sync.Mutex // guards all below
	loss  *pathLoss  // nil: the paths work
	conns map[*pathConn]bool
}

// dial implements Entry.DialUpstream.
func (p *lossyPaths) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	loss := p.loss
	p.mu.Unlock()
	if loss != nil && loss.hang {
		<-ctx.Done()
		return nil, &net.OpError{
			Op:  "dial",
			Err: ctx.Err(),
		}
	}
	if loss != nil {
		return nil, &net.OpError{
			Op:  "dial",
			Err: syscall.ECONNREFUSED,
		}
	}
	raw, err := socket.Dialer(time.Second).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	c := &pathConn{
		TCPConn: raw.(*net.TCPConn),
		paths:   p,
		resumed: make(chan struct{}),
	}
	close(c.resumed)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*pathConn]bool{}
	}
	p.conns[c] = true
	return c, nil
}

// take takes the paths away.
func (p *lossyPaths) take(loss pathLoss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loss = &loss
	for c := range p.conns {
		switch loss.open {
		case openReset:
			c.SetLinger(0)
			c.TCPConn.Close()
		case openHang:
			c.suspend()
		}
	}
}

// restore restores the paths.
func (p *lossyPaths) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loss = nil
	for c := range p.conns {
		c.resume()
	}
}

// pathConn is a connection over a path that may be lost.
type pathConn struct {
	*net.TCPConn
	paths *lossyPaths

	mu      sync.Mutex    // guards resumed
	resumed chan struct{} // closed unless the connection hangs
}

// suspend makes the connection hang, and ends it after the user timeout.
func (c *pathConn) suspend() {
	resumed := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed = resumed
	time.AfterFunc(socket.Silence, func() {
		select {
		case <-resumed:
		default:
			c.TCPConn.Close()
		}
	})
}

func (c *pathConn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.resumed:
	default:
		close(c.resumed)
	}
}

func (c *pathConn) await() {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	select {
	case <-resumed:
	case <-time.After(socket.Silence):
	}
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.await()
	return n, err
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	c.await()
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.paths.mu.Lock()
	delete(c.paths.conns, c)
	c.paths.mu.Unlock()
	return c.TCPConn.Close()
}
