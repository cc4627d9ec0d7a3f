package consensus

import (
	"slices"
	"time"

	"persimmoncross"
)

// leadershipTransfer is a hand-over of leadership under way.
type leadershipTransfer struct {
	target         persimmoncross.MemberID
	deadline       time.Time
	timeoutNowSent bool
}

// AddVoter proposes a set of voters with one more. The member must hold nearly
// all of the log, so that it can count at once.
func (c *Core) AddVoter(now time.Time, m persimmoncross.Member) (index, term uint64, err error) {
	if err := c.checkVoterChange(now, "add voter"); err != nil {
		return 0, 0, err
	}
	if c.config.HasVoter(m.ID) {
		return 0, 0, newError("add voter", InvalidChange, "%s votes already", m.VM)
	}
	p := c.followers[m.ID]
	if p == nil || p.matchIndex+maxCaughtUpLag < c.commitIndex || now.Sub(p.lastAckedSendTime) > c.ElectionTimeout {
		return 0, 0, newError("add voter", NotCaughtUp, "%s has not caught up yet", m.VM)
	}
	config := persimmoncross.Config{
		Voters: append(slices.Clone(c.config.Voters), m),
	}
	return c.appendEntry(persimmoncross.EntryConfig, nil, config), c.hardState.Term, nil
}

// RemoveVoter proposes a set of voters without the member, unless those left
// that answer would be no quorum.
func (c *Core) RemoveVoter(now time.Time, id persimmoncross.MemberID) (index, term uint64, err error) {
	if err := c.checkVoterChange(now, "remove voter"); err != nil {
		return 0, 0, err
	}
	if !c.config.HasVoter(id) {
		return 0, 0, newError("remove voter", InvalidChange, "no such voter")
	}
	config := persimmoncross.Config{}
	responsive := 0
	for _, v := range c.config.Voters {
		if v.ID == id {
			continue
		}
		config.Voters = append(config.Voters, v)
		if v.ID == c.ID || now.Sub(c.followers[v.ID].lastAckedSendTime) <= c.ElectionTimeout {
			responsive++
		}
	}
	if responsive < len(config.Voters)/2+1 {
		return 0, 0, newError("remove voter", InvalidChange, "of the %d voters left only %d answer", len(config.Voters), responsive)
	}
	return c.appendEntry(persimmoncross.EntryConfig, nil, config), c.hardState.Term, nil
}

// checkVoterChange checks what every change of voters needs: that this member leads,
// has committed an entry of its own term, and that no change is under way.
func (c *Core) checkVoterChange(now time.Time, operation string) error {
	c.now = now
	if c.role != Leader {
		return newError(operation, NotLeader, "this member does not lead")
	}
	if term, _ := c.log.term(c.commitIndex); term != c.hardState.Term || c.configIndex > c.commitIndex {
		return newError(operation, ChangePending, "an earlier change is not committed yet")
	}
	return nil
}

// stepDownIfRemoved ends the leadership of a leader that no longer votes, once
// that is committed.
func (c *Core) stepDownIfRemoved() {
	if c.config.HasVoter(c.ID) || c.configIndex > c.commitIndex {
		return
	}
	c.broadcastHeartbeat() // the others learn of the commit first
	c.becomeFollower(c.hardState.Term, 0)
}

// TransferLeadership hands leadership to the voter that holds most of the log and
// answers. It returns false if there is none.
func (c *Core) TransferLeadership(now time.Time) bool {
	c.now = now
	if c.role != Leader {
		return false
	}
	var target persimmoncross.MemberID
	for _, v := range c.config.Voters {
		p := c.followers[v.ID]
		if p == nil || now.Sub(p.lastAckedSendTime) > c.ElectionTimeout {
			continue
		}
		if target == 0 || p.matchIndex > c.followers[target].matchIndex {
			target = v.ID
		}
	}
	if target == 0 {
		return false
	}
	c.transfer = leadershipTransfer{
		target:   target,
		deadline: now.Add(c.ElectionTimeout),
	}
	c.sendTimeoutNowIfReady(target, c.followers[target])
	return true
}

// sendTimeoutNowIfReady asks the receiver to stand once it holds the whole log.
func (c *Core) sendTimeoutNowIfReady(id persimmoncross.MemberID, p *progress) {
	if c.transfer.target != id || c.transfer.timeoutNowSent || p.matchIndex < c.log.lastIndex() {
		return
	}
	c.transfer.timeoutNowSent = true
	c.sendBeforeSync(id, persimmoncross.Message{
		Kind: persimmoncross.MessageTimeoutNow,
	})
}
