package consensus

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross"
)

func newElectedCluster(t *testing.T, voters, learners int) *cluster {
	t.Helper()
	c := newCluster(t.Fatalf, voters, learners, 7)
	c.run(3 * time.Second)
	if c.leader() == nil {
		t.Fatal("no leader after 3 s")
	}
	return c
}

// commit proposes at the leader and lets it be committed.
func (c *cluster) commit(t *testing.T) string {
	t.Helper()
	l := c.leader()
	command := c.propose(l)
	if command == "" {
		t.Fatal("the leader refuses a proposal")
	}
	c.processActions(l, 0)
	c.run(testHeartbeatInterval)
	if !l.hasApplied(command) {
		t.Fatalf("%s is not committed", command)
	}
	return command
}

func TestCrashedLeaderIsReplaced(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	committed := c.commit(t)
	old := c.leader()
	c.crash(old)
	crashedAt := c.now
	for c.leader() == nil {
		c.run(testHeartbeatInterval)
		if c.now.Sub(crashedAt) > 2*time.Second {
			t.Fatal("no new leader within 2 s")
		}
	}
	c.commit(t)
	if !c.leader().hasApplied(committed) {
		t.Error("a committed command is lost")
	}
}

// A leader on the far side of a partition must accept nothing, and must step
// down; when it comes back it takes what the others committed.
func TestPartitionedLeaderCommitsNothing(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	old := c.leader()
	c.setPartitioned(old, true)
	uncommitted := c.propose(old)
	c.processActions(old, 0)
	c.run(5 * time.Second)
	if old.hasApplied(uncommitted) {
		t.Error("a leader without a quorum committed")
	}
	if old.core.Role() == Leader {
		t.Error("a leader without a quorum still leads after 5 s")
	}
	committed := c.commit(t)
	c.run(time.Hour)
	c.setPartitioned(old, false)
	c.run(3 * time.Second)
	if !old.hasApplied(committed) || old.hasApplied(uncommitted) {
		t.Errorf("after the partition the old leader has %v", old.applied)
	}
}

// A member that was cut off must not unseat the leader when it comes back.
func TestReturningMemberDoesNotForceElection(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	l := c.leader()
	term := l.core.Term()
	for _, m := range c.members {
		if m != l {
			c.setPartitioned(m, true)
			c.run(10 * time.Second)
			c.setPartitioned(m, false)
			c.run(2 * time.Second)
			break
		}
	}
	if c.leader() != l || l.core.Term() != term {
		t.Errorf("the leader changed: term %d, was %d", c.leader().core.Term(), term)
	}
}

// leaseExpiry returns the end of a member's lease, the zero time if it is down.
func leaseExpiry(m *member) (time.Time, uint64) {
	if m.core == nil {
		return time.Time{}, 0
	}
	return m.core.LeaseExpiry()
}

func TestLease(t *testing.T) {
	hasLease := func(c *cluster, m *member) bool {
		expiry, requiredIndex := m.core.LeaseExpiry()
		return c.now.Before(expiry) && m.core.appliedIndex >= requiredIndex
	}
	c := newElectedCluster(t, 3, 1)
	c.run(time.Second)
	for _, m := range c.members {
		if !hasLease(c, m) {
			t.Fatalf("%s has no lease in a healthy group", m.vm)
		}
	}
	follower, learner := c.members[0], c.members[3]
	if c.leader() == follower {
		follower = c.members[1]
	}
	t.Run("cut off", func(t *testing.T) {
		c.setPartitioned(follower, true)
		c.setPartitioned(learner, true)
		c.run(testLeaseDuration + testHeartbeatInterval)
		if hasLease(c, follower) || hasLease(c, learner) {
			t.Error("a lease outlives its time")
		}
		c.setPartitioned(follower, false)
		c.setPartitioned(learner, false)
		c.run(2 * time.Second)
		if !hasLease(c, follower) || !hasLease(c, learner) {
			t.Error("no lease after the partition")
		}
	})
	t.Run("leader without quorum", func(t *testing.T) {
		l := c.leader()
		c.setPartitioned(l, true)
		c.run(testLeaseDuration + testHeartbeatInterval)
		if hasLease(c, l) {
			t.Error("a leader without a quorum has a lease")
		}
		c.setPartitioned(l, false)
		c.run(3 * time.Second)
	})
	// A process that is stopped finds old heartbeats in its buffers when it
	// goes on; they must not give it a lease.
	t.Run("frozen", func(t *testing.T) {
		withheld := c.runWithholding(2*time.Second, learner, func(w persimmoncross.Message) bool { return w.ToVM == learner.vm })
		if len(withheld) == 0 {
			t.Fatal("no messages to hold back")
		}
		c.now = c.now.Add(10 * time.Second)
		for _, w := range withheld {
			learner.core.Step(c.now, w)
			c.processActions(learner, 0)
			if hasLease(c, learner) {
				t.Fatal("a held-back message gave a lease")
			}
		}
	})
}

