package persimmoncross

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// ResponseHead is the part of a response that precedes the body.
type ResponseHead struct {
	Status      int
	ContentType string
	Version     ModelVersion // version that ran the request; empty for a plain service
	RequestID   string
	AttemptID   string // "" if the answer was replayed from the ledger
	Stream      bool   // the chunks are the payloads of events, not parts of a body
}

// Usage is the number of tokens processed by one run.
type Usage struct {
	Input  uint64
	Output uint64
}

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID             string // echoed by the upstream
	RequestID      string
	IdempotencyKey string // set by the caller; "" if there is none
	Organisation   string
	Version        ModelVersion
	Priority       int
	Stream         bool
	OmitsAttemptID bool // the upstream does not echo the ID
	AtMostOnce     bool // must not be sent twice, not even by the HTTP client after a connection error
	Method         string
	Path           string
	Header         http.Header // headers of a request to a plain service
	Body           []byte
}

// Response is an upstream's response while it is being received.
type Response interface {
	// Head returns the part of the response before the first chunk.
	Head() ResponseHead
	// NextChunk returns the next chunk. It returns io.EOF only after the complete response.
	NextChunk() ([]byte, error)
	// Usage returns the tokens counted so far.
	Usage() Usage
	// Close cancels the run if it has not ended.
	Close() error
}

// UpstreamClient sends attempts to engines and plain services.
type UpstreamClient interface {
	// Send sends the attempt and waits for the response head. Its errors are of type
	// [AttemptError].
	Send(ctx context.Context, address netip.AddrPort, a Attempt) (Response, error)
	// Resume continues a stream that was interrupted after the given number of chunks, at the
	// engine that ran the attempt.
	Resume(ctx context.Context, address netip.AddrPort, a Attempt, chunks int) (Response, error)
}

// AttemptError describes why an attempt got no complete response.
type AttemptError struct {
	Reason     string    // one short word, used as a part of a metric's name
	Run        RunStatus // whether the upstream may have started the attempt
	Overloaded bool
	// RetryAfter is how long this VM should send the upstream no requests; 0 if not reported.
	RetryAfter     time.Duration
	ConnectionLost bool // the connection was closed before the response was complete
	ClientFault    bool // the request is invalid, so it would fail at any other upstream too
	HTTPStatus     int  // the upstream's HTTP status; 0 if none was received
	Detail         string
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt failed: %s (%s): %s", e.Reason, e.Run, e.Detail)
}

// ResponseSink receives a response that is sent to a caller. Start is called first, then
// Write any number of times, then End once. Start is not called if there is no response.
type ResponseSink interface {
	Start(h ResponseHead) error
	Write(chunk []byte) error
	// End reports that the response is complete and the request settled, or why there is no
	// complete response if r is not nil.
	End(r *Refusal)
}

// Rater rates answers from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, question, answer []byte, v ModelVersion) (float64, error)
}

// UpstreamReport is the state that an upstream reports about itself. Its load figures lag
// behind the actual load.
type UpstreamReport struct {
	StartedAt   time.Time // start time of the process; zero if not reported
	Sequence    uint64    // number of the report, counted from the start of the process
	Running     int
	Waiting     int
	Slots       int
	Versions    []ModelVersion
	Draining    bool
	RequestedAt time.Time // when the report was requested
}

// ReportFetcher requests an upstream's report.
type ReportFetcher interface {
	FetchReport(ctx context.Context, address netip.AddrPort) (UpstreamReport, error)
}

// Candidate is an upstream that can run a request.
type Candidate struct {
	Name              string
	Address           netip.AddrPort
	SameDataCentre    bool    // in the same data centre as the entry
	InFlight          int     // this entry's in-flight attempts
	EstimatedInFlight float64 // estimated attempts of all entries; each other entry is assumed to have this entry's average
	Slots             int
	MeanDuration      time.Duration // mean duration of an attempt; 0 if unknown
	CachedBytes       int           // estimated bytes of the prompt in the upstream's cache
	ErrorRate         float64       // recent share of failed attempts
}

// Picker chooses one of the candidates and returns its index. candidates is never empty;
// prompt is the size of the prompt in bytes.
type Picker interface {
	Pick(candidates []Candidate, prompt int) int
}

// Admitter decides whether this VM may accept requests.
type Admitter interface {
	// Admit refuses a new request while the VM is stopping, is drained or has no lease.
	Admit() *Refusal
	// CheckLease refuses a new attempt of an admitted request while the VM has no lease.
	CheckLease() *Refusal
}

// Joiner fetches the answer to a request that is running on another VM.
type Joiner interface {
	// Join copies the answer to the sink. If the owner does not run the request, Join returns
	// an error and has sent nothing to the sink.
	Join(ctx context.Context, owner, organisation, key string, sink ResponseSink) error
}
