package persimmoncross

import (
	"context"
	"encoding/hex"
	"net/netip"
)

// requestDigestSize is enough that nobody makes two requests with one digest, and half
// of what SHA-256 gives: digests go over links and into the log.
const requestDigestSize = 16

// Digest names what an organisation asks for, whatever id its attempts have. The
// zero value names nothing.
type Digest [requestDigestSize]byte

// String returns the digest as logs have it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements [encoding.TextMarshaler].
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(requestDigestSize) {
		return hex.ErrLength
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// QuarantineStage is what is done with requests that upstreams ended under.
type QuarantineStage uint8

// The stages.
const (
	QuarantineNone    QuarantineStage = iota
	QuarantineIsolate                 // it runs where no other suspect does
	QuarantineRefuse                  // it does not run
)

// String returns the stage as logs have it.
func (s QuarantineStage) String() string {
	switch s {
	case QuarantineIsolate:
		return "watch"
	case QuarantineRefuse:
		return "refuse"
	}
	return "free"
}

// Quarantine is what all VMs are to know of a request under which upstreams ended.
type Quarantine struct {
	Digest  Digest          `json:"digest"`
	Service string          `json:"service"` // that it goes to
	Stage   QuarantineStage `json:"stage"`
	// TrialVM is the VM that runs one copy of a refused request, "" if none does; Try
	// counts the trials.
	TrialVM    string `json:"trial,omitempty"`
	TrialCount int    `json:"try,omitempty"`
}

// Isolated reports whether copies of the request run at an upstream of their own.
func (h Quarantine) Isolated() bool { return h.Stage == QuarantineIsolate || h.TrialVM != "" }

// Prober finds out whether an upstream's process is there.
type Prober interface {
	// Gone reports whether nothing listens at an upstream's address any more. What
	// can't be found out is taken for an upstream that lives.
	Gone(ctx context.Context, address netip.AddrPort) bool
}
