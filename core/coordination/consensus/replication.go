package consensus

import (
	"slices"
	"time"

	"persimmoncross"
)

// progress is a leader's record of the replication to one follower or learner.
type progress struct {
	vm                string
	matchIndex        uint64    // last entry known to be on the follower's disk
	reportedLastIndex uint64    // last entry of the follower's log, from its join request
	nextIndex         uint64    // next entry to send
	lastAckedSendTime time.Time // when the leader sent the latest message that the follower answered
	lastContact       time.Time // when the last message of the follower arrived
	snapshotOffset    uint64    // offset of the next chunk of the snapshot being sent
	snapshotIndex     uint64    // index of the snapshot being sent, 0 if none
	chunkSentAt       time.Time
	probe             leaseProbe
}

// incomingSnapshot is a snapshot being received.
type incomingSnapshot struct {
	from   persimmoncross.MemberID
	index  uint64
	term   uint64
	config persimmoncross.Config
	data   []byte
}

// learnerTimeout is the time without contact after which a leader stops sending to a learner.
const learnerTimeout = 30 * time.Second

// Propose appends a command if the member leads and is not transferring its leadership. It
// returns the index and term of the command's entry.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != Leader {
		return 0, 0, newError("propose", NotLeader, "this member does not lead")
	}
	if c.transfer.target != 0 {
		return 0, 0, newError("propose", NotLeader, "leadership is being handed over")
	}
	index = c.appendEntry(persimmoncross.EntryCommand, data, persimmoncross.Config{})
	return index, c.hardState.Term, nil
}

func (c *Core) appendEntry(kind persimmoncross.EntryKind, data []byte, config persimmoncross.Config) uint64 {
	e := persimmoncross.Entry{
		Index:  c.log.lastIndex() + 1,
		Term:   c.hardState.Term,
		Kind:   kind,
		Data:   data,
		Config: config,
	}
	c.log.append(e)
	c.unsyncedEntries = append(c.unsyncedEntries, e)
	c.activateConfig(e)
	return e.Index
}

// replicate sends each follower the entries that it lacks, within the limits of the entries in
// flight. If commits are broadcast, a follower that lacks nothing is sent a new commit index
// at once.
func (c *Core) replicate() {
	for _, id := range c.followerOrder {
		p := c.followers[id]
		if c.commitAdvanced && p.snapshotIndex == 0 && p.nextIndex > c.log.lastIndex() {
			c.sendEmptyAppend(id, p)
		}
		for p.snapshotIndex == 0 && p.nextIndex <= c.log.lastIndex() && c.canSendMore(p) {
			if !c.sendEntries(id, p) {
				break
			}
		}
	}
}

// canSendMore reports whether more entries may be in flight to the follower. The limit in bytes
// does not apply until the follower has reported an index, because the entries in flight are
// unknown until then.
func (c *Core) canSendMore(p *progress) bool {
	if p.nextIndex-p.matchIndex > maxInflightEntries {
		return false
	}
	knownIndex := max(p.matchIndex, p.reportedLastIndex)
	return knownIndex == 0 || c.log.sizeBetween(knownIndex, p.nextIndex-1) <= maxInflightBytes
}

// sendEntries sends the next batch of entries, or starts a snapshot transfer if the log no
// longer holds them. It returns false if nothing more can be sent now.
func (c *Core) sendEntries(id persimmoncross.MemberID, p *progress) bool {
	prevIndex := p.nextIndex - 1
	prevTerm, ok := c.log.term(prevIndex)
	if !ok {
		c.startSnapshotTransfer(id, p)
		return false
	}
	entries := c.log.entriesAfter(prevIndex, maxBatchEntries, maxBatchBytes)
	c.sendAppend(id, p, prevIndex, prevTerm, entries)
	p.nextIndex += uint64(len(entries))
	return len(entries) > 0
}

