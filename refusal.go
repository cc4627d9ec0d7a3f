package persimmoncross

import (
	"fmt"
	"net/http"
	"time"
)

// RunStatus says whether an upstream may have started a request.
type RunStatus string

// The values of the "run" member of a problem document.
const (
	NotRun     RunStatus = "not-run" // no upstream can have started the request
	Ran        RunStatus = "ran"     // an upstream started the request
	RunUnknown RunStatus = "unknown" // an upstream may have started the request
)

// Code is the machine-readable reason of a refusal. Each code has its own counter.
type Code string

// The codes that callers and operators can receive. docs/API.md lists them.
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

// httpStatuses maps each code to its HTTP status.
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

// Refusal is the final response to a request that gets no complete answer.
type Refusal struct {
	Code       Code
	Run        RunStatus
	Detail     string
	RetryAfter time.Duration // zero: no Retry-After header is sent
}

// NewRefusal returns a refusal of a request that no upstream can have started.
func NewRefusal(code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:   code,
		Run:    NotRun,
		Detail: fmt.Sprintf(format, args...),
	}
}

// WithRetryAfter sets the delay after which the caller may retry, and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRunStatus sets the run status and returns r.
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
