package inbound

import "golang.org/x/sys/unix"

const (
	// maxReserved is how many descriptors are kept for files, and reservedFraction the part of few.
	maxReserved      = 200
	reservedFraction = 8
	// unlimitedDescriptors is how many are assumed where their number is not limited.
	unlimitedDescriptors = 1 << 16
	// minConnections is how many connections a listener may have in any case.
	minConnections = 8
)

// Descriptors is how many descriptors a process may have open beside its files.
type Descriptors int

// FindDescriptors returns what the process may have open: the configured number, 0 if there is none, or what the
// operating system allows if that is less.
func FindDescriptors(configured int) Descriptors {
	n := unlimitedDescriptors
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(n) {
		n = int(limit.Cur)
	}
	if configured > 0 {
		n = min(n, configured)
	}
	return Descriptors(n - min(maxReserved, n/reservedFraction))
}

// Part returns how many connections a listener may have that gets the part numerator/denominator.
func (d Descriptors) Part(numerator, denominator int) int {
	return max(int(d)*numerator/denominator, minConnections)
}
