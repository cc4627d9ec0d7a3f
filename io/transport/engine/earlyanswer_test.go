package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"persimmoncross"
)

// startService starts a plain service that reads the begin of each request, answers with the text and resets the connection.
func startService(t *testing.T, answer string) netip.AddrPort {
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
			c.Read(make([]byte, 4<<10))
			io.WriteString(c, answer)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// readService sends an upload to the service and reads the answer.
func readService(address netip.AddrPort, size int) error {
	response, err := NewClient().Send(context.Background(), address, persimmoncross.Attempt{
		ID:     "a",
		Method: http.MethodPost,
		Path:   "/x",
		Body:   make([]byte, size),
	})
	if err != nil {
		return err
	}
	defer response.Close()
	for {
		if _, err := response.NextChunk(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// TestEarlyAnswerThatIsCutIsNotWhole guards against a part of an answer passing for the whole one, when its connection is reset
// while the request is still being written.
func TestEarlyAnswerThatIsCutIsNotWhole(t *testing.T) {
	address := startService(t, "HTTP/1.1 200 OK\r\n\r\na part")
	whole := 0
	for range 200 {
		if readService(address, 2<<20) == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of 200 parts passed for whole answers", whole)
	}
}

// TestStatusThatHTTPLacksIsNoAnswer guards against an answer with such a status being passed on.
func TestStatusThatHTTPLacksIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		if readService(startService(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n"), 0) == nil {
			t.Errorf("status %s is passed on", status)
		}
	}
}
