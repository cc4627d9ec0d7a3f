package persimmoncross

import (
	"fmt"
	"net/http"
	"time"
)

// Run tells a caller whether an upstream can have begun its request.
type Run string

// The words of the "run" member of a problem document.
const (
	NotRun  Run = "not-run" // no upstream can have begun the request
	Ran     Run = "ran"     // an upstream began it
	Unknown Run = "unknown" // it cannot be known
)

// Code is the machine-readable reason for a refusal. Each code has a counter.
type Code string

// The codes a caller or an operator can meet. docs/API.md lists them.
const (
	CodeKeyUnknown        Code = "key-unknown"
	CodeModelForbidden    Code = "model-forbidden"
	CodeModelUnknown      Code = "model-unknown"
	CodeServiceForbidden  Code = "service-forbidden"
	CodeServiceUnknown    Code = "service-unknown"
	CodePathUnknown       Code = "path-unknown"
	CodeMethodWrong       Code = "method-wrong"
	CodeBodyMalformed     Code = "body-malformed"
	CodeBodyTooLarge      Code = "body-too-large"
	CodeHeaderMalformed   Code = "header-malformed"
	CodeKeyReused         Code = "key-reused"
	CodeVersionWithdrawn  Code = "version-withdrawn"
	CodeNoUpstream        Code = "no-upstream"
	CodeNoLease           Code = "no-lease"
	CodeLedgerUnavailable Code = "ledger-unavailable"
	CodeRateLimited       Code = "rate-limited"
	CodeConcurrency       Code = "concurrency-limited"
	CodeOverloaded        Code = "overloaded"
	CodeQuarantined       Code = "quarantined"
	CodeStopping          Code = "stopping"
	CodeDeadline          Code = "deadline-exceeded"
	CodeUpstreamFailed    Code = "upstream-failed"
	CodeAnswerLost        Code = "answer-lost"
	CodeOutcomeUnknown    Code = "outcome-unknown"
)

// httpStatuses gives the HTTP status of each code.
var httpStatuses = map[Code]int{
	CodeKeyUnknown:        http.StatusUnauthorized,
	CodeModelForbidden:    http.StatusForbidden,
	CodeModelUnknown:      http.StatusNotFound,
	CodeServiceForbidden:  http.StatusForbidden,
	CodeServiceUnknown:    http.StatusNotFound,
	CodePathUnknown:       http.StatusNotFound,
	CodeMethodWrong:       http.StatusMethodNotAllowed,
	CodeBodyMalformed:     http.StatusBadRequest,
	CodeBodyTooLarge:      http.StatusRequestEntityTooLarge,
	CodeHeaderMalformed:   http.StatusBadRequest,
	CodeKeyReused:         http.StatusUnprocessableEntity,
	CodeVersionWithdrawn:  http.StatusGone,
	CodeNoUpstream:        http.StatusServiceUnavailable,
	CodeNoLease:           http.StatusServiceUnavailable,
	CodeLedgerUnavailable: http.StatusServiceUnavailable,
	CodeRateLimited:       http.StatusTooManyRequests,
	CodeConcurrency:       http.StatusTooManyRequests,
	CodeOverloaded:        http.StatusServiceUnavailable,
	CodeQuarantined:       http.StatusServiceUnavailable,
	CodeStopping:          http.StatusServiceUnavailable,
	CodeDeadline:          http.StatusGatewayTimeout,
	CodeUpstreamFailed:    http.StatusBadGateway,
	CodeAnswerLost:        http.StatusConflict,
	CodeOutcomeUnknown:    http.StatusConflict,
}

// Codes returns every code with its HTTP status.
func Codes() map[Code]int { return httpStatuses }

// Refusal is the final answer to a request that gets no whole answer.
type Refusal struct {
	Code       Code
	Run        Run
	Detail     string
	RetryAfter time.Duration // zero: the header is left out
}

// Refuse returns a refusal of a request that no upstream can have begun.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:   code,
		Run:    NotRun,
		Detail: fmt.Sprintf(format, args...),
	}
}

// After returns the refusal with the time after which to come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithRun returns the refusal with the run word replaced.
func (r *Refusal) WithRun(run Run) *Refusal {
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
