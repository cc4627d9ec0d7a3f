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
	return digestOfFields(organisation, method, host, target, string(bodyHash[:]))
}

func digestOfFields(fields ...string) persimmoncross.Digest {
	input := make([]byte, 0, 256)
	for _, field := range fields {
		input = binary.AppendUvarint(input, uint64(len(field)))
		input = append(input, field...)
	}
	sum := sha256.Sum256(input)
	return persimmoncross.Digest(sum[:len(persimmoncross.Digest{})])
}
