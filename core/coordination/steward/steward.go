// Package steward decides which members of a group are voters. Learners that joined the group
// on their own are promoted one at a time, and a voter whose disk was lost is replaced by its
// successor. The package has no I/O; the group's leader calls it.
package steward

import (
	"time"

	"persimmoncross"
)

// Learner is a non-voting member that replicates the log.
type Learner struct {
	Member   persimmoncross.Member
	CaughtUp bool
}

// GroupStatus is the state of the group as seen by its leader.
type GroupStatus struct {
	Self               persimmoncross.MemberID
	Voters             []persimmoncross.Member
	TimeSinceContact   map[persimmoncross.MemberID]time.Duration // by voter, without Self
	Learners           []Learner
	TargetVoters       int           // number of voters that the group should have; a successor may exceed it by one
	UnreachableTimeout time.Duration // time without contact after which a voter is removed if there are more than TargetVoters
}

// VoterChange is a change of the set of voters by one member. The zero value is no change.
type VoterChange struct {
	Add    persimmoncross.Member
	Remove persimmoncross.MemberID
	Reason string
}

// IsZero reports whether c is no change.
func (c VoterChange) IsZero() bool { return c.Add.ID == 0 && c.Remove == 0 }

// NextChange returns the next change of the set of voters.
//
// A learner on the VM of a voter, with another ID, proves that the voter's disk was lost,
// because a member gets a new ID only if its directory is empty. The lost voter is removed
// first, so that it no longer counts for the quorum, and its successor is added once it has
// caught up.
//
// A learner that has caught up is added while the group has at most TargetVoters voters, so the
// group can have one voter more. A voter that is unreachable for longer than UnreachableTimeout
// is removed only while the group has more than TargetVoters voters, the longest unreachable one
// first.
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
	longestUnreachable := status.UnreachableTimeout
	for _, v := range status.Voters {
		if s := status.TimeSinceContact[v.ID]; v.ID != status.Self && s > longestUnreachable {
			longestUnreachable = s
			removal = VoterChange{
				Remove: v.ID,
				Reason: "it is silent and has a successor",
			}
		}
	}
	return removal
}
