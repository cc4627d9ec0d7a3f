package group

import (
	"context"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/consensus"
)

// Receive posts a peer's message. A full ring drops it: consensus messages are
// sent again.
func (g *Group) Receive(m persimmoncross.Message) {
	if !g.post(event{
		message: &m,
	}) {
		g.counter("refused.message").Inc(1)
	}
}

// Propose appends a command if this member leads, and returns the result that
// the state machine gave.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	p := &proposal{
		data:  data,
		reply: make(chan outcome, 1),
	}
	if !g.post(event{
		propose: p,
	}) {
		g.counter("refused.propose").Inc(1)
		return nil, failure("propose", RingFull, "", nil)
	}
	return g.wait(ctx, p.reply)
}

// AddVoter makes a caught-up member a voter.
func (g *Group) AddVoter(ctx context.Context, m persimmoncross.Member) error {
	return g.change(ctx, func(now time.Time) (uint64, uint64, error) {
		return g.Core.AddVoter(now, m)
	})
}

// RemoveVoter takes a member's vote, unless that would lose the quorum.
func (g *Group) RemoveVoter(ctx context.Context, id persimmoncross.MemberID) error {
	return g.change(ctx, func(now time.Time) (uint64, uint64, error) {
		return g.Core.RemoveVoter(now, id)
	})
}

// Transfer hands leadership to another voter. It returns false if this member
// does not lead or nobody can take over.
func (g *Group) Transfer(ctx context.Context) bool {
	reply := make(chan bool, 1)
	act := func(now time.Time) { reply <- g.Core.Transfer(now) }
	if !g.post(event{
		act: act,
	}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
	case <-g.done:
	}
	return false
}

func (g *Group) change(ctx context.Context, propose func(time.Time) (uint64, uint64, error)) error {
	reply := make(chan outcome, 1)
	act := func(now time.Time) {
		index, term, err := propose(now)
		if err != nil {
			reply <- outcome{
				err: g.changeError(err),
			}
			return
		}
		g.waiting[index] = waiter{
			term:  term,
			reply: reply,
		}
	}
	if !g.post(event{
		act: act,
	}) {
		return failure("change voters", RingFull, "", nil)
	}
	_, err := g.wait(ctx, reply)
	return err
}

func (g *Group) changeError(err error) error {
	if consensus.IsNotLeader(err) {
		return failure("change voters", NotLeader, g.Core.Leader(), nil)
	}
	return failure("change voters", Refused, g.Core.Leader(), err)
}

func (g *Group) wait(ctx context.Context, reply chan outcome) ([]byte, error) {
	select {
	case o := <-reply:
		return o.result, o.err
	case <-ctx.Done():
		return nil, failure("propose", Lost, "", ctx.Err())
	case <-g.done:
		return nil, failure("propose", Stopped, "", nil)
	}
}

func (g *Group) post(e event) bool {
	select {
	case g.ring <- e:
		return true
	default:
		return false
	}
}

// Members returns what this member knows of the others, if it leads the group.
func (g *Group) Members(ctx context.Context) []consensus.Known {
	reply := make(chan []consensus.Known, 1)
	act := func(now time.Time) { reply <- g.Core.Members(now) }
	if !g.post(event{
		act: act,
	}) {
		return nil
	}
	select {
	case all := <-reply:
		return all
	case <-ctx.Done():
	case <-g.done:
	}
	return nil
}
