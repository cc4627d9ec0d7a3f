package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// holdBytes lets the environment's relay count bytes against the limit.
func (e *testEnv) holdBytes(limit int64) *HeldBytes {
	e.relay.Config.Overload = persimmoncross.OverloadPolicy{
		Mode:         persimmoncross.OverloadOn,
		MaxHeldBytes: limit,
	}
	e.relay.HeldBytes = NewHeldBytes(limit, e.clock, e.relay.Metrics, zerolog.Nop())
	return e.relay.HeldBytes
}

func (e *testEnv) count(name string) int64 {
	return metrics.GetOrRegisterCounter("relay."+name, e.relay.Metrics).Count()
}

// slowSink is a caller that does not read for a while before each write ends.
type slowSink struct {
	*recordingSink
	clock      *steppingClock
	pause      time.Duration
	duringStop func()
	deadline   time.Time
}

func (s *slowSink) Write(p []byte) error {
	if s.duringStop != nil {
		s.duringStop()
	}
	s.clock.advance(s.pause)
	return s.recordingSink.Write(p)
}

func (s *slowSink) SetWriteDeadline(at time.Time) error {
	s.deadline = at
	return nil
}

// serveSlowly serves a stream that breaks off after two events and resumes elsewhere, to a caller
// that does not read for the given time.
func serveSlowly(t *testing.T, held bool, pause time.Duration) (*testEnv, *slowSink, *persimmoncross.ProxyAttempt) {
	t.Helper()
	e := newTestEnv(streamResponse(eventStream("1", "2"), true), streamResponse(eventStream("3"), false))
	if held {
		e.holdBytes(1 << 20)
	}
	sink := &slowSink{
		recordingSink: e.sink,
		clock:         e.clock.(*steppingClock),
		pause:         pause,
	}
	p := &persimmoncross.ProxyRequest{
		ID:            "id",
		Method:        http.MethodPost,
		Host:          "h",
		Path:          "/stream/x",
		RequestTarget: "/stream/x",
		APIKey:        testKey,
		ArrivedAt:     time.Now(),
	}
	sink.clock.advance(p.ArrivedAt.Sub(sink.clock.Now()))
	if refusal := e.relay.Serve(t.Context(), p, sink); refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2", "3") {
		t.Fatalf("the caller got %q", got)
	}
	return e, sink, e.forwarder.attempts[0]
}

// An upstream that cuts a response because its caller does not read would be taken for a failing one,
// and get no work from the other callers.
func TestSlowCallerIsNoFailureOfTheUpstream(t *testing.T) {
	for _, tt := range []struct {
		name   string
		held   bool
		pause  time.Duration
		unread int64
	}{
		{"slow caller", true, 4 * time.Second, 1},
		{"caller that reads", true, 0, 0},
		{"part left out", false, 4 * time.Second, 0},
	} {
		e, _, first := serveSlowly(t, tt.held, tt.pause)
		if got := e.count("unread"); got != tt.unread {
			t.Errorf("%s: %d ends of responses are put down to the caller, want %d", tt.name, got, tt.unread)
		}
		for _, u := range e.targets {
			if u.Name != first.Upstream.Name {
				continue
			}
			u.mu.Lock()
			failures := u.suspicion
			u.mu.Unlock()
			clean := newTestEnv().targets[0].suspicion
			if (failures == clean) != (tt.unread == 1) {
				t.Errorf("%s: the upstream's record of failures is %+v", tt.name, failures)
			}
		}
	}
}

