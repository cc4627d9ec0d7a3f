package group

import (
	"context"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/consensus"
)

// Receive queues a message of a peer. If the event queue is full the message is dropped,
// because consensus messages are sent again.
func (r *Replica) Receive(m persimmoncross.Message) {
	if !r.enqueue(event{
		message: &m,
	}) {
		r.counter("refused.message").Inc(1)
	}
}

// Propose appends a command if this member leads, and returns the result of applying it to
// the state machine.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	p := &proposal{
		data:  data,
		reply: make(chan response, 1),
	}
	if !r.enqueue(event{
		proposal: p,
		ctx:      ctx,
	}) {
		r.counter("refused.propose").Inc(1)
		return nil, newError("propose", QueueFull, "", nil)
	}
	return r.awaitResponse(ctx, p.reply)
}

// AddVoter makes a learner that has caught up a voter.
func (r *Replica) AddVoter(ctx context.Context, m persimmoncross.Member) error {
	return r.changeVoters(ctx, func(now time.Time) (uint64, uint64, error) {
		return r.Core.AddVoter(now, m)
	})
}

// RemoveVoter removes a member from the voters, unless the group would lose its quorum.
func (r *Replica) RemoveVoter(ctx context.Context, id persimmoncross.MemberID) error {
	return r.changeVoters(ctx, func(now time.Time) (uint64, uint64, error) {
		return r.Core.RemoveVoter(now, id)
	})
}

// TransferLeadership starts a leadership transfer to another voter. It returns false if this
// member does not lead or no voter can take over, and if the event queue is full, ctx is done
// or the replica stops.
func (r *Replica) TransferLeadership(ctx context.Context) bool {
	reply := make(chan bool, 1)
	execute := func(now time.Time) { reply <- r.Core.TransferLeadership(now) }
	if !r.enqueue(event{
		execute: execute,
		ctx:     ctx,
	}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
	case <-r.done:
	}
	return false
}

func (r *Replica) changeVoters(ctx context.Context, propose func(time.Time) (uint64, uint64, error)) error {
	reply := make(chan response, 1)
	execute := func(now time.Time) {
		index, term, err := propose(now)
		if err != nil {
			reply <- response{
				err: r.voterChangeError(err),
			}
			return
		}
		r.pendingProposals[index] = pendingProposal{
			term:  term,
			reply: reply,
		}
	}
	if !r.enqueue(event{
		execute: execute,
		ctx:     ctx,
	}) {
		return newError("change voters", QueueFull, "", nil)
	}
	_, err := r.awaitResponse(ctx, reply)
	return err
}

func (r *Replica) voterChangeError(err error) error {
	if consensus.IsNotLeader(err) {
		return newError("change voters", NotLeader, r.Core.LeaderVM(), nil)
	}
	return newError("change voters", ChangeRejected, r.Core.LeaderVM(), err)
}

func (r *Replica) awaitResponse(ctx context.Context, reply chan response) ([]byte, error) {
	select {
	case resp := <-reply:
		return resp.result, resp.err
	case <-ctx.Done():
		return nil, newError("propose", OutcomeUnknown, "", ctx.Err())
	case <-r.done:
		return nil, newError("propose", Stopped, "", nil)
	}
}

func (r *Replica) enqueue(e event) bool {
	select {
	case r.events <- e:
		return true
	default:
		return false
	}
}

// MemberStatuses returns the status of the other members. It returns nil if this member does not
// lead, and if the event queue is full, ctx is done or the replica stops.
func (r *Replica) MemberStatuses(ctx context.Context) []consensus.MemberStatus {
	reply := make(chan []consensus.MemberStatus, 1)
	execute := func(now time.Time) { reply <- r.Core.MemberStatuses(now) }
	if !r.enqueue(event{
		execute: execute,
		ctx:     ctx,
	}) {
		return nil
	}
	select {
	case statuses := <-reply:
		return statuses
	case <-ctx.Done():
	case <-r.done:
	}
	return nil
}
