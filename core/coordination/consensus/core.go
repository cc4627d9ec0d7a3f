package consensus

import (
	"math/rand/v2"
	"time"

	"persimmoncross"
)

// Role is what a member is at the moment.
type Role uint8

// The roles. A member outside the voters' set stays a follower.
const (
	Follower Role = iota + 1
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"", "follower", "pre-candidate", "candidate", "leader"}[r]
}

// Limits of one message and of what may be under way to one follower.
const (
	maxBatchEntries    = 512
	maxBatchBytes      = 1 << 20 // bytes
	maxInflightEntries = 8192    // entries
	// maxInflightBytes bounds the same in bytes: entries may be documents. What a
	// follower that is behind lacks does not go into its link's ring all at once, and
	// again after each loss.
	maxInflightBytes = 4 << 20
	maxChunkBytes    = 256 << 10
	maxCaughtUpLag   = 64 // entries a member may lack when it becomes a voter
)

// Core is one member of one replicated log. The exported fields are set before
// [Core.Start]. One goroutine owns it.
type Core struct {
	Group             string
	ID                persimmoncross.MemberID
	VM                string
	HeartbeatInterval time.Duration // between a leader's messages
	ElectionTimeout   time.Duration // least silence before an election; the most is twice it
	LeaseDuration     time.Duration // how long a confirmed probe lets an entry take work
	Random            *rand.Rand
	BroadcastCommits  bool // followers learn of each commit at once, not with the next append or heartbeat

	role            Role
	leader          persimmoncross.MemberID
	hardState       persimmoncross.HardState
	log             memoryLog
	config          persimmoncross.Config // in force: the latest in the log, committed or not
	configIndex     uint64                // its index
	previousConfigs []indexedConfig       // earlier sets, for a truncation or a snapshot
	commitIndex     uint64
	syncedIndex     uint64 // last entry known to be on disk
	deliveredIndex  uint64 // last committed entry handed out to be applied

	appliedIndex     uint64 // last entry the owner reported as applied
	snapshot         persimmoncross.Snapshot
	incomingSnapshot *incomingSnapshot
	votes            map[persimmoncross.MemberID]bool
	followers        map[persimmoncross.MemberID]*progress
	followerOrder    []persimmoncross.MemberID // of followers: equal events give equal actions

	now               time.Time
	startTime         time.Time
	wireTimeOffset    time.Duration // random origin of the times put on the wire
	lastLeaderContact time.Time     // from the leader
	electionDeadline  time.Time     // of the election timer
	lastHeartbeat     time.Time     // of the last heartbeat sent, or hello
	transfer          leadershipTransfer
	lease             leaseState

	hardStateChanged   bool
	unsyncedEntries    []persimmoncross.Entry
	commitAdvanced     bool // the commit index moved
	snapshotToInstall  *persimmoncross.Snapshot
	messagesBeforeSync []persimmoncross.Message
	messagesAfterSync  []persimmoncross.Message
}

type indexedConfig struct {
	index  uint64
	config persimmoncross.Config
}

// Actions is what the owner of a Core must do, in this order: send Eager,
// install Snapshot, sync Hard and Entries, send Messages, apply Committed.
// Then it calls [Core.MarkSynced] and [Core.MarkApplied].
type Actions struct {
	MessagesBeforeSync []persimmoncross.Message
	Snapshot           *persimmoncross.Snapshot
	HardState          *persimmoncross.HardState
	Entries            []persimmoncross.Entry
	MessagesAfterSync  []persimmoncross.Message
	CommittedEntries   []persimmoncross.Entry
}

// Start gives the Core what its disk held.
func (c *Core) Start(now time.Time, hardState persimmoncross.HardState, snapshot persimmoncross.Snapshot, entries []persimmoncross.Entry) {
	c.now = now
	c.startTime = now
	c.wireTimeOffset = time.Duration(c.Random.Int64N(1 << 60))
	c.hardState = hardState
	c.snapshot = snapshot
	c.config = snapshot.Config
	c.configIndex = snapshot.Index
	c.log.reset(snapshot.Index, snapshot.Term)
	for _, e := range entries {
		if e.Index <= snapshot.Index {
			continue
		}
		c.log.append(e)
		c.activateConfig(e)
	}
	c.commitIndex = snapshot.Index
	c.deliveredIndex = snapshot.Index
	c.appliedIndex = snapshot.Index
	c.syncedIndex = c.log.lastIndex()
	c.role = Follower
	c.lastLeaderContact = now.Add(-c.ElectionTimeout)
	// After a restart of all members at once nobody has a leader to wait for. A
	// leader that exists is heard within a heartbeat, and pre-votes leave it alone.
	c.electionDeadline = now.Add(c.HeartbeatInterval + time.Duration(c.Random.Int64N(int64(c.ElectionTimeout)/2+1)))
}

