package dispatch

import (
	"crypto/sha256"
	"net/http"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// Request is a caller's request, as passed to [Dispatcher.Serve].
type Request struct {
	ID             string
	IdempotencyKey string // set by the caller; "" if there is none
	Organisation   *settings.Organisation
	TargetName     string // the requested model, version, cascade or service
	SessionID      string
	PartIDs        []string // of the prompt's parts, in order; nil for a service
	Stream         bool
	AtMostOnce     bool // must not run twice
	Deadline       time.Time
	StallTimeout   time.Duration
	Body           []byte
	Service        *settings.ResolvedService // nil for a chat request
	Method         string
	Path           string
	Header         http.Header
}

// ledgerKey returns the key of the request in the ledger.
func (w *Request) ledgerKey() string {
	if w.IdempotencyKey != "" {
		return w.IdempotencyKey
	}
	return "request:" + w.ID
}

// idempotencyDigest returns a digest of the method, path, target, session and body. A request
// that has the idempotency key of an earlier request but another digest is refused.
func (w *Request) idempotencyDigest() []byte {
	h := sha256.New()
	for _, s := range []string{w.Method, w.Path, w.TargetName, w.SessionID} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(w.Body)
	return h.Sum(nil)
}

// maxAttempts returns the maximum number of attempts of the request.
func (w *Request) maxAttempts() int {
	if w.Service != nil {
		return w.Service.Attempts
	}
	return w.Organisation.Attempts
}

// strongerRunStatus returns the stronger of two run statuses: NotRun is the weakest, Ran the
// strongest.
func strongerRunStatus(a, b persimmoncross.RunStatus) persimmoncross.RunStatus {
	rank := map[persimmoncross.RunStatus]int{
		persimmoncross.NotRun:     0,
		persimmoncross.RunUnknown: 1,
		persimmoncross.Ran:        2,
	}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
