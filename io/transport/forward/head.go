package forward

import (
	"bytes"
	"errors"
	"net"
)

// Bounds of what is read of the heads of one answer, those of interim answers and of late answers before it among
// them.
const (
	maxHead      = 64 << 10 // bytes
	maxHeadLines = 1000
	// maxStrayBody bounds the body of a late answer to another request, in bytes.
	maxStrayBody = 256 << 10
)

// errHeadTooLarge ends the reading of a head that exceeds its bounds.
var errHeadTooLarge = errors.New("forward: the head of an answer is too large")

// headReader reads from a connection and bounds the heads of an answer. It is read by a
// buffer that asks for more only if all it has read belongs to the head.
type headReader struct {
	raw     net.Conn
	limited bool // a head is being read
	size    int  // of the answer's heads, in bytes
	lines   int
}

// begin begins the heads of an answer.
func (h *headReader) begin() {
	h.size = 0
	h.lines = 0
}

// Read implements [io.Reader].
func (h *headReader) Read(p []byte) (int, error) {
	if h.limited && (h.size >= maxHead || h.lines >= maxHeadLines) {
		return 0, errHeadTooLarge
	}
	n, err := h.raw.Read(p)
	if h.limited {
		h.size += n
		h.lines += bytes.Count(p[:n], []byte("\n"))
	}
	return n, err
}
