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
	// wholeLimit is the size up to which an answer is read whole before its head
	// is sent, so that one that breaks off can be replaced or refused.
	wholeLimit = 256 << 10
	readSize   = 4 << 10
)

var buffers = sync.Pool{
	New: func() any { return new([readSize]byte) },
}

// plain carries an answer that is no stream of events.
func (t *trip) plain(ctx context.Context, target *Target, a persimmoncross.PassageAnswer) verdict {
	head := a.Head()
	body, err := io.ReadAll(io.LimitReader(a, wholeLimit))
	if err != nil {
		return t.broke(ctx, target, err)
	}
	if len(body) == wholeLimit {
		return t.large(ctx, target, head, body, a)
	}
	t.record.Whole(t.relay.Clock.Now())
	if head.Status >= http.StatusInternalServerError && t.mayRepeat() {
		if t.held == nil {
			t.held = &heldAnswer{
				head: head,
				body: body,
			}
		}
		t.last = &persimmoncross.AttemptError{
			Reason: "status",
			Run:    persimmoncross.Ran,
			Status: head.Status,
		}
		t.line().Str("upstream", target.Incarnation).Int("status", head.Status).Int("send", t.sends).Msg("upstream failed")
		return verdictAgain
	}
	if t.started {
		// A failure in place of the rest of a stream can't be sent any more.
		t.last = &persimmoncross.AttemptError{
			Reason: "status",
			Run:    persimmoncross.Ran,
			Status: head.Status,
		}
		return verdictAgain
	}
	t.deliver(head, body)
	return verdictDone
}

// mayRepeat reports whether the passage may run at another upstream.
func (t *trip) mayRepeat() bool {
	return t.route.Repeat != persimmoncross.RepeatNever && t.runs < t.maxRuns() && t.sends < maxSends
}

