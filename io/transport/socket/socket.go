// Package socket makes TCP connections that find out soon when their peer is
// gone without a word.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of every connection.
const (
	// Silence ends a dialed connection whose peer acknowledges nothing (TCP_USER_TIMEOUT). It also
	// decides when unanswered keep-alive probes end the connection, whatever their count, and is
	// looked at when a probe is due: one lost probe must not end a sound connection, nor must a
	// peer that is silent for a second or so.
	Silence = 2100 * time.Millisecond
	// probeAfter, probeInterval and probeCount are of the keep-alive probes, which find such a peer
	// where nothing is under way. The kernel counts in whole seconds.
	probeAfter    = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// Dialer returns a dialer of such connections.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: probes(),
		Control:         control,
	}
}

// ProbingDialer returns a dialer of connections with the probes only, for peers that may read nothing for
// a while. Such a connection is given up once it has been idle for some seconds on a path that is lost.
func ProbingDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: probes(),
	}
}

// Listen returns a configuration for listeners. Accepted connections have the probes only: the user
// timeout would also end one whose peer reads nothing for a while.
func Listen() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: probes(),
	}
}

// ListenUnread is Listen for peers that are not controlled; see [LimitUnread].
func ListenUnread(bytes int) *net.ListenConfig {
	c := Listen()
	c.Control = LimitUnread(bytes)
	return c
}

// LimitUnread returns a control function for listeners: the kernel holds at most about the given number of bytes for each
// connection that are not read, where it would hold megabytes. It doubles the number for its own use.
func LimitUnread(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Best effort: without it the kernel's own limit holds. Accepted connections inherit it.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
	}
}

func probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeAfter,
		Interval: probeInterval,
		Count:    probeCount,
	}
}

func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Best effort: without it a lost peer is found by the probes.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Silence.Milliseconds()))
	})
}
