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

// GroupStatus is what the leader sees.
type GroupStatus struct {
	Self               persimmoncross.MemberID
	Voters             []persimmoncross.Member
	TimeSinceContact   map[persimmoncross.MemberID]time.Duration // of the other voters
	Learners           []Learner
	TargetVoters       int           // voters
	UnreachableTimeout time.Duration // silence after which a voter that has a successor is removed
}

// VoterChange is one change of the set of voters; the zero value is none.
type VoterChange struct {
	Add    persimmoncross.Member
	Remove persimmoncross.MemberID
	Reason string
}

// IsZero reports whether nothing is to be done.
func (c VoterChange) IsZero() bool { return c.Add.ID == 0 && c.Remove == 0 }

// NextChange returns the next change of voters.
//
// A learner at the address of a voter proves that this voter's disk is gone:
// only an empty folder gets a new identity. The lost vote is removed first, so
// that it counts no more, and the successor added once it has caught up.
func NextChange(status GroupStatus) VoterChange {
	for _, l := range status.Learners {
		for _, v := range status.Voters {
			if v.VM == l.Member.VM && v.ID != l.Member.ID && v.ID != status.Self {
				return VoterChange{
					Remove: v.ID,
					Reason: "its VM came back with an empty disk",
				}
			}
		}
	}
	if len(status.Voters) <= status.TargetVoters {
		for _, l := range status.Learners {
			if l.CaughtUp {
				return VoterChange{
					Add:    l.Member,
					Reason: "it has caught up",
				}
			}
		}
		return VoterChange{}
	}
	removal := VoterChange{}
	longestSilence := status.UnreachableTimeout
	for _, v := range status.Voters {
		if s := status.TimeSinceContact[v.ID]; v.ID != status.Self && s > longestSilence {
			longestSilence = s
			removal = VoterChange{
				Remove: v.ID,
				Reason: "it is silent and has a successor",
			}
		}
	}
	return removal
}