// A detector that takes the time in which a caller does not read for silence of the upstream would
// cancel its run, and suspect the upstream.
func TestUnreadResponseIsNoStall(t *testing.T) {
	e := newTestEnv(streamResponse(eventStream("1"), false))
	e.holdBytes(1 << 20)
	s := &heldSink{
		limitedSink: limitedSink{
			ProxyResponseSink: e.sink,
			clock:             e.clock,
		},
	}
	d := &stallDetector{
		start: e.clock.Now(),
		done:  make(chan struct{}),
	}
	s.watch(d)
	d.recordHead(e.clock.Now())
	isStalled := func() bool {
		return d.isStalled(e.targets[0], outlier.IdleState{
			Objective:  time.Second,
			PauseLimit: time.Second,
		}, e.clock.Now())
	}
	stalled := true
	err := s.measure(func() error {
		e.clock.(*steppingClock).advance(time.Minute)
		stalled = isStalled()
		return nil
	})
	if err != nil || stalled || isStalled() {
		t.Errorf("stalled during the write %v, after it %v, error %v", stalled, isStalled(), err)
	}
	if last := d.start.Add(time.Duration(d.lastReceived.Load())); !last.Equal(e.clock.Now()) {
		t.Errorf("silence counts from %v, want from the end of the write at %v", last, e.clock.Now())
	}
	if got := s.takeUnread(); got != time.Minute {
		t.Errorf("%v unread, want a minute", got)
	}
	e.clock.(*steppingClock).advance(time.Minute)
	if !isStalled() {
		t.Error("silence of the upstream while the caller reads is no stall")
	}
}

// A caller that reads nothing at all would hold its response for ever.
func TestWritesEndAfterTheDeadline(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		_, sink, first := serveSlowly(t, enabled, 0)
		if want := first.Deadline.Add(UnreadTimeout); !sink.deadline.Equal(want) {
			t.Errorf("part enabled %v: writes end at %v, want %v", enabled, sink.deadline, want)
		}
	}
}

// narrowSink is a caller that reads all the time, at 8 KB a second.
type narrowSink struct {
	*slowSink
	late int // writes that ended after their deadline
}

func (s *narrowSink) Write(p []byte) error {
	s.clock.advance(time.Duration(len(p)) * time.Second / (8 << 10))
	if s.clock.Now().After(s.deadline) {
		s.late++
	}
	return s.recordingSink.Write(p)
}

// An answer that is ready would be cut because its caller reads it slowly, or because it was ready late.
func TestReadyAnswerIsDeliveredLate(t *testing.T) {
	for _, tt := range []struct {
		name     string
		deadline time.Duration // from now
	}{
		{"ready in time", time.Second},
		{"ready late", -time.Minute},
	} {
		e := newTestEnv()
		clock := e.clock.(*steppingClock)
		sink := &narrowSink{
			slowSink: &slowSink{
				recordingSink: e.sink,
				clock:         clock,
			},
		}
		s := &heldSink{
			limitedSink: limitedSink{
				ProxyResponseSink: sink,
				clock:             clock,
				deadline:          clock.Now().Add(tt.deadline),
			},
		}
		head := persimmoncross.ProxyResponseHead{
			Status: http.StatusOK,
		}
		if err := s.WriteHead(head); err != nil {
			t.Fatal(err)
		}
		if err := s.Write(make([]byte, 200_000)); err != nil {
			t.Fatal(err)
		}
		if sink.late > 0 || e.sink.body.Len() != 200_000 {
			t.Errorf("%s: %d writes ended after their deadline, %d bytes were written", tt.name, sink.late, e.sink.body.Len())
		}
	}
}

// Responses that are read completely before they are sent would take memory without bound: without
// room they are sent as they come.
func TestResponsesAreBufferedWithinTheBudget(t *testing.T) {
	body := strings.Repeat("0123456789", 20_000)
	for _, tt := range []struct {
		name       string
		limit      int64
		body       string
		unbuffered int64
	}{
		{"room", 1 << 20, body, 0},
		{"no room", 64 << 10, body, 1},
		{"small ones need none", 0, body[:3000], 0},
		{"larger than any that is buffered", 1 << 20, body + body, 0},
	} {
		e := newTestEnv(okResponse(tt.body))
		h := e.holdBytes(tt.limit)
		if refusal := e.serve(t, "safe", nil); refusal != nil {
			t.Fatal(tt.name, refusal)
		}
		if e.sink.body.String() != tt.body {
			t.Errorf("%s: the caller got %d bytes of %d", tt.name, e.sink.body.Len(), len(tt.body))
		}
		if got := e.count("unbuffered"); got != tt.unbuffered || h.Total() != 0 {
			t.Errorf("%s: %d unbuffered, %d bytes are still held", tt.name, got, h.Total())
		}
		if peak := metrics.GetOrRegisterGauge("relay.held.peak", e.relay.Metrics).Value(); peak > tt.limit {
			t.Errorf("%s: %d bytes were held of %d", tt.name, peak, tt.limit)
		}
	}
}

