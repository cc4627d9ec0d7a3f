package engine

import (
	"errors"
	"io"

	"persimmoncross"
	"persimmoncross/io/protocol/chat"
	"persimmoncross/io/protocol/sse"
)

// streamAnswer is a chat answer that comes as events. It is whole when a
// choice has finished and the engine's own end mark has come.
type streamAnswer struct {
	head     persimmoncross.ResponseHead
	body     io.ReadCloser
	events   *sse.Reader
	usage    persimmoncross.Usage
	id       string // of the completion: all events carry the same
	finished bool
}

func newStreamAnswer(head persimmoncross.ResponseHead, body io.ReadCloser) *streamAnswer {
	return &streamAnswer{
		head:   head,
		body:   body,
		events: sse.NewReader(body),
	}
}

// Head implements [persimmoncross.Response].
func (s *streamAnswer) Head() persimmoncross.ResponseHead { return s.head }

// Usage implements [persimmoncross.Response]. Until the engine tells, each event
// counts as one token.
func (s *streamAnswer) Usage() persimmoncross.Usage { return s.usage }

// Close implements [persimmoncross.Response].
func (s *streamAnswer) Close() error { return s.body.Close() }

// NextChunk implements [persimmoncross.Response].
func (s *streamAnswer) NextChunk() ([]byte, error) {
	e, err := s.events.Next()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, cut("cut", persimmoncross.Ran, errNoMark)
	}
	if err != nil {
		return nil, cut("cut", persimmoncross.Ran, err)
	}
	if string(e.Data) == chat.Done {
		if !s.finished {
			return nil, failed("notwhole", persimmoncross.Ran, "the end mark came before a finish reason")
		}
		return nil, io.EOF
	}
	return e.Data, s.read(e)
}

func (s *streamAnswer) read(e sse.Event) error {
	part, err := chat.ParsePart(e.Data)
	if err != nil {
		return failed("malformed", persimmoncross.Ran, "an event is not JSON: %v", err)
	}
	if e.Name == "error" || part.Error != nil {
		return failed("error", persimmoncross.Ran, "the engine failed in the middle")
	}
	if s.id == "" {
		s.id = part.ID
	}
	if part.ID != s.id {
		return failed("crossed", persimmoncross.Ran, "an event of %q came in the stream of %q", part.ID, s.id)
	}
	s.finished = s.finished || part.Finished()
	switch {
	case part.Usage != nil:
		s.usage = persimmoncross.Usage{
			Input:  part.Usage.Input,
			Output: part.Usage.Output,
		}
	case len(part.Choices) > 0 && !part.Finished():
		s.usage.Output++
	}
	return nil
}
