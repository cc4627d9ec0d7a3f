package persimmoncross

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetryMode tells whether a passage may run more than once.
type RetryMode uint8

// The kinds of repetition.
const (
	RetryNever  RetryMode = iota // at most one upstream may begin it
	RetryFreely                  // any number may run it
	RetryResume                  // a stream: another upstream may go on after the last event
)

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// ProxyRequest is one caller's request that goes through unchanged. It is read only
// once it is made.
type ProxyRequest struct {
	ID               string
	Method           string
	RequestTarget    string // as the caller wrote it
	Host             string
	Path             string
	Header           http.Header // end to end, without what only the router may set
	Body             []byte
	BodyDigest       [sha256.Size]byte // SHA-256 of Body, taken while it was read
	IdempotencyKey   string            // the caller's, "" if none
	SessionID        string            // "" if none
	Model            string            // "" if none is named
	RouterPicksModel bool              // the router names the model
	PromptParts      []PromptPart
	PromptTokens     int
	MaxOutputTokens  int    // the most that may be generated
	LastEventID      string // a stream goes on after it
	ArrivedAt        time.Time
	Deadline         time.Time // zero: the caller named none
}

// SharedPromptTokens returns the tokens of the prompt's parts but the last, which is the
// request's own.
func (p *ProxyRequest) SharedPromptTokens() int {
	sum := 0
	for i := range len(p.PromptParts) - 1 {
		sum += p.PromptParts[i].Tokens
	}
	return sum
}

// ProxyAttempt is one try of a passage at one upstream.
type ProxyAttempt struct {
	Request      *ProxyRequest
	Upstream     Upstream
	Organisation string // "" if no key was needed
	Model        string // "" if the passage names none
	LastEventID  string
	Priority     int // 0 is first; negative: not told
	Deadline     time.Time
	MaxConns     int // connections that this process may hold to the upstream
	// PrefixCacheSource is an upstream that may hold shared parts of the prompt: what this
	// one lacks of them is copied from there. The zero address: none.
	PrefixCacheSource netip.AddrPort
}

// UpstreamLoad is what an upstream said of itself on an answer.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
}

// ProxyResponseHead is the beginning of an upstream's answer to an attempt.
type ProxyResponseHead struct {
	Status          int
	Header          http.Header   // end to end
	RequestID       string        // the request's id as the upstream echoes it
	HasSignature    bool          // the upstream put its signature on it
	NotRun          bool          // the upstream says that it did not begin
	Misdirected     bool          // another incarnation has the address
	ModelConfidence int           // of the model in its answer, 0 to 100; -1 if not told
	Load            *UpstreamLoad // nil if not told
	Draining        bool          // the upstream gets no new work
	RetryAfter      time.Duration // for which this entry sends the upstream nothing; 0 if not told
	RateLimit       float64       // requests per second that the upstream accepts from all entries; 0: no limit
}

// ProxyResponse is an upstream's answer while it comes.
type ProxyResponse interface {
	// Head returns what came before the body.
	Head() ProxyResponseHead
	// Read returns the next bytes, and io.EOF only after the whole body.
	Read(p []byte) (int, error)
	// Close ends the run if the body was not read to its end.
	Close() error
}

// ProxyHeaderCodec puts the router's own facts into an upstream's headers, and
// reads an upstream's facts from its answer.
type ProxyHeaderCodec interface {
	// Encode sets the headers of an attempt; left is the time until its deadline.
	Encode(h http.Header, a *ProxyAttempt, left time.Duration)
	// Decode reads an answer's status and headers.
	Decode(status int, h http.Header) ProxyResponseHead
}

// Forwarder sends attempts to upstreams. An error is an [AttemptError]; its
// Run says whether the upstream can have begun.
type Forwarder interface {
	Forward(ctx context.Context, a *ProxyAttempt) (ProxyResponse, error)
}

// ProxyResponseSink takes the answer on its way to the caller.
type ProxyResponseSink interface {
	// WriteHead sends the status and the headers.
	WriteHead(h ProxyResponseHead) error
	// Write sends a part of the body.
	Write(p []byte) error
	// Flush sends what Write may have kept back.
	Flush() error
}

// Upstream is an upstream as the platform's list has it.
type Upstream struct {
	Incarnation        string    // the platform's name for it; it may start again under that
	StartedAt          time.Time // zero: not told
	Service            string
	Address            netip.AddrPort
	DataCentre         string
	Version            string // of its software
	Slots              int
	Draining           bool
	Models             []string
	SlowStartRemaining time.Duration // for which it bears little, from the reading of the list
}

// InstanceID names one life of the upstream, from a start to its end. Whatever is kept
// of an upstream is kept by its life: one that has started again holds and knows
// nothing of before, and neither load nor doubt of its former life says anything
// of it. An upstream at another address has started again, whether its start is
// told or not.
func (u Upstream) InstanceID() string {
	b := []byte(u.Address.String())
	if !u.StartedAt.IsZero() {
		b = strconv.AppendInt(append(b, ' '), u.StartedAt.UnixMilli(), 10)
	}
	return u.Incarnation + "~" + strconv.FormatUint(xxhash.Sum64(b)&0xffffffff, 36)
}

// UpstreamLister reads the whole list of upstreams.
type UpstreamLister interface {
	// ListUpstreams returns the list, or an error. It asks again for a page that was
	// over the rate allowed, as long as the context lasts.
	ListUpstreams(ctx context.Context) ([]Upstream, error)
}
