package persimmoncross

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// Head is the beginning of an answer.
type Head struct {
	Status      int
	ContentType string
	Version     Version // that ran; empty for a plain service
	Request     string  // the request's id
	Attempt     string  // the attempt's, "" if the answer is a recorded one
	Stream      bool    // the chunks are events' payloads, not parts of a body
}

// Usage counts the tokens of one run.
type Usage struct {
	Input  uint64
	Output uint64
}

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID           string // the upstream echoes it
	Request      string
	Key          string // the caller's idempotency key, "" if none
	Organisation string
	Version      Version
	Priority     int
	Stream       bool
	Blind        bool // the upstream does not echo the ID
	Once         bool // may not be sent twice, not even by the connection
	Method       string
	Path         string
	Header       http.Header // of a plain service's call
	Body         []byte
}

// Answer is an upstream's answer while it comes.
type Answer interface {
	// Head returns what came before the first chunk.
	Head() Head
	// Next returns the next chunk, and io.EOF only after the whole answer.
	Next() ([]byte, error)
	// Usage returns the tokens counted so far.
	Usage() Usage
	// Close ends the run if it is not over.
	Close() error
}

// Upstreams sends attempts to engines and plain services.
type Upstreams interface {
	// Begin sends the attempt and waits for the head of its answer. An error is
	// an [AttemptError].
	Begin(ctx context.Context, address netip.AddrPort, a Attempt) (Answer, error)
	// Resume continues a stream that broke after the given number of chunks, at
	// the engine that ran it.
	Resume(ctx context.Context, address netip.AddrPort, a Attempt, chunks int) (Answer, error)
}

// AttemptError tells why an attempt gave no whole answer.
type AttemptError struct {
	Reason string // one short word: a counter's name
	Run    Run    // whether the upstream can have begun it
	Busy   bool   // the upstream has too much to do
	// RetryAfter is how long this VM should send the upstream nothing; 0 if not told.
	RetryAfter time.Duration
	Cut        bool // the connection ended before the answer did
	Client     bool // the request is at fault: no other upstream would do better
	Status     int  // the upstream's HTTP status, 0 if none
	Detail     string
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt failed: %s (%s): %s", e.Reason, e.Run, e.Detail)
}

// Sink takes an answer on its way to a caller. Its methods are called in the
// order Start, Write…, and then End once.
type Sink interface {
	Start(h Head) error
	Write(chunk []byte) error
	// End tells that the answer is whole and settled, or why there is none.
	End(r *Refusal)
}

// Rater rates answers from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, question, answer []byte, v Version) (float64, error)
}

// Report is what an upstream says of itself, late.
type Report struct {
	Started  time.Time // of the process; zero: not told
	Sequence uint64    // counts what it told since then
	Running  int
	Waiting  int
	Slots    int
	Versions []Version
	Leaving  bool
	Taken    time.Time // when it was asked for
}

// Reporter asks an upstream for its report.
type Reporter interface {
	Report(ctx context.Context, address netip.AddrPort) (Report, error)
}

// Candidate is an upstream that could run a request.
type Candidate struct {
	Name     string
	Address  netip.AddrPort
	Near     bool    // in the entry's own data centre
	InFlight int     // this entry's own attempts, now
	Busy     float64 // all entries' attempts: the own ones, and the others' as if spread evenly
	Slots    int
	Hold     time.Duration // mean time that an attempt took, 0 if unknown
	Cached   int           // prompt bytes believed to be in its cache
	Errors   float64       // recent share of failed attempts
}

// Placer picks one of the candidates, which are never empty.
type Placer interface {
	Place(candidates []Candidate, prompt int) int
}

// Gate tells whether this VM may take work.
type Gate interface {
	// Admit refuses a new request: while stopping, drained, or without a lease.
	Admit() *Refusal
	// Lease refuses a new attempt of a request that was admitted.
	Lease() *Refusal
}

// Joiner fetches the answer of a request that another VM's process runs.
type Joiner interface {
	// Join copies the answer to the sink. It returns an error, having sent
	// nothing, if the owner does not run the request.
	Join(ctx context.Context, owner, organisation, key string, sink Sink) error
}
