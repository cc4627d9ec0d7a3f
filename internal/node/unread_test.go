package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
)

// A caller that reads nothing would let the kernel hold megabytes for it that no budget counts.
func TestKernelHoldsLittleForACallerThatReadsNothing(t *testing.T) {
	const most = 512 << 10 // what this end and the caller's kernel take together
	for _, tt := range []struct {
		mode    persimmoncross.OverloadMode
		limited bool
	}{
		{persimmoncross.OverloadOn, true},
		{persimmoncross.OverloadOff, false},
	} {
		e := &Entry{
			Log: zerolog.Nop(),
			Overload: persimmoncross.OverloadPolicy{
				Mode: tt.mode,
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var written atomic.Int64
		ended := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(ended)
			http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
			part := make([]byte, 8<<10)
			for {
				n, err := w.Write(part)
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{
			Handler:     handler,
			ConnContext: e.limitUnread,
		}
		go server.Serve(l)
		defer server.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(16 << 10)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ended:
		case <-ctx.Done():
		}
		if got := written.Load(); tt.limited && got > most {
			t.Errorf("%s: %d bytes were taken for a caller that reads nothing, want at most %d", tt.mode, got, most)
		} else {
			t.Logf("%s: %d bytes were taken", tt.mode, got)
		}
	}
}
