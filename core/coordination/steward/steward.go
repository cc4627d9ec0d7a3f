// Package steward decides which members of a group vote: members that found
// the group by themselves are promoted one at a time, and a voter whose disk is
// lost gives way to its successor. It has no I/O; the group's leader asks it.
package steward

import (
	"time"

	"persimmoncross"
)

// Learner is a member without a vote that follows the log.
type Learner struct {
	Member   persimmoncross.Member
	CaughtUp bool
}

// Facts is what the leader sees.
type Facts struct {
	Self     persimmoncross.MemberID
	Voters   []persimmoncross.Member
	Silence  map[persimmoncross.MemberID]time.Duration // of the other voters
	Learners []Learner
	Wanted   int           // voters
	Patience time.Duration // silence after which a voter that has a successor is removed
}

// Change is one change of the set of voters; the zero value is none.
type Change struct {
	Add    persimmoncross.Member
	Remove persimmoncross.MemberID
	Reason string
}

// None reports whether nothing is to be done.
func (c Change) None() bool { return c.Add.ID == 0 && c.Remove == 0 }

// Decide returns the next change of voters.
//
// A learner at the address of a voter proves that this voter's disk is gone:
// only an empty folder gets a new identity. The lost vote is removed first, so
// that it counts no more, and the successor added once it has caught up.
func Decide(status Facts) Change {
	for _, l := range status.Learners {
		for _, v := range status.Voters {
			if v.VM == l.Member.VM && v.ID != l.Member.ID && v.ID != status.Self {
				return Change{
					Remove: v.ID,
					Reason: "its VM came back with an empty disk",
				}
			}
		}
	}
	if len(status.Voters) <= status.Wanted {
		for _, l := range status.Learners {
			if l.CaughtUp {
				return Change{
					Add:    l.Member,
					Reason: "it has caught up",
				}
			}
		}
		return Change{}
	}
	removal := Change{}
	longestSilence := status.Patience
	for _, v := range status.Voters {
		if s := status.Silence[v.ID]; v.ID != status.Self && s > longestSilence {
			longestSilence = s
			removal = Change{
				Remove: v.ID,
				Reason: "it is silent and has a successor",
			}
		}
	}
	return removal
}
