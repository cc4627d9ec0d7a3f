// Package engine speaks to model engines, in the chat-completions form, and to
// plain services, over HTTP.
//
// For each attempt it says whether the upstream can have begun it: only if no
// connection was made, if the request was not yet written, or if the upstream
// itself answers "Run: not-run", has nothing begun for certain.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/io/protocol/chat"
	"persimmoncross/io/protocol/problem"
	"persimmoncross/io/protocol/status"
	"persimmoncross/io/transport/socket"
)

// Headers between the router and its upstreams.
const (
	headerAttempt      = "Attempt-Id"
	headerRequest      = "Request-Id"
	headerOrganisation = "Organisation"
	headerPriority     = "Priority"
	headerRun          = "Run"
	// headerKey is written in small letters on purpose: net/http sends a request
	// that carries the canonical "Idempotency-Key" again by itself when a
	// connection breaks, and then one attempt could run twice.
	headerKey = "idempotency-key"
)

// Bounds of one answer.
const (
	maxHead     = 64 << 10 // of interim answers too
	maxBody     = 4 << 20  // of a chat answer that is not streamed
	maxProblem  = 4 << 10  // of an error's text
	piece       = 32 << 10 // of a plain service's body
	dialTimeout = time.Second
	idleConns   = 64 // to one upstream
	idleFor     = 30 * time.Second
)

// Client implements [persimmoncross.UpstreamClient], [persimmoncross.ReportFetcher] and,
// towards the rating service, [persimmoncross.Rater].
type Client struct {
	// Dial opens a connection to an upstream; nil: a direct TCP connection. It is set before use.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Down reports whether an upstream is down; nil: it is where it refuses a connection from this VM.
	Down func(ctx context.Context, address netip.AddrPort) bool
	// Accepting reports whether an upstream accepts connections; nil: those from this VM tell.
	Accepting func(ctx context.Context, address netip.AddrPort) bool

	shared *http.Client
	fresh  *http.Client // a new connection each time, for what may not be sent twice
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	c := &Client{}
	c.shared = &http.Client{
		Transport:     c.newTransport(false),
		CheckRedirect: noRedirect,
	}
	c.fresh = &http.Client{
		Transport:     c.newTransport(true),
		CheckRedirect: noRedirect,
	}
	return c
}

// dial opens a connection to the upstream at an IP address and port.
func (c *Client) dial(ctx context.Context, _, address string) (net.Conn, error) {
	upstream, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if c.Dial == nil {
		return DialDirect(ctx, upstream)
	}
	return c.Dial(ctx, upstream)
}

// DialDirect opens a TCP connection to an upstream. Probes find an idle connection whose path is
// lost, so that no request is sent on it.
func DialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return socket.Dial(ctx, socket.ProbingDialer(dialTimeout), address.String())
}

func (c *Client) newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleFor,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send implements [persimmoncross.UpstreamClient].
func (c *Client) Send(ctx context.Context, address netip.AddrPort, a persimmoncross.Attempt) (persimmoncross.Response, error) {
	if a.Version.Model == "" {
		return c.beginService(ctx, address, a)
	}
	parsed, err := chat.ParseRequest(a.Body)
	if err != nil {
		return nil, failed("malformed", persimmoncross.NotRun, "%v", err)
	}
	request, err := newRequest(ctx, http.MethodPost, address, "/v1/chat/completions", parsed.For(a.Version), a)
	if err != nil {
		return nil, failed("malformed", persimmoncross.NotRun, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.send(request, a)
	if err != nil {
		return nil, err
	}
	return c.chatAnswer(response, a)
}

// Resume implements [persimmoncross.UpstreamClient].
func (c *Client) Resume(ctx context.Context, address netip.AddrPort, a persimmoncross.Attempt, chunks int) (persimmoncross.Response, error) {
	path := "/v1/attempts/" + a.ID + "/stream?from=" + strconv.Itoa(chunks)
	request, err := newRequest(ctx, http.MethodGet, address, path, nil, a)
	if err != nil {
		return nil, failed("malformed", persimmoncross.RunUnknown, "%v", err)
	}
	response, err := c.send(request, a)
	if err != nil {
		return nil, err
	}
	return c.chatAnswer(response, a)
}

func newRequest(ctx context.Context, method string, address netip.AddrPort, path string, body []byte, a persimmoncross.Attempt) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	request.GetBody = nil // or net/http might send it again
	request.Header.Set(headerAttempt, a.ID)
	request.Header.Set(headerRequest, a.RequestID)
	request.Header.Set(headerOrganisation, a.Organisation)
	request.Header.Set(headerPriority, strconv.Itoa(a.Priority))
	if a.IdempotencyKey != "" {
		request.Header[headerKey] = []string{a.IdempotencyKey}
	}
	return request, nil
}

// send sends the request and returns the answer's head, or says whether the
// upstream can have begun.
func (c *Client) send(request *http.Request, a persimmoncross.Attempt) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	client := c.shared
	if a.AtMostOnce {
		client = c.fresh
	}
	response, err := client.Do(request)
	if err == nil && !status.Valid(response.StatusCode) {
		response.Body.Close()
		return nil, failed("malformed", persimmoncross.RunUnknown, "HTTP has no status %d", response.StatusCode)
	}
	if err == nil {
		return response, nil
	}
	if !written.Load() {
		return nil, failed("connect", persimmoncross.NotRun, "%v", err)
	}
	return nil, cut("noanswer", persimmoncross.RunUnknown, err)
}

