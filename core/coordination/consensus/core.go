package consensus

import (
	"math/rand/v2"
	"time"

	"persimmoncross"
)

// Role is the present role of a member.
type Role uint8

// The roles. A member that is not a voter stays a follower.
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

// Limits of one message, and of the entries in flight to one follower.
const (
	maxBatchEntries    = 512     // entries of one append message
	maxBatchBytes      = 1 << 20 // bytes of entry data in one append message
	maxInflightEntries = 8192    // entries in flight to one follower
	// maxInflightBytes limits the bytes in flight to one follower, because entries may be whole
	// documents. Without the limit all entries that a slow follower lacks would enter the send
	// queue of its link at once, and again after each loss.
	maxInflightBytes      = 4 << 20
	maxSnapshotChunkBytes = 256 << 10 // bytes of one snapshot chunk
	maxCaughtUpLag        = 64        // entries that a member may lack when it becomes a voter
)

// maxElectionBackoff limits the factor by which election timers are longer after elections without
// a result. With an ElectionTimeout of 500 ms a vote may take 2 s, two syncs of a slow disk among it.
const maxElectionBackoff = 4

// Core is one member of one replicated log. The exported fields must be set before
// [Core.Start]. A Core is not safe for concurrent use.
type Core struct {
	Group             string
	ID                persimmoncross.MemberID
	VM                string
	HeartbeatInterval time.Duration // interval between a leader's heartbeats
	ElectionTimeout   time.Duration // minimum time without a leader before an election; the maximum is twice that
	LeaseDuration     time.Duration // validity of a lease from the time of its confirmed probe
	Random            *rand.Rand
	BroadcastCommits  bool // send each new commit index to the followers at once, not with the next append or heartbeat

	role            Role
	leader          persimmoncross.MemberID
	hardState       persimmoncross.HardState
	log             memoryLog
	config          persimmoncross.Config // active voter configuration: the latest in the log, committed or not
	configIndex     uint64                // index of the entry of config
	previousConfigs []indexedConfig       // earlier configurations, which a truncation restores and a snapshot of an earlier index contains
	commitIndex     uint64
	syncedIndex     uint64 // last entry known to be on disk
	deliveredIndex  uint64 // last committed entry returned to the owner to be applied

	appliedIndex     uint64 // last entry that the owner reported as applied
	snapshot         persimmoncross.Snapshot
	incomingSnapshot *incomingSnapshot
	votes            map[persimmoncross.MemberID]bool // of the present pre-vote or election
	// lateVotes are the votes in the election of the present term, while a pre-vote for the next
	// one runs; nil if this member did not stand in the present term, or has led in it.
	lateVotes map[persimmoncross.MemberID]bool
	// ledTerm is the latest term known to have had a leader. Terms after it had elections
	// without a result.
	ledTerm        uint64
	leaderPatience time.Duration // time without replies of a quorum after which this leader steps down
	followers      map[persimmoncross.MemberID]*progress
	followerOrder  []persimmoncross.MemberID // keys of followers in fixed order, for deterministic actions

	now               time.Time
	startTime         time.Time
	wireTimeOffset    time.Duration // random offset of the times in messages
	lastLeaderContact time.Time     // when the last message from the leader arrived
	electionDeadline  time.Time     // end of the election timer
	lastHeartbeat     time.Time     // when heartbeats, or join requests, were last sent
	transfer          leadershipTransfer
	lease             leaseState

	hardStateChanged   bool
	unsyncedEntries    []persimmoncross.Entry
	commitAdvanced     bool // the new commit index must be broadcast
	snapshotToInstall  *persimmoncross.Snapshot
	messagesBeforeSync []persimmoncross.Message
	messagesAfterSync  []persimmoncross.Message
}

type indexedConfig struct {
	index  uint64
	config persimmoncross.Config
}

// Actions is what the owner of a Core must do, in this order: send MessagesBeforeSync, install
// Snapshot, write and sync HardState and Entries, send MessagesAfterSync, apply
// CommittedEntries. The owner reports the results with [Core.MarkSynced] and
// [Core.MarkApplied].
type Actions struct {
	MessagesBeforeSync []persimmoncross.Message
	Snapshot           *persimmoncross.Snapshot
	HardState          *persimmoncross.HardState
	Entries            []persimmoncross.Entry
	MessagesAfterSync  []persimmoncross.Message
	CommittedEntries   []persimmoncross.Entry
}

// Start initializes the Core from the state on its disk.
func (c *Core) Start(now time.Time, hardState persimmoncross.HardState, snapshot persimmoncross.Snapshot, entries []persimmoncross.Entry) {
	c.now = now
	c.startTime = now
	c.wireTimeOffset = time.Duration(c.Random.Int64N(1 << 60))
	c.hardState = hardState
	c.ledTerm = hardState.Term
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
	// The first election timeout is short, because after a restart of all members there is no
	// leader to wait for. An existing leader sends a message within a heartbeat interval, and
	// a pre-vote does not disturb it.
	c.electionDeadline = now.Add(c.HeartbeatInterval + time.Duration(c.Random.Int64N(int64(c.ElectionTimeout)/2+1)))
}

// Role returns the member's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// CommitIndex returns the last index that is known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commitIndex }

// Config returns the active voter configuration.
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

// TakeActions returns the pending actions and clears them.
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

// MarkSynced records that the entries up to index are on disk.
func (c *Core) MarkSynced(index uint64) {
	c.syncedIndex = min(index, c.log.lastIndex())
	if c.role == Leader {
		c.advanceCommitIndex()
	}
}