// deliver sends a whole answer. A caller that is gone needs none.
func (t *trip) deliver(head persimmoncross.PassageHead, body []byte) {
	t.started = true
	if t.passage.Method != http.MethodHead {
		head.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if t.sink.Head(head) != nil {
		return
	}
	if len(body) > 0 && t.sink.Write(body) != nil {
		return
	}
	t.sink.Flush()
}

// large passes on an answer that is too large to be kept.
func (t *trip) large(ctx context.Context, target *Target, head persimmoncross.PassageHead, body []byte, rest io.Reader) verdict {
	t.started = true
	if t.sink.Head(head) != nil || t.sink.Write(body) != nil {
		return verdictDone
	}
	b := buffers.Get().(*[readSize]byte)
	defer buffers.Put(b)
	for {
		n, err := rest.Read(b[:])
		if n > 0 && t.sink.Write(b[:n]) != nil {
			return verdictDone
		}
		if errors.Is(err, io.EOF) {
			t.record.Whole(t.relay.Clock.Now())
			t.sink.Flush()
			return verdictDone
		}
		if err != nil {
			t.broke(ctx, target, err)
			return verdictFinal
		}
	}
}

// broke takes an answer that ended before its end.
func (t *trip) broke(ctx context.Context, target *Target, err error) verdict {
	e := attemptError(err, "cut", persimmoncross.Ran)
	t.last = e
	t.cut(ctx, target, e)
	if ctx.Err() == nil {
		t.note(target, true)
	}
	t.line().Str("upstream", target.Incarnation).Str("reason", e.Reason).Str("detail", e.Detail).Str("event", t.lastEvent).Int("send", t.sends).Msg("answer broke off")
	if t.route.Repeat == persimmoncross.RepeatNever || (t.started && t.route.Repeat != persimmoncross.RepeatResume) {
		return verdictFinal
	}
	return verdictAgain
}

// stream carries events as they come, only whole ones. What breaks off goes on
// at another upstream after the last event that the caller has.
func (t *trip) stream(ctx context.Context, target *Target, a persimmoncross.PassageAnswer, w *watch) verdict {
	head := a.Head()
	if t.askLarger(head.Confidence) {
		return verdictAgain
	}
	if !t.started {
		t.started = true
		if t.sink.Head(head) != nil {
			return verdictDone
		}
		if t.sink.Flush() != nil {
			return verdictDone
		}
	}
	b := buffers.Get().(*[readSize]byte)
	defer buffers.Put(b)
	var carry []byte
	target.flowing.Add(1)
	defer target.flowing.Add(-1)
	flow := flow{
		began: t.relay.Clock.Now(),
	}
	for {
		asked := t.relay.Clock.Now()
		n, err := a.Read(b[:])
		carry = append(carry, b[:n]...)
		whole := wholeEvents(carry)
		if whole > 0 {
			now := t.relay.Clock.Now()
			w.seen(now)
			target.hear(now)
			good, taken := t.takeEvents(carry[:whole])
			target.pause(flow.take(now, taken), now)
			t.relay.eventsCame(target.DataCentre, now.Sub(asked), taken, now)
			if good > 0 && (t.sink.Write(carry[:good]) != nil || t.sink.Flush() != nil) {
				return verdictDone
			}
			if good < whole {
				return t.broke(ctx, target, errOrder)
			}
			carry = append(carry[:0], carry[whole:]...)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(carry) == 0:
			t.record.Whole(t.relay.Clock.Now())
			t.answered(target, flow)
			return verdictDone
		case errors.Is(err, io.EOF):
			return t.broke(ctx, target, errHalfEvent)
		case w.stop():
			return t.silent(target, w, t.relay.Clock.Now().Sub(flow.began))
		default:
			return t.broke(ctx, target, err)
		}
	}
}

var (
	errOrder = &persimmoncross.AttemptError{
		Reason: "order",
		Run:    persimmoncross.Ran,
		Detail: "an event does not follow the one before",
	}
	errHalfEvent = &persimmoncross.AttemptError{
		Reason: "half",
		Run:    persimmoncross.Ran,
		Cut:    true,
		Detail: "the stream ends inside an event",
	}
)

// objective is the time in which the answer should begin.
func (t *trip) objective() time.Duration {
	if t.route.Objective > 0 {
		return t.route.Objective
	}
	return t.route.Timeout
}

// wholeEvents returns how many of the bytes are whole events.
func wholeEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// pacedEvents is the number of events from which the time between them is that
// of the version, not of the prompts that were read meanwhile.
const pacedEvents = 5

// answered tells of a whole stream.
func (t *trip) answered(target *Target, f flow) {
	took := t.relay.Clock.Now().Sub(f.began)
	if f.events >= pacedEvents {
		t.relay.Evidence.time(t.upgrade, t.trialKey(target), took/time.Duration(f.events-1))
	}
	t.relay.line(t.passage).Str("route", t.route.Name).Str("upstream", target.Incarnation).Str("datacentre", target.DataCentre).Str("version", target.Version).Str("model", t.modelName()).
		Int("events", f.events).Dur("took", took).Dur("pause", f.pause).Int("pauseAt", f.pauseAt).Int("atOnce", f.atOnce).Int("sends", t.sends).Msg("answered")
}

// flow is how the events of one attempt came.
type flow struct {
	began   time.Time // when the head came
	last    time.Time // when events came last
	events  int
	pause   time.Duration // the longest between two reads of events
	pauseAt int           // events before it
	atOnce  int           // events in the read that ended it
}

// take notes events that came together, and returns the pause before them.
func (f *flow) take(now time.Time, events int) time.Duration {
	last := f.last
	if last.IsZero() {
		last = f.began
	}
	pause := now.Sub(last)
	if pause > f.pause {
		f.pause = pause
		f.pauseAt = f.events
		f.atOnce = events
	}
	f.last = now
	f.events += events
	return pause
}

// takeEvents notes the ids of whole events, and returns the bytes up to the first
// one that does not follow the event before it, and how many events they are.
func (t *trip) takeEvents(b []byte) (taken, events int) {
	for taken < len(b) {
		rest := b[taken:]
		end := len(rest)
		if i := bytes.Index(rest, []byte("\n\n")); i >= 0 {
			end = i + 2
		}
		if i := bytes.Index(rest, []byte("\r\n\r\n")); i >= 0 && i+4 < end {
			end = i + 4
		}
		if id := eventID(rest[:end]); id != "" {
			if t.lastEvent != "" && !nextID(t.lastEvent, id) {
				return taken, events
			}
			t.lastEvent = id
		}
		taken += end
		events++
	}
	return taken, events
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

// nextID reports whether two events may follow each other: ids that are whole
// numbers grow by one.
func nextID(last, id string) bool {
	x, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	y, err := strconv.ParseUint(id, 10, 64)
	return err == nil && y == x+1
}
