// Package caller serves the callers' API over HTTP: chat completions, the list
// of models, and plain services. docs/API.md describes it.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/dispatch"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/chat"
	"persimmoncross/io/protocol/problem"
	"persimmoncross/io/transport/inbound"
)

const (
	servicePrefix = "/services/"
	maxHeaderText = 256 // bytes of a key or a session
)

// noSettingsWait is when a caller may come back to a VM that has just started.
const noSettingsWait = time.Second

// noRoomWait is when a caller may come back whose body found no room.
const noRoomWait = time.Second

// Server is the callers' API. The exported fields are set before Handler.
type Server struct {
	Dispatcher *dispatch.Dispatcher
	Settings   func() *settings.Snapshot
	Leaving    func() bool // a stop has begun
	Clock      persimmoncross.Clock
	Metrics    metrics.Registry
	Bodies     *inbound.Bodies // bounds what is held of bodies; nil: nothing does
}

type requestID struct{}

// Handler returns the API's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", s.endpoint(s.decodeChat, s.answer))
	mux.Handle("GET /v1/models", s.endpoint(s.decodeModels, encodeModels))
	mux.Handle(servicePrefix, s.endpoint(s.decodeService, s.answer))
	mux.Handle("/v1/chat/completions", s.refuse(persimmoncross.CodeMethodNotAllowed, "use POST"))
	mux.Handle("/v1/models", s.refuse(persimmoncross.CodeMethodNotAllowed, "use GET"))
	mux.Handle("/", s.refuse(persimmoncross.CodePathUnknown, "there is nothing at this path"))
	return s.partOnLeaving(inbound.WithReading(mux))
}

// partOnLeaving ends each connection with its answer once a stop has begun.
// Idle connections stay open until the end of the grace: to close one at once
// would cut a request that its caller is just sending.
func (s *Server) partOnLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// endpoint joins a decoder and an encoder to a go-kit server. The endpoint
// between them only hands the decoded request on: what runs it writes its
// answer while it comes.
func (s *Server) endpoint(decode kithttp.DecodeRequestFunc, encode kithttp.EncodeResponseFunc) http.Handler {
	var pass endpoint.Endpoint = func(_ context.Context, request any) (any, error) { return request, nil }
	return kithttp.NewServer(pass, decode, encode,
		kithttp.ServerBefore(func(ctx context.Context, _ *http.Request) context.Context {
			return context.WithValue(ctx, requestID{}, uuid.NewString())
		}),
		kithttp.ServerErrorEncoder(s.encodeError),
	)
}

func (s *Server) refuse(code persimmoncross.Code, detail string) http.Handler {
	refusal := func(context.Context, *http.Request) (any, error) {
		return nil, merry.Wrap(persimmoncross.NewRefusal(code, "%s", detail))
	}
	return s.endpoint(refusal, s.answer)
}

func (s *Server) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	var refusal *persimmoncross.Refusal
	if !errors.As(err, &refusal) {
		refusal = persimmoncross.NewRefusal(persimmoncross.CodeBodyMalformed, "%v", err)
	}
	metrics.GetOrRegisterCounter("refused."+string(refusal.Code), s.Metrics).Inc(1)
	id := idOf(ctx)
	w.Header().Set("Request-Id", id)
	problem.Write(w, refusal, id)
}

func idOf(ctx context.Context) string {
	id, _ := ctx.Value(requestID{}).(string)
	return id
}

// answer runs the request and writes its answer.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, request any) error {
	work := request.(*dispatch.Request)
	out := &sink{
		w:       w,
		control: http.NewResponseController(w),
		clock:   s.Clock,
		request: work.ID,
	}
	s.Dispatcher.Serve(ctx, work, out)
	if out.aborted {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// organisation finds who asks.
func (s *Server) organisation(r *http.Request) (*settings.Organisation, error) {
	if s.Settings().Revision == 0 {
		// A VM that knows no settings yet must not judge a key by them.
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeNoLease, "this VM has no settings yet").WithRetryAfter(noSettingsWait)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeKeyUnknown, "want the header Authorization: Bearer KEY")
	}
	o, ok := s.Settings().Organisation(strings.TrimSpace(key))
	if !ok {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeKeyUnknown, "no organisation has this key")
	}
	return o, nil
}

