package steward_test

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/steward"
)

func members(ids ...int) []persimmoncross.Member {
	var list []persimmoncross.Member
	for _, id := range ids {
		list = append(list, persimmoncross.Member{
			ID: persimmoncross.MemberID(id),
			VM: fmt.Sprint("vm", id),
		})
	}
	return list
}

func learner(id int, vm string, caughtUp bool) steward.Learner {
	return steward.Learner{
		Member: persimmoncross.Member{
			ID: persimmoncross.MemberID(id),
			VM: vm,
		},
		CaughtUp: caughtUp,
	}
}

func TestNextChange(t *testing.T) {
	tests := []struct {
		name             string
		voters           []persimmoncross.Member
		learners         []steward.Learner
		timeSinceContact map[persimmoncross.MemberID]time.Duration
		add              persimmoncross.MemberID
		remove           persimmoncross.MemberID
	}{
		{
			name:   "nothing to do",
			voters: members(1, 2, 3, 4, 5),
		},
		{
			name:     "a learner that has caught up becomes a voter",
			voters:   members(1, 2, 3),
			learners: []steward.Learner{learner(4, "vm4", true)},
			add:      4,
		},
		{
			name:     "a learner that has not caught up stays a learner",
			voters:   members(1, 2, 3),
			learners: []steward.Learner{learner(4, "vm4", false)},
		},
		{
			name:     "a voter whose VM restarted with an empty disk is removed",
			voters:   members(1, 2, 3, 4, 5),
			learners: []steward.Learner{learner(9, "vm4", false)},
			remove:   4,
		},
		{
			name:             "a successor on another VM is added first",
			voters:           members(1, 2, 3, 4, 5),
			learners:         []steward.Learner{learner(9, "vm9", true)},
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Minute},
			add:              9,
		},
		{
			name:             "the unreachable voter is removed after its successor was added",
			voters:           members(1, 2, 3, 4, 5, 9),
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Minute, 3: 3 * time.Second},
			remove:           5,
		},
		{
			name:             "a voter that is unreachable for less than the timeout stays",
			voters:           members(1, 2, 3, 4, 5, 9),
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Second},
		},
		{
			name:             "an unreachable voter without a successor stays",
			voters:           members(1, 2, 3, 4, 5),
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Minute},
		},
		{
			name:     "no learner is added above the target number of voters",
			voters:   members(1, 2, 3, 4, 5, 9),
			learners: []steward.Learner{learner(10, "vm10", true)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := steward.NextChange(steward.GroupStatus{
				Self:               1,
				Voters:             tt.voters,
				TimeSinceContact:   tt.timeSinceContact,
				Learners:           tt.learners,
				TargetVoters:       5,
				UnreachableTimeout: 2 * time.Second,
			})
			if c.Add.ID != tt.add || c.Remove != tt.remove {
				t.Errorf("add %d, remove %d (%s), want add %d, remove %d", c.Add.ID, c.Remove, c.Reason, tt.add, tt.remove)
			}
		})
	}
}
