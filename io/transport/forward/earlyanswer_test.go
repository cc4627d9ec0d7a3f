package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

const (
	uploadBytes = 2 << 20
	// manyBytes are more than the kernel holds for a peer that reads nothing.
	manyBytes = 32 << 20
)

// earlyAnswers answers each upload after a part of it with the given head and a part of a body, and then ends the connection.
func earlyAnswers(t *testing.T, head string, end func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				id := ""
				for line := ""; line != "\r\n"; {
					if line, err = in.ReadString('\n'); err != nil {
						return
					}
					if name, value, _ := strings.Cut(strings.TrimSpace(line), ": "); name == "Id" {
						id = value
					}
				}
				fmt.Fprintf(c, head, id)
				io.WriteString(c, "a part")
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEarlyAnswerThatIsCutIsNotWhole guards against a part of an answer without a length passing for the whole one, when its
// connection ends while the request is still being written.
func TestEarlyAnswerThatIsCutIsNotWhole(t *testing.T) {
	reset := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	for _, tt := range []struct {
		name string
		head string
		end  func(c *net.TCPConn)
		size int
	}{
		{"reset at once", "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", reset, uploadBytes},
		{"reset while the write waits", "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}, manyBytes},
		{"closed with bytes that were not read", "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", func(c *net.TCPConn) { c.Close() }, uploadBytes},
		{"end of the answer while the write waits", "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", func(c *net.TCPConn) {
			c.CloseWrite()
			time.Sleep(time.Second)
		}, manyBytes},
		{"an earlier protocol", "HTTP/1.0 200 OK\r\nId: %s\r\n\r\n", reset, uploadBytes},
		{"a connection that is said to close", "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", reset, uploadBytes},
		{"an event stream", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", reset, uploadBytes},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address := earlyAnswers(t, tt.head, tt.end)
			client := newClient()
			whole := 0
			for n := range 20 {
				a := attemptTo(fmt.Sprint(n), address)
				a.Request.Method = http.MethodPost
				a.Request.Body = make([]byte, tt.size)
				if _, err := client.get(t, a); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of 20 parts passed for whole answers", whole)
			}
		})
	}
}
