package persimmoncross

import (
	"context"
	"encoding/hex"
	"net/netip"
)

// requestDigestSize is the size of a [Digest] in bytes: half of a SHA-256 hash, because
// digests are sent over the network and stored in the log, and still enough that nobody can
// construct two requests with the same digest.
const requestDigestSize = 16

// Digest identifies the content of an organisation's request, independent of the IDs of its
// attempts. The zero value identifies no request.
type Digest [requestDigestSize]byte

// String returns the digest in the form used in logs.
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

// QuarantineStage says how requests that crash upstreams are treated.
type QuarantineStage uint8

// The quarantine stages.
const (
	QuarantineNone    QuarantineStage = iota
	QuarantineIsolate                 // the request runs at an upstream reserved for it
	QuarantineRefuse                  // the request does not run
)

// String returns the stage in the form used in logs.
func (s QuarantineStage) String() string {
	switch s {
	case QuarantineIsolate:
		return "watch"
	case QuarantineRefuse:
		return "refuse"
	}
	return "free"
}

// Quarantine is the state, sent to all VMs, of a request whose runs crash upstreams, or of a part of
// prompts under which they crash.
type Quarantine struct {
	Digest  Digest          `json:"digest"`
	Part    bool            `json:"part,omitempty"` // Digest is that of a part of prompts
	Service string          `json:"service"`        // the service that the request is for
	Stage   QuarantineStage `json:"stage"`
	// TrialVM is the VM that makes a trial run of a refused request, "" if there is none;
	// TrialCount is the number of trial runs.
	TrialVM    string `json:"trial,omitempty"`
	TrialCount int    `json:"try,omitempty"`
}

// Isolated reports whether the request runs at an upstream reserved for it. A suspected part is not isolated,
// because sound requests share it; only the trial of a refused part is.
func (h Quarantine) Isolated() bool {
	return h.Stage == QuarantineIsolate && !h.Part || h.TrialVM != ""
}

// Prober checks whether an upstream's process still exists.
type Prober interface {
	// IsDown reports whether nothing listens at the upstream's address any more. If that cannot
	// be determined, the upstream is assumed to be running.
	IsDown(ctx context.Context, address netip.AddrPort) bool
	// Accepts reports whether the upstream accepts a connection, from this VM or through another, so that
	// its VM is not lost.
	Accepts(ctx context.Context, address netip.AddrPort) bool
}
