// Package retry limits retries to a share of the requests, so that they don't overload a
// failing pool of upstreams, and computes Retry-After delays for refused callers.
package retry

import "time"

const (
	// bucketCount is the number of parts into which the window of a [Budget] is divided.
	bucketCount = 100
	// keptBuckets covers the window, also where it begins within a bucket.
	keptBuckets = bucketCount + 1
)

// Budget is a retry budget: it limits the retries in a sliding window by the credit that the
// requests in the window earn. Unused credit of the whole window is available at once for
// the many requests that the loss of one upstream cuts off; a token bucket would hold only a
// few. Budget has no clock and is not safe for concurrent use.
type Budget struct {
	Window        time.Duration
	BaseAllowance float64 // retries allowed in addition to the earned credit
	MinAllowance  float64 // retries allowed at least, even without requests

	bucketStart time.Time            // start of the newest bucket
	earned      [keptBuckets]float64 // credit earned in each bucket
	used        [keptBuckets]int     // retries allowed in each bucket
	current     int                  // index of the newest bucket
}

// RecordRequest records a request. credit is the number of retries that it earns, usually a
// fraction.
func (b *Budget) RecordRequest(credit float64, now time.Time) {
	b.advance(now)
	b.earned[b.current] += credit
}

// TryRetry reports whether a retry is allowed, and counts it if so.
func (b *Budget) TryRetry(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.used[b.current]++
	return true
}

// Remaining returns the number of retries left in the window that ends now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	used := 0
	for _, n := range b.used {
		used += n
	}
	return b.Limit(now) - float64(used)
}

// Limit returns the number of retries allowed in the window that ends now. The oldest bucket
// begins before the window, so its retries count and its credit does not.
func (b *Budget) Limit(now time.Time) float64 {
	b.advance(now)
	earned := 0.0
	for age := range bucketCount {
		earned += b.earned[b.index(age)]
	}
	return max(b.BaseAllowance+earned, b.MinAllowance)
}

// index returns the index of the bucket that was the newest age buckets ago.
func (b *Budget) index(age int) int { return (b.current - age + keptBuckets) % keptBuckets }

// advance drops the buckets that are older than the window.
func (b *Budget) advance(now time.Time) {
	bucketLength := max(b.Window/bucketCount, 1)
	if b.bucketStart.IsZero() {
		b.bucketStart = now
	}
	for range keptBuckets {
		if now.Sub(b.bucketStart) < bucketLength {
			return
		}
		b.bucketStart = b.bucketStart.Add(bucketLength)
		b.current = (b.current + 1) % keptBuckets
		b.earned[b.current] = 0
		b.used[b.current] = 0
	}
	if now.Sub(b.bucketStart) >= bucketLength {
		b.bucketStart = now // idle for longer than the window
	}
}