// Role returns the member's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// CommitIndex returns the last committed index known.
func (c *Core) CommitIndex() uint64 { return c.commitIndex }

// Config returns the voters in force.
func (c *Core) Config() persimmoncross.Config { return c.config }

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// LeaderVM returns the leader's VM, or "" if none is known.
func (c *Core) LeaderVM() string {
	if c.role == Leader {
		return c.VM
	}
	if m, ok := c.config.FindVoter(c.leader); ok {
		return m.VM
	}
	return ""
}

// TakeActions returns what is to be done, and forgets it.
func (c *Core) TakeActions() Actions {
	if c.role == Leader {
		c.replicate()
	}
	c.commitAdvanced = false
	a := Actions{
		MessagesBeforeSync: c.messagesBeforeSync,
		Snapshot:           c.snapshotToInstall,
		Entries:            c.unsyncedEntries,
		MessagesAfterSync:  c.messagesAfterSync,
	}
	if c.hardStateChanged {
		hardState := c.hardState
		a.HardState = &hardState
	}
	a.CommittedEntries = c.log.entriesBetween(c.deliveredIndex, c.commitIndex)
	if n := len(a.CommittedEntries); n > 0 {
		c.deliveredIndex = a.CommittedEntries[n-1].Index
	}
	c.messagesBeforeSync, c.messagesAfterSync, c.unsyncedEntries = nil, nil, nil
	c.snapshotToInstall = nil
	c.hardStateChanged = false
	return a
}

// MarkSynced tells that the entries up to index are on disk.
func (c *Core) MarkSynced(index uint64) {
	c.syncedIndex = min(index, c.log.lastIndex())
	if c.role == Leader {
		c.advanceCommitIndex()
	}
}

// MarkApplied tells that the state machine holds the entries up to index.
func (c *Core) MarkApplied(index uint64) { c.appliedIndex = max(c.appliedIndex, index) }

// Compact drops the log up to keep; snapshot must cover at least that.
func (c *Core) Compact(snapshot persimmoncross.Snapshot, compactIndex uint64) {
	c.snapshot = snapshot
	c.log.compact(min(compactIndex, snapshot.Index))
}

// SnapshotMetadata returns the index, term and voters at an applied index, for the
// owner to add the state machine's bytes to.
func (c *Core) SnapshotMetadata(index uint64) persimmoncross.Snapshot {
	term, _ := c.log.term(index)
	config := c.config
	if c.configIndex > index {
		config = c.configAt(index)
	}
	return persimmoncross.Snapshot{
		Index:  index,
		Term:   term,
		Config: config,
	}
}

// Tick advances the time.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if !c.config.HasVoter(c.ID) {
		c.sendHelloIfDue()
		return
	}
	if !now.Before(c.electionDeadline) {
		c.campaign(PreCandidate, false)
		// The voters it knows of may come from an entry that was never committed:
		// then nobody votes for it, and only a leader can tell it better.
		c.sendHello()
	}
}

// Step takes a message of a peer.
func (c *Core) Step(now time.Time, m persimmoncross.Message) {
	c.now = now
	if m.Kind == persimmoncross.MessageLearnerJoin {
		c.onHello(m)
		return
	}
	if m.To != c.ID {
		return
	}
	if m.Term > c.hardState.Term && !c.handleLaterTerm(m) {
		return
	}
	if m.Term < c.hardState.Term {
		c.replyToStaleTerm(m)
		return
	}
	switch m.Kind {
	case persimmoncross.MessagePreVote:
		c.onPreVote(m)
	case persimmoncross.MessageVote:
		c.onVote(m)
	case persimmoncross.MessagePreVoteReply, persimmoncross.MessageVoteReply:
		c.onVoteReply(m)
	case persimmoncross.MessageAppend:
		c.onAppend(m)
	case persimmoncross.MessageAppendReply:
		c.onAppendReply(m)
	case persimmoncross.MessageSnapshotChunk:
		c.onChunk(m)
	case persimmoncross.MessageSnapshotChunkReply:
		c.onChunkReply(m)
	case persimmoncross.MessageTimeoutNow:
		if c.config.HasVoter(c.ID) {
			c.campaign(Candidate, true)
		}
	}
}

