// Package retry limits retries to a share of the requests, so that they don't overload a
// failing pool of upstreams, and computes Retry-After delays for refused callers.
package retry

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of parts into which the window of a [Budget] is divided.
	bucketCount = 100
	// keptBuckets covers the window that ends now and the one before it.
	keptBuckets = 2 * bucketCount
)

// Budget is a retry budget: in any window, the retries stay within the credit that is earned by
// the requests of that window, of the one before it, or of the one half a window before it.
// Unused credit of the whole window is available at once for the many requests that the loss of
// one upstream cuts off; a token bucket would hold only a few. Budget has no clock and is not
// safe for concurrent use.
type Budget struct {
	Window        time.Duration
	BaseAllowance float64 // retries allowed in addition to the earned credit
	MinAllowance  float64 // retries allowed at least, even without requests

	bucketStart time.Time            // start of the newest bucket
	earned      [keptBuckets]float64 // credit earned in each bucket
	used        [keptBuckets]int     // retries that arrived, by the bucket in which that was known
	reserved    int                  // retries that may still arrive
	current     int                  // index of the newest bucket
}

// RecordRequest records a request. credit is the number of retries that it earns, usually a
// fraction.
func (b *Budget) RecordRequest(credit float64, now time.Time) {
	b.advance(now)
	b.earned[b.current] += credit
}

// TryRetry reports whether a retry is allowed, and counts it if so, as one that arrives at once.
func (b *Budget) TryRetry(now time.Time) bool {
	if !b.Reserve(now) {
		return false
	}
	b.Settle(now)
	return true
}

// Reserve reports whether a retry is allowed, and reserves it if so. Until it is settled or
// released it counts in every window, because it may arrive in any of them.
func (b *Budget) Reserve(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.reserved++
	return true
}

// Settle counts a reserved retry that has arrived by now.
func (b *Budget) Settle(now time.Time) {
	b.advance(now)
	b.reserved--
	b.used[b.current]++
}

// Release gives back a reserved retry that will not arrive.
func (b *Budget) Release() { b.reserved-- }

// Reserved returns the number of retries that were reserved and neither settled nor released.
func (b *Budget) Reserved() int { return b.reserved }

// Remaining returns the number of retries that are left in each window that contains now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	credits := b.sumCredits()
	used, left := b.reserved, math.Inf(1)
	for age := range bucketCount + 1 {
		used += b.used[b.index(age)]
		left = min(left, b.allowance(credits.ofWindow(age))-float64(used))
	}
	return left
}

// LeftFraction returns which fraction of the retries in the window that ends now is left, 0 if no retry is.
func (b *Budget) LeftFraction(now time.Time) float64 {
	if b.Remaining(now) < 1 {
		return 0
	}
	used := b.reserved
	for age := range bucketCount + 1 {
		used += b.used[b.index(age)]
	}
	return max(1-float64(used)/b.Limit(now), 0)
}

// Limit returns the number of retries allowed in the window that ends now.
func (b *Budget) Limit(now time.Time) float64 {
	b.advance(now)
	return b.allowance(b.sumCredits().ofWindow(bucketCount))
}

// Credits returns the credit earned in the window that ends now, in the one half a window before it
// and in the one before it.
func (b *Budget) Credits(now time.Time) (during, halfBefore, before float64) {
	b.advance(now)
	s := b.sumCredits()
	return s[bucketCount], s[bucketCount+bucketCount/2] - s[bucketCount/2], s[keptBuckets] - s[bucketCount]
}

func (b *Budget) allowance(credit float64) float64 {
	return max(b.BaseAllowance+credit, b.MinAllowance)
}

// creditSums holds the credit earned in the newest buckets, by their number.
type creditSums [keptBuckets + 1]float64

func (b *Budget) sumCredits() *creditSums {
	var s creditSums
	for age := range keptBuckets {
		s[age+1] = s[age] + b.earned[b.index(age)]
	}
	return &s
}

// ofWindow returns the credit of a window that begins in the bucket of the given age: what was
// earned in it, in the one before it or in the one half a window before it, whichever is most.
// A bucket that is only partly in one of these does not count for it.
func (s *creditSums) ofWindow(age int) float64 {
	const half = bucketCount / 2
	during := s[age]
	before := s[age+bucketCount] - s[age+1]
	halfBefore := s[age+half] - s[max(age-half+1, 0)]
	return max(during, before, halfBefore)
}

// index returns the index of the bucket that was the newest age buckets ago.
func (b *Budget) index(age int) int { return (b.current - age + keptBuckets) % keptBuckets }

// advance drops the buckets that are no longer kept.
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
		b.bucketStart = now // idle for longer than is kept
	}
}
