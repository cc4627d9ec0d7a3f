package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is enough that nobody makes two requests with one digest, and half
// of what SHA-256 gives: digests go over links and into the log.
const digestBytes = 16

// Digest names what an organisation asks for, whatever id its attempts have: the
// same method, target and body. The zero value names nothing.
type Digest [digestBytes]byte

// String returns the digest as logs and messages have it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of a request. content is the SHA-256 of its body. A
// collision that could be constructed would let one organisation have another's
// requests refused; so the digest is a cryptographic one, and the organisation is
// part of it.
func DigestOf(organisation, method, host, target string, content [sha256.Size]byte) Digest {
	b := make([]byte, 0, 256)
	for _, field := range []string{organisation, method, host, target} {
		b = binary.AppendUvarint(b, uint64(len(field)))
		b = append(b, field...)
	}
	sum := sha256.Sum256(append(b, content[:]...))
	return Digest(sum[:digestBytes])
}