// handleLaterTerm handles a message of a later term; false drops it.
func (c *Core) handleLaterTerm(m persimmoncross.Message) bool {
	switch m.Kind {
	case persimmoncross.MessagePreVote:
		return true // its term is only a proposal
	case persimmoncross.MessagePreVoteReply:
		if !m.Reject {
			return true // echoes the proposed term
		}
	case persimmoncross.MessageVote:
		// Check-quorum: while a leader is heard, nobody else is helped to unseat it.
		if !m.LeadershipTransfer && c.hasRecentLeaderContact() {
			return false
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// replyToStaleTerm tells the sender of an earlier term about this one, so that a
// member that was cut off rejoins. Pre-votes get a refusal.
func (c *Core) replyToStaleTerm(m persimmoncross.Message) {
	switch m.Kind {
	case persimmoncross.MessageAppend, persimmoncross.MessageSnapshotChunk:
		c.replyAfterSync(m, persimmoncross.Message{
			Kind:          persimmoncross.MessageAppendReply,
			Reject:        true,
			LastIndexHint: c.log.lastIndex(),
		})
	case persimmoncross.MessagePreVote:
		c.replyAfterSync(m, persimmoncross.Message{
			Kind:   persimmoncross.MessagePreVoteReply,
			Reject: true,
		})
	}
}

// becomeFollower makes the member a follower in the term.
func (c *Core) becomeFollower(term uint64, leader persimmoncross.MemberID) {
	if term > c.hardState.Term {
		c.hardState = persimmoncross.HardState{
			Term: term,
		}
		c.hardStateChanged = true
	}
	c.role = Follower
	c.leader = leader
	c.followers = nil
	c.followerOrder = nil
	c.transfer = leadershipTransfer{}
	c.resetElectionTimer()
}

func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now.Add(c.ElectionTimeout + time.Duration(c.Random.Int64N(int64(c.ElectionTimeout))))
}

// toWireTime returns the process's time as it goes into messages.
func (c *Core) toWireTime(t time.Time) time.Duration { return c.wireTimeOffset + t.Sub(c.startTime) }

// fromWireTime undoes wire. The time is wrong if this process did not write it.
func (c *Core) fromWireTime(d time.Duration) time.Time { return c.startTime.Add(d - c.wireTimeOffset) }

func (c *Core) withHeader(to persimmoncross.MemberID, targetVM string, m persimmoncross.Message) persimmoncross.Message {
	m.Group = c.Group
	m.From = c.ID
	m.To = to
	m.FromVM = c.VM
	m.ToVM = targetVM
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	return m
}

// replyAfterSync queues a message that may go only after what came before is synced.
func (c *Core) replyAfterSync(request, m persimmoncross.Message) {
	c.messagesAfterSync = append(c.messagesAfterSync, c.withHeader(request.From, request.FromVM, m))
}

// sendBeforeSync queues a leader's message, which needs no sync.
func (c *Core) sendBeforeSync(to persimmoncross.MemberID, m persimmoncross.Message) {
	c.messagesBeforeSync = append(c.messagesBeforeSync, c.withHeader(to, c.followers[to].vm, m))
}

// activateConfig takes an entry's voters into force when it is appended.
func (c *Core) activateConfig(e persimmoncross.Entry) {
	if e.Kind != persimmoncross.EntryConfig {
		return
	}
	c.previousConfigs = append(c.previousConfigs, indexedConfig{
		index:  c.configIndex,
		config: c.config,
	})
	c.config = e.Config
	c.configIndex = e.Index
}

// revertConfig goes back to the voters in force before index.
func (c *Core) revertConfig(index uint64) {
	for c.configIndex >= index && len(c.previousConfigs) > 0 {
		last := c.previousConfigs[len(c.previousConfigs)-1]
		c.previousConfigs = c.previousConfigs[:len(c.previousConfigs)-1]
		c.config = last.config
		c.configIndex = last.index
	}
}

// configAt returns the voters in force at index.
func (c *Core) configAt(index uint64) persimmoncross.Config {
	for i := len(c.previousConfigs) - 1; i >= 0; i-- {
		if c.previousConfigs[i].index <= index {
			return c.previousConfigs[i].config
		}
	}
	return c.snapshot.Config
}