func (c *Core) sendAppend(id persimmoncross.MemberID, p *progress, prevIndex, prevTerm uint64, entries []persimmoncross.Entry) {
	c.sendBeforeSync(id, persimmoncross.Message{
		Kind:             persimmoncross.MessageAppend,
		Index:            prevIndex,
		LogTerm:          prevTerm,
		Commit:           c.commitIndex,
		Entries:          entries,
		SentAt:           c.toWireTime(c.now),
		LeaseRequestedAt: p.probe.confirmed,
		LeaseCommitIndex: p.probe.commitIndex,
	})
}

// broadcastHeartbeat sends every follower an empty append. It also resends the current snapshot
// chunk if that was not answered within two heartbeat intervals, and removes learners without
// contact for learnerTimeout.
func (c *Core) broadcastHeartbeat() {
	c.lastHeartbeat = c.now
	for _, id := range c.followerOrder {
		p := c.followers[id]
		if !c.config.HasVoter(id) && c.now.Sub(p.lastContact) > learnerTimeout {
			c.removeFollower(id)
			continue
		}
		if p.snapshotIndex != 0 && c.now.Sub(p.chunkSentAt) >= 2*c.HeartbeatInterval {
			c.sendSnapshotChunk(id, p)
		}
		c.sendEmptyAppend(id, p)
	}
}

func (c *Core) sendEmptyAppend(id persimmoncross.MemberID, p *progress) {
	prevIndex := min(p.nextIndex-1, c.log.lastIndex())
	prevTerm, ok := c.log.term(prevIndex)
	if !ok {
		prevIndex, prevTerm = c.log.compactedIndex, c.log.compactedTerm
	}
	c.sendAppend(id, p, prevIndex, prevTerm, nil)
}

func (c *Core) tickLeader() {
	c.confirmProbes()
	if c.now.Sub(c.quorumAckedSendTime()) > c.leaderPatience {
		c.becomeFollower(c.hardState.Term, 0) // check-quorum
		return
	}
	if c.transfer.target != 0 && c.now.After(c.transfer.deadline) {
		c.transfer = leadershipTransfer{}
	}
	if c.now.Sub(c.lastHeartbeat) >= c.HeartbeatInterval {
		c.broadcastHeartbeat()
	}
}

// quorumAckedSendTime returns the latest time such that a quorum has answered a message sent
// at that time or later.
func (c *Core) quorumAckedSendTime() time.Time {
	var sendTimes []time.Time
	for _, v := range c.config.Voters {
		if v.ID == c.ID {
			sendTimes = append(sendTimes, c.now)
			continue
		}
		if p, ok := c.followers[v.ID]; ok {
			sendTimes = append(sendTimes, p.lastAckedSendTime)
			continue
		}
		sendTimes = append(sendTimes, time.Time{})
	}
	slices.SortFunc(sendTimes, func(a, b time.Time) int { return b.Compare(a) })
	return sendTimes[c.quorumSize()-1]
}

// advanceCommitIndex advances the commit index to the last entry of the current term that a
// quorum has on disk.
func (c *Core) advanceCommitIndex() {
	var matchIndexes []uint64
	for _, v := range c.config.Voters {
		switch p, ok := c.followers[v.ID]; {
		case v.ID == c.ID:
			matchIndexes = append(matchIndexes, c.syncedIndex)
		case ok:
			matchIndexes = append(matchIndexes, p.matchIndex)
		default:
			matchIndexes = append(matchIndexes, 0)
		}
	}
	slices.SortFunc(matchIndexes, func(a, b uint64) int {
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		}
		return 0
	})
	index := matchIndexes[c.quorumSize()-1]
	if term, ok := c.log.term(index); !ok || term != c.hardState.Term || index <= c.commitIndex {
		return
	}
	c.commitIndex = index
	c.commitAdvanced = c.BroadcastCommits
	c.stepDownIfRemoved()
}

