package cli

import (
	"bytes"
	"fmt"
	"strings"
	"syscall"
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

// partial is an output that takes a part of some writes and then refuses once.
type partial struct {
	refusals []error // one for each write, nil: it takes all
	text     bytes.Buffer
}

func (p *partial) Write(b []byte) (int, error) {
	if len(p.refusals) == 0 {
		return p.text.Write(b)
	}
	err := p.refusals[0]
	p.refusals = p.refusals[1:]
	if err == nil {
		return p.text.Write(b)
	}
	n, _ := p.text.Write(b[:len(b)/2])
	return n, err
}

// Guards against lines that an output takes in part and whose rest is lost unseen.
func TestRingTellsUnwrittenLines(t *testing.T) {
	tests := []struct {
		name    string
		refusal error
		lines   int // that are whole in the output
		told    string
	}{
		{"not ready", syscall.EAGAIN, 2, ""},
		{"failed", syscall.EIO, 1, `"lost":1,"error":"input/output error"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out := &partial{
				refusals: []error{tt.refusal},
			}
			r := &ring{
				out: out,
			}
			r.flush([]byte("{\"line\":1}\n"))
			r.flush([]byte("{\"line\":2}\n"))
			text := out.text.String()
			whole := 0
			for _, line := range strings.Split(text, "\n") {
				if line == `{"line":1}` || line == `{"line":2}` {
					whole++
				}
			}
			if whole != tt.lines {
				t.Errorf("%d lines are whole, want %d: %q", whole, tt.lines, text)
			}
			if !strings.Contains(text, tt.told) {
				t.Errorf("%q does not tell %q", text, tt.told)
			}
		})
	}
}
