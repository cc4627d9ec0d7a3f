// Package consensus implements one member of a replicated log as a state machine without I/O.
// It follows the Raft paper (Ongaro and Ousterhout, 2014) with these extensions of Ongaro's
// thesis: pre-vote, check-quorum, leadership transfer, learners, and membership changes of one
// voter at a time.
//
// A [Core] does no I/O and starts no goroutine. Its owner passes it messages, proposals and
// the time, takes the resulting [Actions], carries them out in the order that Actions
// documents, and reports what has been synced to disk.
//
// A Core also maintains the settings lease, which lease.go describes.
package consensus
