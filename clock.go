package persimmoncross

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and wakes a waiting goroutine. Tests pass a fake one.
type Clock interface {
	// Now returns the current time, with a monotonic reading where the system has one.
	Now() time.Time
	// After returns a channel that receives once, after the duration has passed.
	After(d time.Duration) <-chan time.Time
}

// SuspendClock is a clock that knows for how long the VM has been suspended: its own
// time does not count that.
type SuspendClock interface {
	Clock
	// Suspended returns for how long in all.
	Suspended() time.Duration
}

// SystemClock is the machine's own clock. It implements [SuspendClock].
type SystemClock struct{}

// Now implements [Clock].
func (SystemClock) Now() time.Time { return time.Now() }

// After implements [Clock].
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// maxClockReadSkew is by how much two clocks that are read one after the other seem to
// move apart where a process is kept from its processor in between.
const maxClockReadSkew = 100 * time.Millisecond

// Suspended implements [SuspendClock]. A system that does not tell is never
// suspended. What is under readingError is none: a wake from a suspension takes longer.
func (SystemClock) Suspended() time.Duration {
	var monotonic, boot unix.Timespec
	// Read in this order the difference is too small by what passes in between, never too
	// large.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	if d := time.Duration(boot.Nano() - monotonic.Nano()); d > maxClockReadSkew {
		return d
	}
	return 0
}
