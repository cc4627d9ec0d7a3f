package dispatch

import (
	"crypto/sha256"
	"net/http"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// Work is a request as admitted.
type Work struct {
	ID           string
	Key          string // the caller's idempotency key, "" if none
	Organisation *settings.Organisation
	Name         string // the model, version or cascade asked for
	Session      string
	Stream       bool
	Once         bool // may not run twice
	Deadline     time.Time
	Stall        time.Duration
	Body         []byte
	Service      *settings.ResolvedService // nil for a chat request
	Method       string
	Path         string
	Header       http.Header
}

// ledgerKey returns the key by which the ledger knows the request.
func (w *Work) ledgerKey() string {
	if w.Key != "" {
		return w.Key
	}
	return "request:" + w.ID
}

// idempotencyDigest tells whether a resend is the same request.
func (w *Work) idempotencyDigest() []byte {
	h := sha256.New()
	for _, s := range []string{w.Method, w.Path, w.Name, w.Session} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(w.Body)
	return h.Sum(nil)
}

// maxAttempts returns how many tries the request may have.
func (w *Work) maxAttempts() int {
	if w.Service != nil {
		return w.Service.Attempts
	}
	return w.Organisation.Attempts
}

// strongerRunStatus returns the run word that says more of two.
func strongerRunStatus(a, b persimmoncross.Run) persimmoncross.Run {
	rank := map[persimmoncross.Run]int{
		persimmoncross.NotRun:  0,
		persimmoncross.Unknown: 1,
		persimmoncross.Ran:     2,
	}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
