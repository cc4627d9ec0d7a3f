package forward

import (
	"io"
	"net"
	"testing"
)

// An answer with neither a length nor chunks ends with its connection, which must not serve another request;
// one whose connection is reset is not whole.
func TestAnswerFramedByConnectionEnd(t *testing.T) {
	const body = "id: 1\ndata: x\n\n"
	for _, reset := range []bool{false, true} {
		u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\n"+body)
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			return false
		})
		client := newClient()
		for _, id := range []string{"1", "2"} {
			got, err := client.get(t, u.attempt(id))
			if reset && err == nil {
				t.Errorf("request %s: a reset answer is whole", id)
			}
			if !reset && (err != nil || got != body) {
				t.Errorf("request %s: %q, %v; want the body", id, got, err)
			}
		}
		if n := len(u.conns); n != 2 {
			t.Errorf("reset %v: %d connections for two requests, want 2", reset, n)
		}
	}
}
