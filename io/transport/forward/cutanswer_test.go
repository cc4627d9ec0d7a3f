package forward

import (
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against an answer that ends before its end, inside its head, an interim head, a chunk or its trailers, and is taken
// for a whole one.
func TestAnswerCutAtEachByteIsNotWhole(t *testing.T) {
	for _, tt := range []struct{ name, answer string }{
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: 1\r\n\r\nbody"},
		{"length last", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"interim head", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 7\r\n\r\n"},
		{"bare line ends", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nbody"},
	} {
		for n := range len(tt.answer) + 1 {
			u := newUpstream(t, func(_ int, _ string, c net.Conn) bool {
				io.WriteString(c, tt.answer[:n])
				return false
			})
			got, err := newClient().get(t, u.attempt("1"))
			whole := n == len(tt.answer)
			if (err == nil) != whole || whole && got != "body" {
				t.Errorf("%s, cut after %q: %q, %v", tt.name, tt.answer[max(n-12, 0):n], got, err)
			}
			if !strings.HasPrefix("body", got) {
				t.Errorf("%s, cut after %d bytes: %q is no beginning of the body", tt.name, n, got)
			}
			u.listener.Close()
		}
	}
}
