package relay

import (
	"bytes"
	"context"
	"net/http"
	"testing"

	"persimmoncross"
	"persimmoncross/core/coordination/recall"
)

// endlessLimit is what an endless response holds before its reader is taken for one that reads without end.
const endlessLimit = 2 << 20

// endlessForwarder lets the bodies of the first attempts go on without an end.
type endlessForwarder struct {
	*fakeForwarder
	endless int // attempts
	taken   int // bytes read of what does not end
	closed  bool
}

func (f *endlessForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	response, err := f.fakeForwarder.Forward(ctx, a)
	if err != nil || len(f.attempts) > f.endless {
		return response, err
	}
	return &endlessResponse{
		ProxyResponse: response,
		forwarder:     f,
	}, nil
}

type endlessResponse struct {
	persimmoncross.ProxyResponse
	forwarder *endlessForwarder
}

func (r *endlessResponse) Read(p []byte) (int, error) {
	n, err := r.ProxyResponse.Read(p)
	if n > 0 || r.forwarder.taken >= endlessLimit {
		return n, err
	}
	r.forwarder.taken += copy(p, bytes.Repeat([]byte("x"), len(p)))
	return len(p), nil
}

func (r *endlessResponse) Close() error {
	r.forwarder.closed = true
	return r.ProxyResponse.Close()
}

// Guards against an entry whose memory an upstream fills with an event that does not end, and against a
// caller of one who waits for it until the timeout.
func TestEventWithoutEndEndsTheAttempt(t *testing.T) {
	for _, tt := range []struct {
		route    string
		attempts int
		body     string
	}{
		{"stream", 2, eventStream("1", "2", "3")},
		{"fixed", 1, eventStream("1")},
	} {
		e := newTestEnv(streamResponse(eventStream("1")+"id: 2\ndata: ", false), streamResponse(eventStream("2", "3"), false))
		f := &endlessForwarder{
			fakeForwarder: e.forwarder,
			endless:       1,
		}
		e.relay.Forwarder = f
		refusal := e.serve(t, tt.route, nil)
		if got := e.sink.body.String(); got != tt.body || (refusal != nil) != (tt.attempts == 1) {
			t.Errorf("%s: the caller got %d bytes, refusal %v, want %q", tt.route, len(got), refusal, tt.body)
		}
		if len(e.forwarder.attempts) != tt.attempts || !f.closed || f.taken > 2*maxEvent {
			t.Errorf("%s: %d attempts, closed %v, %d bytes were read of an event", tt.route, len(e.forwarder.attempts), f.closed, f.taken)
		}
	}
}

// Guards against a caller who is held until the timeout by the body of an error that does not end, though
// another upstream may answer.
func TestErrorWithoutEndIsRetried(t *testing.T) {
	for _, tt := range []struct {
		route    string
		attempts int
	}{
		{"safe", 2},
		{"once", 1}, // its caller gets what the upstream says
	} {
		e := newTestEnv(failedResponse(http.StatusInternalServerError), okResponse("answer"))
		f := &endlessForwarder{
			fakeForwarder: e.forwarder,
			endless:       1,
		}
		e.relay.Forwarder = f
		refusal := e.serve(t, tt.route, nil)
		if len(e.forwarder.attempts) != tt.attempts || !f.closed {
			t.Errorf("%s: %d attempts, closed %v, refusal %v", tt.route, len(e.forwarder.attempts), f.closed, refusal)
		}
		if tt.attempts == 2 && (refusal != nil || e.sink.body.String() != "answer" || f.taken > 2*maxBufferedBody) {
			t.Errorf("%s: the caller got %d bytes, refusal %v, of %d read", tt.route, e.sink.body.Len(), refusal, f.taken)
		}
	}
}

// slowForwarder delivers bodies byte by byte.
type slowForwarder struct{ *fakeForwarder }

func (f slowForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	response, err := f.fakeForwarder.Forward(ctx, a)
	if err != nil {
		return nil, err
	}
	return slowResponse{response}, nil
}

type slowResponse struct{ persimmoncross.ProxyResponse }

func (r slowResponse) Read(p []byte) (int, error) { return r.ProxyResponse.Read(p[:1]) }

// Guards against an event whose end is missed because it comes in several reads.
func TestEventEndsAcrossReads(t *testing.T) {
	body := "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3\ndata: z\n\n"
	e := newTestEnv(streamResponse(body, false))
	e.relay.Forwarder = slowForwarder{e.forwarder}
	if refusal := e.serve(t, "stream", nil); refusal != nil || e.sink.body.String() != body {
		t.Errorf("the caller got %q, refusal %v", e.sink.body.String(), refusal)
	}
}

// Guards against a kept answer without an end that fills an entry's memory, or holds up the larger model's.
func TestKeptAnswerWithoutEndIsBounded(t *testing.T) {
	e := newRecallEnv(smallAnswer(false, "1"), largeAnswer(false, "1", "2"))
	f := &endlessForwarder{
		fakeForwarder: &e.forwarder.fakeForwarder,
		endless:       1,
	}
	e.relay.Forwarder = f
	if refusal := e.serve(t, "stream", func(p *persimmoncross.ProxyRequest) {
		p.RouterPicksModel = true
		p.OutputTokensHint = 10
	}); refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2") {
		t.Errorf("the caller got %d bytes, want the larger model's answer", len(got))
	}
	if n := e.counter("kept.begun"); n != 1 || f.taken > 2*recall.MaxKeptAnswer || !f.closed {
		t.Errorf("%d answers kept, %d bytes read of one without an end, closed %v", n, f.taken, f.closed)
	}
}
