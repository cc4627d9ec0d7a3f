package engine

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against requests on an idle connection whose path is lost, which waited until their deadline: the
// system probes such a connection after minutes. There is no user timeout, which would end a connection to a
// service that reads nothing of a large body for a while.
func TestIdleConnectionsAreProbed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := DialDirect(t.Context(), l.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, option := range []struct {
		name  string
		level int
		id    int
		max   int
	}{
		{
			name:  "keep-alive idle seconds",
			level: unix.IPPROTO_TCP,
			id:    unix.TCP_KEEPIDLE,
			max:   1,
		},
		{
			name:  "keep-alive interval seconds",
			level: unix.IPPROTO_TCP,
			id:    unix.TCP_KEEPINTVL,
			max:   1,
		},
		{
			name:  "keep-alive probes",
			level: unix.IPPROTO_TCP,
			id:    unix.TCP_KEEPCNT,
			max:   3,
		},
		{
			name:  "user timeout",
			level: unix.IPPROTO_TCP,
			id:    unix.TCP_USER_TIMEOUT,
			max:   0,
		},
	} {
		value := 0
		if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), option.level, option.id) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		if value > option.max {
			t.Errorf("%s: %d, want at most %d", option.name, value, option.max)
		}
	}
}
