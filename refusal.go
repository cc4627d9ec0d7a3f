package persimmoncross

import (
	"fmt"
	"net/http"
	"time"
)

// RunStatus tells a caller whether an upstream can have begun its request.
type RunStatus string

// The words of the "run" member of a problem document.
const (
	NotRun     RunStatus = "not-run" // no upstream can have begun the request
	Ran        RunStatus = "ran"     // an upstream began it
	RunUnknown RunStatus = "unknown" // it cannot be known
)

// Code is the machine-readable reason for a refusal. Each code has a counter.
type Code string

// The codes a caller or an operator can meet. docs/API.md lists them.
const (
	CodeKeyUnknown         Code = "key-unknown"
	CodeModelForbidden     Code = "model-forbidden"
	CodeModelUnknown       Code = "model-unknown"
	CodeServiceForbidden   Code = "service-forbidden"
	CodeServiceUnknown     Code = "service-unknown"
	CodePathUnknown        Code = "path-unknown"
	CodeMethodNotAllowed   Code = "method-wrong"
	CodeBodyMalformed      Code = "body-malformed"
	CodeBodyTooLarge       Code = "body-too-large"
	CodeHeaderMalformed    Code = "header-malformed"
	CodeKeyReused          Code = "key-reused"
	CodeVersionWithdrawn   Code = "version-withdrawn"
	CodeNoUpstream         Code = "no-upstream"
	CodeNoLease            Code = "no-lease"
	CodeLedgerUnavailable  Code = "ledger-unavailable"
	CodeRateLimited        Code = "rate-limited"
	CodeConcurrencyLimited Code = "concurrency-limited"
	CodeOverloaded         Code = "overloaded"
	CodeQuarantined        Code = "quarantined"
	CodeStopping           Code = "stopping"
	CodeDeadlineExceeded   Code = "deadline-exceeded"
	CodeUpstreamFailed     Code = "upstream-failed"
	CodeAnswerLost         Code = "answer-lost"
	CodeOutcomeUnknown     Code = "outcome-unknown"
)

// httpStatuses gives the HTTP status of each code.
var httpStatuses = map[Code]int{
	CodeKeyUnknown:         http.StatusUnauthorized,
	CodeModelForbidden:     http.StatusForbidden,
	CodeModelUnknown:       http.StatusNotFound,
	CodeServiceForbidden:   http.StatusForbidden,
	CodeServiceUnknown:     http.StatusNotFound,
	CodePathUnknown:        http.StatusNotFound,
	CodeMethodNotAllowed:   http.StatusMethodNotAllowed,
	CodeBodyMalformed:      http.StatusBadRequest,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeHeaderMalformed:    http.StatusBadRequest,
	CodeKeyReused:          http.StatusUnprocessableEntity,
	CodeVersionWithdrawn:   http.StatusGone,
	CodeNoUpstream:         http.StatusServiceUnavailable,
	CodeNoLease:            http.StatusServiceUnavailable,
	CodeLedgerUnavailable:  http.StatusServiceUnavailable,
	CodeRateLimited:        http.StatusTooManyRequests,
	CodeConcurrencyLimited: http.StatusTooManyRequests,
	CodeOverloaded:         http.StatusServiceUnavailable,
	CodeQuarantined:        http.StatusServiceUnavailable,
	CodeStopping:           http.StatusServiceUnavailable,
	CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	CodeUpstreamFailed:     http.StatusBadGateway,
	CodeAnswerLost:         http.StatusConflict,
	CodeOutcomeUnknown:     http.StatusConflict,
}

// HTTPStatuses returns every code with its HTTP status.
func HTTPStatuses() map[Code]int { return httpStatuses }

// Refusal is the final answer to a request that gets no whole answer.
type Refusal struct {
	Code       Code
	Run        RunStatus
	Detail     string
	RetryAfter time.Duration // zero: the header is left out
}

// NewRefusal returns a refusal of a request that no upstream can have begun.
func NewRefusal(code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:   code,
		Run:    NotRun,
		Detail: fmt.Sprintf(format, args...),
	}
}

// WithRetryAfter returns the refusal with the time after which to come back.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRunStatus returns the refusal with the run word replaced.
func (r *Refusal) WithRunStatus(run RunStatus) *Refusal {
	r.Run = run
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Run, r.Detail)
}

// Status returns the HTTP status of the code.
func (r *Refusal) Status() int {
	if status, ok := httpStatuses[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
