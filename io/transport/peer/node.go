// Package peer connects the project's own processes: one yamux connection from
// each VM to each other, over which go a one-way stream of consensus messages
// and a stream for each call. The messages are those of package wire.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/inbound"
	"persimmoncross/io/transport/socket"
)

// Bounds of one connection.
const (
	ringSize    = 4096 // messages waiting to be sent to one peer
	dialTimeout = time.Second
	// connectTimeout is over a round trip between regions and well under a second,
	// after which TCP sends its opening packet again: a peer that had no power a
	// moment ago is found sooner by a new connection.
	connectTimeout = 400 * time.Millisecond
	writeTimeout   = 2 * time.Second
	keepAlive      = 2 * time.Second
	firstPause     = 50 * time.Millisecond
	longestPause   = time.Second
	linkIdle       = 20 * time.Second // after which a link that was dialled for a need is given up
)

// MaxMessage bounds a message, in bytes.
const MaxMessage = 16 << 20

// Handler takes what the peers send.
type Handler interface {
	// Receive takes a consensus message.
	Receive(m persimmoncross.Message)
	// Call answers a call on the stream.
	Call(ctx context.Context, c *wire.Call, s *Stream)
}

// Node is this VM's end of the connections. The exported fields are set before
// [Node.Run].
type Node struct {
	VM       string
	Listener net.Listener
	Peers    map[string]netip.AddrPort // without this VM
	Open     bool                      // peers that are not listed are named by their address, and dialled when they are needed
	Via      map[string]netip.AddrPort // peers' addresses that this VM reaches by another one, behind a gateway
	TLS      *tls.Config               // nil: plain TCP
	Handler  Handler
	Clock    persimmoncross.Clock
	Metrics  metrics.Registry
	Log      zerolog.Logger
	// Connections bounds the connections that peers open. A connection has proved what it is for with its first call.
	// nil: nothing bounds them.
	Connections *inbound.Connections
	// Messages bounds the bytes of messages that arrive on connections which peers opened; nil: nothing does.
	Messages *inbound.Bodies
	// MaxStreams bounds the streams that are open on connections which peers opened; 0: nothing does.
	MaxStreams int

	streams atomic.Int64 // open on connections that peers opened

	mu    sync.Mutex // guards links and ctx
	links map[string]*link
	ctx   context.Context // of Run; nil before
}

// link is the connection that this VM opened to one peer.
type link struct {
	vm      string
	address netip.AddrPort
	ring    chan *wire.Message
	pulse

	mu      sync.Mutex // guards all below
	session *yamux.Session
	opened  chan struct{} // closed once there is a session; nil if nobody waits
	used    time.Time     // when it was last asked for
}

// Prepare makes the links; Send may be called after it.
func (n *Node) Prepare() {
	n.links = map[string]*link{}
	for vm, address := range n.Peers {
		n.links[vm] = n.newLink(vm, address)
	}
}

func (n *Node) newLink(vm string, address netip.AddrPort) *link {
	return &link{
		vm:      vm,
		address: address,
		ring:    make(chan *wire.Message, ringSize),
		pulse: pulse{
			origin: n.Clock.Now(),
		},
	}
}

// Run serves and keeps the connections until the context ends.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	n.mu.Lock()
	n.ctx = ctx
	for _, l := range n.links {
		group.Go(func() { n.keep(ctx, l) })
	}
	n.mu.Unlock()
	if n.Listener != nil {
		group.Go(func() { n.accept(ctx) })
	}
	<-ctx.Done()
	if n.Listener != nil {
		n.Listener.Close()
	}
	group.Wait()
}

// link returns the link to the VM, a new one where the node is open; nil if
// there is none.
func (n *Node) link(vm string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[vm]
	if l == nil && n.Open && n.ctx != nil && vm != n.VM {
		address, err := netip.ParseAddrPort(vm)
		if err != nil {
			return nil
		}
		l = n.newLink(vm, address)
		n.links[vm] = l
		go n.keep(n.ctx, l)
	}
	if l != nil {
		l.touch(n.Clock.Now())
	}
	return l
}

// retire removes a link that was dialled for a need that is over. It reports
// whether it did.
func (n *Node) retire(l *link) bool {
	if _, listed := n.Peers[l.vm]; listed || !n.Open {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Clock.Now().Sub(l.lastUse()) < linkIdle {
		return false
	}
	delete(n.links, l.vm)
	return true
}

// known returns the names of all VMs with a link.
func (n *Node) known() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.links))
}

// Send implements [persimmoncross.Sender].
func (n *Node) Send(m persimmoncross.Message) {
	w := wire.FromMessage(m)
	if m.ToVM != "" {
		n.post(m.ToVM, w)
		return
	}
	for _, vm := range n.known() {
		n.post(vm, w)
	}
}

func (n *Node) post(vm string, w *wire.Message) {
	l := n.link(vm)
	if l == nil {
		n.count("peer.unknown")
		return
	}
	select {
	case l.ring <- w:
	default:
		n.count("peer.refused.ringfull")
	}
}