// A caller of a stream that broke off would get another upstream's large error page appended to it, since
// only smaller ones were held back.
func TestLargeResponseIsNotAppendedToAStream(t *testing.T) {
	for _, tt := range []struct {
		name string
		size int
	}{
		{"small", 3000},
		{"at the limit of what is buffered", maxBufferedBody},
		{"large", 2 * maxBufferedBody},
	} {
		for _, limit := range []int64{-1, 64 << 10, 1 << 20} { // -1: the part is off
			for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
				failed := failedResponse(status)
				failed.body = strings.Repeat("x", tt.size)
				e := newTestEnv(streamResponse(eventStream("1"), true), failed, streamResponse(eventStream("2"), false))
				if limit >= 0 {
					e.holdBytes(limit)
				}
				if refusal := e.serve(t, "stream", nil); refusal != nil {
					t.Errorf("%s, status %d, limit %d: %v", tt.name, status, limit, refusal)
				}
				if got := e.sink.body.String(); got != eventStream("1", "2") {
					t.Errorf("%s, status %d, limit %d: the caller got %d bytes, want the events alone", tt.name, status, limit, len(got))
				}
			}
		}
	}
}

// An event without an end would take memory that nobody counts.
func TestIncompleteEventsAreCounted(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 100_000) + "\n\n"
	e := newTestEnv(streamResponse(event, false))
	h := e.holdBytes(1 << 20)
	if refusal := e.serve(t, "stream", nil); refusal != nil {
		t.Fatal(refusal)
	}
	if peak := metrics.GetOrRegisterGauge("relay.held.peak", e.relay.Metrics).Value(); peak < 100_000-readBufferSize || e.sink.body.String() != event {
		t.Errorf("%d bytes were counted, the caller got %d", peak, e.sink.body.Len())
	}
	if h.Total() != 0 {
		t.Errorf("%d bytes are held after the end", h.Total())
	}
}

// What another part holds counts too, and is released once however often it is told.
func TestReserveOfOtherParts(t *testing.T) {
	h := newTestEnv().holdBytes(1000)
	release, ok := h.Reserve(600, 0)
	if !ok || h.Total() != 600 {
		t.Fatalf("reserved %v, %d bytes are held", ok, h.Total())
	}
	none, ok := h.Reserve(600, 0)
	if ok {
		t.Error("more than the limit was reserved")
	}
	none()
	release()
	release()
	if h.Total() != 0 {
		t.Errorf("%d bytes are held after the release", h.Total())
	}
}

// Callers of an entry that stays full would be refused while others have room; where the part is
// not in force readiness must not depend on it.
func TestEntryHasNoRoomWhileItStaysFull(t *testing.T) {
	e := newTestEnv()
	h := e.holdBytes(1000)
	release, _ := h.Reserve(950, 0)
	clock := e.clock.(*steppingClock)
	var got []bool
	for range 4 {
		got = append(got, e.relay.HasRoom())
		clock.advance(time.Second)
	}
	if got[0] != true || got[1] != true || got[2] != false || got[3] != false {
		t.Errorf("room second by second: %v", got)
	}
	e.relay.Config.Overload.Omit = []persimmoncross.OverloadPart{persimmoncross.OverloadBuffers}
	if !e.relay.HasRoom() {
		t.Error("no room though the part is left out")
	}
	e.relay.Config.Overload.Omit = nil
	release()
	if !e.relay.HasRoom() {
		t.Error("no room though nothing is held")
	}
}
