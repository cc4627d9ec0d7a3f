// Package quarantine distinguishes requests that crash the upstreams which run them from
// requests that merely ran at the same upstream. It has no I/O and starts no goroutines.
//
// A [Recorder] records what one VM observes: during which runs the upstream's process
// crashed, and which runs completed. [Evaluate] decides from the merged records of all
// VMs; its caller stores the resulting quarantines and distributes them to all VMs.
//
// One crash is weak evidence, because at most one of the requests that ran there is the
// cause. Three things distinguish the cause from the others: it is running again when the
// next upstream crashes; it never completes; and once it is suspected, it runs at an
// upstream without other suspects (see [RendezvousIndex]), so that the next crash has only
// one possible cause.
package quarantine
