package dispatch

import (
	"crypto/sha256"
	"net/http"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// Request is a request as admitted.
type Request struct {
	ID             string
	IdempotencyKey string // the caller's idempotency key, "" if none
	Organisation   *settings.Organisation
	TargetName     string // the model, version or cascade asked for
	SessionID      string
	Stream         bool
	AtMostOnce     bool // may not run twice
	Deadline       time.Time
	StallTimeout   time.Duration
	Body           []byte
	Service        *settings.ResolvedService // nil for a chat request
	Method         string
	Path           string
	Header         http.Header
}

// ledgerKey returns the key by which the ledger knows the request.
func (w *Request) ledgerKey() string {
	if w.IdempotencyKey != "" {
		return w.IdempotencyKey
	}
	return "request:" + w.ID
}

// idempotencyDigest tells whether a resend is the same request.
func (w *Request) idempotencyDigest() []byte {
	h := sha256.New()
	for _, s := range []string{w.Method, w.Path, w.TargetName, w.SessionID} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(w.Body)
	return h.Sum(nil)
}

// maxAttempts returns how many tries the request may have.
func (w *Request) maxAttempts() int {
	if w.Service != nil {
		return w.Service.Attempts
	}
	return w.Organisation.Attempts
}

// strongerRunStatus returns the run word that says more of two.
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
