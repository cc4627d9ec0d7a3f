package node

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"persimmoncross/core/coordination/adaptivelimit"
)

// gatedConn is a connection of a caller. It implements [persimmoncross.OwnWork] for its requests.
type gatedConn struct {
	net.Conn
	gate    *callerGate
	next    atomic.Bool // the next byte belongs to a request that was not begun
	used    bool        // its first request was begun
	request adaptivelimit.Request
}

// Read implements [net.Conn]. Before it reads the first bytes of a request it waits until they are there, and leaves them
// unread if the request may not be read.
func (k *gatedConn) Read(p []byte) (int, error) {
	if !k.next.Load() {
		return k.read(p)
	}
	if err := awaitReadable(k.Conn); err != nil {
		return 0, err
	}
	k.next.Store(false)
	first := !k.used
	k.used = true
	if !k.gate.begin(&k.request, first) {
		k.Conn.Close() // the unread bytes tell the caller that nothing was read
		return 0, errNotRead
	}
	n, err := k.read(p)
	if n == 0 {
		k.gate.update(func(l *adaptivelimit.Limit, _ time.Time) { l.Abandon(&k.request) })
	}
	return n, err
}

func (k *gatedConn) read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	k.gate.received.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (k *gatedConn) Write(p []byte) (int, error) {
	n, err := k.Conn.Write(p)
	k.gate.sent.Add(int64(n))
	return n, err
}

// awaitReadable waits until bytes or the end of the connection can be read.
func awaitReadable(c net.Conn) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		poll := []unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLIN,
		}}
		n, err := unix.Poll(poll, 0)
		return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
	})
}

// Pause implements [persimmoncross.OwnWork].
func (k *gatedConn) Pause() {
	k.gate.update(func(l *adaptivelimit.Limit, now time.Time) { l.Pause(&k.request, now) })
}

// Resume implements [persimmoncross.OwnWork].
func (k *gatedConn) Resume() {
	k.gate.update(func(l *adaptivelimit.Limit, now time.Time) { l.Resume(&k.request, now) })
}

// End implements [persimmoncross.OwnWork].
func (k *gatedConn) End() {
	k.gate.update(func(l *adaptivelimit.Limit, now time.Time) { l.End(&k.request, now) })
}