// A lease that was confirmed after a commit requires that commit to be applied.
func TestLeaseRequiresEarlierCommits(t *testing.T) {
	c := newElectedCluster(t, 3, 1)
	learner := c.members[3]
	// Entries no longer reach the learner, heartbeats without them do.
	command := c.propose(c.leader())
	c.processActions(c.leader(), 0)
	c.runWithholding(testLeaseDuration+testHeartbeatInterval, nil, func(w persimmoncross.Message) bool {
		return w.ToVM == learner.vm && len(w.Entries) > 0
	})
	if !c.leader().hasApplied(command) || learner.hasApplied(command) {
		t.Fatal("the command is not committed, or reached the learner")
	}
	expiry, requiredIndex := learner.core.LeaseExpiry()
	if c.now.Before(expiry) && learner.core.appliedIndex >= requiredIndex {
		t.Error("the learner keeps a valid lease without what was committed for 4 s")
	}
}

func TestFollowerCatchesUpFromChunkedSnapshot(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	follower := c.members[0]
	if c.leader() == follower {
		follower = c.members[1]
	}
	c.crash(follower)
	l := c.leader()
	for i := range 2500 {
		command := fmt.Sprintf("%250d", i)
		if _, _, err := l.core.Propose(c.now, []byte(command)); err != nil {
			t.Fatal(err)
		}
	}
	c.processActions(l, 0)
	c.run(2 * time.Second)
	s := l.core.SnapshotMetadata(l.core.appliedIndex)
	s.Data = encodeApplied(l.applied)
	if len(s.Data) < 2*maxChunkBytes {
		t.Fatalf("the snapshot has only %d bytes", len(s.Data))
	}
	l.core.Compact(s, s.Index)
	c.start(follower)
	c.run(5 * time.Second)
	if len(follower.applied) != len(l.applied) {
		t.Errorf("caught up to %d commands of %d", len(follower.applied), len(l.applied))
	}
}

func TestVoterReplacementAfterDiskLoss(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	committed := c.commit(t)
	replaced := c.members[0]
	if c.leader() == replaced {
		replaced = c.members[1]
	}
	formerID := replaced.id
	c.crash(replaced)
	c.run(time.Second)
	l := c.leader()
	newVoter := persimmoncross.Member{
		ID: formerID + 100,
		VM: replaced.vm,
	}
	if _, _, err := l.core.AddVoter(c.now, newVoter); err == nil {
		t.Fatal("a member that was never heard of became a voter")
	}
	c.restartWithEmptyDisk(replaced)
	c.run(2 * time.Second)
	if !replaced.hasApplied(committed) {
		t.Fatal("the new member did not catch up")
	}
	if replaced.core.Role() != Follower || l.core.Config().HasVoter(replaced.id) {
		t.Fatal("the new member counts before it was added")
	}
	if _, _, err := l.core.AddVoter(c.now, newVoter); err != nil {
		t.Fatal(err)
	}
	c.processActions(l, 0)
	c.run(time.Second)
	if _, _, err := l.core.RemoveVoter(c.now, formerID); err != nil {
		t.Fatal(err)
	}
	c.processActions(l, 0)
	c.run(time.Second)
	// A second VM is lost right after the repair.
	for _, m := range c.members {
		if m != replaced && m != c.leader() {
			c.crash(m)
			break
		}
	}
	c.run(3 * time.Second)
	c.commit(t)
	if !c.leader().hasApplied(committed) {
		t.Error("a committed command is lost")
	}
	if _, _, err := c.leader().core.RemoveVoter(c.now, replaced.id); err == nil {
		t.Error("a removal that loses the quorum is allowed")
	}
}

// A change of leader must not leave anybody without a lease (found by the
// rolling restart: entries refused work right after each hand-over).
func TestLeaseSurvivesLeaderChange(t *testing.T) {
	c := newElectedCluster(t, 3, 1)
	c.run(time.Second)
	old := c.leader()
	c.crash(old)
	for range 40 {
		c.run(testHeartbeatInterval / 2)
		for _, m := range c.members {
			if expiry, _ := leaseExpiry(m); m != old && !c.now.Before(expiry) {
				t.Fatalf("%s has no lease %v after the leader's end", m.vm, c.now)
			}
		}
	}
}

func TestLeadershipTransfer(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	old := c.leader()
	if !old.core.TransferLeadership(c.now) {
		t.Fatal("nobody takes over")
	}
	c.processActions(old, 0)
	c.run(testHeartbeatInterval)
	if l := c.leader(); l == nil || l == old {
		t.Error("the leadership was not handed over within a heartbeat")
	}
}

