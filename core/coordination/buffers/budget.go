// Package buffers decides which bytes an entry may hold for requests, and when it holds so many
// that callers should use other entries.
package buffers

import "math"

// Kind is what bytes are held for.
type Kind uint8

// The kinds.
const (
	Requests  Kind = iota // requests while they are read, and until they end
	Responses             // responses that are read completely before they are sent, and incomplete events
	Others                // bytes of other parts
	kindCount
)

var kindNames = [kindCount]string{"requests", "responses", "others"}

// String returns the kind's name in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Requests, Responses, Others} }

// openFraction is the part of the limit that requests of every rank may use. The rest is a
// reserve for the more urgent ones: each rank may use half of what the next more urgent one may
// use of it, so that ranks differ however many there are.
const openFraction = 0.5

// Budget counts the bytes that are held, by kind, against one limit. Budget is not safe for
// concurrent use.
type Budget struct {
	Limit int64 // in bytes

	held  [kindCount]int64
	total int64
}

// LimitOf returns up to how many bytes in all a request of the rank may be admitted; rank 0 is the most
// urgent.
func (b *Budget) LimitOf(rank int) int64 {
	reserve := math.Ldexp(1-openFraction, -max(rank, 0))
	return int64(float64(b.Limit) * (openFraction + reserve))
}

// Reserve counts bytes of new work of the rank and reports whether they are within its limit. If
// not, nothing is counted.
func (b *Budget) Reserve(kind Kind, bytes int64, rank int) bool {
	if !b.Fits(bytes, rank) {
		return false
	}
	b.Add(kind, bytes)
	return true
}

// Fits reports whether bytes of new work of the rank are within its limit.
func (b *Budget) Fits(bytes int64, rank int) bool { return bytes <= b.LimitOf(rank)-b.total }

// Add counts bytes of work that runs already and is not ended for the limit. A negative number
// releases bytes.
func (b *Budget) Add(kind Kind, bytes int64) {
	b.held[kind] += bytes
	b.total += bytes
}

// Held returns the bytes held of the kind.
func (b *Budget) Held(kind Kind) int64 { return b.held[kind] }

// Total returns the bytes held of all kinds.
func (b *Budget) Total() int64 { return b.total }
