package forward

import (
	"io"
	"net"
	"testing"
)

// TestStatusThatHTTPLacksIsNoAnswer guards against an answer with such a status being passed on, or read past as an interim one.
func TestStatusThatHTTPLacksIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		u := newUpstream(t, func(n int, id string, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 "+status+" X\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n"+answerOf(id, "later"))
			return true
		})
		if got, err := newClient().get(t, u.attempt("1")); err == nil {
			t.Errorf("status %s: %q is passed on", status, got)
		}
	}
}
