package persimmoncross

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// ResponseHead is the beginning of an answer.
type ResponseHead struct {
	Status      int
	ContentType string
	Version     ModelVersion // that ran; empty for a plain service
	RequestID   string       // the request's id
	AttemptID   string       // the attempt's, "" if the answer is a recorded one
	Stream      bool         // the chunks are events' payloads, not parts of a body
}

// Usage counts the tokens of one run.
type Usage struct {
	Input  uint64
	Output uint64
}

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID             string // the upstream echoes it
	RequestID      string
	IdempotencyKey string // the caller's idempotency key, "" if none
	Organisation   string
	Version        ModelVersion
	Priority       int
	Stream         bool
	OmitsAttemptID bool // the upstream does not echo the ID
	AtMostOnce     bool // may not be sent twice, not even by the connection
	Method         string
	Path           string
	Header         http.Header // of a plain service's call
	Body           []byte
}

// Response is an upstream's answer while it comes.
type Response interface {
	// Head returns what came before the first chunk.
	Head() ResponseHead
	// NextChunk returns the next chunk, and io.EOF only after the whole answer.
	NextChunk() ([]byte, error)
	// Usage returns the tokens counted so far.
	Usage() Usage
	// Close ends the run if it is not over.
	Close() error
}

// UpstreamClient sends attempts to engines and plain services.
type UpstreamClient interface {
	// Begin sends the attempt and waits for the head of its answer. An error is
	// an [AttemptError].
	Begin(ctx context.Context, address netip.AddrPort, a Attempt) (Response, error)
	// Resume continues a stream that broke after the given number of chunks, at
	// the engine that ran it.
	Resume(ctx context.Context, address netip.AddrPort, a Attempt, chunks int) (Response, error)
}

// AttemptError tells why an attempt gave no whole answer.
type AttemptError struct {
	Reason     string    // one short word: a counter's name
	Run        RunStatus // whether the upstream can have begun it
	Overloaded bool      // the upstream has too much to do
	// RetryAfter is how long this VM should send the upstream nothing; 0 if not told.
	RetryAfter     time.Duration
	ConnectionLost bool // the connection ended before the answer did
	ClientFault    bool // the request is at fault: no other upstream would do better
	HTTPStatus     int  // the upstream's HTTP status, 0 if none
	Detail         string
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt failed: %s (%s): %s", e.Reason, e.Run, e.Detail)
}

// ResponseSink takes an answer on its way to a caller. Its methods are called in the
// order Start, Write…, and then End once.
type ResponseSink interface {
	Start(h ResponseHead) error
	Write(chunk []byte) error
	// End tells that the answer is whole and settled, or why there is none.
	End(r *Refusal)
}

// Rater rates answers from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, question, answer []byte, v ModelVersion) (float64, error)
}

// UpstreamReport is what an upstream says of itself, late.
type UpstreamReport struct {
	StartedAt   time.Time // of the process; zero: not told
	Sequence    uint64    // counts what it told since then
	Running     int
	Waiting     int
	Slots       int
	Versions    []ModelVersion
	Draining    bool
	RequestedAt time.Time // when it was asked for
}

// ReportFetcher asks an upstream for its report.
type ReportFetcher interface {
	FetchReport(ctx context.Context, address netip.AddrPort) (UpstreamReport, error)
}

// Candidate is an upstream that could run a request.
type Candidate struct {
	Name              string
	Address           netip.AddrPort
	SameDataCentre    bool    // in the entry's own data centre
	InFlight          int     // this entry's own attempts, now
	EstimatedInFlight float64 // all entries' attempts: the own ones, and the others' as if spread evenly
	Slots             int
	MeanDuration      time.Duration // mean time that an attempt took, 0 if unknown
	CachedBytes       int           // prompt bytes believed to be in its cache
	ErrorRate         float64       // recent share of failed attempts
}

// Picker picks one of the candidates, which are never empty.
type Picker interface {
	Pick(candidates []Candidate, prompt int) int
}

// Admitter tells whether this VM may take work.
type Admitter interface {
	// Admit refuses a new request: while stopping, drained, or without a lease.
	Admit() *Refusal
	// CheckLease refuses a new attempt of a request that was admitted.
	CheckLease() *Refusal
}

// Joiner fetches the answer of a request that another VM's process runs.
type Joiner interface {
	// Join copies the answer to the sink. It returns an error, having sent
	// nothing, if the owner does not run the request.
	Join(ctx context.Context, owner, organisation, key string, sink ResponseSink) error
}