func (c *Core) onAppend(m persimmoncross.Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
	c.lease.renew(c, m)
	reply := persimmoncross.Message{
		Kind:             persimmoncross.MessageAppendReply,
		SentAt:           m.SentAt,
		LeaseRequestedAt: c.lease.newProbe(c),
	}
	term, ok := c.log.term(m.Index)
	if m.Index < c.log.compactedIndex {
		// The entries that a snapshot covers are committed, so they match the leader's.
		reply.Index = c.log.compactedIndex
		c.replyAfterSync(m, reply)
		return
	}
	if !ok || term != m.LogTerm {
		reply.Reject = true
		reply.LastIndexHint = c.rejectHint(m)
		c.replyAfterSync(m, reply)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	c.appendFromLeader(m.Entries)
	c.commitIndex = max(c.commitIndex, min(m.Commit, last))
	reply.Index = last
	c.replyAfterSync(m, reply)
}

// rejectHint returns the index of the entry after which the leader should continue. It skips
// all entries of the conflicting term, but no committed entries.
func (c *Core) rejectHint(m persimmoncross.Message) uint64 {
	index := min(m.Index, c.log.lastIndex())
	conflictTerm, found := c.log.term(m.Index)
	if !found {
		return index
	}
	for index > c.commitIndex {
		term, _ := c.log.term(index)
		if term != conflictTerm {
			break
		}
		index--
	}
	return index
}

// appendFromLeader appends the entries that the log lacks, and first drops the entries that
// conflict with them.
func (c *Core) appendFromLeader(entries []persimmoncross.Entry) {
	for i, e := range entries {
		if e.Index <= c.log.compactedIndex {
			continue
		}
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.log.truncate(e.Index)
			c.revertConfig(e.Index)
			c.syncedIndex = min(c.syncedIndex, e.Index-1)
			c.unsyncedEntries = truncateFrom(c.unsyncedEntries, e.Index)
		}
		c.log.append(entries[i:]...)
		c.unsyncedEntries = append(c.unsyncedEntries, entries[i:]...)
		for _, n := range entries[i:] {
			c.activateConfig(n)
		}
		return
	}
}

func truncateFrom(entries []persimmoncross.Entry, index uint64) []persimmoncross.Entry {
	for i, e := range entries {
		if e.Index >= index {
			return entries[:i:i]
		}
	}
	return entries
}

func (c *Core) onAppendReply(m persimmoncross.Message) {
	p := c.recordReply(m)
	if p == nil {
		return
	}
	if m.Reject {
		if p.snapshotIndex == 0 {
			p.nextIndex = max(min(m.LastIndexHint+1, c.log.lastIndex()+1), p.matchIndex+1)
		}
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.nextIndex = max(p.nextIndex, m.Index+1)
		if p.snapshotIndex != 0 && m.Index >= p.snapshotIndex {
			p.snapshotIndex = 0
		}
		c.advanceCommitIndex()
	}
	c.sendTimeoutNowIfReady(m.From, p)
}

// recordReply records the contact and the lease probe of a reply, and returns the progress of
// its sender. It returns nil if this member does not lead or does not track the sender.
func (c *Core) recordReply(m persimmoncross.Message) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.followers[m.From]
	if p == nil {
		return nil
	}
	p.lastContact = c.now
	if sent := c.fromWireTime(m.SentAt); sent.After(p.lastAckedSendTime) && !sent.After(c.now) {
		p.lastAckedSendTime = sent
	}
	p.probe.record(m.LeaseRequestedAt, c.now)
	c.confirmProbes()
	return p
}

// sendLearnerJoinIfDue sends a join request once per heartbeat interval, if no message of a
// leader has arrived for ElectionTimeout.
func (c *Core) sendLearnerJoinIfDue() {
	if c.now.Sub(c.lastLeaderContact) < c.ElectionTimeout || c.now.Sub(c.lastHeartbeat) < c.HeartbeatInterval {
		return
	}
	c.lastHeartbeat = c.now
	c.leader = 0
	c.sendLearnerJoin()
}

func (c *Core) sendLearnerJoin() {
	c.messagesBeforeSync = append(c.messagesBeforeSync, c.withHeader(0, "", persimmoncross.Message{
		Kind:  persimmoncross.MessageLearnerJoin,
		Index: c.log.lastIndex(),
	}))
}

