package consensus

import (
	"slices"

	"persimmoncross"
)

// campaign starts a pre-vote or an election, depending on role. The pre-vote comes first, so
// that a member that was partitioned does not disturb the others with a higher term.
// transferred marks an election that a leadership transfer has started.
func (c *Core) campaign(role Role, transferred bool) {
	switch {
	case role == Candidate:
		c.lateVotes = nil
	case c.role == Candidate:
		c.lateVotes = c.votes
	}
	c.role = role
	c.leader = 0
	c.votes = map[persimmoncross.MemberID]bool{
		c.ID: true,
	}
	m := persimmoncross.Message{
		Kind:               persimmoncross.MessagePreVote,
		Term:               c.hardState.Term + 1,
		Index:              c.log.lastIndex(),
		LogTerm:            c.log.lastTerm(),
		LeadershipTransfer: transferred,
	}
	if role == Candidate {
		c.hardState = persimmoncross.HardState{
			Term: c.hardState.Term + 1,
			Vote: c.ID,
		}
		c.hardStateChanged = true
		m.Kind = persimmoncross.MessageVote
	}
	c.resetElectionTimer()
	for _, v := range c.config.Voters {
		if v.ID != c.ID {
			c.messagesAfterSync = append(c.messagesAfterSync, c.withHeader(v.ID, v.VM, m))
		}
	}
	c.countVotes()
}

// hasRecentLeaderContact reports whether this member leads, or received a message of the
// leader within ElectionTimeout.
func (c *Core) hasRecentLeaderContact() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && c.now.Sub(c.lastLeaderContact) < c.ElectionTimeout
}

// isCandidateUpToDate reports whether the candidate's log is at least as up to date as this
// member's log (Raft, 5.4.1).
func (c *Core) isCandidateUpToDate(m persimmoncross.Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *Core) onPreVote(m persimmoncross.Message) {
	rejected := m.Term <= c.hardState.Term || c.hasRecentLeaderContact() || !c.isCandidateUpToDate(m)
	reply := persimmoncross.Message{
		Kind:   persimmoncross.MessagePreVoteReply,
		Reject: rejected,
		Term:   m.Term,
	}
	if rejected {
		reply.Term = c.hardState.Term
	}
	c.replyAfterSync(m, reply)
}

func (c *Core) onVote(m persimmoncross.Message) {
	canVote := c.hardState.Vote == 0 || c.hardState.Vote == m.From
	granted := canVote && c.leader == 0 && c.isCandidateUpToDate(m)
	if granted && c.hardState.Vote == 0 {
		c.hardState.Vote = m.From
		c.hardStateChanged = true
	}
	if granted {
		c.resetElectionTimer()
	}
	c.replyAfterSync(m, persimmoncross.Message{
		Kind:   persimmoncross.MessageVoteReply,
		Reject: !granted,
	})
}

func (c *Core) onVoteReply(m persimmoncross.Message) {
	isPreVote := m.Kind == persimmoncross.MessagePreVoteReply
	if isPreVote && (c.role != PreCandidate || (!m.Reject && m.Term != c.hardState.Term+1)) {
		return
	}
	switch {
	case !isPreVote && c.role == PreCandidate && c.lateVotes != nil:
		c.lateVotes[m.From] = !m.Reject
		if c.isQuorum(c.lateVotes) {
			c.becomeLeader() // of the present term, in which nobody else can have won
		}
		return
	case !isPreVote && c.role != Candidate:
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

func (c *Core) countVotes() {
	if !c.isQuorum(c.votes) {
		return
	}
	if c.role == PreCandidate {
		c.campaign(Candidate, false)
		return
	}
	c.becomeLeader()
}

// isQuorum reports whether a quorum of the voters has granted its vote.
func (c *Core) isQuorum(votes map[persimmoncross.MemberID]bool) bool {
	granted := 0
	for _, v := range c.config.Voters {
		if votes[v.ID] {
			granted++
		}
	}
	return granted >= c.quorumSize()
}

func (c *Core) quorumSize() int { return len(c.config.Voters)/2 + 1 }

// becomeLeader makes the member the leader. It appends an empty entry, whose commit also
// commits the entries of earlier terms. A leader may not commit those by counting their
// replicas (Raft, 5.4.2).
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.ID
	c.votes = nil
	c.lateVotes = nil
	c.leaderPatience = 2 * c.backedOffElectionTimeout() // by then the others have elected another
	c.ledTerm = c.hardState.Term
	c.transfer = leadershipTransfer{}
	c.followers = map[persimmoncross.MemberID]*progress{}
	c.followerOrder = nil
	for _, v := range c.config.Voters {
		c.addFollower(v.ID, v.VM)
	}
	c.appendEntry(persimmoncross.EntryNoop, nil, persimmoncross.Config{})
	c.broadcastHeartbeat()
}

// addFollower starts tracking the progress of a member, and returns it. It returns nil for
// this member itself.
func (c *Core) addFollower(id persimmoncross.MemberID, vm string) *progress {
	if id == c.ID {
		return nil
	}
	p, ok := c.followers[id]
	if !ok {
		p = &progress{
			vm:                vm,
			nextIndex:         c.log.lastIndex() + 1,
			lastAckedSendTime: c.now,
			lastContact:       c.now,
		}
		c.followers[id] = p
		c.followerOrder = append(c.followerOrder, id)
	}
	return p
}

// removeFollower stops tracking the progress of a member.
func (c *Core) removeFollower(id persimmoncross.MemberID) {
	delete(c.followers, id)
	c.followerOrder = slices.DeleteFunc(slices.Clone(c.followerOrder), func(o persimmoncross.MemberID) bool { return o == id })
}