func (c *Client) chatAnswer(response *http.Response, a persimmoncross.Attempt) (persimmoncross.Response, error) {
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	if echoed := response.Header.Get(headerAttempt); !a.OmitsAttemptID && echoed != a.ID {
		response.Body.Close()
		return nil, failed("crossed", persimmoncross.RunUnknown, "the answer is to attempt %q", echoed)
	}
	head := persimmoncross.ResponseHead{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Version:     a.Version,
		Stream:      a.Stream,
	}
	if a.Stream {
		return newStreamAnswer(head, response.Body), nil
	}
	return wholeAnswer(head, response)
}

// statusError sorts an engine's refusals.
func statusError(response *http.Response) *persimmoncross.AttemptError {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxProblem))
	run := persimmoncross.RunUnknown
	if response.Header.Get(headerRun) == string(persimmoncross.NotRun) {
		run = persimmoncross.NotRun
	}
	e := failed(fmt.Sprintf("status%d", response.StatusCode), run, "%s", text)
	e.HTTPStatus = response.StatusCode
	switch {
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		e.Overloaded = true
		e.RetryAfter = problem.RetryAfter(response.Header)
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone:
		// The engine does not hold the version: another one may.
	case response.StatusCode < http.StatusInternalServerError:
		e.ClientFault = true
	}
	return e
}

// wholeAnswer reads an answer that is not streamed and checks that it is whole.
func wholeAnswer(head persimmoncross.ResponseHead, response *http.Response) (persimmoncross.Response, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil {
		return nil, cut("cut", persimmoncross.Ran, err)
	}
	if len(body) > maxBody {
		return nil, failed("toolarge", persimmoncross.Ran, "the answer is over %d bytes", maxBody)
	}
	part, err := chat.ParsePart(body)
	if err != nil || !part.Finished() {
		return nil, failed("notwhole", persimmoncross.Ran, "the answer is not whole")
	}
	w := &whole{
		head: head,
		body: body,
	}
	if part.Usage != nil {
		w.usage = persimmoncross.Usage{
			Input:  part.Usage.Input,
			Output: part.Usage.Output,
		}
	}
	return w, nil
}

// whole is an answer that was read whole: one chunk.
type whole struct {
	head  persimmoncross.ResponseHead
	body  []byte
	usage persimmoncross.Usage
	read  bool
}

func (w *whole) Head() persimmoncross.ResponseHead { return w.head }
func (w *whole) Usage() persimmoncross.Usage       { return w.usage }
func (w *whole) Close() error                      { return nil }

func (w *whole) NextChunk() ([]byte, error) {
	if w.read {
		return nil, io.EOF
	}
	w.read = true
	return w.body, nil
}