// newWork reads what all requests share.
func (s *Server) newWork(ctx context.Context, r *http.Request) (*dispatch.Request, error) {
	o, err := s.organisation(r)
	if err != nil {
		return nil, err
	}
	w := &dispatch.Request{
		ID:             idOf(ctx),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Organisation:   o,
		SessionID:      r.Header.Get("Session-Id"),
		StallTimeout:   o.Stall,
		Method:         r.Method,
		Path:           r.URL.Path,
	}
	if len(w.IdempotencyKey) > maxHeaderText || len(w.SessionID) > maxHeaderText {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeHeaderMalformed, "Idempotency-Key and Session-Id are at most %d bytes", maxHeaderText)
	}
	return w, nil
}

// deadline reads Request-Timeout, within what the settings allow.
func (s *Server) deadline(r *http.Request, longest time.Duration) (time.Time, error) {
	now := s.Clock.Now()
	text := r.Header.Get("Request-Timeout")
	if text == "" {
		return now.Add(longest), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return now, persimmoncross.NewRefusal(persimmoncross.CodeHeaderMalformed, "Request-Timeout: want seconds above 0, found %q", text)
	}
	if seconds >= longest.Seconds() {
		return now.Add(longest), nil
	}
	return now.Add(time.Duration(seconds * float64(time.Second))), nil
}

// once reads the header Idempotent.
func once(r *http.Request, fallback bool) (bool, error) {
	switch text := r.Header.Get("Idempotent"); strings.ToLower(text) {
	case "":
		return fallback, nil
	case "false":
		return true, nil
	case "true":
		return fallback, nil // a caller can't relax what the settings forbid
	default:
		return false, persimmoncross.NewRefusal(persimmoncross.CodeHeaderMalformed, "Idempotent: want true or false, found %q", text)
	}
}

func (s *Server) readBody(r *http.Request, limit int) ([]byte, error) {
	body, err := s.Bodies.ReadRequest(r, limit)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, inbound.ErrTooLarge):
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeBodyTooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, inbound.ErrNoRoom):
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeOverloaded, "this VM holds too many bytes for callers").WithRetryAfter(noRoomWait)
	}
	return nil, persimmoncross.NewRefusal(persimmoncross.CodeBodyMalformed, "the body broke off")
}

func (s *Server) decodeChat(ctx context.Context, r *http.Request) (any, error) {
	w, err := s.newWork(ctx, r)
	if err != nil {
		return nil, err
	}
	if w.Body, err = s.readBody(r, w.Organisation.Body); err != nil {
		return nil, err
	}
	parsed, err := chat.ParseRequest(w.Body)
	if err != nil {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeBodyMalformed, "%v", err)
	}
	w.TargetName = parsed.Model
	w.Stream = parsed.Stream
	w.PartIDs = parsed.PartIDs
	if w.AtMostOnce, err = once(r, !w.Organisation.Idempotent); err != nil {
		return nil, err
	}
	w.Deadline, err = s.deadline(r, w.Organisation.Deadline)
	return w, err
}

// hopHeaders are between two neighbours, or the router's own.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Host", "Content-Length",
	"Idempotency-Key", "Idempotent", "Session-Id", "Request-Timeout",
	"Attempt-Id", "Request-Id", "Organisation", "Priority",
}

func (s *Server) decodeService(ctx context.Context, r *http.Request) (any, error) {
	w, err := s.newWork(ctx, r)
	if err != nil {
		return nil, err
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	service, ok := s.Settings().Services[name]
	if !ok {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeServiceUnknown, "there is no service %q", name)
	}
	if !w.Organisation.Services[name] {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeServiceForbidden, "%s may not use %q", w.Organisation.Name, name)
	}
	w.TargetName = name
	w.Service = service
	w.StallTimeout = service.Stall
	path = "/" + path
	if w.AtMostOnce, err = once(r, service.OnceOnly(r.Method, path)); err != nil {
		return nil, err
	}
	_, escaped, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	w.Path = "/" + escaped
	if r.URL.RawQuery != "" {
		w.Path += "?" + r.URL.RawQuery
	}
	if w.Body, err = s.readBody(r, service.Body); err != nil {
		return nil, err
	}
	w.Header = r.Header.Clone()
	for _, h := range hopHeaders {
		w.Header.Del(h)
	}
	w.Deadline, err = s.deadline(r, service.Deadline)
	return w, err
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) decodeModels(_ context.Context, r *http.Request) (any, error) {
	o, err := s.organisation(r)
	if err != nil {
		return nil, err
	}
	return s.Settings().Usable(o), nil
}

func encodeModels(_ context.Context, w http.ResponseWriter, response any) error {
	list := modelList{
		Object: "list",
		Data:   []modelItem{},
	}
	for _, name := range response.([]string) {
		list.Data = append(list.Data, modelItem{
			ID:     name,
			Object: "model",
		})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}
