package main

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
)

// gateway is the path from one entry to one server. It sees which requests the entry's machine sends
// there.
type gateway struct {
	entry *process
	to    *replica
	at    netip.AddrPort
	// carried is called with the id of each request.
	carried func(g *gateway, id string)

	mu       sync.Mutex // guards all below
	listener net.Listener
	conns    map[net.Conn]bool
}

// open lets connections pass.
func (g *gateway) open() error {
	l, err := net.Listen("tcp", g.at.String())
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = l
	g.conns = map[net.Conn]bool{}
	go g.accept(l)
	return nil
}

// lose refuses new connections and resets the open ones.
func (g *gateway) lose() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener.Close()
	for c := range g.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (g *gateway) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go g.carry(c)
	}
}

func (g *gateway) carry(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", g.to.address().String())
	if err != nil {
		return
	}
	defer out.Close()
	g.mu.Lock()
	g.conns[in] = true
	g.mu.Unlock()
	go func() {
		io.Copy(in, out)
		in.Close()
	}()
	io.Copy(io.MultiWriter(out, (*ids)(g)), in)
	g.mu.Lock()
	delete(g.conns, in)
	g.mu.Unlock()
}

// ids looks for the ids of requests in what passes. Requests are small: each comes in one piece.
type ids gateway

// Write implements [io.Writer].
func (x *ids) Write(p []byte) (int, error) {
	mark := []byte("\r\n" + name("id") + ": ")
	for rest := p; ; {
		at := bytes.Index(rest, mark)
		if at < 0 {
			return len(p), nil
		}
		rest = rest[at+len(mark):]
		id, _, _ := bytes.Cut(rest, []byte("\r\n"))
		x.carried((*gateway)(x), string(id))
	}
}
