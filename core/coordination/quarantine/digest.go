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
func DigestOf(organisation, method, host, target string, bodyHash [sha256.Size]byte) persimmoncross.Digest {
	input := make([]byte, 0, 256)
	for _, field := range []string{organisation, method, host, target} {
		input = binary.AppendUvarint(input, uint64(len(field)))
		input = append(input, field...)
	}
	sum := sha256.Sum256(append(input, bodyHash[:]...))
	return persimmoncross.Digest(sum[:len(persimmoncross.Digest{})])
}
