package quarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"persimmoncross"
)

// DigestOf returns the digest of a request. bodyHash is the SHA-256 of its body. The hash
// is cryptographic and covers the organisation, because with constructed collisions one
// organisation could have the requests of another refused.
func DigestOf(organisation, method, host, target string, bodyHash [sha256.Size]byte) persimmoncross.Digest {
	return digestOf(append(encodeFields(organisation, method, host, target), bodyHash[:]...))
}

// encodeFields encodes the fields so that no two lists of fields have the same encoding.
func encodeFields(fields ...string) []byte {
	encoded := make([]byte, 0, 256)
	for _, field := range fields {
		encoded = binary.AppendUvarint(encoded, uint64(len(field)))
		encoded = append(encoded, field...)
	}
	return encoded
}

func digestOf(input []byte) persimmoncross.Digest {
	sum := sha256.Sum256(input)
	return persimmoncross.Digest(sum[:len(persimmoncross.Digest{})])
}
