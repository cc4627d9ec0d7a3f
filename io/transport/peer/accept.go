package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/yamux"

	"persimmoncross/io/protocol/wire"
)

func (n *Node) accept(ctx context.Context) {
	for {
		c, err := n.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			n.count("peer.accept.failed")
			select {
			case <-n.Clock.After(firstPause):
			case <-ctx.Done():
			}
			continue
		}
		if n.Connections != nil {
			n.Connections.Opened(c)
		}
		go n.serve(ctx, c)
	}
}

func (n *Node) serve(ctx context.Context, c net.Conn) {
	if n.Connections != nil {
		opened := c
		defer n.Connections.Closed(opened)
	}
	proved := n.provedBy(c)
	var vm atomic.Value // of the peer, once it has told its name
	c = &heardConn{
		Conn: c,
		hear: func() {
			if name, ok := vm.Load().(string); ok {
				n.hear(name)
			}
		},
	}
	if n.TLS != nil {
		c = tls.Server(c, n.TLS)
	}
	session, err := yamux.Server(c, n.yamuxConfig())
	if err != nil {
		c.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if n.MaxStreams > 0 && n.streams.Load() >= int64(n.MaxStreams) {
			n.count("peer.refused.streams")
			stream.Close() // its peer asks another VM
			continue
		}
		n.streams.Add(1)
		go func() {
			defer n.streams.Add(-1)
			n.serveStream(ctx, stream, &vm, proved)
		}()
	}
}

// provedBy returns what is called once a call has come on the connection.
func (n *Node) provedBy(c net.Conn) func() {
	if n.Connections == nil {
		return func() {}
	}
	return sync.OnceFunc(func() { n.Connections.Working(c) })
}

func (n *Node) serveStream(ctx context.Context, stream *yamux.Stream, vm *atomic.Value, proved func()) {
	s := newStream(stream)
	s.messages = n.Messages
	defer s.Close()
	c := &wire.Call{}
	if err := s.Receive(c); err != nil {
		return
	}
	proved()
	if c.GetOpen() == nil {
		n.Handler.Call(ctx, c, s)
		return
	}
	vm.Store(c.GetOpen().GetVm())
	for {
		m := &wire.Message{}
		if err := s.Receive(m); err != nil {
			return
		}
		n.Handler.Receive(m.Root())
	}
}
