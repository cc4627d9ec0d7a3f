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
	"persimmoncross/core/coordination/quarantine"
)

// Sizes of response buffers, in bytes.
const (
	// maxBufferedBody is the size below which a body is read completely before the response
	// head is sent, so that a response that is interrupted can be replaced or refused.
	maxBufferedBody = 256 << 10
	// maxEvent bounds one event of a stream.
	maxEvent       = 256 << 10
	readBufferSize = 4 << 10
)

var readBuffers = sync.Pool{
	New: func() any { return new([readBufferSize]byte) },
}

// forwardResponse forwards a response that is no event stream.
func (c *call) forwardResponse(ctx context.Context, target *Target, response persimmoncross.ProxyResponse) outcome {
	head := response.Head()
	body, complete, err := c.readBuffered(response)
	if err != nil {
		return c.handleInterruption(ctx, target, err)
	}
	if head.Status >= http.StatusInternalServerError && len(body) >= maxBufferedBody && c.canRetry() {
		return c.handleInterruption(ctx, target, errErrorTooLarge)
	}
	if !complete && !c.headSent {
		return c.forwardLargeResponse(ctx, target, head, body, response)
	}
	if complete {
		c.quarantineRun.MarkAnswered(head.Status, c.relay.Clock.Now())
	}
	if head.Status >= http.StatusBadRequest && c.keptAnswer != nil && (head.Status < http.StatusInternalServerError || !c.canRetry()) {
		return c.handleFinalError(target, head, body)
	}
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
		c.logEventWithDigest().Str("upstream", target.Name).Int("status", head.Status).Int("send", c.attempts).Msg("upstream answered with a server error")
		return outcomeRetry
	}
	if c.headSent {
		// Part of a stream was sent already, so a failure response can't be sent any more.
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

// handleFinalError handles an error that is passed on to the caller, unless the kept answer of a
// smaller model can be delivered.
func (c *call) handleFinalError(target *Target, head persimmoncross.ProxyResponseHead, body []byte) outcome {
	c.fallback = &bufferedResponse{
		head: head,
		body: body,
	}
	c.lastError = &persimmoncross.AttemptError{
		Reason:     "status",
		Run:        persimmoncross.Ran,
		HTTPStatus: head.Status,
	}
	c.logEventWithDigest().Str("upstream", target.Name).Int("status", head.Status).Int("send", c.attempts).Msg("larger model answered with an error")
	return outcomeNoRetry
}

// canRetry reports whether the request may run at another upstream.
func (c *call) canRetry() bool {
	return c.route.Repeat != persimmoncross.RetryNever && c.executions < c.maxExecutions() && c.attempts < maxAttempts
}

// sendBuffered sends a complete response. Write errors are ignored, because they mean that the
// caller disconnected.
func (c *call) sendBuffered(head persimmoncross.ProxyResponseHead, body []byte) {
	c.recordHeadSent()
	if c.request.Method != http.MethodHead {
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

// forwardLargeResponse forwards a response that is too large to be buffered.
func (c *call) forwardLargeResponse(ctx context.Context, target *Target, head persimmoncross.ProxyResponseHead, body []byte, rest io.Reader) outcome {
	c.recordHeadSent()
	if c.sink.WriteHead(head) != nil || c.sink.Write(body) != nil {
		return outcomeDone
	}
	if c.fallback == nil {
		c.releaseHeldBytes() // body is sent
	}
	b := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(b)
	for {
		n, err := rest.Read(b[:])
		if n > 0 && c.sink.Write(b[:n]) != nil {
			return outcomeDone
		}
		if errors.Is(err, io.EOF) {
			c.quarantineRun.MarkAnswered(head.Status, c.relay.Clock.Now())
			c.sink.Flush()
			return outcomeDone
		}
		if err != nil {
			c.handleInterruption(ctx, target, err)
			return outcomeNoRetry
		}
	}
}

// handleInterruption handles a response that was interrupted.
func (c *call) handleInterruption(ctx context.Context, target *Target, err error) outcome {
	e := asAttemptError(err, "cut", persimmoncross.Ran)
	c.lastError = e
	c.recordDisconnect(ctx, target, e)
	if unread := c.heldSink.unreadTime(); unread >= minUnreadTime {
		c.recordUnread(target, unread)
	} else if ctx.Err() == nil {
		c.recordResult(target, true)
	}
	c.logEventWithDigest().Str("upstream", target.Name).Str("reason", e.Reason).Str("detail", e.Detail).Str("event", c.lastEventID).Dur("ran", c.quarantineRun.RunTime(c.relay.Clock.Now())).Strs("parts", quarantine.LoggedDigests(c.quarantineRequest.Parts)).Int("send", c.attempts).Msg("response interrupted")
	if c.route.Repeat == persimmoncross.RetryNever || (c.headSent && c.route.Repeat != persimmoncross.RetryResume) {
		return outcomeNoRetry
	}
	return outcomeRetry
}

// forwardStream forwards events as they are received, complete ones only. A stream that is
// interrupted resumes at another upstream after the last event that was sent to the caller.
func (c *call) forwardStream(ctx context.Context, target *Target, response persimmoncross.ProxyResponse, detector *stallDetector) outcome {
	modelIndex := c.modelIndex
	if c.escalateModel(response.Head().ModelConfidence) {
		c.keepAnswer(ctx, target, response, modelIndex)
		return outcomeEscalated
	}
	return c.forwardEvents(ctx, target, response, detector)
}

// sendHead sends the response head to the caller, unless one was sent. It reports whether the caller
// is still connected.
func (c *call) sendHead(head persimmoncross.ProxyResponseHead) bool {
	if c.headSent {
		return true
	}
	c.recordHeadSent()
	connected := c.sink.WriteHead(head) == nil && c.sink.Flush() == nil
	c.dropKeptAnswer("larger model answers") // after the head, because it waits for the end of that run
	return connected
}

// forwardEvents forwards the events of a response whose model was accepted. While the answer of a
// smaller model is kept, the head is sent with the first event, so that the kept answer can replace a
// response that is interrupted before that.
func (c *call) forwardEvents(ctx context.Context, target *Target, response persimmoncross.ProxyResponse, detector *stallDetector) outcome {
	head := response.Head()
	if c.keptAnswer == nil && !c.sendHead(head) {
		return outcomeDone
	}
	b := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(b)
	var pending []byte
	counted := 0 // bytes of pending that are counted
	target.activeStreams.Add(1)
	defer target.activeStreams.Add(-1)
	timing := streamTiming{
		headReceived: c.relay.Clock.Now(),
		partial:      c.lastEventID != "",
	}
	if _, kept := response.(*keptAnswer); kept {
		timing.partial = true
	}
	observed := c.observeStream(target, timing)
	defer func() { c.relay.CanaryStats.observe(observed, c.relay.Clock.Now(), true) }()
	for {
		readStart := c.relay.Clock.Now()
		n, err := response.Read(b[:])
		searched := len(pending)
		pending = append(pending, b[:n]...)
		counted = c.countPending(counted, cap(pending))
		completeLen := completeEventsLen(pending, searched)
		if completeLen > 0 {
			now := c.relay.Clock.Now()
			detector.recordBytes(now)
			target.recordReceived(now)
			acceptedLen, acceptedEvents := c.acceptEvents(pending[:completeLen])
			pause := timing.recordEvents(now, acceptedEvents)
			target.recordPause(pause, now)
			observed.recordEvents(pause, acceptedEvents)
			c.relay.CanaryStats.observe(observed, now, false)
			c.relay.recordEventBatch(target.DataCentre, now.Sub(readStart), acceptedEvents, now)
			if acceptedLen > 0 && (!c.sendHead(head) || c.sink.Write(pending[:acceptedLen]) != nil || c.sink.Flush() != nil) {
				return outcomeDone
			}
			unread := c.heldSink.takeUnread()
			timing.exclude(unread)
			observed.exclude(unread)
			if acceptedLen < completeLen {
				return c.handleInterruption(ctx, target, errEventOrder)
			}
			pending = append(pending[:0], pending[completeLen:]...)
		}
		switch {
		case len(pending) > maxEvent:
			return c.handleInterruption(ctx, target, errEventTooLarge)
		case err == nil:
		case errors.Is(err, io.EOF) && len(pending) == 0 && timing.events == 0 && c.lastEventID == "" && c.request.Method != http.MethodHead:
			return c.handleInterruption(ctx, target, errNoEvents)
		case errors.Is(err, io.EOF) && len(pending) == 0:
			if !c.sendHead(head) {
				return outcomeDone
			}
			c.quarantineRun.MarkCompleted(c.relay.Clock.Now())
			c.recordCompletedStream(target, timing)
			return outcomeDone
		case errors.Is(err, io.EOF):
			return c.handleInterruption(ctx, target, errIncompleteEvent)
		case detector.stop():
			return c.handleAbort(target, detector, c.relay.Clock.Now().Sub(timing.headReceived))
		default:
			return c.handleInterruption(ctx, target, err)
		}
	}
}

// observeStream begins the observation of the stream's pace, unless it is not that of its upstream.
func (c *call) observeStream(target *Target, timing streamTiming) *observedStream {
	if timing.partial {
		return nil
	}
	key := c.canaryKey(target)
	key.Model = c.modelName()
	return c.relay.CanaryStats.beginStream(c.upgrade, key, timing.headReceived)
}

var (
	errEventOrder = &persimmoncross.AttemptError{
		Reason: "order",
		Run:    persimmoncross.Ran,
		Detail: "an event does not follow the one before",
	}
	// errNoEvents is the end of a stream that has not begun: an upstream that crashes after the head of an answer
	// which ends with its connection.
	errNoEvents = &persimmoncross.AttemptError{
		Reason:         "empty",
		Run:            persimmoncross.Ran,
		ConnectionLost: true,
		Detail:         "the stream ends before its first event",
	}
	errIncompleteEvent = &persimmoncross.AttemptError{
		Reason:         "half",
		Run:            persimmoncross.Ran,
		ConnectionLost: true,
		Detail:         "the stream ends inside an event",
	}
	// errEventTooLarge and errErrorTooLarge end responses that would be held until an end which may not come.
	errEventTooLarge = &persimmoncross.AttemptError{
		Reason: "large",
		Run:    persimmoncross.Ran,
		Detail: "an event is larger than one may be",
	}
	errErrorTooLarge = &persimmoncross.AttemptError{
		Reason: "large",
		Run:    persimmoncross.Ran,
		Detail: "an error response is larger than one may be",
	}
)

// latencyObjective returns the time within which the response should begin.
func (c *call) latencyObjective() time.Duration {
	if c.route.Objective > 0 {
		return c.route.Objective
	}
	return c.route.Timeout
}

// maxEventEnd is the length of the longest end of an event, in bytes.
const maxEventEnd = 4

// completeEventsLen returns the length of the complete events at the start of b, in bytes. No event ends in
// its first bytes, which were searched before.
func completeEventsLen(b []byte, searched int) int {
	from := max(searched-maxEventEnd+1, 0)
	end := 0
	if i := bytes.LastIndex(b[from:], []byte("\n\n")); i >= 0 {
		end = from + i + 2
	}
	if i := bytes.LastIndex(b[from:], []byte("\r\n\r\n")); i >= 0 {
		end = max(end, from+i+maxEventEnd)
	}
	return end
}

// minEventsForDuration is the least number of events of a stream for which the time between
// events is counted. In shorter streams that time depends on the prefill of other prompts
// meanwhile, not on the version.
const minEventsForDuration = 5

// recordCompletedStream counts and logs a stream that was forwarded completely.
func (c *call) recordCompletedStream(target *Target, timing streamTiming) {
	now := c.relay.Clock.Now()
	took := now.Sub(timing.headReceived)
	if !timing.partial {
		c.relay.ModelStats.recordGeneration(c.service, c.modelName(), c.expectedOutputTokens(), took, now)
		c.capacity.recordStream(timing.events, took)
	}
	if timing.events >= minEventsForDuration {
		c.relay.CanaryStats.recordDuration(c.upgrade, c.canaryKey(target), took/time.Duration(timing.events-1))
	}
	c.relay.logEvent(c.request).Str("route", c.route.Name).Str("upstream", target.Name).Str("datacentre", target.DataCentre).Str("version", target.Version).Str("model", c.modelName()).
		Int("events", timing.events).Dur("took", took).Dur("pause", timing.longestPause).Int("pauseAt", timing.eventsBeforePause).Int("atOnce", timing.eventsAfterPause).Int("sends", c.attempts).Msg("answered")
}

// streamTiming records when the events of one attempt were received.
type streamTiming struct {
	partial           bool      // the response does not hold the whole answer, or was received before
	headReceived      time.Time // when the response head was received
	lastReceived      time.Time // when events were last received
	events            int
	longestPause      time.Duration // longest pause between two reads of events
	eventsBeforePause int           // events before the longest pause
	eventsAfterPause  int           // events in the read that ended the longest pause
}

// recordEvents records events that were received together, and returns the pause before them.
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

// exclude excludes a time in which nothing was read from the upstream.
func (s *streamTiming) exclude(d time.Duration) {
	s.headReceived = s.headReceived.Add(d)
	s.lastReceived = s.lastReceived.Add(d)
}

// acceptEvents records the IDs of complete events. It returns the length and number of the events
// before the first one whose ID does not follow that of the preceding event.
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

// eventID returns the ID of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.Trim(id, " \r"))
		}
	}
	return ""
}

// isNextID reports whether id may follow last. If last is an integer, id must be last plus one;
// otherwise any id may follow.
func isNextID(last, id string) bool {
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	return err == nil && number == lastNumber+1
}
