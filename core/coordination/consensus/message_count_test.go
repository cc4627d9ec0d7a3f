package consensus

import "testing"

// TestMessagesPerAppend counts the messages of a group of three for a batch of
// commands that are proposed together. The counts don't depend on the machine.
func TestMessagesPerAppend(t *testing.T) {
	for _, c := range []struct {
		batch            int
		broadcastCommits bool
		want             int
	}{
		{
			batch: 1,
			want:  4, // two appends, two replies
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
			want:             8, // and the commit index to both, with replies
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
			t.Errorf("batch of %d, announce %t: %d messages, want %d", c.batch, c.broadcastCommits, messages, c.want)
		}
	}
}
