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
	// lateBuckets covers the time within which all entries know what one of them has counted.
	lateBuckets = bucketCount * 6 / 100
	// evenFraction is the fraction of what is left that is divided evenly; the rest goes by the requests that have come
	// to each entry.
	evenFraction = 0.5
	// maxUntoldBuckets is the longest time over which the parts of the requests are compared.
	maxUntoldBuckets = bucketCount / 2
)

// Budget is one entry's view of the retry budget of all entries: in any window, their retries stay
// within the credit that is earned by their requests of that window, of the one before it, or of
// the one half a window before it, whichever is most. Only sums over all entries can be compared
// with that, because requests move between entries: the best windows of the entries add up to more
// than the best window of all. So each entry is told the sums, and uses at most its share of what is
// left, with what it has used since others were told. Much unused credit is available at once for
// the many requests that the loss of one upstream cuts off; a token bucket would hold only a few.
//
// An entry that has not been told the sums for two windows counts the mean of what its own requests
// earned in a window and in the one before it, which is linear and so adds up. Budget has no clock
// and is not safe for concurrent use.
type Budget struct {
	Window        time.Duration
	BaseAllowance float64 // retries of all entries allowed in addition to the earned credit
	BaseHeld      bool    // BaseAllowance is not used unless this entry is told what the others use
	MinAllowance  float64 // retries of all entries allowed at least, even without requests
	// Share is this entry's even part of what is left. 0 or 1: it is the only entry, and needs not be told.
	Share float64

	bucketStart time.Time            // start of the newest bucket
	current     int                  // index of the newest bucket
	earned      [keptBuckets]float64 // credit earned in each bucket
	used        [keptBuckets]int     // retries that arrived, by the bucket in which that was known
	taken       [keptBuckets]int     // retries that were reserved, by the bucket in which that was done
	reserved    int                  // retries that may still arrive
	settled     uint64               // retries that have arrived

	told          time.Time            // when the sums were told last
	fleetEarned   [keptBuckets]float64 // credit earned at all entries, by the bucket in which that was told
	fleetUsed     [keptBuckets]float64 // retries of all entries that arrived, likewise
	fleetReserved float64              // retries of all entries that may still arrive
}

// RecordRequest records a request. credit is the number of retries that it earns, usually a
// fraction.
func (b *Budget) RecordRequest(credit float64, now time.Time) {
	b.advance(now)
	b.earned[b.current] += credit
}

// RecordFleet records what all entries have counted since the sums were told before: the credit that
// requests have earned and the retries that have arrived, up to lateBuckets ago, and how many
// retries may still arrive.
func (b *Budget) RecordFleet(credit, used, reserved float64, now time.Time) {
	b.advance(now)
	b.told = now
	b.fleetEarned[b.current] += credit
	b.fleetUsed[b.current] += used
	b.fleetReserved = reserved
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
	b.taken[b.current]++
	return true
}

// Settle counts a reserved retry that has arrived by now.
func (b *Budget) Settle(now time.Time) {
	b.advance(now)
	b.reserved--
	b.used[b.current]++
	b.settled++
}

// Settled returns the number of retries that have arrived since the first one.
func (b *Budget) Settled() uint64 { return b.settled }

// Release gives back a reserved retry that will not arrive.
func (b *Budget) Release() { b.reserved-- }

// Reserved returns the number of retries that were reserved and neither settled nor released.
func (b *Budget) Reserved() int { return b.reserved }

// Remaining returns the number of retries that are left to this entry in each window that contains
// now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	c, left := b.sum(now), math.Inf(1)
	for age := range bucketCount + 1 {
		left = min(left, c.left(age))
	}
	return left
}

// LeftFraction returns which fraction of the retries in the window that ends now is left, 0 if no retry is.
func (b *Budget) LeftFraction(now time.Time) float64 {
	if b.Remaining(now) < 1 {
		return 0
	}
	c := b.sum(now)
	return max(1-c.usedSince(bucketCount)/c.allowance(bucketCount), 0)
}

// Limit returns the number of retries allowed in the window that ends now.
func (b *Budget) Limit(now time.Time) float64 {
	b.advance(now)
	return b.sum(now).allowance(bucketCount)
}

// Fleet returns what this entry knows of all entries in the window that ends now: the credit earned
// in it and in the one before it, and the retries used; and how many retries of this entry the
// others may not have been told yet. told is false if the sums are not in use.
func (b *Budget) Fleet(now time.Time) (during, before, used, untold float64, told bool) {
	b.advance(now)
	c := b.sum(now)
	return c.earned.during(bucketCount, 0), c.earned.before(bucketCount, 0), c.usedSince(bucketCount), c.untold, c.fleet
}

