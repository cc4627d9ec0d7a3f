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

// commit proposes a command at the leader, and checks that it is committed.
func (c *cluster) commit(t *testing.T) string {
	t.Helper()
	l := c.leader()
	command := c.propose(l)
	if command == "" {
		t.Fatal("the leader rejected a proposal")
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

// A leader that is partitioned from the quorum must commit nothing and must step down. When the
// partition ends, it replicates the entries that the others committed and drops its own.
func TestPartitionedLeaderCommitsNothing(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	old := c.leader()
	c.setPartitioned(old, true)
	uncommitted := c.propose(old)
	c.processActions(old, 0)
	c.run(5 * time.Second)
	if old.hasApplied(uncommitted) {
		t.Error("a leader without a quorum committed a command")
	}
	if old.core.Role() == Leader {
		t.Error("a leader without a quorum still leads after 5 s")
	}
	committed := c.commit(t)
	c.run(time.Hour)
	c.setPartitioned(old, false)
	c.run(3 * time.Second)
	if !old.hasApplied(committed) || old.hasApplied(uncommitted) {
		t.Errorf("after the partition the old leader has applied %v, want the other members' commands and not its own", old.applied)
	}
}

// A member that was partitioned must not depose the leader when the partition ends.
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

// leaseExpiry returns the expiry and the required index of a member's lease, or zero values if
// the member is down.
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
	t.Run("partitioned followers", func(t *testing.T) {
		c.setPartitioned(follower, true)
		c.setPartitioned(learner, true)
		c.run(testLeaseDuration + testHeartbeatInterval)
		if hasLease(c, follower) || hasLease(c, learner) {
			t.Error("a partitioned member still has a lease after the lease duration")
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
	// A process that was stopped receives old heartbeats from its buffers when it resumes. They
	// must not renew its lease.
	t.Run("frozen", func(t *testing.T) {
		withheld := c.runWithholding(2*time.Second, learner, func(w persimmoncross.Message) bool { return w.ToVM == learner.vm })
		if len(withheld) == 0 {
			t.Fatal("no messages to withhold")
		}
		c.now = c.now.Add(10 * time.Second)
		for _, w := range withheld {
			learner.core.Step(c.now, w)
			c.processActions(learner, 0)
			if hasLease(c, learner) {
				t.Fatal("a withheld message renewed the lease")
			}
		}
	})
}

// A lease that is confirmed after a commit is valid only once that commit is applied.
func TestLeaseRequiresEarlierCommits(t *testing.T) {
	c := newElectedCluster(t, 3, 1)
	learner := c.members[3]
	// The learner receives heartbeats, but no entries.
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
		t.Error("the learner has a valid lease without the command committed more than the lease duration ago")
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
	if len(s.Data) < 2*maxSnapshotChunkBytes {
		t.Fatalf("the snapshot has only %d bytes", len(s.Data))
	}
	l.core.Compact(s, s.Index)
	c.start(follower)
	c.run(5 * time.Second)
	if len(follower.applied) != len(l.applied) {
		t.Errorf("the follower applied %d commands of %d", len(follower.applied), len(l.applied))
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
		t.Fatal("a member that never contacted the leader became a voter")
	}
	c.restartWithEmptyDisk(replaced)
	c.run(2 * time.Second)
	if !replaced.hasApplied(committed) {
		t.Fatal("the new member did not catch up")
	}
	if replaced.core.Role() != Follower || l.core.Config().HasVoter(replaced.id) {
		t.Fatal("the new member is a voter before it was added")
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
	// A second VM is lost right after the replacement.
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
		t.Error("a removal that would lose the quorum was accepted")
	}
}

// The leases of the other members stay valid over a change of leader. Without this, entries
// refused work right after each leadership transfer of a rolling restart.
func TestLeaseSurvivesLeaderChange(t *testing.T) {
	c := newElectedCluster(t, 3, 1)
	c.run(time.Second)
	old := c.leader()
	c.crash(old)
	for range 40 {
		c.run(testHeartbeatInterval / 2)
		for _, m := range c.members {
			if expiry, _ := leaseExpiry(m); m != old && !c.now.Before(expiry) {
				t.Fatalf("%s has no lease at %v, after the leader crashed", m.vm, c.now)
			}
		}
	}
}

func TestLeadershipTransfer(t *testing.T) {
	c := newElectedCluster(t, 3, 0)
	old := c.leader()
	if !old.core.TransferLeadership(c.now) {
		t.Fatal("no voter can take over leadership")
	}
	c.processActions(old, 0)
	c.run(testHeartbeatInterval)
	if l := c.leader(); l == nil || l == old {
		t.Error("leadership was not transferred within a heartbeat interval")
	}
}

// A learner that received the entry which makes it a voter, and whose leader failed before the
// entry was committed, must still be sent the log. Without a join request it would only send
// pre-votes, which no other member grants.
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
		t.Fatal("the learner did not receive the entry that makes it a voter")
	}
	c.inflight = nil
	c.crash(old)
	c.setPartitioned(learner, true)
	c.run(5 * time.Second)
	c.setPartitioned(learner, false)
	command := c.commit(t)
	c.run(2 * time.Second)
	if !learner.hasApplied(command) {
		t.Error("the learner was not sent the log")
	}
}

// The snapshots of two leaders at the same index may differ in their bytes. Chunks of one must
// not complete the other.
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
		t.Fatalf("installed a snapshot from chunks of two leaders: %q", a.Snapshot.Data)
	}
	learner.core.Step(c.now, chunk(2, 3, 0, "BBBB"))
	learner.core.Step(c.now, chunk(2, 3, 4, "BBBB"))
	if a := learner.core.TakeActions(); a.Snapshot == nil || string(a.Snapshot.Data) != "BBBBBBBB" {
		t.Errorf("installed %+v, want the snapshot of the second leader", a.Snapshot)
	}
}

// A leader sends a follower that does not answer only a limited part of the entries that it
// lacks. The follower receives the rest as it answers, also if all earlier messages were lost.
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
		t.Fatal("the other members did not commit the entries")
	}
	if maxBytes := maxInflightBytes + maxBatchBytes; sentBytes > maxBytes {
		t.Errorf("%d MB are in flight to a follower that does not answer, want at most %d", sentBytes>>20, maxBytes>>20)
	}
	c.run(2 * time.Second)
	if follower.core.CommitIndex() != l.core.CommitIndex() {
		t.Errorf("the follower's commit index is %d, want %d", follower.core.CommitIndex(), l.core.CommitIndex())
	}
}

// sizeBetween stays correct when entries are appended, truncated and compacted.
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
