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
