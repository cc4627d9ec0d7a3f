// Package problem is the form of errors towards callers and operators:
// application/problem+json (RFC 9457) with the members code and run. Retry-After, in
// seconds, is the same from upstreams.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"persimmoncross"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

const typePrefix = "https://persimmoncross.example/problems/"

// Document is a problem document.
type Document struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Code    string `json:"code"`
	Run     string `json:"run,omitempty"`
	Retry   int    `json:"retry,omitempty"` // seconds, as in Retry-After
	Request string `json:"request,omitempty"`
}

// Of returns a refusal's document.
func Of(r *persimmoncross.Refusal, request string) Document {
	return Document{
		Type:    typePrefix + string(r.Code),
		Title:   http.StatusText(r.Status()),
		Status:  r.Status(),
		Detail:  r.Detail,
		Code:    string(r.Code),
		Run:     string(r.Run),
		Retry:   retrySeconds(r),
		Request: request,
	}
}

// Encode returns a refusal's document as JSON.
func Encode(r *persimmoncross.Refusal, request string) []byte {
	data, _ := json.Marshal(Of(r, request))
	return data
}

// Write answers with the refusal.
func Write(w http.ResponseWriter, r *persimmoncross.Refusal, request string) {
	if s := retrySeconds(r); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	write(w, r.Status(), Encode(r, request))
}

// WriteError answers an operator with any error: its HTTP status is the one
// that merry attached, and the code is given.
func WriteError(w http.ResponseWriter, code string, err error) {
	status := merry.HTTPCode(err)
	data, _ := json.Marshal(Document{
		Type:   typePrefix + code,
		Title:  http.StatusText(status),
		Status: status,
		Detail: err.Error(),
		Code:   code,
	})
	write(w, status, data)
}

func write(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

// retrySeconds rounds up: a caller who comes back then is not too early.
func retrySeconds(r *persimmoncross.Refusal) int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}

// maxRetryAfter caps the Retry-After of upstreams.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns the Retry-After of an upstream's answer, 0 if there is none in seconds.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
