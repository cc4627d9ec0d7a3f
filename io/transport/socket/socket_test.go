package socket

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// minLostProbes is how many keep-alive probes in succession may be lost on the way, before the
// connection to a peer that works is given up: one, for a lossy link loses one in twenty.
const minLostProbes = 1

// maxSilentPeer is how long a peer may be silent that works on.
const maxSilentPeer = 2 * time.Second

func option(t *testing.T, c syscall.RawConn, level, name int) (value int) {
	t.Helper()
	var err error
	if e := c.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }); e != nil || err != nil {
		t.Fatal(e, err)
	}
	return value
}

// TestLostProbesAreBorne guards against a sound idle connection that is given up after one lost
// probe: the user timeout decides, whatever the count of probes. The kernel looks at both when a
// probe is due.
func TestLostProbesAreBorne(t *testing.T) {
	l, err := Listen().Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := Dialer(time.Second).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		idle := time.Duration(option(t, raw, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(option(t, raw, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
		count := option(t, raw, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		timeout := time.Duration(option(t, raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		lost := 0
		for silent := idle; timeout > 0 && silent < timeout || timeout == 0 && lost < count || lost == 0; silent += interval {
			lost++
		}
		t.Logf("%s: idle %v, interval %v, count %d, user timeout %v: given up when %d probes are lost", name, idle, interval, count, timeout, lost)
		if lost <= minLostProbes {
			t.Errorf("%s: given up when %d probes are lost", name, lost)
		}
		if timeout > 0 && timeout < maxSilentPeer {
			t.Errorf("%s: a peer that is silent for %v is given up", name, maxSilentPeer)
		}
	}
}
