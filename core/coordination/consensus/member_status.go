package consensus

import (
	"time"

	"persimmoncross"
)

// MemberStatus is a leader's view of another member.
type MemberStatus struct {
	Member           persimmoncross.Member
	Voter            bool
	TimeSinceContact time.Duration // since the last message from the member
	CaughtUp         bool          // the member could become a voter now
}

// MemberStatuses returns the status of the other members, or nil if this member does not lead.
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
