package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"persimmoncross"
)

const (
	selfID   = persimmoncross.MemberID(1)
	secondID = persimmoncross.MemberID(2)
	thirdID  = persimmoncross.MemberID(3)
)

// newThreeVoterCore returns the Core of one of three voters. After its snapshot the Core holds one
// entry of term 2, which is not known to be committed.
func newThreeVoterCore(now time.Time) *Core {
	c := &Core{
		Group:             "g",
		ID:                selfID,
		VM:                "vm1",
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   500 * time.Millisecond,
		Random:            rand.New(rand.NewPCG(1, 2)),
	}
	c.Start(now, persimmoncross.HardState{
		Term: 2,
	}, persimmoncross.Snapshot{
		Index: 1,
		Term:  1,
		Config: persimmoncross.Config{
			Voters: []persimmoncross.Member{
				{
					ID: selfID,
					VM: "vm1",
				},
				{
					ID: secondID,
					VM: "vm2",
				},
				{
					ID: thirdID,
					VM: "vm3",
				},
			},
		},
	}, []persimmoncross.Entry{
		{
			Index: 2,
			Term:  2,
			Kind:  persimmoncross.EntryCommand,
		},
	})
	return c
}

// electLeader makes c the leader of term 3.
func electLeader(t *testing.T, c *Core, now time.Time) {
	t.Helper()
	c.Tick(now)
	for _, kind := range []persimmoncross.MessageKind{persimmoncross.MessagePreVoteReply, persimmoncross.MessageVoteReply} {
		c.TakeActions()
		c.Step(now, persimmoncross.Message{
			Group: "g",
			Kind:  kind,
			From:  secondID,
			To:    selfID,
			Term:  3,
		})
	}
	if c.Role() != Leader || c.Term() != 3 {
		t.Fatalf("%v in term %d, want the leader of term 3", c.Role(), c.Term())
	}
}

// A leader commits only entries of its own term by counting their replicas (Raft, 5.4.2). An
// older entry on a majority may still be overwritten by a later leader that lacks it.
func TestEntriesOfOlderTermAreNotCommittedByCount(t *testing.T) {
	now := time.Unix(100, 0)
	c := newThreeVoterCore(now)
	now = now.Add(2 * time.Second)
	electLeader(t, c, now)
	c.TakeActions()
	c.MarkSynced(3)
	reply := persimmoncross.Message{
		Group: "g",
		Kind:  persimmoncross.MessageAppendReply,
		From:  secondID,
		To:    selfID,
		Term:  3,
		Index: 2,
	}
	c.Step(now, reply)
	if c.CommitIndex() != 1 {
		t.Fatalf("commit index %d, want 1: an entry of term 2 was committed in term 3 by its replicas alone", c.CommitIndex())
	}
	reply.Index = 3
	c.Step(now, reply)
	if c.CommitIndex() != 3 {
		t.Errorf("commit index %d, want 3: the leader's own entry commits the older one too", c.CommitIndex())
	}
}

// A member votes only for a candidate whose log is at least as up to date as its own. The check
// must not rely on an earlier pre-vote.
func TestVoteRequiresUpToDateLog(t *testing.T) {
	tests := []struct {
		name    string
		index   uint64
		logTerm uint64
		granted bool
	}{
		{
			name:    "a shorter log",
			index:   1,
			logTerm: 1,
		},
		{
			name:    "a longer log of an older term",
			index:   9,
			logTerm: 1,
		},
		{
			name:    "the same log",
			index:   2,
			logTerm: 2,
			granted: true,
		},
		{
			name:    "a shorter log of a later term",
			index:   1,
			logTerm: 3,
			granted: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			c := newThreeVoterCore(now)
			c.Step(now, persimmoncross.Message{
				Group:   "g",
				Kind:    persimmoncross.MessageVote,
				From:    secondID,
				To:      selfID,
				FromVM:  "vm2",
				Term:    5,
				Index:   tt.index,
				LogTerm: tt.logTerm,
			})
			a := c.TakeActions()
			if len(a.MessagesAfterSync) != 1 || a.MessagesAfterSync[0].Kind != persimmoncross.MessageVoteReply {
				t.Fatalf("messages %+v, want one vote reply", a.MessagesAfterSync)
			}
			if granted := !a.MessagesAfterSync[0].Reject; granted != tt.granted {
				t.Errorf("granted %v, want %v", granted, tt.granted)
			}
			if tt.granted && (a.HardState == nil || a.HardState.Vote != secondID) {
				t.Error("the vote is not written to disk before the reply")
			}
		})
	}
}

// After a start a member waits only a short time for a leader, but long enough to receive a
// heartbeat of an existing leader.
func TestFirstElectionTimeoutIsShort(t *testing.T) {
	for seed := range uint64(50) {
		now := time.Unix(100, 0)
		c := newThreeVoterCore(now)
		c.Random = rand.New(rand.NewPCG(seed, 1))
		c.Start(now, persimmoncross.HardState{
			Term: 2,
		}, c.snapshot, nil)
		c.Tick(now.Add(c.HeartbeatInterval - time.Millisecond))
		if c.Role() != Follower {
			t.Fatal("a member started an election before a heartbeat could arrive")
		}
		c.Tick(now.Add(c.HeartbeatInterval + c.ElectionTimeout/2 + time.Millisecond))
		if c.Role() != PreCandidate {
			t.Fatalf("a member started no pre-vote within %v", c.HeartbeatInterval+c.ElectionTimeout/2)
		}
	}
}
