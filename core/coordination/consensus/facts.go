package consensus

import (
	"time"

	"persimmoncross"
)

// Known is what a leader knows of another member.
type Known struct {
	Member   persimmoncross.Member
	Voter    bool
	Silence  time.Duration // since it was heard
	CaughtUp bool          // it could be made a voter now
}

// Members returns what this member, if it leads, knows of the others.
func (c *Core) Members(now time.Time) []Known {
	if c.role != Leader {
		return nil
	}
	var statuses []Known
	for _, id := range c.followerOrder {
		p := c.followers[id]
		statuses = append(statuses, Known{
			Member: persimmoncross.Member{
				ID: id,
				VM: p.vm,
			},
			Voter:    c.config.Has(id),
			Silence:  now.Sub(p.lastContact),
			CaughtUp: p.matchIndex+maxCaughtUpLag >= c.commitIndex && now.Sub(p.lastAckedSendTime) <= c.Election,
		})
	}
	return statuses
}
