package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"persimmoncross"
)

// Sizes of answers.
const (
	// maxBufferedBody is the size up to which an answer is read whole before its head
	// is sent, so that one that breaks off can be replaced or refused.
	maxBufferedBody = 256 << 10
	readBufferSize  = 4 << 10
)

var readBuffers = sync.Pool{
	New: func() any { return new([readBufferSize]byte) },
}

// forwardResponse carries an answer that is no stream of events.
func (c *call) forwardResponse(ctx context.Context, target *Target, response persimmoncross.ProxyResponse) outcome {
	head := response.Head()
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBody))
	if err != nil {
		return c.handleInterruption(ctx, target, err)
	}
	if len(body) == maxBufferedBody {
		return c.forwardLargeResponse(ctx, target, head, body, response)
	}
	c.quarantineRun.MarkCompleted(c.relay.Clock.Now())
	if head.Status >= http.StatusInternalServerError && c.canRetry() {
		if c.fallback == nil {
			c.fallback = &bufferedResponse{
				head: head,
				body: body,
			}
		}
		c.lastError = &persimmoncross.AttemptError{
			Reason:     "status",
			Run:        persimmoncross.Ran,
			HTTPStatus: head.Status,
		}
		c.logEventWithDigest().Str("upstream", target.Incarnation).Int("status", head.Status).Int("send", c.attempts).Msg("upstream failed")
		return outcomeRetry
	}
	if c.headSent {
		// A failure in place of the rest of a stream can't be sent any more.
		c.lastError = &persimmoncross.AttemptError{
			Reason:     "status",
			Run:        persimmoncross.Ran,
			HTTPStatus: head.Status,
		}
		return outcomeRetry
	}
	c.sendBuffered(head, body)
	return outcomeDone
}

// canRetry reports whether the passage may run at another upstream.
func (c *call) canRetry() bool {
	return c.route.Repeat != persimmoncross.RetryNever && c.executions < c.maxExecutions() && c.attempts < maxAttempts
}

