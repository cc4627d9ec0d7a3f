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

// Repeat tells whether a passage may run more than once.
type Repeat uint8

// The kinds of repetition.
const (
	RepeatNever  Repeat = iota // at most one upstream may begin it
	RepeatFreely               // any number may run it
	RepeatResume               // a stream: another upstream may go on after the last event
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Passage is one caller's request that goes through unchanged. It is read only
// once it is made.
type Passage struct {
	ID           string
	Method       string
	Target       string // as the caller wrote it
	Host         string
	Path         string
	Header       http.Header // end to end, without what only the router may set
	Body         []byte
	Content      [sha256.Size]byte // SHA-256 of Body, taken while it was read
	Key          string            // the caller's, "" if none
	Session      string            // "" if none
	Model        string            // "" if none is named
	AnyModel     bool              // the router names the model
	Prompt       []Part
	PromptTokens int
	OutputTokens int    // the most that may be generated
	LastEvent    string // a stream goes on after it
	Arrived      time.Time
	Deadline     time.Time // zero: the caller named none
}

// SharedTokens returns the tokens of the prompt's parts but the last, which is the
// request's own.
func (p *Passage) SharedTokens() int {
	sum := 0
	for i := range len(p.Prompt) - 1 {
		sum += p.Prompt[i].Tokens
	}
	return sum
}

// PassageAttempt is one try of a passage at one upstream.
type PassageAttempt struct {
	Passage      *Passage
	Upstream     Upstream
	Organisation string // "" if no key was needed
	Model        string // "" if the passage names none
	LastEvent    string
	Priority     int // 0 is first; negative: not told
	Deadline     time.Time
	MaxConns     int // connections that this process may hold to the upstream
	// CopyFrom is an upstream that may hold shared parts of the prompt: what this
	// one lacks of them is copied from there. The zero address: none.
	CopyFrom netip.AddrPort
}

// Load is what an upstream said of itself on an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// PassageHead is the beginning of an upstream's answer to an attempt.
type PassageHead struct {
	Status      int
	Header      http.Header   // end to end
	Request     string        // the request's id as the upstream echoes it
	Signed      bool          // the upstream put its signature on it
	NotRun      bool          // the upstream says that it did not begin
	Misdirected bool          // another incarnation has the address
	Confidence  int           // of the model in its answer, 0 to 100; -1 if not told
	Load        *Load         // nil if not told
	Leaving     bool          // the upstream gets no new work
	RetryAfter  time.Duration // for which this entry sends the upstream nothing; 0 if not told
	Limit       float64       // requests per second that the upstream accepts from all entries; 0: no limit
}

// PassageAnswer is an upstream's answer while it comes.
type PassageAnswer interface {
	// Head returns what came before the body.
	Head() PassageHead
	// Read returns the next bytes, and io.EOF only after the whole body.
	Read(p []byte) (int, error)
	// Close ends the run if the body was not read to its end.
	Close() error
}

// PassageCodec puts the router's own facts into an upstream's headers, and
// reads an upstream's facts from its answer.
type PassageCodec interface {
	// Encode sets the headers of an attempt; left is the time until its deadline.
	Encode(h http.Header, a *PassageAttempt, left time.Duration)
	// Decode reads an answer's status and headers.
	Decode(status int, h http.Header) PassageHead
}

// Forwarder sends attempts to upstreams. An error is an [AttemptError]; its
// Run says whether the upstream can have begun.
type Forwarder interface {
	Forward(ctx context.Context, a *PassageAttempt) (PassageAnswer, error)
}

// PassageSink takes the answer on its way to the caller.
type PassageSink interface {
	// Head sends the status and the headers.
	Head(h PassageHead) error
	// Write sends a part of the body.
	Write(p []byte) error
	// Flush sends what Write may have kept back.
	Flush() error
}

// Upstream is an upstream as the platform's list has it.
type Upstream struct {
	Incarnation string    // the platform's name for it; it may start again under that
	Started     time.Time // zero: not told
	Service     string
	Address     netip.AddrPort
	DataCentre  string
	Version     string // of its software
	Slots       int
	Leaving     bool
	Models      []string
	Cold        time.Duration // for which it bears little, from the reading of the list
}

// Life names one life of the upstream, from a start to its end. Whatever is kept
// of an upstream is kept by its life: one that has started again holds and knows
// nothing of before, and neither load nor doubt of its former life says anything
// of it. An upstream at another address has started again, whether its start is
// told or not.
func (u Upstream) Life() string {
	b := []byte(u.Address.String())
	if !u.Started.IsZero() {
		b = strconv.AppendInt(append(b, ' '), u.Started.UnixMilli(), 10)
	}
	return u.Incarnation + "~" + strconv.FormatUint(xxhash.Sum64(b)&0xffffffff, 36)
}

// UpstreamLister reads the whole list of upstreams.
type UpstreamLister interface {
	// Upstreams returns the list, or an error. It asks again for a page that was
	// over the rate allowed, as long as the context lasts.
	Upstreams(ctx context.Context) ([]Upstream, error)
}
