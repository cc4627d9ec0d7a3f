package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"persimmoncross/io/transport/inbound"
)

// Stream is one call under way. One goroutine sends and one receives.
type Stream struct {
	raw  *yamux.Stream
	in   *bufio.Reader
	stop func() bool

	received atomic.Int64 // bytes
	sent     atomic.Int64
	silence  atomic.Int64 // the longest wait for bytes; 0: as the deadline says
	over     atomic.Bool  // the call has ended; nothing is waited for any more

	messages *inbound.Bodies // bounds the bytes of what is received; nil: nothing does
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

func newStream(raw *yamux.Stream) *Stream {
	s := &Stream{
		raw:  raw,
		stop: func() bool { return true },
	}
	s.in = bufio.NewReader(watched{s})
	return s
}

// watched reads a stream, counts its bytes and bounds the wait for them.
type watched struct {
	stream *Stream
}

// Read implements [io.Reader].
func (w watched) Read(p []byte) (int, error) {
	s := w.stream
	if d := time.Duration(s.silence.Load()); d > 0 {
		s.raw.SetReadDeadline(time.Now().Add(d))
	}
	if s.over.Load() {
		s.raw.SetReadDeadline(past)
	}
	n, err := s.raw.Read(p)
	s.received.Add(int64(n))
	return n, err
}

// Received returns how many bytes have come.
func (s *Stream) Received() int64 { return s.received.Load() }

// Sent returns how many bytes were sent.
func (s *Stream) Sent() int64 { return s.sent.Load() }

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	n, err := protodelim.MarshalTo(s.raw, m)
	s.sent.Add(int64(n))
	return err
}

// Receive reads one message.
func (s *Stream) Receive(m proto.Message) error {
	if s.messages != nil {
		return s.receiveCounted(m)
	}
	o := protodelim.UnmarshalOptions{
		MaxSize: MaxMessage,
	}
	return o.UnmarshalFrom(s.in, m)
}

// receiveCounted reads one message, whose bytes are counted as they arrive: the size that a peer announces takes no room.
func (s *Stream) receiveCounted(m proto.Message) error {
	size, err := binary.ReadUvarint(s.in)
	if err != nil {
		return err
	}
	if size <= uint64(s.in.Size()) {
		data, err := s.in.Peek(int(size))
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		defer s.in.Discard(int(size))
		return proto.Unmarshal(data, m)
	}
	if size > MaxMessage {
		return inbound.ErrTooLarge
	}
	b := s.messages.Begin(int64(size), s.Abort)
	defer b.Release()
	data, err := b.Read(s.in, int64(size), MaxMessage, nil)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// Deadline bounds the reads that follow.
func (s *Stream) Deadline(t time.Time) {
	s.silence.Store(0)
	s.raw.SetReadDeadline(t)
}

// Silence bounds the wait for bytes in the reads that follow. A message that
// comes slowly is no silence: what matters is whether the peer lives.
func (s *Stream) Silence(d time.Duration) { s.silence.Store(int64(d)) }

// end wakes who reads; the call is over.
func (s *Stream) end() {
	s.over.Store(true)
	s.raw.Close()
	s.raw.SetReadDeadline(past)
}

// Abort ends the call, and a read that waits with it.
func (s *Stream) Abort() {
	s.stop()
	s.end()
}

// Detach lets the call outlive the context that it was made with. It reports false if that has
// ended the call already.
func (s *Stream) Detach() bool { return s.stop() }

// Quiet reports whether the stream is open and holds no bytes that were not read. Nothing may be
// reading it.
func (s *Stream) Quiet() bool {
	if s.in.Buffered() > 0 || s.over.Load() {
		return false
	}
	s.raw.SetReadDeadline(past)
	defer s.raw.SetReadDeadline(time.Time{})
	_, err := s.in.Peek(1)
	return errors.Is(err, yamux.ErrTimeout)
}

// Close ends the call.
func (s *Stream) Close() error {
	s.stop()
	return s.raw.Close()
}
