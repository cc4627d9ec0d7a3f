package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross/io/transport/socket"
)

// Intervals of a listener.
const (
	// refusingInterval is how long no connection is accepted once the limit is reached. A connection that is refused
	// costs neither the processor nor the link what one costs that is accepted and closed, and its caller asks another
	// entry at once.
	refusingInterval = 10 * time.Millisecond
	// drainTime is how long a listener about to be closed accepts the connections that were made already. They have sent
	// their first request.
	drainTime = time.Millisecond
)

// gatedListener accepts connections of callers while its gate lets it. Meanwhile it is closed, so that connections are
// refused.
type gatedListener struct {
	gate    *callerGate
	address netip.AddrPort
	ctx     context.Context

	pausing bool // the connections that wait are accepted, and then no more; used by Accept alone

	mu      sync.Mutex       // guards all below
	current *net.TCPListener // nil while connections are refused
	closed  bool
}

// listen opens the listener of callers.
func (g *callerGate) listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	l := &gatedListener{
		gate:    g,
		address: address,
		ctx:     ctx,
	}
	if err := l.listen(); err != nil {
		return nil, err
	}
	return l, nil
}

// listen opens the current listener.
func (l *gatedListener) listen() error {
	current, err := socket.ListenUnread(maxUnreadBytes).Listen(l.ctx, "tcp", l.address.String())
	if err != nil {
		return err
	}
	l.current = current.(*net.TCPListener)
	return nil
}

// Accept implements [net.Listener].
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		current, err := l.open()
		if err != nil {
			return nil, err
		}
		if current == nil {
			select {
			case <-l.ctx.Done():
				return nil, net.ErrClosed
			case <-l.gate.Clock.After(refusingInterval):
			}
			continue
		}
		c, err := current.Accept()
		if err != nil {
			if l.pausing && errors.Is(err, os.ErrDeadlineExceeded) {
				l.pause()
				continue
			}
			return nil, err
		}
		if !l.gate.accepted() && !l.pausing {
			l.pausing = true
			current.SetDeadline(time.Now().Add(drainTime))
		}
		k := &gatedConn{
			Conn: c,
			gate: l.gate,
		}
		k.next.Store(true)
		return k, nil
	}
}

// open returns the current listener, nil if connections are refused.
func (l *gatedListener) open() (*net.TCPListener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return nil, net.ErrClosed
	case l.current != nil:
		return l.current, nil
	}
	if !l.gate.mayAccept() {
		return nil, nil
	}
	if err := l.listen(); err != nil {
		l.gate.Log.Warn().Err(err).Msg("callers can't be listened for again; it is tried until they can")
		return nil, nil
	}
	l.gate.setRefusing(false)
	return l.current, nil
}

// pause closes the listener until the gate lets connections be accepted.
func (l *gatedListener) pause() {
	l.pausing = false
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.closed {
		return
	}
	metrics.GetOrRegisterCounter("callers.refusing", l.gate.Metrics).Inc(1)
	l.current.Close()
	l.current = nil
	l.gate.setRefusing(true)
}

// Close implements [net.Listener].
func (l *gatedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.current == nil {
		return nil
	}
	return l.current.Close()
}

// Addr implements [net.Listener].
func (l *gatedListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
