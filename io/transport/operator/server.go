// Package operator serves the operators' API over HTTP, on a port of its own:
// settings, withdrawals, drains, voters, status, bills, health and metrics.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rcrowley/go-metrics"

	"persimmoncross/io/protocol/problem"
	"persimmoncross/io/transport/inbound"
)

const (
	maxFile      = 8 << 20
	billsDefault = 1000
	billsMost    = 10_000
)

// Server is the operators' API. The exported fields are set before Handler.
type Server struct {
	Fleet     Fleet
	Operators func() map[string]string // hash of a key to its operator's name
	Ready     func() error             // why callers should go elsewhere
	Metrics   metrics.Registry
	Files     *inbound.Bodies // bounds what is held of files; nil: nothing does
}

type operatorName struct{}

// Handler returns the API's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.Handle("GET /v1/settings", s.endpoint(s.Fleet.settings, noBody))
	mux.Handle("POST /v1/settings", s.endpoint(s.Fleet.apply, s.decodeChange))
	mux.Handle("POST /v1/withdraw/{name}", s.endpoint(s.Fleet.withdraw, s.decodeChange))
	mux.Handle("POST /v1/drain/{name}", s.endpoint(s.Fleet.drain, s.decodeChange))
	mux.Handle("POST /v1/undrain/{name}", s.endpoint(s.Fleet.undrain, s.decodeChange))
	mux.Handle("POST /v1/evacuate/{name}", s.endpoint(s.Fleet.evacuate, s.decodeChange))
	mux.Handle("POST /v1/readmit/{name}", s.endpoint(s.Fleet.readmit, s.decodeChange))
	mux.Handle("POST /v1/repair", s.endpoint(s.Fleet.repair, decodeRepair))
	mux.Handle("POST /v1/transfer", s.endpoint(s.Fleet.transfer, noBody))
	mux.Handle("GET /v1/status", s.endpoint(s.Fleet.status, noBody))
	mux.Handle("GET /v1/bills", s.endpoint(s.Fleet.bills, decodeBills))
	mux.Handle("GET /v1/totals", s.endpoint(s.Fleet.totals, noBody))
	return inbound.WithWriteLimit(inbound.WithReading(mux))
}

// ChangeRequest asks for a change of the settings.
type ChangeRequest struct {
	ID       string
	Expect   uint64
	Any      bool // Expect is not given
	Operator string
	Name     string // of what is changed
	File     []byte
}

// RepairRequest asks to replace a voter.
type RepairRequest struct {
	Lost string // the VM whose disk is gone
	With string // the VM that takes its vote; may be the same
}

// BillsRequest asks for bills.
type BillsRequest struct {
	After uint64
	Limit int
}

func (s *Server) endpoint(serve endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	checked := func(ctx context.Context, r *http.Request) (any, error) {
		name, ok := s.operator(r)
		if !ok {
			return nil, merry.New("no operator has this key", merry.WithHTTPCode(http.StatusUnauthorized), withCode("key-unknown"))
		}
		return decode(context.WithValue(ctx, operatorName{}, name), r)
	}
	return kithttp.NewServer(serve, checked, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

func (s *Server) operator(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	given := "sha256:" + hex.EncodeToString(sum[:])
	for hash, name := range s.Operators() {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(given)) == 1 {
			return name, true
		}
	}
	return "", false
}

// codeKey is under which merry keeps a problem's code.
type codeKey struct{}

func withCode(code string) merry.Wrapper { return merry.WithValue(codeKey{}, code) }

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	code, _ := merry.Value(err, codeKey{}).(string)
	if code == "" {
		code = "failed"
	}
	problem.WriteError(w, code, err)
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.Metrics, w)
}

func noBody(context.Context, *http.Request) (any, error) { return nil, nil }

func (s *Server) decodeChange(ctx context.Context, r *http.Request) (any, error) {
	c := ChangeRequest{
		ID:   r.URL.Query().Get("change"),
		Name: r.PathValue("name"),
	}
	c.Operator, _ = ctx.Value(operatorName{}).(string)
	if c.ID == "" {
		return nil, badRequest(errors.New("change=ID is missing: it makes a resend safe"))
	}
	switch text := r.URL.Query().Get("if-revision"); text {
	case "":
		c.Any = true
	default:
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, badRequest(errors.New("if-revision: want a whole number"))
		}
		c.Expect = n
	}
	file, err := s.Files.ReadRequest(r, maxFile)
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		return nil, merry.New("the file is too large", merry.WithHTTPCode(http.StatusRequestEntityTooLarge), withCode("body-too-large"))
	case errors.Is(err, inbound.ErrNoRoom):
		return nil, merry.Wrap(err, merry.WithHTTPCode(http.StatusServiceUnavailable), withCode("overloaded"))
	case err != nil:
		return nil, badRequest(err)
	}
	c.File = file
	return c, nil
}

func decodeRepair(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	request := RepairRequest{
		Lost: q.Get("lost"),
		With: q.Get("with"),
	}
	if request.Lost == "" {
		return nil, badRequest(errors.New("lost=VM is missing"))
	}
	if request.With == "" {
		request.With = request.Lost
	}
	return request, nil
}

func decodeBills(_ context.Context, r *http.Request) (any, error) {
	b := BillsRequest{
		Limit: billsDefault,
	}
	var err error
	if text := r.URL.Query().Get("after"); text != "" {
		if b.After, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, badRequest(errors.New("after: want a whole number"))
		}
	}
	if text := r.URL.Query().Get("limit"); text != "" {
		if b.Limit, err = strconv.Atoi(text); err != nil || b.Limit < 1 || b.Limit > billsMost {
			return nil, badRequest(errors.New("limit: want 1 to 10000"))
		}
	}
	return b, nil
}

func badRequest(err error) error {
	return merry.Wrap(err, merry.WithHTTPCode(http.StatusBadRequest), withCode("malformed"))
}

// decodeJSON is used by the client for the answers.
func decodeJSON(r io.Reader, target any) error {
	return json.NewDecoder(io.LimitReader(r, maxFile)).Decode(target)
}
