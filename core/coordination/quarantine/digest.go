package quarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"persimmoncross"
)

// DigestOf returns the digest of a request. content is the SHA-256 of its body. A
// collision that could be constructed would let one organisation have another's
// requests refused; so the digest is a cryptographic one, and the organisation is
// part of it.
func DigestOf(organisation, method, host, target string, content [sha256.Size]byte) persimmoncross.Digest {
	b := make([]byte, 0, 256)
	for _, field := range []string{organisation, method, host, target} {
		b = binary.AppendUvarint(b, uint64(len(field)))
		b = append(b, field...)
	}
	sum := sha256.Sum256(append(b, content[:]...))
	return persimmoncross.Digest(sum[:len(persimmoncross.Digest{})])
}