// sendBuffered sends a whole answer. A caller that is gone needs none.
func (c *call) sendBuffered(head persimmoncross.ProxyResponseHead, body []byte) {
	c.headSent = true
	if c.passage.Method != http.MethodHead {
		head.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if c.sink.WriteHead(head) != nil {
		return
	}
	if len(body) > 0 && c.sink.Write(body) != nil {
		return
	}
	c.sink.Flush()
}

// forwardLargeResponse passes on an answer that is too forwardLargeResponse to be kept.
func (c *call) forwardLargeResponse(ctx context.Context, target *Target, head persimmoncross.ProxyResponseHead, body []byte, rest io.Reader) outcome {
	c.headSent = true
	if c.sink.WriteHead(head) != nil || c.sink.Write(body) != nil {
		return outcomeDone
	}
	b := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(b)
	for {
		n, err := rest.Read(b[:])
		if n > 0 && c.sink.Write(b[:n]) != nil {
			return outcomeDone
		}
		if errors.Is(err, io.EOF) {
			c.quarantineRun.MarkCompleted(c.relay.Clock.Now())
			c.sink.Flush()
			return outcomeDone
		}
		if err != nil {
			c.handleInterruption(ctx, target, err)
			return outcomeNoRetry
		}
	}
}

// handleInterruption takes an answer that ended before its end.
func (c *call) handleInterruption(ctx context.Context, target *Target, err error) outcome {
	e := asAttemptError(err, "cut", persimmoncross.Ran)
	c.lastError = e
	c.recordCut(ctx, target, e)
	if ctx.Err() == nil {
		c.recordResult(target, true)
	}
	c.logEventWithDigest().Str("upstream", target.Incarnation).Str("reason", e.Reason).Str("detail", e.Detail).Str("event", c.lastEventID).Int("send", c.attempts).Msg("answer broke off")
	if c.route.Repeat == persimmoncross.RetryNever || (c.headSent && c.route.Repeat != persimmoncross.RetryResume) {
		return outcomeNoRetry
	}
	return outcomeRetry
}

// forwardStream carries events as they come, only whole ones. What breaks off goes on
// at another upstream after the last event that the caller has.
func (c *call) forwardStream(ctx context.Context, target *Target, response persimmoncross.ProxyResponse, detector *stallDetector) outcome {
	head := response.Head()
	if c.escalateModel(head.ModelConfidence) {
		return outcomeRetry
	}
	if !c.headSent {
		c.headSent = true
		if c.sink.WriteHead(head) != nil {
			return outcomeDone
		}
		if c.sink.Flush() != nil {
			return outcomeDone
		}
	}
	b := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(b)
	var pending []byte
	target.activeStreams.Add(1)
	defer target.activeStreams.Add(-1)
	timing := streamTiming{
		headReceived: c.relay.Clock.Now(),
	}
	for {
		readStart := c.relay.Clock.Now()
		n, err := response.Read(b[:])
		pending = append(pending, b[:n]...)
		completeLen := completeEventsLen(pending)
		if completeLen > 0 {
			now := c.relay.Clock.Now()
			detector.recordBytes(now)
			target.recordReceived(now)
			acceptedLen, acceptedEvents := c.acceptEvents(pending[:completeLen])
			target.recordPause(timing.recordEvents(now, acceptedEvents), now)
			c.relay.recordEventBatch(target.DataCentre, now.Sub(readStart), acceptedEvents, now)
			if acceptedLen > 0 && (c.sink.Write(pending[:acceptedLen]) != nil || c.sink.Flush() != nil) {
				return outcomeDone
			}
			if acceptedLen < completeLen {
				return c.handleInterruption(ctx, target, errEventOrder)
			}
			pending = append(pending[:0], pending[completeLen:]...)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(pending) == 0:
			c.quarantineRun.MarkCompleted(c.relay.Clock.Now())
			c.recordCompletedStream(target, timing)
			return outcomeDone
		case errors.Is(err, io.EOF):
			return c.handleInterruption(ctx, target, errIncompleteEvent)
		case detector.stop():
			return c.handleStall(target, detector, c.relay.Clock.Now().Sub(timing.headReceived))
		default:
			return c.handleInterruption(ctx, target, err)
		}
	}
}

var (
	errEventOrder = &persimmoncross.AttemptError{
		Reason: "order",
		Run:    persimmoncross.Ran,
		Detail: "an event does not follow the one before",
	}
	errIncompleteEvent = &persimmoncross.AttemptError{
		Reason:         "half",
		Run:            persimmoncross.Ran,
		ConnectionLost: true,
		Detail:         "the stream ends inside an event",
	}
)

// latencyObjective is the time in which the answer should begin.
func (c *call) latencyObjective() time.Duration {
	if c.route.Objective > 0 {
		return c.route.Objective
	}
	return c.route.Timeout
}

// completeEventsLen returns how many of the bytes are whole events.
func completeEventsLen(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// minPacedEvents is the number of events from which the time between them is that
// of the version, not of the prompts that were read meanwhile.
const minPacedEvents = 5

// recordCompletedStream tells of a whole stream.
func (c *call) recordCompletedStream(target *Target, timing streamTiming) {
	took := c.relay.Clock.Now().Sub(timing.headReceived)
	if timing.events >= minPacedEvents {
		c.relay.CanaryStats.recordDuration(c.upgrade, c.canaryKey(target), took/time.Duration(timing.events-1))
	}
	c.relay.logEvent(c.passage).Str("route", c.route.Name).Str("upstream", target.Incarnation).Str("datacentre", target.DataCentre).Str("version", target.Version).Str("model", c.modelName()).
		Int("events", timing.events).Dur("took", took).Dur("pause", timing.longestPause).Int("pauseAt", timing.eventsBeforePause).Int("atOnce", timing.eventsAfterPause).Int("sends", c.attempts).Msg("answered")
}

// streamTiming is how the events of one attempt came.
type streamTiming struct {
	headReceived      time.Time // when the head came
	lastReceived      time.Time // when events came last
	events            int
	longestPause      time.Duration // the longest between two reads of events
	eventsBeforePause int           // events before it
	eventsAfterPause  int           // events in the read that ended it
}

// recordEvents notes events that came together, and returns the pause before them.
func (s *streamTiming) recordEvents(now time.Time, events int) time.Duration {
	previous := s.lastReceived
	if previous.IsZero() {
		previous = s.headReceived
	}
	pause := now.Sub(previous)
	if pause > s.longestPause {
		s.longestPause = pause
		s.eventsBeforePause = s.events
		s.eventsAfterPause = events
	}
	s.lastReceived = now
	s.events += events
	return pause
}

// acceptEvents notes the ids of whole events, and returns the bytes up to the first
// one that does not follow the event before it, and how many events they are.
func (c *call) acceptEvents(b []byte) (acceptedLen, events int) {
	for acceptedLen < len(b) {
		rest := b[acceptedLen:]
		end := len(rest)
		if i := bytes.Index(rest, []byte("\n\n")); i >= 0 {
			end = i + 2
		}
		if i := bytes.Index(rest, []byte("\r\n\r\n")); i >= 0 && i+4 < end {
			end = i + 4
		}
		if id := eventID(rest[:end]); id != "" {
			if c.lastEventID != "" && !isNextID(c.lastEventID, id) {
				return acceptedLen, events
			}
			c.lastEventID = id
		}
		acceptedLen += end
		events++
	}
	return acceptedLen, events
}

// eventID returns the id of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.Trim(id, " \r"))
		}
	}
	return ""
}

// isNextID reports whether two events may follow each other: ids that are whole
// numbers grow by one.
func isNextID(last, id string) bool {
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	return err == nil && number == lastNumber+1
}
