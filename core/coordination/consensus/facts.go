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
	var all []Known
	for _, id := range c.order {
		p := c.followers[id]
		all = append(all, Known{
			Member: persimmoncross.Member{
				ID: id,
				VM: p.vm,
			},
			Voter:    c.set.Has(id),
			Silence:  now.Sub(p.heard),
			CaughtUp: p.match+caughtUpLag >= c.commit && now.Sub(p.acked) <= c.Election,
		})
	}
	return all
}
