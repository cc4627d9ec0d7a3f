package persimmoncross

import (
	"context"
	"time"
)

// MemberID identifies one disk of one VM in a consensus group. A VM that has lost its disk
// rejoins the group with a new MemberID.
type MemberID uint64

// Member is a voter of a consensus group.
type Member struct {
	ID MemberID
	VM string // name of the VM, used to address its messages
}

// Config is the set of voters of a consensus group.
type Config struct {
	Voters []Member
}

// HasVoter reports whether the member is a voter.
func (c Config) HasVoter(id MemberID) bool {
	_, ok := c.FindVoter(id)
	return ok
}

// FindVoter returns the voter with the given ID.
func (c Config) FindVoter(id MemberID) (Member, bool) {
	for _, m := range c.Voters {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entry.
const (
	EntryCommand EntryKind = iota + 1 // a command for the state machine
	EntryConfig                       // a new set of voters
	EntryNoop                         // the first entry of a leader's term
)

// Entry is one position of a replicated log.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte
	Config Config // for EntryConfig
}

// HardState is the state, besides the log, that a member must persist across restarts.
type HardState struct {
	Term uint64
	Vote MemberID
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Config
	Data   []byte
}

// MessageKind is the type of a consensus message.
type MessageKind uint8

// The consensus messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshotChunk      // a part of a snapshot
	MessageSnapshotChunkReply // the offset of the chunk that the receiver needs next
	MessageTimeoutNow         // the leader asks the receiver to start an election at once
	MessageLearnerJoin        // a learner asks the leader to replicate the log to it
)

// Message is one consensus message. Its times are durations since a random origin in the
// process that set them, so only that process may compare them.
type Message struct {
	Group              string
	Kind               MessageKind
	From               MemberID
	To                 MemberID
	FromVM             string // the sender's VM
	ToVM               string // the receiver's VM; "" addresses every peer
	Term               uint64
	Index              uint64 // index of the entry before Entries, of the last log entry, or of the last matching entry
	LogTerm            uint64 // term of the entry at Index
	Commit             uint64
	Entries            []Entry
	Reject             bool
	LastIndexHint      uint64        // with Reject: index of the sender's last entry
	SentAt             time.Duration // when the leader sent the message; echoed in the reply
	LeaseRequestedAt   time.Duration // when a follower asked for a lease; echoed once a quorum has confirmed the leader after that time
	LeaseCommitIndex   uint64        // commit index that the follower must have applied before it uses the lease
	LeadershipTransfer bool          // the leader asked the sender to stand for election
	SnapshotOffset     uint64        // offset of the chunk in the snapshot, in bytes
	SnapshotSize       uint64        // size of the whole snapshot, in bytes
	Data               []byte        // the chunk of the snapshot
	Config             Config        // voters recorded in the snapshot
}

// Storage persists a member's log on disk. When a method returns nil, the data has been
// synced.
type Storage interface {
	// Load returns the stored state, or an error that says what the operator has to do.
	Load() (HardState, Snapshot, []Entry, error)
	// Append stores the hard state, if it is not nil, and the entries. Stored entries with an
	// index at or after that of the first new entry are replaced.
	Append(hard *HardState, entries []Entry) error
	// Compact stores the snapshot and drops the log entries up to keep.
	Compact(snapshot Snapshot, keep uint64) error
	// Close closes the files.
	Close() error
}

// StateMachine is the state that a consensus group replicates. Apply must be deterministic:
// the same entries in the same order produce the same states and results.
type StateMachine interface {
	Apply(entry Entry) []byte
	Snapshot() []byte
	Restore(data []byte) error
}

// Sender sends consensus messages to the peers. Send never blocks: if the send queue is full,
// the message is dropped and counted.
type Sender interface {
	Send(m Message)
}

// Proposer appends a command to a replicated log, on whichever VM is the leader, and returns
// the result of the state machine. Every command has an ID of its own, so proposing it again
// after a lost response is safe.
type Proposer interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}