// A member that got the entry which makes it a voter, but whose leader was lost
// before that was committed, must still be sent the log (found by the random
// test: it only asked for votes, which nobody gave).
func TestMemberOfUncommittedConfigCatchesUp(t *testing.T) {
	c := newElectedCluster(t, 3, 1)
	old, learner := c.leader(), c.members[3]
	if _, _, err := old.core.AddVoter(c.now, persimmoncross.Member{
		ID: learner.id,
		VM: learner.vm,
	}); err != nil {
		t.Fatal(err)
	}
	c.processActions(old, 0)
	for len(c.inflight) > 0 {
		if c.inflight[0].ToVM != learner.vm {
			c.inflight = c.inflight[1:]
			continue
		}
		c.deliver(0)
	}
	if !learner.core.Config().HasVoter(learner.id) {
		t.Fatal("the learner did not get the entry")
	}
	c.inflight = nil
	c.crash(old)
	c.setPartitioned(learner, true)
	c.run(5 * time.Second)
	c.setPartitioned(learner, false)
	command := c.commit(t)
	c.run(2 * time.Second)
	if !learner.hasApplied(command) {
		t.Error("the learner is not sent the log")
	}
}

// Two leaders' snapshots of one index may differ in their bytes: parts of one
// must not complete the other's.
func TestChunksOfDifferentLeadersAreNotMixed(t *testing.T) {
	c := newCluster(t.Fatalf, 3, 1, 7)
	learner := c.members[3]
	chunk := func(from persimmoncross.MemberID, term, offset uint64, data string) persimmoncross.Message {
		return persimmoncross.Message{
			Kind:           persimmoncross.MessageSnapshotChunk,
			From:           from,
			To:             learner.id,
			FromVM:         c.members[from-1].vm,
			Term:           term,
			Index:          50,
			LogTerm:        1,
			SnapshotOffset: offset,
			SnapshotSize:   8,
			Data:           []byte(data),
		}
	}
	learner.core.Step(c.now, chunk(1, 2, 0, "AAAA"))
	learner.core.Step(c.now, chunk(2, 3, 4, "BBBB"))
	if a := learner.core.TakeActions(); a.Snapshot != nil {
		t.Fatalf("installed %q", a.Snapshot.Data)
	}
	learner.core.Step(c.now, chunk(2, 3, 0, "BBBB"))
	learner.core.Step(c.now, chunk(2, 3, 4, "BBBB"))
	if a := learner.core.TakeActions(); a.Snapshot == nil || string(a.Snapshot.Data) != "BBBBBBBB" {
		t.Errorf("installed %+v", a.Snapshot)
	}
}

// What a follower lacks goes out as far as a few messages, not all of the log at
// once, and it gets the rest as it answers; also after all that was sent to it is
// lost.
func TestInflightBytesAreBounded(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	c.commit(t)
	l := c.leader()
	follower := c.members[0]
	if follower == l {
		follower = c.members[1]
	}
	large := make([]byte, 1<<20)
	sentBytes := 0
	withhold := func(m persimmoncross.Message) bool {
		if m.To != follower.core.ID {
			return false
		}
		for _, e := range m.Entries {
			sentBytes += len(e.Data)
		}
		return true
	}
	for range 24 {
		if _, _, err := l.core.Propose(c.now, large); err != nil {
			t.Fatal(err)
		}
		c.processActions(l, 0)
		c.runWithholding(testHeartbeatInterval, follower, withhold)
	}
	if c.leader() != l || l.core.CommitIndex() != l.core.LastIndex() {
		t.Fatal("the others did not commit")
	}
	if maxBytes := maxInflightBytes + maxBatchBytes; sentBytes > maxBytes {
		t.Errorf("%d MB are under way to who does not answer, want %d", sentBytes>>20, maxBytes>>20)
	}
	c.run(2 * time.Second)
	if follower.core.CommitIndex() != l.core.CommitIndex() {
		t.Errorf("the follower has %d entries of %d", follower.core.CommitIndex(), l.core.CommitIndex())
	}
}

// The sizes of a log's entries stay right as it grows, is cut and compacted.
func TestMemoryLogSizeBetween(t *testing.T) {
	l := &memoryLog{}
	l.reset(10, 1)
	for i := range 20 {
		l.append(persimmoncross.Entry{
			Index: uint64(11 + i),
			Data:  make([]byte, i+1),
		})
	}
	check := func(low, high, want uint64) {
		t.Helper()
		if got := l.sizeBetween(low, high); got != want {
			t.Errorf("the entries in (%d, %d] have %d bytes, want %d", low, high, got, want)
		}
	}
	check(10, 30, 210)
	check(0, 12, 3)
	check(20, 20, 0)
	check(25, 20, 0)
	check(29, 99, 20)
	l.compact(15)
	check(0, 30, 195)
	check(15, 16, 6)
	l.truncate(20)
	l.append(persimmoncross.Entry{
		Index: 20,
		Data:  make([]byte, 1000),
	})
	check(18, 20, 9+1000)
	l.reset(50, 2)
	check(0, 60, 0)
}
