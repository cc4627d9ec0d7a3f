package consensus

import (
	"time"

	"persimmoncross"
)

// MemberStatus is what a leader knows of another member.
type MemberStatus struct {
	Member           persimmoncross.Member
	Voter            bool
	TimeSinceContact time.Duration // since it was heard
	CaughtUp         bool          // it could be made a voter now
}

// MemberStatuses returns what this member, if it leads, knows of the others.
func (c *Core) MemberStatuses(now time.Time) []MemberStatus {
	if c.role != Leader {
		return nil
	}
	var statuses []MemberStatus
	for _, id := range c.followerOrder {
		p := c.followers[id]
		statuses = append(statuses, MemberStatus{
			Member: persimmoncross.Member{
				ID: id,
				VM: p.vm,
			},
			Voter:            c.config.HasVoter(id),
			TimeSinceContact: now.Sub(p.lastContact),
			CaughtUp:         p.matchIndex+maxCaughtUpLag >= c.commitIndex && now.Sub(p.lastAckedSendTime) <= c.ElectionTimeout,
		})
	}
	return statuses
}
