package consensus

import (
	"time"

	"persimmoncross"
)

// The settings lease. A follower puts its own time into each reply. The leader
// sends that time back once a quorum has answered messages sent after the
// reply came: it led at that moment, and its commit index then covers all that
// was ever accepted before. The follower counts its lease from its own time of
// asking, so neither a message that waited in a buffer while the process was
// stopped nor a clock that differs can stretch it. The lease also names the
// commit index, and is worth nothing until that is applied.
//
// A lease outlives a change of leader: whatever the next leader accepts, it
// accepts later than the confirmation, and so at most the lease's time before
// the lease ends.

// leaseState is a follower's side.
type leaseState struct {
	lastProbe     time.Time // the latest probe written into a reply
	start         time.Time // the latest probe that came back confirmed
	requiredIndex uint64    // what must be applied for the lease to count
}

// newProbe returns the probe for a reply.
func (l *leaseState) newProbe(c *Core) time.Duration {
	l.lastProbe = c.now
	return c.toWireTime(c.now)
}

// renew takes a confirmed probe. One that this process never wrote since the
// leader was found is older than its time origin or newer than the last asked.
func (l *leaseState) renew(c *Core, m persimmoncross.Message) {
	if m.LeaseRequestedAt == 0 {
		return
	}
	start := c.fromWireTime(m.LeaseRequestedAt)
	if start.Before(c.startTime) || start.After(l.lastProbe) || !start.After(l.start) {
		return
	}
	l.start = start
	l.requiredIndex = m.LeaseCommitIndex
}

// LeaseExpiry returns the time until which the VM may take new work, and the
// index that must have been applied before. A zero time is no lease.
func (c *Core) LeaseExpiry() (expiry time.Time, requiredIndex uint64) {
	if c.lease.start.IsZero() {
		return time.Time{}, 0
	}
	return c.lease.start.Add(c.LeaseDuration), c.lease.requiredIndex
}

// leaseProbe is a leader's record of a follower's request for a lease. Two places
// let one be confirmed while the next already waits.
type leaseProbe struct {
	pending     time.Duration
	receivedAt  time.Time // when it came
	confirmed   time.Duration
	commitIndex uint64
}

func (p *leaseProbe) record(value time.Duration, now time.Time) {
	if value == 0 || p.pending != 0 {
		return
	}
	p.pending = value
	p.receivedAt = now
}

// confirmProbes renews the leader's own lease and confirms the probes that came before the latest message that a
// quorum has answered was sent.
func (c *Core) confirmProbes() {
	if term, _ := c.log.term(c.commitIndex); term != c.hardState.Term {
		return
	}
	ackedSendTime := c.quorumAckedSendTime()
	if ackedSendTime.After(c.lease.start) {
		c.lease.start = ackedSendTime // its own
		c.lease.requiredIndex = c.commitIndex
	}
	for _, p := range c.followers {
		if p.probe.pending == 0 || ackedSendTime.Before(p.probe.receivedAt) {
			continue
		}
		p.probe.confirmed = p.probe.pending
		p.probe.commitIndex = c.commitIndex
		p.probe.pending = 0
	}
}
