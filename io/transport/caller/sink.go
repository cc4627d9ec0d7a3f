package caller

import (
	"net/http"
	"strconv"
	"time"

	"persimmoncross"
	"persimmoncross/io/protocol/chat"
	"persimmoncross/io/protocol/problem"
	"persimmoncross/io/protocol/sse"
)

// heldBody is how much of a body is held back, so that a late refusal can
// still be a problem document. A longer one goes out as it comes.
const heldBody = 1 << 20

// writeTimeout is how long a caller may take to accept one chunk.
const writeTimeout = time.Minute

// sink writes an answer to a caller. It implements [persimmoncross.ResponseSink].
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	clock   persimmoncross.Clock
	request string
	head    persimmoncross.ResponseHead
	held    []byte
	begun   bool // the status line is out
	buffer  []byte
	aborted bool
}

// Start implements [persimmoncross.ResponseSink].
func (s *sink) Start(h persimmoncross.ResponseHead) error {
	s.head = h
	if h.RequestID != "" {
		s.request = h.RequestID
	}
	if !h.Stream {
		return nil
	}
	s.head.ContentType = "text/event-stream"
	s.w.Header().Set("Cache-Control", "no-store")
	s.begin()
	return s.control.Flush()
}

func (s *sink) begin() {
	s.begun = true
	header := s.w.Header()
	header.Set("Request-Id", s.request)
	if s.head.Version.Model != "" {
		header.Set("Model-Version", s.head.Version.String())
	}
	if s.head.ContentType != "" {
		header.Set("Content-Type", s.head.ContentType)
	}
	s.w.WriteHeader(s.head.Status)
}

// Write implements [persimmoncross.ResponseSink].
func (s *sink) Write(chunk []byte) error {
	s.control.SetWriteDeadline(s.clock.Now().Add(writeTimeout))
	if s.head.Stream {
		s.buffer = sse.AppendData(s.buffer[:0], chunk)
		if _, err := s.w.Write(s.buffer); err != nil {
			return err
		}
		return s.control.Flush()
	}
	if !s.begun {
		s.held = append(s.held, chunk...)
		if len(s.held) <= heldBody {
			return nil
		}
		s.begin()
		chunk, s.held = s.held, nil
	}
	_, err := s.w.Write(chunk)
	return err
}

// End implements [persimmoncross.ResponseSink].
func (s *sink) End(r *persimmoncross.Refusal) {
	s.control.SetWriteDeadline(s.clock.Now().Add(writeTimeout))
	switch {
	case r != nil && !s.begun:
		s.w.Header().Set("Request-Id", s.request)
		problem.Write(s.w, r, s.request)
	case r != nil && s.head.Stream:
		s.w.Write(sse.AppendNamed(nil, "error", problem.Encode(r, s.request)))
	case r != nil:
		s.aborted = true // the body must not look whole
	case s.head.Stream:
		s.w.Write(sse.AppendData(nil, []byte(chat.Done)))
	case !s.begun:
		s.w.Header().Set("Content-Length", strconv.Itoa(len(s.held)))
		s.begin()
		s.w.Write(s.held)
	}
}
