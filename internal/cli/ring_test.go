package cli

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// stalled is an output whose reader has stopped until it is let go.
type stalled struct {
	begun chan struct{}
	free  chan struct{}
	text  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	select {
	case s.begun <- struct{}{}:
	default:
	}
	<-s.free
	return s.text.Write(p)
}

// Whoever logs does not wait for a stalled reader; what did not fit is counted.
func TestRingNeverWaits(t *testing.T) {
	out := &stalled{
		begun: make(chan struct{}, 1),
		free:  make(chan struct{}),
	}
	r := newRing(out)
	fmt.Fprintln(r, "first")
	<-out.begun // the writer is stalled with it
	const extra = 10
	for i := range ringLines + extra {
		fmt.Fprintln(r, "line", i)
	}
	close(out.free)
	r.Close()
	fmt.Fprintln(r, "too late") // by a goroutine that still ends
	text := out.text.String()
	if got := strings.Count(text, "line "); got != ringLines {
		t.Errorf("%d lines were written, want %d", got, ringLines)
	}
	if !strings.Contains(text, fmt.Sprintf(`"dropped":%d`, extra)) {
		t.Errorf("the %d dropped lines are not told", extra)
	}
	if !strings.HasPrefix(text, "first\nline 0\nline 1\n") {
		t.Errorf("the lines begin with %.40q", text)
	}
}