// beginService sends a plain service's call.
func (c *Client) beginService(ctx context.Context, address netip.AddrPort, a persimmoncross.Attempt) (persimmoncross.Response, error) {
	request, err := newRequest(ctx, a.Method, address, a.Path, a.Body, a)
	if err != nil {
		return nil, failed("malformed", persimmoncross.NotRun, "%v", err)
	}
	for name, values := range a.Header {
		request.Header[name] = values
	}
	response, err := c.send(request, a)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRun) == string(persimmoncross.NotRun) {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	if echoed := response.Header.Get(headerAttempt); echoed != "" && echoed != a.ID {
		response.Body.Close()
		return nil, failed("crossed", persimmoncross.RunUnknown, "the answer is to attempt %q", echoed)
	}
	return &serviceAnswer{
		head: persimmoncross.ResponseHead{
			Status:      response.StatusCode,
			ContentType: response.Header.Get("Content-Type"),
		},
		body: response.Body,
	}, nil
}

// serviceAnswer passes a plain service's body on. net/http reports a body that
// is shorter than announced.
type serviceAnswer struct {
	head persimmoncross.ResponseHead
	body io.ReadCloser
}

func (s *serviceAnswer) Head() persimmoncross.ResponseHead { return s.head }
func (s *serviceAnswer) Usage() persimmoncross.Usage       { return persimmoncross.Usage{} }
func (s *serviceAnswer) Close() error                      { return s.body.Close() }

func (s *serviceAnswer) NextChunk() ([]byte, error) {
	buffer := make([]byte, piece)
	n, err := io.ReadFull(s.body, buffer)
	switch {
	case n > 0 && (err == nil || errors.Is(err, io.ErrUnexpectedEOF) && atEnd(s.body)):
		return buffer[:n], nil
	case err == io.EOF:
		return nil, io.EOF
	}
	return nil, cut("cut", persimmoncross.Ran, err)
}

// atEnd tells a short last piece from a body that was cut: both make ReadFull
// return ErrUnexpectedEOF, but only the first is followed by a clean end.
func atEnd(body io.Reader) bool {
	var one [1]byte
	_, err := body.Read(one[:])
	return err == io.EOF
}

// Report implements [persimmoncross.ReportFetcher].
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (persimmoncross.UpstreamReport, error) {
	var body struct {
		Born     *int64   `json:"born"` // Unix milliseconds
		Sequence uint64   `json:"sequence"`
		Running  int      `json:"running"`
		Waiting  int      `json:"waiting"`
		Slots    int      `json:"slots"`
		Versions []string `json:"versions"`
		Leaving  bool     `json:"leaving"`
	}
	if err := c.getJSON(ctx, address, "/v1/load", &body); err != nil {
		return persimmoncross.UpstreamReport{}, err
	}
	if min(body.Running, body.Waiting, body.Slots) < 0 {
		return persimmoncross.UpstreamReport{}, errors.New("engine: a report with a negative number")
	}
	r := persimmoncross.UpstreamReport{
		Sequence: body.Sequence,
		Running:  body.Running,
		Waiting:  body.Waiting,
		Slots:    body.Slots,
		Draining: body.Leaving,
	}
	if body.Born != nil {
		r.StartedAt = time.UnixMilli(*body.Born)
	}
	for _, v := range body.Versions {
		r.Versions = append(r.Versions, persimmoncross.ParseModelVersion(v))
	}
	return r, nil
}

// Run is an upstream's own record of an attempt.
type Run struct {
	Attempt string `json:"attempt"`
	Version string `json:"version"`
	Ended   string `json:"ended"` // "whole" if it came to its end
	Input   uint64 `json:"input"`
	Output  uint64 `json:"output"`
}

// Runs asks an upstream for its record of a request's attempts.
func (c *Client) Runs(ctx context.Context, address netip.AddrPort, request string) ([]Run, error) {
	var runs []Run
	err := c.getJSON(ctx, address, "/v1/attempts?request="+request, &runs)
	return runs, err
}

// Order tells an engine to load or unload a version.
type Order struct {
	Fence   uint64 `json:"fence"` // never lower than in the order before
	Kind    string `json:"kind"`  // load or unload
	Version string `json:"version"`
}

// Order gives an order.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	var taken struct{}
	return c.doJSON(request, &taken)
}

func (c *Client) getJSON(ctx context.Context, address netip.AddrPort, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	return c.doJSON(request, target)
}

func (c *Client) doJSON(request *http.Request, target any) error {
	response, err := c.shared.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("engine: %s answered %d", request.URL.Host, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(target)
}

// CloseIdle closes the idle connections, because they may carry nothing any more.
func (c *Client) CloseIdle() {
	c.shared.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
