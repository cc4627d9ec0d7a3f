// Package quarantine distinguishes requests that crash the upstreams which run them from
// requests that merely ran at the same upstream. It starts no goroutines, and has no I/O
// except the probes and the log lines that its callers request.
//
// A [Recorder] records what one VM observes: during which runs the upstream's process
// crashed, and which runs completed. [Evaluate] decides from the merged records of all
// VMs. Its caller stores the resulting quarantines and distributes them to all VMs, unless
// each VM evaluates for itself (see [Store]).
//
// One crash is weak evidence, because at most one of the requests that ran there is the
// cause. Three things distinguish the cause from the others: it is running again when the
// next upstream crashes; it never completes; and once it is suspected, it runs at an
// upstream without other suspects (see [RendezvousIndex]), so that the next crash has only
// one possible cause.
package quarantine
