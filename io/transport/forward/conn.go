package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"persimmoncross/io/transport/socket"
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	id      string // the upstream's incarnation
	address netip.AddrPort
	raw     net.Conn
	heads   *headReader // reads raw
	in      *bufio.Reader
	reused  bool
	idleFor time.Duration
	until   time.Time // the idle connection is not used after it
}

// DialDirect opens a TCP connection to an upstream.
func DialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return socket.Dial(ctx, socket.Dialer(dialTimeout), address.String())
}

// quiet reports whether an idle connection is open and holds no bytes: bytes
// that came unasked belong to no request.
func (k *conn) quiet() bool {
	if k.in.Buffered() > 0 {
		return false
	}
	if q, ok := k.raw.(interface{ Quiet() bool }); ok {
		return q.Quiet()
	}
	s, ok := k.raw.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	one := make([]byte, 1)
	err = r.Read(func(fd uintptr) bool {
		_, got := syscall.Read(int(fd), one)
		quiet = got == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// direct reports whether the connection goes to the upstream itself.
func (k *conn) direct() bool {
	_, detoured := k.raw.(interface{ Leaving() bool })
	return !detoured
}

// mayUse reports whether a request may use the connection: one through another VM only if that may carry the request;
// mayCarry is nil if any may.
func (k *conn) mayUse(mayCarry func(dataCentre string) bool) bool {
	if mayCarry == nil {
		return true
	}
	carried, ok := k.raw.(interface{ DataCentre() string })
	return !ok || mayCarry(carried.DataCentre())
}

// leaving reports whether what carries the connection is about to stop.
func (k *conn) leaving() bool {
	l, ok := k.raw.(interface{ Leaving() bool })
	return ok && l.Leaving()
}

// learn takes the time for which the upstream keeps an idle connection.
func (k *conn) learn(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			k.idleFor = max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
}
