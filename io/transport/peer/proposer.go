package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/group"
	"persimmoncross/io/protocol/wire"
)

// Pauses of a proposer that finds no leader.
const (
	proposePause   = 30 * time.Millisecond
	proposeTimeout = time.Second // for one VM's answer
)

// Proposer proposes commands of one group at whichever VM leads it. It
// implements [persimmoncross.Proposer]; a command may arrive twice.
type Proposer struct {
	Group string
	Node  *Node
	Local *group.Replica // nil: this VM has no member of the group
	Clock persimmoncross.Clock

	hint atomic.Pointer[string] // where the leader was last
}

// Propose implements [persimmoncross.Proposer].
func (p *Proposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var last error
	for try := 0; ; try++ {
		vm := p.target(try)
		result, leader, err := p.at(ctx, vm, command)
		if err == nil {
			p.hint.Store(&vm)
			return result, nil
		}
		last = err
		next := leader
		p.hint.Store(&next)
		if leader != "" && leader != vm && try%2 == 0 {
			continue // ask the VM that was named at once
		}
		select {
		case <-ctx.Done():
			return nil, failure("propose", Unreachable, vm, errors.Join(ctx.Err(), last))
		case <-p.Clock.After(proposePause):
		}
	}
}

// target returns the VM to ask: the known leader, else each in turn.
func (p *Proposer) target(try int) string {
	if p.Local != nil {
		if leader := p.Local.View().LeaderVM; leader != "" {
			return leader
		}
	}
	if h := p.hint.Load(); h != nil && *h != "" {
		return *h
	}
	names := append(p.Node.known(), p.Node.VM)
	return names[try%len(names)]
}

// at proposes at one VM; leader is whom that VM takes for the leader.
func (p *Proposer) at(ctx context.Context, vm string, command []byte) (result []byte, leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if vm == p.Node.VM {
		if p.Local == nil {
			return nil, "", failure("propose", Refused, vm, errors.New("no member here"))
		}
		result, err = p.Local.Propose(ctx, command)
		var g *group.Error
		if errors.As(err, &g) {
			leader = g.Leader
		}
		return result, leader, err
	}
	s, err := p.Node.Call(ctx, vm, &wire.Call{
		Body: &wire.Call_Propose{
			Propose: &wire.Propose{
				Group:   p.Group,
				Command: command,
				Timeout: int64(proposeTimeout),
			},
		},
	})
	if err != nil {
		return nil, "", err
	}
	defer s.Close()
	answer := &wire.Proposed{}
	if err := s.Receive(answer); err != nil {
		return nil, "", failure("propose", Broken, vm, err)
	}
	if answer.GetError() != "" {
		return nil, answer.GetLeader(), failure("propose", Refused, vm, errors.New(answer.GetError()))
	}
	return answer.GetResult(), vm, nil
}

// AnswerProposal proposes a command that another VM sent at this VM's member of the
// group.
func AnswerProposal(ctx context.Context, g *group.Replica, p *wire.Propose) *wire.Proposed {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.GetTimeout()))
	defer cancel()
	result, err := g.Propose(ctx, p.GetCommand())
	return Proposed(result, err)
}

// Proposed is what another VM is told of a proposal or a change of voters.
func Proposed(result []byte, err error) *wire.Proposed {
	p := &wire.Proposed{
		Result: result,
	}
	if err == nil {
		return p
	}
	p.Error = err.Error()
	var g *group.Error
	if errors.As(err, &g) {
		p.Leader = g.Leader
		p.Refused = g.Kind == group.ChangeRejected
	}
	return p
}
