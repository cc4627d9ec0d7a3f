package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"persimmoncross"
	"persimmoncross/io/protocol/status"
)

// maxStray is how many answers to other requests are skipped before the one
// that is awaited.
const maxStray = 3

// writeAtOnce is what an empty send buffer takes without a wait: half of what
// Linux gives a connection at first.
const writeAtOnce = 8 << 10

// lastWriteTimeout is how long the end of an answer without a length waits for the end of its request's write.
const lastWriteTimeout = 200 * time.Millisecond

// Reasons of the errors that Forward and Read return.
const (
	reasonConnect  = "connect"  // no connection: nothing was sent
	reasonConns    = "conns"    // the connections allowed to the upstream are in use
	reasonCut      = "cut"      // the connection ended before the answer did
	reasonGarbled  = "garbled"  // what came is no answer to this request
	reasonCanceled = "canceled" // the caller or the deadline ended it
	reasonUnsent   = "unsent"   // the upstream closed before it can have read the request
)

// Forward implements [persimmoncross.Forwarder].
func (c *Client) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	now := c.Clock.Now()
	life := a.Upstream.InstanceID()
	k, may := c.take(life, a.MaxConns, a.MayCarry, now)
	if !may {
		return nil, fail(reasonConns, persimmoncross.NotRun, "no connection is free")
	}
	work := persimmoncross.OwnWorkOf(ctx)
	if k == nil {
		var err error
		work.Pause()
		k, err = c.connect(ctx, life, a.Upstream.Address, a.MayCarry)
		work.Resume()
		if err != nil {
			if ctx.Err() != nil {
				return nil, fail(reasonCanceled, persimmoncross.NotRun, err.Error())
			}
			return nil, fail(reasonConnect, persimmoncross.NotRun, err.Error())
		}
	}
	if ctx.Err() != nil {
		c.drop(k)
		return nil, fail(reasonCanceled, persimmoncross.NotRun, ctx.Err().Error())
	}
	stop := context.AfterFunc(ctx, func() { abort(k.raw) })
	w := write(k.raw, c.encode(a)...)
	work.End()
	r, head, err := c.receive(k, a)
	if err != nil {
		stop()
		c.drop(k)
		<-w.done
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, c.broken(ctx, w, err)
	}
	k.learn(r.Header)
	return &answer{
		client:   c,
		ctx:      ctx,
		conn:     k,
		stop:     stop,
		writing:  w,
		response: r,
		head:     head,
	}, nil
}

// abort closes a connection and drops what was written and has not left this VM: on a full link it would reach the upstream
// long after the caller has left.
func abort(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		tcp.SetLinger(0) // best effort: the connection is closed in any case
	}
	c.Close()
}

// broken tells what the end of a connection before the head means.
func (c *Client) broken(ctx context.Context, w *writing, err error) *persimmoncross.AttemptError {
	run := persimmoncross.RunUnknown
	if w.sent == 0 {
		run = persimmoncross.NotRun // not a byte left this process
	}
	var g garbledError
	switch {
	case ctx.Err() != nil:
		return fail(reasonCanceled, run, err.Error())
	case errors.As(err, &g):
		c.count("garbled")
		return fail(reasonGarbled, run, err.Error())
	case run == persimmoncross.NotRun:
		return fail(reasonUnsent, run, err.Error())
	}
	return fail(reasonCut, run, err.Error())
}

// writing sends a request while its answer may already come.
type writing struct {
	done chan struct{}
	sent int64
	err  error
}

// write sends a request of the given parts. One that the system's buffer takes at once is sent
// before the answer is looked for: a goroutine of its own could tell the end of
// the writing after the whole answer has been read, and the connection would be
// given up though it is sound (1 of 100 at 12 busy processes).
func write(raw net.Conn, parts ...[]byte) *writing {
	w := &writing{
		done: make(chan struct{}),
	}
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if size <= writeAtOnce {
		w.run(raw, parts)
	} else {
		go w.run(raw, parts)
	}
	return w
}

func (w *writing) run(raw net.Conn, parts net.Buffers) {
	defer close(w.done)
	w.sent, w.err = parts.WriteTo(raw)
}

// over reports whether the whole request was sent.
func (w *writing) over() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// encode returns the request's bytes. A large body is not copied: an upstream
// may read it slowly, and the memory would hold it twice.
func (c *Client) encode(a *persimmoncross.ProxyAttempt) [][]byte {
	p := a.Request
	h := p.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	c.Codec.Encode(h, a, a.Deadline.Sub(c.Clock.Now()))
	if len(p.Body) > 0 || takesBody(p.Method) {
		h.Set("Content-Length", strconv.Itoa(len(p.Body)))
	}
	size := 1 << 10
	if len(p.Body) <= writeAtOnce {
		size += len(p.Body)
	}
	b := bytes.NewBuffer(make([]byte, 0, size))
	b.WriteString(p.Method + " " + p.RequestTarget + " HTTP/1.1\r\nHost: " + p.Host + "\r\n")
	h.Write(b) // a buffer takes all
	b.WriteString("\r\n")
	if len(p.Body) > writeAtOnce {
		return [][]byte{b.Bytes(), p.Body}
	}
	b.Write(p.Body)
	return [][]byte{b.Bytes()}
}

