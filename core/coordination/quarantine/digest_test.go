package quarantine

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"persimmoncross"
)

// Requests that differ in any part that an upstream receives have different digests, and
// so do requests whose fields only concatenate to the same bytes.
func TestDigestOf(t *testing.T) {
	body := sha256.Sum256([]byte("body"))
	base := DigestOf("o", "POST", "h", "/p", body)
	if base != DigestOf("o", "POST", "h", "/p", body) {
		t.Error("the same request has two digests")
	}
	for _, tt := range []struct {
		name   string
		digest persimmoncross.Digest
	}{
		{"organisation", DigestOf("p", "POST", "h", "/p", body)},
		{"method", DigestOf("o", "GET", "h", "/p", body)},
		{"host", DigestOf("o", "POST", "g", "/p", body)},
		{"path", DigestOf("o", "POST", "h", "/q", body)},
		{"query", DigestOf("o", "POST", "h", "/p?a=1", body)},
		{"body", DigestOf("o", "POST", "h", "/p", sha256.Sum256(nil))},
		{"boundary between two fields moved", DigestOf("oP", "OST", "h", "/p", body)},
	} {
		if tt.digest == base || tt.digest == (persimmoncross.Digest{}) {
			t.Errorf("%s: %v", tt.name, tt.digest)
		}
	}
}

// BenchmarkDigestOf measures the digest of requests with bodies from empty to the maximum
// size.
func BenchmarkDigestOf(b *testing.B) {
	for _, size := range []int{0, 2 << 10, 64 << 10, 4 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				DigestOf("organisation", "POST", "host.example", "/path/to/it", sha256.Sum256(body))
			}
		})
	}
}
