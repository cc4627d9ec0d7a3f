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
			name:     "a new member votes",
			voters:   members(1, 2, 3),
			learners: []steward.Learner{learner(4, "vm4", true)},
			add:      4,
		},
		{
			name:     "not before it has caught up",
			voters:   members(1, 2, 3),
			learners: []steward.Learner{learner(4, "vm4", false)},
		},
		{
			name:     "an empty disk at a voter's address",
			voters:   members(1, 2, 3, 4, 5),
			learners: []steward.Learner{learner(9, "vm4", false)},
			remove:   4,
		},
		{
			name:             "a successor at another address is added first",
			voters:           members(1, 2, 3, 4, 5),
			learners:         []steward.Learner{learner(9, "vm9", true)},
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Minute},
			add:              9,
		},
		{
			name:             "then the lost one is removed",
			voters:           members(1, 2, 3, 4, 5, 9),
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Minute, 3: 3 * time.Second},
			remove:           5,
		},
		{
			name:             "a short silence is borne",
			voters:           members(1, 2, 3, 4, 5, 9),
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Second},
		},
		{
			name:             "a silent voter without a successor keeps its vote",
			voters:           members(1, 2, 3, 4, 5),
			timeSinceContact: map[persimmoncross.MemberID]time.Duration{5: time.Minute},
		},
		{
			name:     "no seventh voter",
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
				t.Errorf("add %d, remove %d (%s), want %d and %d", c.Add.ID, c.Remove, c.Reason, tt.add, tt.remove)
			}
		})
	}
}
