package vm

import (
	"context"
	"errors"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/group"
	"persimmoncross/io/protocol/wire"
)

// Times of a repair.
const (
	changeWait = 5 * time.Second // for one change of voters
	repairWait = 15 * time.Second
	repairPoll = 100 * time.Millisecond
)

// repair gives the vote of the VM whose disk was lost to the identity that the
// other VM (or the same, with a new folder) has now, in both logs. The new
// voter is added before the old one is removed, and only once it has caught up.
// It may be repeated after any failure.
func (v *VM) repair(ctx context.Context, lost, with string) error {
	ctx, cancel := context.WithTimeout(ctx, repairWait)
	defer cancel()
	status := v.presence.askOne(ctx, with)
	if status == nil {
		return failure("repair", Absent, nil, "VM %q does not answer", with)
	}
	for _, g := range v.groups() {
		if err := v.repairGroup(ctx, g, lost, with, memberOf(status, g.Core.Group)); err != nil {
			return err
		}
	}
	return nil
}

func memberOf(s *wire.Status, name string) persimmoncross.MemberID {
	for _, g := range s.GetGroups() {
		if g.GetGroup() == name {
			return persimmoncross.MemberID(g.GetMember())
		}
	}
	return 0
}

func (v *VM) repairGroup(ctx context.Context, g *group.Replica, lost, with string, member persimmoncross.MemberID) error {
	if member == 0 {
		return failure("repair", Refused, nil, "VM %q has no disk and cannot vote", with)
	}
	var old persimmoncross.MemberID
	for _, m := range g.View().Config.Voters {
		if m.VM == lost && m.ID != member {
			old = m.ID
		}
	}
	if !g.View().Config.HasVoter(member) {
		if old == 0 {
			return refuse("VM %q has no vote in %s that could be replaced", lost, g.Core.Group)
		}
		if err := v.changeVoters(ctx, g, &wire.Voters{
			Group: g.Core.Group,
			Add:   uint64(member),
			Vm:    with,
		}); err != nil {
			return err
		}
	}
	if old == 0 {
		return nil // the vote is the present identity's already
	}
	return v.changeVoters(ctx, g, &wire.Voters{
		Group:  g.Core.Group,
		Remove: uint64(old),
	})
}

func refuse(format string, args ...any) error {
	return &group.Error{
		Operation: "repair",
		Kind:      group.ChangeRejected,
		Err:       failure("repair", Refused, nil, format, args...),
	}
}

// changeVoters asks the group's leader, wherever it is, and waits while the
// new voter catches up.
func (v *VM) changeVoters(ctx context.Context, g *group.Replica, c *wire.Voters) error {
	for {
		answer, err := v.askLeader(ctx, g, c)
		if err == nil && answer.GetError() == "" {
			return nil
		}
		if err == nil {
			err = errors.New(answer.GetError())
		}
		select {
		case <-ctx.Done():
			if answer.GetRefused() {
				return refuse("%v", err)
			}
			return failure("repair", Absent, err, "%s", g.Core.Group)
		case <-v.Clock.After(repairPoll):
		}
	}
}

func (v *VM) askLeader(ctx context.Context, g *group.Replica, c *wire.Voters) (*wire.Proposed, error) {
	leader := g.View().LeaderVM
	if leader == v.Local.Name {
		return (&handler{
			vm: v,
		}).voters(ctx, c), nil
	}
	s, err := v.node.Call(ctx, leader, &wire.Call{
		Body: &wire.Call_Voters{
			Voters: c,
		},
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	answer := &wire.Proposed{}
	if err := s.Receive(answer); err != nil {
		return nil, err
	}
	return answer, nil
}