// isTold reports whether the sums over all entries are in use.
func (b *Budget) isTold(now time.Time) bool {
	return b.Share > 0 && b.Share < 1 && !b.told.IsZero() && now.Sub(b.told) <= 2*b.Window
}

// sum adds up the newest buckets: of all entries, or of this one if the sums are not in use.
func (b *Budget) sum(now time.Time) *sums {
	c := &sums{
		base:    b.BaseAllowance,
		minimum: b.MinAllowance,
		share:   b.Share,
		fleet:   b.isTold(now),
	}
	if !c.fleet {
		if b.BaseHeld {
			c.base = 0
		}
		for age := range keptBuckets {
			n := b.index(age)
			c.earned[age+1] = c.earned[age] + b.earned[n]
			c.used[age+1] = c.used[age] + float64(b.used[n])
		}
		c.reserved = float64(b.reserved)
		return c
	}
	for age := range keptBuckets {
		n := b.index(age)
		c.earned[age+1] = c.earned[age] + b.fleetEarned[n]
		c.used[age+1] = c.used[age] + b.fleetUsed[n]
	}
	c.reserved = b.fleetReserved
	// What was taken a little before the sums were told may not be in them.
	bucketLength := max(b.Window/bucketCount, 1)
	untold := int(now.Sub(b.told)/bucketLength) + 2*lateBuckets + 1
	c.share = evenFraction*b.Share + (1-evenFraction)*b.requestShare(&c.earned, min(untold, maxUntoldBuckets))
	for age := range min(untold, keptBuckets) {
		c.untold += float64(b.taken[b.index(age)])
	}
	return c
}

// requestShare returns this entry's part of the requests of all, the least of a number of the newest buckets: what
// entries have taken without telling each other is limited by their shares of different times, which then add
// up to 1 at most, while requests move from one to another.
func (b *Budget) requestShare(all *bucketSums, buckets int) float64 {
	var own bucketSums
	for age := range keptBuckets {
		own[age+1] = own[age] + b.earned[b.index(age)]
	}
	share := 1.0
	for since := range buckets + 1 {
		part := b.Share
		if requests := all[since+bucketCount] - all[since]; requests > 0 {
			part = (own[since+bucketCount] - own[since+lateBuckets]) / requests
		}
		share = min(share, part)
	}
	return share
}

// sums holds what counts in the windows that contain now.
type sums struct {
	base     float64
	minimum  float64
	share    float64
	fleet    bool // over all entries, told late
	earned   bucketSums
	used     bucketSums
	reserved float64
	untold   float64 // retries that this entry has taken and that may not be in the sums
}

// usedSince returns the retries used in the window that begins in the bucket of the given age.
func (c *sums) usedSince(age int) float64 { return c.used[age+1] + c.reserved }

// left returns how many retries are left to this entry in that window.
func (c *sums) left(age int) float64 {
	left := c.allowance(age) - c.usedSince(age)
	if c.fleet {
		return c.share*left - c.untold
	}
	return left
}

// allowance returns the number of retries allowed in that window: to all entries, or to this one if the
// sums are not in use.
func (c *sums) allowance(age int) float64 {
	switch {
	case c.fleet:
		return max(c.base+c.earned.most(age, lateBuckets), c.minimum)
	case c.share == 0 || c.share >= 1:
		return max(c.base+c.earned.most(age, 0), c.minimum)
	}
	mean := (c.earned.during(age, 0) + c.earned.before(age, 0)) / 2
	return max(c.share*c.base+mean, c.share*c.minimum)
}

// bucketSums holds the sums over the newest buckets, by their number. A bucket that is only partly in a
// window does not count for it, nor do the first late ones of it: what was counted before it may
// be in them.
type bucketSums [keptBuckets + 1]float64

// during returns the sum of the window that begins in the bucket of the given age, before that of the
// window before it, halfBefore that of the one half a window before it, and most the largest.
func (s *bucketSums) during(age, late int) float64 { return s[max(age-late, 0)] }

func (s *bucketSums) before(age, late int) float64 { return s[age+bucketCount-late] - s[age+1] }

func (s *bucketSums) halfBefore(age, late int) float64 {
	const half = bucketCount / 2
	return s[age+half-late] - s[max(age-half+1, 0)]
}

func (s *bucketSums) most(age, late int) float64 {
	return max(s.during(age, late), s.halfBefore(age, late), s.before(age, late))
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
		b.taken[b.current] = 0
		b.fleetEarned[b.current] = 0
		b.fleetUsed[b.current] = 0
	}
	if now.Sub(b.bucketStart) >= bucketLength {
		b.bucketStart = now // idle for longer than is kept
	}
}
