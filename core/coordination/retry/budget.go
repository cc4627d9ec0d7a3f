// Package retry bounds retries as a share of the traffic, so that a failing
// pool is not asked again by all at once.
package retry

import "time"

// buckets is the number of parts in which a window moves on.
const buckets = 20

// Budget bounds the retries in any span of its length by what the requests in it
// bring. What a calm span has left is there at once for the many requests that one lost
// upstream cuts, where a bucket would hold a few. It has no lock and no clock; the caller guards it.
type Budget struct {
	Window        time.Duration // of the span
	BaseAllowance float64       // retries allowed beside what the requests bring
	MinAllowance  float64       // retries allowed at least, however few requests came

	bucketStart time.Time // of the newest slice
	earned      [buckets]float64
	used        [buckets]int
	current     int
}

// RecordRequest counts a request, which brings a share of a retry.
func (b *Budget) RecordRequest(credit float64, now time.Time) {
	b.advance(now)
	b.earned[b.current] += credit
}

// TryRetry counts a retry, and reports whether it may be made; one that may not is
// not counted.
func (b *Budget) TryRetry(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.used[b.current]++
	return true
}

// Remaining returns how many retries are left now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	_, used := b.totals()
	return b.Limit(now) - float64(used)
}

// Limit returns how many retries the span up to now may hold.
func (b *Budget) Limit(now time.Time) float64 {
	b.advance(now)
	earned, _ := b.totals()
	return max(b.BaseAllowance+earned, b.MinAllowance)
}

func (b *Budget) totals() (earned float64, used int) {
	for i := range buckets {
		earned += b.earned[i]
		used += b.used[i]
	}
	return earned, used
}

// advance forgets what is older than the span. The oldest slice goes as a whole, so
// that the span is never longer than its length.
func (b *Budget) advance(now time.Time) {
	bucketLength := max(b.Window/buckets, 1)
	if b.bucketStart.IsZero() {
		b.bucketStart = now
	}
	for range buckets {
		if now.Sub(b.bucketStart) < bucketLength {
			return
		}
		b.bucketStart = b.bucketStart.Add(bucketLength)
		b.current = (b.current + 1) % buckets
		b.earned[b.current] = 0
		b.used[b.current] = 0
	}
	if now.Sub(b.bucketStart) >= bucketLength {
		b.bucketStart = now // nothing came for longer than the span
	}
}
