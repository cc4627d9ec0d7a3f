package consensus

import (
	"time"

	"persimmoncross"
)

// The settings lease. A follower puts its own time, the probe, into each reply. The leader
// echoes the probe once a quorum has answered messages that were sent after the reply arrived.
// This confirms that it still led when the reply arrived, so that its commit index covers all
// entries accepted before. The follower's lease starts at the time in the probe, by the
// follower's own clock. A message that was buffered while the process was stopped, or a
// difference between clocks, can therefore not extend the lease. The confirmation also carries
// the commit index, and the lease is not valid until the follower has applied that index.
//
// A lease stays valid over a change of leader. The next leader accepts its entries after the
// confirmation, so the lease ends at most LeaseDuration after any entry that its holder lacks.

// leaseState is the lease of this member.
type leaseState struct {
	lastProbe     time.Time // time of the latest probe sent in a reply
	start         time.Time // time of the latest probe that was confirmed
	requiredIndex uint64    // index that must be applied for the lease to be valid
}

// newProbe returns the probe to send in a reply.
func (l *leaseState) newProbe(c *Core) time.Duration {
	l.lastProbe = c.now
	return c.toWireTime(c.now)
}

// renew starts the lease at the confirmed probe in m, if the probe is newer than the present
// start. Probes from before the start of this process, and probes newer than the last one sent,
// were not sent by this process and are ignored.
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

// LeaseExpiry returns the time until which the VM may accept new work, and the index that must
// be applied before it may. The zero time means that there is no lease.
func (c *Core) LeaseExpiry() (expiry time.Time, requiredIndex uint64) {
	if c.lease.start.IsZero() {
		return time.Time{}, 0
	}
	return c.lease.start.Add(c.LeaseDuration), c.lease.requiredIndex
}

// leaseProbe is the leader's record of a follower's probes. One probe can be pending while the
// confirmed one before it is still being echoed.
type leaseProbe struct {
	pending     time.Duration // 0 if none
	receivedAt  time.Time     // when the pending probe arrived
	confirmed   time.Duration // 0 if none
	commitIndex uint64        // leader's commit index when it confirmed the probe in confirmed
}

func (p *leaseProbe) record(value time.Duration, now time.Time) {
	if value == 0 || p.pending != 0 {
		return
	}
	p.pending = value
	p.receivedAt = now
}

// confirmProbes starts the leader's own lease at the time returned by quorumAckedSendTime, and
// confirms the pending probes that arrived no later than that time. It does nothing until an
// entry of the leader's own term is committed.
func (c *Core) confirmProbes() {
	if term, _ := c.log.term(c.commitIndex); term != c.hardState.Term {
		return
	}
	ackedSendTime := c.quorumAckedSendTime()
	if ackedSendTime.After(c.lease.start) {
		c.lease.start = ackedSendTime
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
