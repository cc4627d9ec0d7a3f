package relay

import (
	"errors"
	"io"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/buffers"
)

// Times of callers that read slowly.
const (
	// UnreadTimeout is how long after its deadline a part of an answer may stay unread before its
	// connection is closed: answers that are ready are delivered, also late, but a caller that reads
	// nothing does not hold memory for ever.
	UnreadTimeout = 5 * time.Second
	// unreadPart is the size of such a part in bytes: callers on slow links read it in UnreadTimeout.
	unreadPart = 32 << 10
	// minUnreadTime is how long a caller must not have read before the end of the response is put
	// down to the caller and not to the upstream: some upstreams cut responses that remain unread.
	minUnreadTime = time.Second
)

// deadlineSink is a sink whose writes end at a time.
type deadlineSink interface {
	SetWriteDeadline(at time.Time) error
}

// limitedSink ends writes at a time, so that a caller that reads nothing holds its connection, and a handler, no longer.
// Only the goroutine that serves the request uses it.
type limitedSink struct {
	persimmoncross.ProxyResponseSink
	clock    persimmoncross.Clock
	log      zerolog.Logger
	deadline time.Time
}

// heldSink measures the time during which the caller does not read. What is written is counted where it was read: with the
// request, by readBuffered or by countPending. A nil heldSink measures nothing. Only the goroutine that serves the
// request uses it.
type heldSink struct {
	limitedSink
	detector *stallDetector

	attemptUnread time.Duration // time spent in writes during the current attempt
	untaken       time.Duration // part of it that takeUnread has not returned yet
}

// limitSink limits the writes of the call's response, and begins to count the bytes held for it.
func (c *call) limitSink() {
	r := c.relay
	limited := limitedSink{
		ProxyResponseSink: c.sink,
		clock:             r.Clock,
		log:               r.Log,
		deadline:          c.deadline,
	}
	if r.HeldBytes == nil || !r.overloadEnabled(persimmoncross.OverloadBuffers, c.service) {
		c.sink = &limited
		return
	}
	c.heldSink = &heldSink{
		limitedSink: limited,
	}
	c.sink = c.heldSink
}

// releaseHeldBytes releases the bytes of the call's responses.
func (c *call) releaseHeldBytes() {
	if c.heldResponses > 0 {
		c.relay.HeldBytes.add(buffers.Responses, -c.heldResponses)
		c.heldResponses = 0
	}
}

// watch begins an attempt, whose stall detector learns when the caller does not read.
func (s *heldSink) watch(detector *stallDetector) {
	if s == nil {
		return
	}
	s.detector = detector
	s.attemptUnread = 0
	s.untaken = 0
}

// unreadTime returns for how long the caller did not read during the current attempt.
func (s *heldSink) unreadTime() time.Duration {
	if s == nil {
		return 0
	}
	return s.attemptUnread
}

// takeUnread returns for how long the caller did not read since the last call.
func (s *heldSink) takeUnread() time.Duration {
	if s == nil {
		return 0
	}
	d := s.untaken
	s.untaken = 0
	return d
}

// WriteHead implements [persimmoncross.ProxyResponseSink].
func (s *limitedSink) WriteHead(h persimmoncross.ProxyResponseHead) error {
	s.limitWrite(s.deadline)
	return s.ProxyResponseSink.WriteHead(h)
}

// limitWrite lets writes end UnreadTimeout after the given time, or after now if that is later.
func (s *limitedSink) limitWrite(at time.Time) {
	if now := s.clock.Now(); now.After(at) {
		at = now
	}
	if d, ok := s.ProxyResponseSink.(deadlineSink); ok {
		if err := d.SetWriteDeadline(at.Add(UnreadTimeout)); err != nil {
			s.log.Warn().Err(err).Msg("no deadline could be set for writing a response")
		}
	}
}

// extendLimit begins a part of the answer that is written after the deadline.
func (s *limitedSink) extendLimit() {
	if s.clock.Now().After(s.deadline) {
		s.limitWrite(s.deadline)
	}
}

// Write implements [persimmoncross.ProxyResponseSink].
func (s *limitedSink) Write(p []byte) error {
	for {
		part := p[:min(len(p), unreadPart)]
		p = p[len(part):]
		s.extendLimit()
		if err := s.ProxyResponseSink.Write(part); err != nil || len(p) == 0 {
			return err
		}
	}
}

// Flush implements [persimmoncross.ProxyResponseSink].
func (s *limitedSink) Flush() error {
	s.extendLimit()
	return s.ProxyResponseSink.Flush()
}

// Write implements [persimmoncross.ProxyResponseSink].
func (s *heldSink) Write(p []byte) error {
	return s.measure(func() error { return s.limitedSink.Write(p) })
}

// Flush implements [persimmoncross.ProxyResponseSink].
func (s *heldSink) Flush() error { return s.measure(s.limitedSink.Flush) }

// measure adds the time that the write takes to the time during which the caller does not read.
func (s *heldSink) measure(write func() error) error {
	start := s.clock.Now()
	if s.detector != nil {
		s.detector.unread.Store(true)
	}
	err := write()
	now := s.clock.Now()
	s.attemptUnread += now.Sub(start)
	s.untaken += now.Sub(start)
	if s.detector != nil {
		s.detector.recordBytes(now)
		s.detector.unread.Store(false)
	}
	return err
}

// countPending counts the buffer of a stream's incomplete event. The request runs, so it is never
// refused.
func (c *call) countPending(counted, size int) int {
	if c.heldSink == nil || size <= max(counted, readBufferSize) {
		return counted
	}
	grown := int64(size - max(counted, readBufferSize)) // the first buffer is counted with the request
	c.relay.HeldBytes.add(buffers.Responses, grown)
	c.heldResponses += grown
	return size
}

// recordUnread records that a response ended after its caller had not read for a while. That is no
// failure of the upstream.
func (c *call) recordUnread(target *Target, unread time.Duration) {
	target.recordInconclusive()
	c.relay.incrementCounter("unread")
	c.relay.logEvent(c.request).Str("upstream", target.Name).Dur("unread", unread).Str("event", c.lastEventID).Msg("response ended after its caller had not read for a while")
}

// readBuffered reads a body that is sent only when it is complete. It returns complete false, with
// what was read, if the rest must be forwarded as it comes: the body is as large as
// maxBufferedBody, or this entry may hold no more bytes.
func (c *call) readBuffered(response io.Reader) (body []byte, complete bool, err error) {
	if c.heldSink == nil {
		body, err = io.ReadAll(io.LimitReader(response, maxBufferedBody))
		return body, len(body) < maxBufferedBody, err
	}
	body = make([]byte, 0, readBufferSize) // counted with the request
	for {
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		case len(body) < cap(body):
			continue
		case cap(body) >= maxBufferedBody:
			return body, false, nil
		}
		// The response of a request that runs uses the whole limit, also the reserve for new
		// requests that are more urgent.
		if !c.relay.HeldBytes.reserve(buffers.Responses, int64(cap(body)), 0) {
			c.relay.incrementCounter("unbuffered")
			return body, false, nil
		}
		c.heldResponses += int64(cap(body))
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}
