package persimmoncross

import (
	"context"
	"time"
)

// MemberID is the identity of one disk of one VM in a consensus group. A VM
// whose disk was lost comes back under a new one.
type MemberID uint64

// Member is a voter of a consensus group.
type Member struct {
	ID MemberID
	VM string // the VM's name, by which peers are reached
}

// Config is the set of voters of a consensus group.
type Config struct {
	Voters []Member
}

// HasVoter reports whether the member votes.
func (c Config) HasVoter(id MemberID) bool {
	_, ok := c.FindVoter(id)
	return ok
}

// FindVoter returns the voter with the identity.
func (c Config) FindVoter(id MemberID) (Member, bool) {
	for _, m := range c.Voters {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// EntryKind tells what a log entry carries.
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

// HardState is what a member must remember over a restart, beside its log.
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

// MessageKind tells one consensus message from another.
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
	MessageSnapshotChunkReply // the offset wanted next
	MessageTimeoutNow         // the leader asks the receiver to stand for election
	MessageLearnerJoin        // a learner asks the leader to be sent the log
)

// Message is one consensus message. Times are durations since a random origin
// of the process that first wrote them; only that process may compare them.
type Message struct {
	Group              string
	Kind               MessageKind
	From               MemberID
	To                 MemberID
	FromVM             string // the sender's VM
	ToVM               string // the receiver's VM; "" is every peer
	Term               uint64
	Index              uint64 // the entry before Entries, the last log entry, or the match
	LogTerm            uint64 // the term of that entry
	Commit             uint64
	Entries            []Entry
	Reject             bool
	LastIndexHint      uint64        // with Reject: the last entry the sender has
	SentAt             time.Duration // the leader's time of sending, echoed by the reply
	LeaseRequestedAt   time.Duration // a follower's time, echoed once a quorum has confirmed the leader after it
	LeaseCommitIndex   uint64        // the commit index that a lease from Probe requires
	LeadershipTransfer bool          // the vote is asked for by the leader itself
	SnapshotOffset     uint64        // of a snapshot's chunk
	SnapshotSize       uint64        // the snapshot's size
	Data               []byte        // the chunk
	Config             Config        // the snapshot's voters
}

// Storage keeps a member's log on disk. A call that returns nil has synced.
type Storage interface {
	// Load returns what was kept, or an error that says what to do.
	Load() (HardState, Snapshot, []Entry, error)
	// Append keeps the hard state, if not nil, and the entries; entries at or
	// after the first one's index that were kept before are replaced.
	Append(hard *HardState, entries []Entry) error
	// Compact keeps the snapshot and drops the log up to keep.
	Compact(snapshot Snapshot, keep uint64) error
	// Close releases the files.
	Close() error
}

// StateMachine is what a consensus group replicates. Apply must be
// deterministic: equal entries in equal order give equal states and results.
type StateMachine interface {
	Apply(entry Entry) []byte
	Snapshot() []byte
	Restore(data []byte) error
}

// Sender hands consensus messages to the peers. It never blocks: a message
// that finds its ring full is dropped and counted.
type Sender interface {
	Send(m Message)
}

// Proposer appends a command to a replicated log, at whichever VM leads it, and
// returns the state machine's result. A command carries its own identity, so
// that proposing it again after a lost answer is safe.
type Proposer interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}