// keep dials the peer again and again and sends what waits in its ring.
func (n *Node) keep(ctx context.Context, l *link) {
	pause := firstPause
	for ctx.Err() == nil && !n.retire(l) {
		session, err := n.dial(ctx, l)
		if err == nil {
			pause = firstPause
			err = n.pump(ctx, l, session)
		}
		n.count("peer.lost")
		n.Log.Debug().Err(err).Str("peer", l.vm).Msg("no connection")
		l.empty()
		select {
		case <-n.Clock.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, longestPause)
	}
}

func (n *Node) dial(ctx context.Context, l *link) (*yamux.Session, error) {
	address := l.address
	if via, ok := n.Via[address.String()]; ok {
		address = via
	}
	c, err := socket.Dialer(connectTimeout).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	l.hear(n.Clock.Now())
	c = &heardConn{
		Conn: c,
		hear: func() { l.hear(n.Clock.Now()) },
	}
	if n.TLS != nil {
		t := tls.Client(c, n.TLS)
		handshake, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := t.HandshakeContext(handshake); err != nil {
			c.Close()
			return nil, err
		}
		c = t
	}
	session, err := yamux.Client(c, n.yamuxConfig())
	if err != nil {
		c.Close()
		return nil, err
	}
	l.set(session)
	return session, nil
}

// pump sends the link's messages until the connection fails.
func (n *Node) pump(ctx context.Context, l *link, session *yamux.Session) error {
	defer l.set(nil)
	defer session.Close()
	stream, err := session.Open()
	if err != nil {
		return err
	}
	out := bufio.NewWriterSize(stream, 64<<10)
	open := &wire.Call{
		Body: &wire.Call_Open{
			Open: &wire.Open{
				Vm: n.VM,
			},
		},
	}
	if err := send(out, open); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	var answer expectation
	for {
		select {
		case m := <-l.ring:
			if answer.sends(n.Clock.Now(), l.last()) {
				n.count("peer.silent")
				return errSilent
			}
			if err := n.flush(l, out, m); err != nil {
				return err
			}
		case <-session.CloseChan():
			return io.ErrClosedPipe
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// flush writes the message and what else waits, with one flush.
func (n *Node) flush(l *link, out *bufio.Writer, m *wire.Message) error {
	for {
		if err := send(out, m); err != nil {
			return err
		}
		n.count("peer.sent")
		metrics.GetOrRegisterCounter("peer.sent.bytes", n.Metrics).Inc(int64(proto.Size(m)))
		select {
		case m = <-l.ring:
		default:
			return out.Flush()
		}
	}
}

// Call opens a stream to the VM and sends the call.
func (n *Node) Call(ctx context.Context, vm string, c *wire.Call) (*Stream, error) {
	l := n.link(vm)
	if l == nil {
		return nil, failure("call", Unreachable, vm, errors.New("no such peer"))
	}
	session := l.get()
	if session == nil && n.Open {
		session = l.wait(ctx, n.Clock.After(dialTimeout))
	}
	if session == nil {
		return nil, failure("call", Unreachable, vm, errors.New("no connection"))
	}
	raw, err := session.OpenStream()
	if err != nil {
		return nil, failure("call", Unreachable, vm, err)
	}
	s := newStream(raw)
	s.stop = context.AfterFunc(ctx, s.end)
	if err := s.Send(c); err != nil {
		s.Close()
		return nil, failure("call", Broken, vm, err)
	}
	return s, nil
}

// Connected reports whether there is a connection to the VM.
func (n *Node) Connected(vm string) bool {
	n.mu.Lock()
	l := n.links[vm]
	n.mu.Unlock()
	return l != nil && l.get() != nil
}

func (n *Node) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

func (n *Node) count(name string) {
	metrics.GetOrRegisterCounter(name, n.Metrics).Inc(1)
}

func (l *link) set(s *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
	if s != nil && l.opened != nil {
		close(l.opened)
		l.opened = nil
	}
}

// wait returns the session once there is one, nil if the time is over before.
func (l *link) wait(ctx context.Context, late <-chan time.Time) *yamux.Session {
	l.mu.Lock()
	if l.session != nil {
		defer l.mu.Unlock()
		return l.session
	}
	if l.opened == nil {
		l.opened = make(chan struct{})
	}
	opened := l.opened
	l.mu.Unlock()
	select {
	case <-opened:
		return l.get()
	case <-ctx.Done():
	case <-late:
	}
	return nil
}

func (l *link) touch(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = now
}

func (l *link) lastUse() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

func (l *link) get() *yamux.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

// empty drops what waits for a peer that can't be reached: by the time it can
// be, newer messages say more.
func (l *link) empty() {
	for {
		select {
		case <-l.ring:
		default:
			return
		}
	}
}

func send(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// Pass sends on a message that another VM wrote.
func (n *Node) Pass(m persimmoncross.Message) { n.post(m.ToVM, wire.FromMessage(m)) }
