package consensus

import (
	"slices"
	"time"

	"persimmoncross"
)

// leadershipTransfer is a leadership transfer in progress.
type leadershipTransfer struct {
	target         persimmoncross.MemberID // 0 if no transfer is in progress
	deadline       time.Time
	timeoutNowSent bool
}

// AddVoter proposes a voter configuration with one more voter. The member must hold nearly all
// of the log, so that it counts for the quorum at once.
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

// RemoveVoter proposes a voter configuration without the member. It returns an error if the
// remaining voters that answer would not be a quorum.
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

// checkVoterChange checks the conditions for any change of voters. This member must lead and
// have committed an entry of its own term, and no other change may be in progress.
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

// stepDownIfRemoved makes a leader that is no longer a voter step down once its removal is
// committed.
func (c *Core) stepDownIfRemoved() {
	if c.config.HasVoter(c.ID) || c.configIndex > c.commitIndex {
		return
	}
	c.broadcastHeartbeat() // sends the others the commit index first
	c.becomeFollower(c.hardState.Term, 0)
}

// TransferLeadership starts a leadership transfer to the responsive voter with the highest
// match index. It returns false if this member does not lead or no other voter is responsive.
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

// sendTimeoutNowIfReady sends MessageTimeoutNow to the target of a leadership transfer once the
// target holds the whole log. The target then starts an election at once.
func (c *Core) sendTimeoutNowIfReady(id persimmoncross.MemberID, p *progress) {
	if c.transfer.target != id || c.transfer.timeoutNowSent || p.matchIndex < c.log.lastIndex() {
		return
	}
	c.transfer.timeoutNowSent = true
	c.sendBeforeSync(id, persimmoncross.Message{
		Kind: persimmoncross.MessageTimeoutNow,
	})
}
