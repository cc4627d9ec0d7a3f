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
	// lateBuckets covers the time within which a request is known to all entries.
	lateBuckets = bucketCount / 10
)

// Budget is the retry budget of one entry. In any window, the retries of all entries together stay
// within the credit that is earned by the requests of that window, of the one before it, or of the
// one half a window before it, whichever of the three has most requests at all entries. So each
// entry counts half the credit of the window and half of that of the one before it: the sum over
// the entries is the mean of two of the three, wherever requests move. The credit of an entry's own
// best window would not add up to that of the fleet's best one. Much unused credit is available at
// once for the many requests that the loss of one upstream cuts off; a token bucket would hold only
// a few. Budget has no clock and is not safe for concurrent use.
type Budget struct {
	Window        time.Duration
	BaseAllowance float64 // retries allowed in addition to the earned credit
	MinAllowance  float64 // retries allowed at least, even without requests
	FleetShare    float64 // this entry's part of what no entry's own requests earn; 1: it is the only one

	bucketStart time.Time            // start of the newest bucket
	earned      [keptBuckets]float64 // credit earned in each bucket
	fleet       [keptBuckets]float64 // credit earned at all entries, by the bucket in which that was known
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

// RecordFleet records credit that requests have earned at all entries, up to lateBuckets ago.
func (b *Budget) RecordFleet(credit float64, now time.Time) {
	b.advance(now)
	b.fleet[b.current] += credit
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

// Credits returns the credit that this entry's requests earned in the window that ends now and in
// the one before it, and its part of the fleet's surplus.
func (b *Budget) Credits(now time.Time) (during, before, surplus float64) {
	b.advance(now)
	c := b.sumCredits()
	return c.own.during(bucketCount), c.own.before(bucketCount), c.share * c.fleet.surplus(bucketCount)
}

func (b *Budget) allowance(credit float64) float64 {
	return max(b.BaseAllowance+credit, b.MinAllowance)
}

// credits holds the credit of the newest buckets.
type credits struct {
	own   creditSums
	fleet creditSums
	share float64 // of the fleet's surplus
}

func (b *Budget) sumCredits() *credits {
	c := &credits{
		share: b.FleetShare,
	}
	for age := range keptBuckets {
		c.own[age+1] = c.own[age] + b.earned[b.index(age)]
		c.fleet[age+1] = c.fleet[age] + b.fleet[b.index(age)]
	}
	return c
}

// ofWindow returns the credit of a window that begins in the bucket of the given age. The mean of
// what an entry's requests earned in it and in the one before it adds up over the entries to that
// mean of the fleet. By how much the best of the fleet's three windows exceeds it is divided.
func (c *credits) ofWindow(age int) float64 {
	if c.share >= 1 { // no other entry has requests, and this one's are known at once
		return max(c.own.during(age), c.own.before(age), c.own.halfBefore(age))
	}
	known := max(c.own.during(age)-c.own[min(lateBuckets, age)], 0)
	mean := (known + c.own.before(age)) / 2
	return mean + c.share*c.fleet.surplus(age)
}

// creditSums holds the credit earned in the newest buckets, by their number. A bucket that is only
// partly in a window does not count for it.
type creditSums [keptBuckets + 1]float64

// during returns the credit earned in the window that begins in the bucket of the given age, before
// that in the window before it, and halfBefore that in the one half a window before it.
func (s *creditSums) during(age int) float64 { return s[age] }

func (s *creditSums) before(age int) float64 { return s[age+bucketCount] - s[age+1] }

func (s *creditSums) halfBefore(age int) float64 {
	const half = bucketCount / 2
	return s[age+half] - s[max(age-half+1, 0)]
}

// surplus returns by how much the credit of the best of the three windows exceeds the mean of two.
// The credit is known up to lateBuckets late, so the first lateBuckets of each window may hold what
// was earned before it; the mean has them, the best one has not.
func (s *creditSums) surplus(age int) float64 {
	const half = bucketCount / 2
	during := s[max(age-lateBuckets, 0)]
	before := s[age+bucketCount-lateBuckets] - s[age+1]
	halfBefore := s[max(age+half-lateBuckets, 0)] - s[max(age-half+1, 0)]
	mean := s[min(age+bucketCount, keptBuckets)] / 2
	return max(max(during, before, halfBefore)-mean, 0)
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
		b.fleet[b.current] = 0
		b.used[b.current] = 0
	}
	if now.Sub(b.bucketStart) >= bucketLength {
		b.bucketStart = now // idle for longer than is kept
	}
}
