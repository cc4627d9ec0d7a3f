package vm

import (
	"context"

	"persimmoncross"
	"persimmoncross/core/coordination/group"
	"persimmoncross/core/state/record"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// handler answers the other VMs. It implements [peer.Handler].
type handler struct {
	vm *VM
}

// Receive implements [peer.Handler].
func (h *handler) Receive(m persimmoncross.Message) {
	if g := h.group(m.Group); g != nil {
		g.Receive(m)
	}
}

// group returns the running group with the name, nil if there is none here.
func (h *handler) group(name string) *group.Replica {
	if !h.vm.started.Load() {
		return nil
	}
	switch name {
	case settingsGroup:
		return h.vm.settings
	case ledgerGroup:
		return h.vm.bills
	}
	return nil
}

// Call implements [peer.Handler].
func (h *handler) Call(ctx context.Context, c *wire.Call, s *peer.Stream) {
	switch {
	case c.GetPropose() != nil:
		s.Send(h.propose(ctx, c.GetPropose()))
	case c.GetVoters() != nil:
		s.Send(h.voters(ctx, c.GetVoters()))
	case c.GetIdentify() != nil:
		s.Send(h.identify())
	case c.GetReport() != nil:
		s.Send(h.vm.status())
	case c.GetJoin() != nil:
		h.join(ctx, c.GetJoin(), s)
	case c.GetDetour() != nil:
		h.vm.detours.Serve(ctx, c.GetDetour(), s)
	}
}

func (h *handler) propose(ctx context.Context, p *wire.Propose) *wire.Proposed {
	g := h.group(p.GetGroup())
	if g == nil {
		return &wire.Proposed{
			Error: "no member of the group here",
		}
	}
	return peer.AnswerProposal(ctx, g, p)
}

func (h *handler) voters(ctx context.Context, r *wire.Voters) *wire.Proposed {
	g := h.group(r.GetGroup())
	if g == nil {
		return &wire.Proposed{
			Error: "no member of the group here",
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	if r.GetAdd() != 0 {
		return peer.Proposed(nil, g.AddVoter(ctx, persimmoncross.Member{
			ID: persimmoncross.MemberID(r.GetAdd()),
			VM: r.GetVm(),
		}))
	}
	return peer.Proposed(nil, g.RemoveVoter(ctx, persimmoncross.MemberID(r.GetRemove())))
}

func (h *handler) identify() *wire.Identity {
	id := &wire.Identity{
		Member: uint64(h.vm.member),
	}
	if origin := h.vm.origin.Load(); origin != nil {
		id.Origin = record.FromConfig(*origin)
	}
	return id
}

// status is what this VM says of itself.
func (v *VM) status() *wire.Status {
	now := v.Clock.Now() // of the time and the ages that are told, which go together
	s := &wire.Status{
		Vm:          v.Local.Name,
		Datacentre:  v.Local.DataCentre,
		Revision:    v.state.Current().Revision,
		Lease:       v.gate.leased(),
		Draining:    v.gate.leaving.Load() || v.gate.drained(),
		Incarnation: v.incarnation,
		Version:     Version,
		Time:        now.UnixNano(),
	}
	if !v.started.Load() {
		return s
	}
	for _, g := range []*group.Replica{v.settings, v.bills} {
		if g != nil {
			s.Groups = append(s.Groups, groupStatus(g))
		}
	}
	for subject, t := range v.evidence.Tallies() {
		s.Evidence = append(s.Evidence, &wire.Evidence{
			Version:      subject.Version.String(),
			Organisation: subject.Organisation,
			Runs:         t.Runs,
			Bad:          t.FailedRuns,
			Pairs:        t.DiscordantPairs,
			Slower:       t.SlowerPairs,
			Rated:        t.Ratings,
			Poor:         t.PoorRatings,
		})
	}
	for pool, by := range v.limits.LocalUsage() {
		for organisation, n := range by {
			s.Loads = append(s.Loads, &wire.Load{
				Pool:         pool,
				Organisation: organisation,
				Running:      uint32(n),
			})
		}
	}
	s.Cases = wire.FromCases(v.ownCases(now), now)
	s.Holds = wire.FromHolds(v.keeper.Quarantines())
	for version, x := range v.evidence.StageRuns() {
		s.Exposed = append(s.Exposed, &wire.Exposed{
			Version: version.String(),
			Stage:   uint32(x.Stage),
			Runs:    x.Runs,
		})
	}
	return s
}

func groupStatus(g *group.Replica) *wire.GroupStatus {
	view := g.View()
	return &wire.GroupStatus{
		Group:   g.Core.Group,
		Member:  uint64(g.Core.ID),
		Role:    view.Role.String(),
		Term:    view.Term,
		Commit:  view.CommitIndex,
		Applied: view.AppliedIndex,
		Leader:  view.LeaderVM,
		Voters:  record.FromConfig(view.Config).GetVoters(),
	}
}
