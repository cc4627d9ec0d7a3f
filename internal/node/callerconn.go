package node

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"persimmoncross"
	"persimmoncross/core/coordination/adaptivelimit"
)

// gatedConn is a connection of a caller. It implements [persimmoncross.OwnWork] for its requests.
type gatedConn struct {
	net.Conn
	gate    *callerGate
	next    atomic.Bool // the next byte belongs to a request that was not begun
	used    bool        // its first request was begun
	request adaptivelimit.Request

	headMu  sync.Mutex // guards all below
	inHead  bool       // the head of a request that was begun is being read
	head    int        // bytes read of it, with what came with them
	waiting bool       // for more of it
}

// Read implements [net.Conn]. Before it reads the first bytes of a request it waits until they are there, and leaves them
// unread if the request may not be read.
func (k *gatedConn) Read(p []byte) (int, error) {
	if !k.next.Load() {
		return k.readOn(p)
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
	k.setInHead(true)
	n, err := k.read(p)
	if n == 0 {
		k.gate.update(func(l *adaptivelimit.Limit, _ time.Time) { l.Abandon(&k.request) })
	}
	return n, err
}

// readOn reads more of a request. The time in which the caller sends no more of its head is not the entry's own.
func (k *gatedConn) readOn(p []byte) (int, error) {
	if k.setWaiting(true) {
		err := awaitReadable(k.Conn)
		k.setWaiting(false)
		if err != nil {
			return 0, err
		}
	}
	return k.read(p)
}

// setWaiting records that the rest of a head is awaited, or has come. It reports whether a head is being read.
func (k *gatedConn) setWaiting(waiting bool) bool {
	k.headMu.Lock()
	defer k.headMu.Unlock()
	if !k.inHead {
		return false
	}
	k.waiting = waiting
	if waiting {
		k.Pause()
	} else {
		k.Resume()
	}
	return true
}

// setInHead records that a request's head begins, or was read.
func (k *gatedConn) setInHead(inHead bool) {
	k.headMu.Lock()
	defer k.headMu.Unlock()
	if k.waiting {
		k.Resume()
	}
	k.inHead, k.waiting = inHead, false
	k.head = 0
}

// countHead counts bytes that were read, and reports whether a head is larger than it may be.
func (k *gatedConn) countHead(bytes int) bool {
	k.headMu.Lock()
	defer k.headMu.Unlock()
	k.head += bytes
	return k.inHead && k.head > k.gate.maxHead()
}

// CloseWrite ends what the caller reads, before the connection is closed.
func (k *gatedConn) CloseWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

func (k *gatedConn) read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	k.gate.received.Add(int64(n))
	if k.countHead(n) {
		k.Conn.Close()
		return 0, errHeadTooLarge
	}
	return n, err
}

// Write implements [net.Conn].
func (k *gatedConn) Write(p []byte) (int, error) {
	n, err := k.Conn.Write(p)
	k.gate.sent.Add(int64(n))
	return n, err
}

// measureOwnWork returns a handler that ends the measurement of a request's own work with h, which then waits for nothing
// but the rest of a refused request.
func measureOwnWork(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k, ok := persimmoncross.OwnWorkOf(r.Context()).(*gatedConn); ok {
			k.setInHead(false)
			defer k.End()
		}
		h.ServeHTTP(w, r)
	})
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
