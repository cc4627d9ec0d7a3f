package socket

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// What nobody reads would grow to megabytes for each connection.
func TestUnreadBytesAreBounded(t *testing.T) {
	const (
		unread = 32 << 10
		grown  = 64 << 20
	)
	l, err := ListenUnread(unread).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetWriteBuffer(128 << 10)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	part := make([]byte, 16<<10)
	read := make(chan error)
	go func() { // the kernel's buffer grows while its reader keeps up
		_, err := io.CopyN(io.Discard, accepted, grown)
		read <- err
	}()
	for range grown / len(part) {
		if _, err := c.Write(part); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	sent := 0
	for sent < 8<<20 {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := c.Write(part)
		sent += n
		if err != nil {
			break
		}
	}
	if most := 16 * unread; sent > most { // with the sender's own buffer
		t.Errorf("%d bytes were taken unread, want at most %d", sent, most)
	}
}
