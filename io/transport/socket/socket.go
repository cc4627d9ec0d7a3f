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
	// Silence ends a connection whose peer acknowledges nothing
	// (TCP_USER_TIMEOUT): well over a round trip between regions with a lost
	// packet sent again twice.
	Silence = 1500 * time.Millisecond
	// probeAfter, probeEvery and probeCount are of the keep-alive probes: they
	// find such a peer where nothing is under way.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
)

// Dialer returns a dialer of such connections.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: probes(),
		Control:         control,
	}
}

// Listen returns a configuration for listeners of such connections.
func Listen() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: probes(),
		Control:         control,
	}
}

func probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeAfter,
		Interval: probeEvery,
		Count:    probeCount,
	}
}

func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Best effort: without it a lost peer is found by the probes.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Silence.Milliseconds()))
	})
}
