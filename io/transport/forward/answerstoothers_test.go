package forward

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"persimmoncross"
)

// A late rejection without a request's ID must not let a request that runs be sent again.
func TestRejectionWithoutIDIsNoProofOnUsedConnection(t *testing.T) {
	const (
		rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		late      = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"
	)
	for _, tt := range []struct {
		name     string
		requests int    // on the same connection before the one that is rejected
		answer   string // to the last request
		rejected bool   // the answer proves that the request did not run
	}{
		{
			name:     "new connection",
			answer:   rejection,
			rejected: true,
		},
		{
			name:     "used connection",
			requests: 1,
			answer:   rejection,
		},
		{
			name:     "used connection, and the answer",
			requests: 1,
			answer:   rejection + answerOf("last", "ok"),
		},
		{
			name:   "after an answer to another request",
			answer: late + rejection,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, func(n int, id string, c net.Conn) bool {
				if n < tt.requests {
					io.WriteString(c, answerOf(id, "ok"))
					return true
				}
				io.WriteString(c, tt.answer)
				return false
			})
			c := newClient()
			for range tt.requests {
				if _, err := c.get(t, u.attempt("earlier")); err != nil {
					t.Fatal(err)
				}
			}
			r, err := c.Forward(t.Context(), u.attempt("last"))
			if tt.rejected {
				if err != nil || !r.Head().NotRun {
					t.Fatalf("error %v, want a rejection", err)
				}
				r.Close()
				return
			}
			if runOf(err) != persimmoncross.RunUnknown {
				t.Errorf("error %v, want that it may have run", err)
			}
			if n := len(u.conns); n != 1 {
				t.Errorf("%d connections, want 1", n)
			}
		})
	}
}

// Interim answers before the answer must not end an attempt that runs.
func TestAnswerAfterManyInterimAnswers(t *testing.T) {
	for _, count := range []int{1, maxStray, 100} {
		u := newUpstream(t, func(_ int, id string, c net.Conn) bool {
			io.WriteString(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", count)+answerOf(id, "ok"))
			return true
		})
		if body, err := newClient().get(t, u.attempt("1")); err != nil || body != "ok" {
			t.Errorf("after %d interim answers: body %q, error %v", count, body, err)
		}
	}
}

// No answer can follow an answer to another request that ends with its connection: nobody may wait for it.
func TestUnframedAnswerToAnotherRequestIsNotReadToItsEnd(t *testing.T) {
	u := newUpstream(t, func(_ int, _ string, c net.Conn) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: other\r\n\r\nabc")
		io.Copy(io.Discard, c) // until the caller closes
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := newClient().Forward(ctx, u.attempt("1"))
	if runOf(err) != persimmoncross.RunUnknown {
		t.Errorf("error %v, want that it may have run", err)
	}
	if ctx.Err() != nil {
		t.Error("the attempt waited for its deadline")
	}
}