func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// garbledError is an answer that can't be this request's.
type garbledError string

// Error implements error.
func (e garbledError) Error() string { return "forward: " + string(e) }

// receive reads the head of the answer to the attempt, past interim answers and
// past late answers to other requests. What may be read without an answer is bounded: interim answers by the
// bounds of heads.
func (c *Client) receive(k *conn, a *persimmoncross.ProxyAttempt) (*http.Response, persimmoncross.ProxyResponseHead, error) {
	asked := &http.Request{
		Method: a.Request.Method,
	}
	k.heads.begin()
	for others := 0; others < maxStray; {
		k.heads.limited = true
		r, err := http.ReadResponse(k.in, asked)
		k.heads.limited = false
		if err != nil {
			var n net.Error
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) || errors.Is(err, net.ErrClosed) {
				return nil, persimmoncross.ProxyResponseHead{}, err
			}
			return nil, persimmoncross.ProxyResponseHead{}, garbledError(err.Error())
		}
		if !status.Valid(r.StatusCode) {
			return nil, persimmoncross.ProxyResponseHead{}, garbledError("a status that HTTP does not have, or that was not asked for")
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		head := c.Codec.Decode(r.StatusCode, r.Header)
		head.Header = endToEnd(r.Header)
		rejectedWithoutID := head.RequestID == "" && head.NotRun
		if rejectedWithoutID && (k.reused || others > 0) {
			return nil, persimmoncross.ProxyResponseHead{}, garbledError("a rejection that names no request may be an earlier one's")
		}
		if head.RequestID == a.Request.ID || rejectedWithoutID {
			if r.ContentLength >= 0 && len(r.TransferEncoding) == 0 {
				head.Header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
			}
			return r, head, nil
		}
		c.count("stray")
		if endsWithConnection(r) {
			return nil, persimmoncross.ProxyResponseHead{}, garbledError("an answer to another request ends with the connection")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBody)); err != nil || n == maxStrayBody {
			return nil, persimmoncross.ProxyResponseHead{}, garbledError("an answer to another request that breaks off or does not end")
		}
		others++
		k.idleFor = 0 // its order is not to be trusted any more
	}
	return nil, persimmoncross.ProxyResponseHead{}, garbledError("answers to other requests")
}

// endsWithConnection reports whether the body has neither a length nor chunks, so that nothing can follow it.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy without the headers that concern one connection only.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	StripHop(kept)
	return kept
}

// StripHop removes the headers that concern one connection only, those that
// Connection names among them.
func StripHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// answer implements [persimmoncross.ProxyResponse].
type answer struct {
	client   *Client
	ctx      context.Context
	conn     *conn
	stop     func() bool
	writing  *writing
	response *http.Response
	head     persimmoncross.ProxyResponseHead
	closed   bool
}

// Head implements [persimmoncross.ProxyResponse].
func (r *answer) Head() persimmoncross.ProxyResponseHead { return r.head }

// Read implements [persimmoncross.ProxyResponse].
func (r *answer) Read(p []byte) (int, error) {
	if r.closed {
		return 0, io.EOF
	}
	n, err := r.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && r.endIsKnown() { // an error that wraps it tells of another connection's end
		r.finish()
		return n, io.EOF
	}
	reason := reasonCut
	if r.ctx.Err() != nil {
		reason = reasonCanceled
	}
	r.end()
	return n, fail(reason, persimmoncross.Ran, err.Error())
}

// endIsKnown reports whether the end of the body was announced, or is the end of a connection over which the whole
// request was sent. An upstream that closes before it has read the request may have been at any point of its answer.
func (r *answer) endIsKnown() bool {
	if !endsWithConnection(r.response) || r.writing.over() {
		return true
	}
	select {
	case <-r.writing.done:
	case <-r.ctx.Done():
	case <-r.client.Clock.After(lastWriteTimeout):
	}
	return r.writing.over()
}

// finish gives the connection back if nothing is left on it.
func (r *answer) finish() {
	r.closed = true
	sound := r.stop() && !r.response.Close && r.writing.over() && r.conn.in.Buffered() == 0 && r.conn.idleFor > 0 && !r.conn.leaving()
	if !sound {
		r.client.drop(r.conn)
		return
	}
	r.conn.reused = true
	r.client.give(r.conn, r.client.Clock.Now())
}

// Close implements [persimmoncross.ProxyResponse].
func (r *answer) Close() error {
	if !r.closed {
		r.end()
	}
	return nil
}

func (r *answer) end() {
	r.closed = true
	r.stop()
	r.client.drop(r.conn)
}

func fail(reason string, run persimmoncross.RunStatus, detail string) *persimmoncross.AttemptError {
	return &persimmoncross.AttemptError{
		Reason:         reason,
		Run:            run,
		Overloaded:     reason == reasonConns,
		ConnectionLost: reason == reasonCut,
		Detail:         detail,
	}
}
