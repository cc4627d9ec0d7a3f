package consensus

import "testing"

// TestMessagesPerAppend counts the messages in a group of three voters for a batch of commands
// that are proposed together. The counts do not depend on the speed of the machine.
func TestMessagesPerAppend(t *testing.T) {
	for _, c := range []struct {
		batch            int
		broadcastCommits bool
		want             int
	}{
		{
			batch: 1,
			want:  4, // two appends and their replies
		},
		{
			batch: 64,
			want:  4,
		},
		{
			batch: 512,
			want:  4,
		},
		{
			batch:            1,
			broadcastCommits: true,
			want:             8, // as above, plus two messages with the commit index and their replies
		},
	} {
		g := newElectedCluster(t, 3, 0)
		for _, m := range g.members {
			m.core.BroadcastCommits = c.broadcastCommits
		}
		for len(g.inflight) > 0 {
			g.deliver(0)
		}
		l := g.leader()
		for range c.batch {
			g.propose(l)
		}
		g.processActions(l, 0)
		messages := 0
		for len(g.inflight) > 0 {
			messages++
			g.deliver(0)
		}
		if messages != c.want {
			t.Errorf("batch of %d, broadcast commits %t: %d messages, want %d", c.batch, c.broadcastCommits, messages, c.want)
		}
	}
}
