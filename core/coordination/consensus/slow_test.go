package consensus

import (
	"testing"
	"time"

	"persimmoncross"
)

// slowNetwork delivers the messages of a cluster after a delay, as on busy VMs.
type slowNetwork struct {
	*cluster
	delay   func(persimmoncross.Message) time.Duration
	waiting []delayedMessage
}

type delayedMessage struct {
	persimmoncross.Message
	due time.Time
}

// run advances the time by d, or until the condition holds, and reports whether it did.
func (n *slowNetwork) run(d time.Duration, until func() bool) bool {
	for end := n.now.Add(d); n.now.Before(end); {
		for _, m := range n.inflight {
			n.waiting = append(n.waiting, delayedMessage{
				Message: m,
				due:     n.now.Add(n.delay(m)),
			})
		}
		n.inflight = nil
		var due []persimmoncross.Message
		var rest []delayedMessage
		for _, w := range n.waiting {
			if n.now.Before(w.due) {
				rest = append(rest, w)
			} else {
				due = append(due, w.Message)
			}
		}
		n.waiting = rest
		for _, m := range due {
			n.inflight = append([]persimmoncross.Message{m}, n.inflight...)
			n.deliver(0)
		}
		n.now = n.now.Add(testHeartbeatInterval / 10)
		for _, m := range n.members {
			m.core.Tick(n.now)
			n.processActions(m, 0)
		}
		if until() {
			return true
		}
	}
	return false
}

// Guards against a leader that steps down on busy VMs before any other member would stand for election:
// its followers' replies took longer than the election timeout.
func TestSlowRepliesKeepLeader(t *testing.T) {
	c := newCluster(t.Fatalf, 3, 0, 1)
	c.run(5 * time.Second)
	l := c.leader()
	term := l.core.Term()
	command := c.propose(l)
	c.processActions(l, 0)
	n := &slowNetwork{
		cluster: c,
		delay:   func(persimmoncross.Message) time.Duration { return 350 * time.Millisecond },
	}
	if n.run(20*time.Second, func() bool { return l.core.Role() != Leader || l.core.Term() != term }) {
		t.Errorf("%s of term %d stepped down after %v", l.vm, term, c.now.Sub(l.core.startTime)-5*time.Second)
	}
	if !l.hasApplied(command) {
		t.Error("the command was not applied")
	}
}

// Guards against a group that never elects a leader: votes that took longer than the election timeout were
// dropped, because the candidate had begun the next election.
func TestElectionWithSlowVotes(t *testing.T) {
	const maxElectionTime = 30 * time.Second // within which a VM must be ready
	for _, test := range []struct {
		all, votes time.Duration
	}{
		{
			all: 350 * time.Millisecond,
		},
		{
			all:   20 * time.Millisecond,
			votes: 500 * time.Millisecond, // synced by candidate and voter
		},
		{
			all:   20 * time.Millisecond,
			votes: 900 * time.Millisecond,
		},
	} {
		for seed := range uint64(20) {
			c := newCluster(t.Fatalf, 3, 0, seed)
			start := c.now
			n := &slowNetwork{
				cluster: c,
				delay: func(m persimmoncross.Message) time.Duration {
					if m.Kind == persimmoncross.MessageVote || m.Kind == persimmoncross.MessageVoteReply {
						return test.all + test.votes
					}
					return test.all
				},
			}
			if !n.run(maxElectionTime, func() bool { return c.leader() != nil }) {
				t.Errorf("messages take %v, votes %v longer, seed %d: no leader after %v", test.all, test.votes, seed, maxElectionTime)
			}
			t.Logf("elected after %v", c.now.Sub(start))
		}
	}
}
