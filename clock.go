package persimmoncross

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time and runs timers. Tests pass a fake one.
type Clock interface {
	// Now returns the current time, with a monotonic reading where the system has one.
	Now() time.Time
	// After returns a channel that receives once, after the duration has passed.
	After(d time.Duration) <-chan time.Time
}

// SuspendClock is a [Clock] that also measures for how long the VM has been suspended. The
// time from Now does not include suspensions.
type SuspendClock interface {
	Clock
	// Suspended returns the total time that the VM has been suspended.
	Suspended() time.Duration
}

// SystemClock is the operating system's clock. It implements [SuspendClock].
type SystemClock struct{}

// Now implements [Clock].
func (SystemClock) Now() time.Time { return time.Now() }

// After implements [Clock].
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// maxClockReadSkew is the largest difference between the two clocks that does not count as a
// suspension. The clocks are read one after the other, and the process may be descheduled
// between the two reads.
const maxClockReadSkew = 100 * time.Millisecond

// Suspended implements [SuspendClock]. It returns 0 where the system does not provide the two
// clocks. A difference up to maxClockReadSkew also counts as 0, because waking from a
// suspension takes longer than that.
func (SystemClock) Suspended() time.Duration {
	var monotonic, boot unix.Timespec
	// CLOCK_BOOTTIME is read first, so the time between the two reads makes the difference
	// too small, never too large.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	if d := time.Duration(boot.Nano() - monotonic.Nano()); d > maxClockReadSkew {
		return d
	}
	return 0
}