// onLearnerJoin starts to send the log to the member that sent the join request.
func (c *Core) onLearnerJoin(m persimmoncross.Message) {
	if c.role != Leader || m.From == c.ID {
		return
	}
	p := c.addFollower(m.From, m.FromVM)
	p.lastContact = c.now
	p.reportedLastIndex = m.Index
	p.nextIndex = max(p.matchIndex+1, min(p.nextIndex, m.Index+1))
}

func (c *Core) startSnapshotTransfer(id persimmoncross.MemberID, p *progress) {
	p.snapshotIndex = c.snapshot.Index
	p.snapshotOffset = 0
	c.sendSnapshotChunk(id, p)
}

func (c *Core) sendSnapshotChunk(id persimmoncross.MemberID, p *progress) {
	if p.snapshotIndex != c.snapshot.Index {
		// A newer snapshot has replaced the one being sent.
		p.snapshotIndex = c.snapshot.Index
		p.snapshotOffset = 0
	}
	size := uint64(len(c.snapshot.Data))
	end := min(p.snapshotOffset+maxSnapshotChunkBytes, size)
	p.chunkSentAt = c.now
	c.sendBeforeSync(id, persimmoncross.Message{
		Kind:           persimmoncross.MessageSnapshotChunk,
		Index:          c.snapshot.Index,
		LogTerm:        c.snapshot.Term,
		Config:         c.snapshot.Config,
		SnapshotOffset: p.snapshotOffset,
		SnapshotSize:   size,
		Data:           c.snapshot.Data[p.snapshotOffset:end],
		SentAt:         c.toWireTime(c.now),
	})
}

func (c *Core) onSnapshotChunk(m persimmoncross.Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
	if m.Index <= c.commitIndex {
		c.replyAfterSync(m, persimmoncross.Message{
			Kind:   persimmoncross.MessageAppendReply,
			Index:  c.commitIndex,
			SentAt: m.SentAt,
		})
		return
	}
	if c.incomingSnapshot == nil || c.incomingSnapshot.from != m.From || c.incomingSnapshot.index != m.Index || c.incomingSnapshot.term != m.LogTerm {
		c.incomingSnapshot = &incomingSnapshot{
			from:   m.From,
			index:  m.Index,
			term:   m.LogTerm,
			config: m.Config,
		}
	}
	in := c.incomingSnapshot
	if m.SnapshotOffset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < m.SnapshotSize {
		c.replyAfterSync(m, persimmoncross.Message{
			Kind:           persimmoncross.MessageSnapshotChunkReply,
			Index:          m.Index,
			SnapshotOffset: uint64(len(in.data)),
			SentAt:         m.SentAt,
		})
		return
	}
	c.installSnapshot(in)
	c.replyAfterSync(m, persimmoncross.Message{
		Kind:   persimmoncross.MessageAppendReply,
		Index:  m.Index,
		SentAt: m.SentAt,
	})
}

func (c *Core) installSnapshot(in *incomingSnapshot) {
	c.incomingSnapshot = nil
	s := persimmoncross.Snapshot{
		Index:  in.index,
		Term:   in.term,
		Config: in.config,
		Data:   in.data,
	}
	c.snapshotToInstall = &s
	c.snapshot = s
	c.log.reset(s.Index, s.Term)
	c.unsyncedEntries = nil
	c.previousConfigs = nil
	c.config = s.Config
	c.configIndex = s.Index
	c.commitIndex = s.Index
	c.deliveredIndex = s.Index
	c.appliedIndex = s.Index
	c.syncedIndex = s.Index
}

func (c *Core) onSnapshotChunkReply(m persimmoncross.Message) {
	p := c.recordReply(m)
	if p == nil || p.snapshotIndex != m.Index || m.SnapshotOffset > uint64(len(c.snapshot.Data)) {
		return
	}
	p.snapshotOffset = m.SnapshotOffset
	c.sendSnapshotChunk(m.From, p)
}