// MarkApplied records that the entries up to index were applied to the state machine.
func (c *Core) MarkApplied(index uint64) { c.appliedIndex = max(c.appliedIndex, index) }

// Compact sets the snapshot, and drops the entries up to and including compactIndex. Entries
// that the snapshot does not cover are kept.
func (c *Core) Compact(snapshot persimmoncross.Snapshot, compactIndex uint64) {
	c.snapshot = snapshot
	c.log.compact(min(compactIndex, snapshot.Index))
}

// SnapshotMetadata returns a snapshot with the index, term and voter configuration at an
// applied index, to which the owner adds the data of the state machine.
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

// Tick advances the time, and handles the timers that have expired.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if !c.config.HasVoter(c.ID) {
		c.sendLearnerJoinIfDue()
		return
	}
	if !now.Before(c.electionDeadline) {
		c.campaign(PreCandidate, false)
		// The active configuration may come from an entry that was never committed. In that
		// case no voter votes for this member, and only a leader can send it the valid log.
		c.sendLearnerJoin()
	}
}

// Step handles a message of another member.
func (c *Core) Step(now time.Time, m persimmoncross.Message) {
	c.now = now
	if m.Kind == persimmoncross.MessageLearnerJoin {
		c.onLearnerJoin(m)
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
		c.onSnapshotChunk(m)
	case persimmoncross.MessageSnapshotChunkReply:
		c.onSnapshotChunkReply(m)
	case persimmoncross.MessageTimeoutNow:
		if c.config.HasVoter(c.ID) {
			c.campaign(Candidate, true)
		}
	}
}

// handleLaterTerm handles the term of a message of a later term. It returns false if the
// message must be dropped.
func (c *Core) handleLaterTerm(m persimmoncross.Message) bool {
	switch m.Kind {
	case persimmoncross.MessagePreVote:
		return true // the term of a pre-vote is only proposed
	case persimmoncross.MessagePreVoteReply:
		if !m.Reject {
			return true // a granted pre-vote echoes the proposed term
		}
	case persimmoncross.MessageVote:
		// While the leader is active, votes for other members are ignored, so that they do not
		// depose it (check-quorum).
		if !m.LeadershipTransfer && c.hasRecentLeaderContact() {
			return false
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// replyToStaleTerm replies with the current term to a message of an earlier term, so that a
// member that was partitioned can rejoin. Pre-votes are rejected. Other messages get no reply.
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

// becomeFollower makes the member a follower in the given term. leader is 0 if unknown.
func (c *Core) becomeFollower(term uint64, leader persimmoncross.MemberID) {
	if term > c.hardState.Term {
		c.hardState = persimmoncross.HardState{
			Term: term,
		}
		c.hardStateChanged = true
	}
	c.role = Follower
	c.leader = leader
	c.lateVotes = nil
	if leader != 0 {
		c.ledTerm = term
	}
	c.followers = nil
	c.followerOrder = nil
	c.transfer = leadershipTransfer{}
	c.resetElectionTimer()
}

func (c *Core) resetElectionTimer() {
	timeout := c.backedOffElectionTimeout()
	c.electionDeadline = c.now.Add(timeout + time.Duration(c.Random.Int64N(int64(timeout))))
}

// backedOffElectionTimeout returns the election timeout, doubled for each election without a
// result since the last leader. All members of a group that is too slow for the timeout wait
// longer then, so that the votes arrive before one of them begins the next election.
func (c *Core) backedOffElectionTimeout() time.Duration {
	timeout := c.ElectionTimeout
	for term := c.ledTerm + 1; term < c.hardState.Term && timeout < maxElectionBackoff*c.ElectionTimeout; term++ {
		timeout *= 2
	}
	return timeout
}

// toWireTime converts a time of this process to a time in messages.
func (c *Core) toWireTime(t time.Time) time.Duration { return c.wireTimeOffset + t.Sub(c.startTime) }

// fromWireTime reverses toWireTime. The result is meaningless if another process wrote d.
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

// replyAfterSync queues a reply to request that may be sent only after the pending hard state
// and entries are synced.
func (c *Core) replyAfterSync(request, m persimmoncross.Message) {
	c.messagesAfterSync = append(c.messagesAfterSync, c.withHeader(request.From, request.FromVM, m))
}

// sendBeforeSync queues a leader's message to a follower, which may be sent before the sync.
func (c *Core) sendBeforeSync(to persimmoncross.MemberID, m persimmoncross.Message) {
	c.messagesBeforeSync = append(c.messagesBeforeSync, c.withHeader(to, c.followers[to].vm, m))
}

// activateConfig makes the voter configuration of an appended entry the active one.
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

// revertConfig restores the voter configuration that was active before the entry at index.
func (c *Core) revertConfig(index uint64) {
	for c.configIndex >= index && len(c.previousConfigs) > 0 {
		last := c.previousConfigs[len(c.previousConfigs)-1]
		c.previousConfigs = c.previousConfigs[:len(c.previousConfigs)-1]
		c.config = last.config
		c.configIndex = last.index
	}
}

// configAt returns the voter configuration that was active at index.
func (c *Core) configAt(index uint64) persimmoncross.Config {
	for i := len(c.previousConfigs) - 1; i >= 0; i-- {
		if c.previousConfigs[i].index <= index {
			return c.previousConfigs[i].config
		}
	}
	return c.snapshot.Config
}
