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

// RetryMode says whether a request may run more than once.
type RetryMode uint8

// The retry modes.
const (
	RetryNever  RetryMode = iota // at most one upstream may start the request
	RetryFreely                  // any number of upstreams may run the request
	RetryResume                  // a stream: another upstream may continue after the last event
)

// PromptPart is a part of a prompt that may also be a part of other requests' prompts.
type PromptPart struct {
	ID     string
	Tokens int
}

// ProxyRequest is a caller's request that is forwarded unchanged. It must not be modified
// after it has been created.
type ProxyRequest struct {
	ID               string
	Method           string
	RequestTarget    string // as received from the caller
	Host             string
	Path             string
	Header           http.Header // end-to-end headers, without those that only the router may set
	Body             []byte
	BodyDigest       [sha256.Size]byte // SHA-256 of Body, computed while the body was read
	APIKey           string            // set by the caller; "" if there is none
	SessionID        string            // "" if there is none
	Model            string            // "" if the request names none
	RouterPicksModel bool              // the router chooses the model
	PromptParts      []PromptPart
	PromptTokens     int
	MaxOutputTokens  int    // limit of the number of tokens to generate
	OutputTokensHint int    // the caller's estimate of the number of tokens to generate; 0 if there is none
	LastEventID      string // ID of the event after which a stream continues
	ArrivedAt        time.Time
	Deadline         time.Time // zero if the caller set none
}

// SharedPromptTokens returns the number of tokens in all parts of the prompt except the last,
// which is specific to the request.
func (p *ProxyRequest) SharedPromptTokens() int {
	sum := 0
	for i := range len(p.PromptParts) - 1 {
		sum += p.PromptParts[i].Tokens
	}
	return sum
}

// PartIDs returns the IDs of the prompt's parts, in order.
func (p *ProxyRequest) PartIDs() []string {
	ids := make([]string, 0, len(p.PromptParts))
	for _, part := range p.PromptParts {
		ids = append(ids, part.ID)
	}
	return ids
}

// ProxyAttempt is one try of a request at one upstream.
type ProxyAttempt struct {
	Request      *ProxyRequest
	Upstream     Upstream
	Organisation string // "" if the request needed no API key
	Model        string // "" if the request names none
	LastEventID  string
	Priority     int // 0 is the highest; a negative value means unspecified
	Deadline     time.Time
	MaxConns     int // limit of the connections from this process to the upstream
	// PrefixCacheSource is the address of an upstream that may have shared parts of the
	// prompt in its cache; Upstream copies the parts that it lacks from there. The zero value
	// means none.
	PrefixCacheSource netip.AddrPort
	// MayCarry reports whether a VM in the data centre may pass the request on to its upstream; nil: any may.
	MayCarry func(dataCentre string) bool
}

// UpstreamLoad is the load that an upstream reported in a response.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the upstream's machine now, in percent of the usual; 0 if
	// not reported.
	Pace int
}

// ProxyResponseHead is the status and the headers of an upstream's response, with the facts
// that the upstream reported in them.
type ProxyResponseHead struct {
	Status          int
	Header          http.Header   // end-to-end headers
	RequestID       string        // request ID echoed by the upstream
	HasSignature    bool          // the response has the upstream's signature
	NotRun          bool          // the upstream reports that it did not start the request
	Misdirected     bool          // another instance answers at the address
	ModelConfidence int           // the model's confidence in its answer, 0 to 100; -1 if not reported
	Load            *UpstreamLoad // nil if not reported
	Draining        bool          // the upstream gets no new work
	RetryAfter      time.Duration // how long this entry must send the upstream no requests; 0 if not reported
	RateLimit       float64       // requests per second accepted from all entries together; 0 if unlimited
	// MaxRejections is how many requests the upstream may reject in a second for want of room before
	// it fails; 0 if it bears any number.
	MaxRejections float64
}

// ProxyResponse is an upstream's response while it is being received.
type ProxyResponse interface {
	// Head returns the status and the headers.
	Head() ProxyResponseHead
	// Read returns the next bytes of the body. It returns io.EOF only after the complete
	// body.
	Read(p []byte) (int, error)
	// Close cancels the run if the body has not been read to its end.
	Close() error
}

// ProxyHeaderCodec encodes an attempt's properties as request headers for an upstream, and
// decodes what the upstream reports in its response headers.
type ProxyHeaderCodec interface {
	// Encode sets the headers of an attempt; left is the time until the attempt's deadline.
	Encode(h http.Header, a *ProxyAttempt, left time.Duration)
	// Decode decodes the status and the headers of a response.
	Decode(status int, h http.Header) ProxyResponseHead
}

// Forwarder sends attempts to upstreams. Its errors are of type [AttemptError], whose Run
// field says whether the upstream may have started the request.
type Forwarder interface {
	Forward(ctx context.Context, a *ProxyAttempt) (ProxyResponse, error)
}

// ProxyResponseSink receives the response that is sent to the caller.
type ProxyResponseSink interface {
	// WriteHead sends the status and the headers.
	WriteHead(h ProxyResponseHead) error
	// Write sends a part of the body.
	Write(p []byte) error
	// Flush sends the data that Write has buffered.
	Flush() error
}

// Upstream is an upstream as listed by the platform.
type Upstream struct {
	Name               string    // the platform's name for the upstream; a restarted process may keep it
	StartedAt          time.Time // start time of the process; zero if not reported
	Service            string
	Address            netip.AddrPort
	DataCentre         string
	Version            string // version of the upstream's software
	Slots              int
	Draining           bool
	Models             []string
	SlowStartRemaining time.Duration // remaining duration of slow start, counted from the time that the list was read
}

// InstanceID identifies one run of the upstream's process, from its start to its exit. All
// state about an upstream is kept under its InstanceID, because a restarted process has lost
// its caches and sessions, and neither the load nor the suspicion of the earlier process
// applies to it. An upstream at another address counts as restarted, whether or not its start
// time is reported.
func (u Upstream) InstanceID() string {
	b := []byte(u.Address.String())
	if !u.StartedAt.IsZero() {
		b = strconv.AppendInt(append(b, ' '), u.StartedAt.UnixMilli(), 10)
	}
	return u.Name + "~" + strconv.FormatUint(xxhash.Sum64(b)&0xffffffff, 36)
}

// UpstreamLister reads the complete list of upstreams.
type UpstreamLister interface {
	// ListUpstreams returns the list, or an error. It requests a page again if the platform
	// rejected it for exceeding the rate limit, until the context ends.
	ListUpstreams(ctx context.Context) ([]Upstream, error)
}
