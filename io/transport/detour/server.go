package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/detour"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// passTimeout limits opening a connection for another VM. It leaves time for the answer within that
// VM's askTimeout: a VM that does not answer by then counts as lost.
const passTimeout = 200 * time.Millisecond

// errNotAccepted is the error of a connection that is declined after the upstream was reached.
var errNotAccepted = errors.New("detour: stopping, or too many connections")

// maxPassed limits the connections that a VM passes on at the same time. Each takes a descriptor, a
// Segment's buffer and a stream; callers of this VM keep the greater part of all of them.
const maxPassed = 256

// Server connects other VMs to upstreams. The exported fields are set before use.
type Server struct {
	Paths   *detour.Paths
	Direct  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Known   func(address netip.AddrPort) bool // whether an upstream is listed there
	Clock   persimmoncross.Clock
	Metrics metrics.Registry

	mu       sync.Mutex // guards all below
	passed   map[*passedConn]bool
	stopping bool
}

// passedConn is a connection of another VM to an upstream.
type passedConn struct {
	upstream net.Conn
	stream   *peer.Stream

	mu sync.Mutex // held while a Segment is sent
}

func (p *passedConn) send(s *wire.Segment) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stream.Send(s)
}

// Serve answers a VM's call, and carries its connection until that ends.
func (s *Server) Serve(ctx context.Context, call *wire.Detour, stream *peer.Stream) {
	upstream, answer := s.connect(ctx, call)
	if upstream == nil {
		s.count("declined")
		stream.Send(answer) // without an answer the VM asks another one
		return
	}
	defer upstream.Close()
	p := &passedConn{
		upstream: upstream,
		stream:   stream,
	}
	if err := s.accept(p, answer); err != nil {
		s.count("declined")
		return
	}
	defer s.remove(p)
	s.count("passed")
	stop := context.AfterFunc(ctx, func() { upstream.Close() })
	defer stop()
	go func() {
		defer upstream.Close()
		p.toUpstream()
	}()
	p.fromUpstream()
}

// connect connects to the upstream that the call names. It returns nil and why if it does not.
func (s *Server) connect(ctx context.Context, call *wire.Detour) (net.Conn, *wire.Detoured) {
	address, err := netip.ParseAddrPort(call.GetAddress())
	if err != nil || !s.Known(address) {
		return nil, declined(resultUnknown, "no upstream is listed at that address")
	}
	if !s.hasRoom() {
		return nil, notAccepted()
	}
	if s.Paths.HasLost(address, s.Clock.Now()) {
		return nil, declined(resultUnreachable, "this VM has lost its path")
	}
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	upstream, err := s.Direct(ctx, address)
	switch {
	case err == nil:
		s.Paths.DirectOpened(address, s.Clock.Now())
		return upstream, &wire.Detoured{}
	case s.Paths.Reaches(s.Clock.Now()):
		return nil, declined(resultDown, err.Error())
	}
	return nil, declined(resultUnsure, err.Error())
}

func declined(result uint32, detail string) *wire.Detoured {
	return &wire.Detoured{
		Result: result,
		Detail: detail,
	}
}

func notAccepted() *wire.Detoured {
	return declined(resultNotAccepted, errNotAccepted.Error())
}

// accept lists the connection and answers the VM's call. It returns an error if the connection is not
// to be carried. The connection is listed before the VM learns of it, so that a Stop that comes in
// between is announced to the VM; the answer is still the first that it receives.
func (s *Server) accept(p *passedConn, answer *wire.Detoured) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.add(p) {
		p.stream.Send(notAccepted()) // without an answer the VM asks another one
		return errNotAccepted
	}
	err := p.stream.Send(answer)
	if err != nil {
		s.remove(p)
	}
	return err
}

// toUpstream writes what the VM sends, until it ends the stream.
func (p *passedConn) toUpstream() {
	for {
		segment := &wire.Segment{}
		if err := p.stream.Receive(segment); err != nil {
			return
		}
		if _, err := p.upstream.Write(segment.GetData()); err != nil {
			return
		}
	}
}

// fromUpstream sends what the upstream writes, and at last how its connection ended.
func (p *passedConn) fromUpstream() {
	buffer := make([]byte, maxSegment)
	for {
		n, err := p.upstream.Read(buffer)
		if n > 0 && p.send(&wire.Segment{Data: buffer[:n]}) != nil {
			return
		}
		if err != nil {
			p.send(&wire.Segment{ // the VM takes a stream without it for broken
				End:    errors.Is(err, io.EOF),
				Reset_: !errors.Is(err, io.EOF),
			})
			return
		}
	}
}

func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping && len(s.passed) < maxPassed
}

func (s *Server) add(p *passedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.passed) >= maxPassed {
		return false
	}
	if s.passed == nil {
		s.passed = map[*passedConn]bool{}
	}
	s.passed[p] = true
	return true
}

func (s *Server) remove(p *passedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.passed, p)
}

// drainInterval is the interval between two looks at the connections that are left.
const drainInterval = 50 * time.Millisecond

// Stop takes no more connections, and asks the VMs to use those that are open for no other request.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	passed := make([]*passedConn, 0, len(s.passed))
	for p := range s.passed {
		passed = append(passed, p)
	}
	s.mu.Unlock()
	for _, p := range passed {
		go p.send(&wire.Segment{ // a VM that does not learn it loses its connection later
			Leaving: true,
		})
	}
}

// Drain waits until no connection is left, or the context ends.
func (s *Server) Drain(ctx context.Context) {
	for {
		s.mu.Lock()
		left := len(s.passed)
		s.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(drainInterval):
		}
	}
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter("detour."+name, s.Metrics).Inc(1)
}
