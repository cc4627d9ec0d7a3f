package consensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmoncross"
)

// TestMain fixes rapid's seed unless a seed is given, so that every run has the same result.
// scripts/explore runs with random seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven && os.Getenv("RAPID_EXPLORE") == "" {
		flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}

// Intervals and timeouts of the members in tests.
const (
	testHeartbeatInterval = 100 * time.Millisecond
	testElectionTimeout   = 500 * time.Millisecond
	testLeaseDuration     = 3 * time.Second
)

// fakeDisk holds the state that a member has synced.
type fakeDisk struct {
	hardState persimmoncross.HardState
	snapshot  persimmoncross.Snapshot
	entries   []persimmoncross.Entry
}

func (d *fakeDisk) append(hardState *persimmoncross.HardState, entries []persimmoncross.Entry) {
	if hardState != nil {
		d.hardState = *hardState
	}
	for _, e := range entries {
		d.entries = slices.DeleteFunc(d.entries, func(o persimmoncross.Entry) bool { return o.Index >= e.Index })
		d.entries = append(d.entries, e)
	}
}

func (d *fakeDisk) install(s persimmoncross.Snapshot) {
	d.snapshot = s
	d.entries = nil
}

func (d *fakeDisk) compact(s persimmoncross.Snapshot, compactIndex uint64) {
	d.snapshot = s
	d.entries = slices.DeleteFunc(d.entries, func(e persimmoncross.Entry) bool { return e.Index <= compactIndex })
}

// member is a member of the group under test, on a VM of its own.
type member struct {
	id      persimmoncross.MemberID
	vm      string
	core    *Core // nil while the member is down
	disk    fakeDisk
	applied []string // state of the fake state machine: the applied commands in order
}

// cluster is a group of members whose messages the test delivers.
type cluster struct {
	fatalf        func(format string, args ...any)
	random        *rand.Rand
	now           time.Time
	members       []*member
	inflight      []persimmoncross.Message
	blockedLinks  map[[2]string]bool // links that drop all messages, by sending and receiving VM
	leadersByTerm map[uint64]persimmoncross.MemberID
	committed     []string    // committed commands, recorded when the first member applies them
	commitTimes   []time.Time // when the commands in committed were recorded
	lastCommand   int
	// broadcastCommits is the BroadcastCommits of the members that are started.
	broadcastCommits bool
}

func newCluster(fatalf func(string, ...any), voters, learners int, seed uint64) *cluster {
	c := &cluster{
		fatalf:           fatalf,
		random:           rand.New(rand.NewPCG(seed, 1)),
		now:              time.Unix(1_000_000, 0),
		blockedLinks:     map[[2]string]bool{},
		leadersByTerm:    map[uint64]persimmoncross.MemberID{},
		broadcastCommits: seed%2 == 0,
	}
	config := persimmoncross.Config{}
	for i := range voters {
		config.Voters = append(config.Voters, persimmoncross.Member{
			ID: persimmoncross.MemberID(i + 1),
			VM: fmt.Sprintf("vm-%d", i+1),
		})
	}
	for i := range voters + learners {
		m := &member{
			id: persimmoncross.MemberID(i + 1),
			vm: fmt.Sprintf("vm-%d", i+1),
		}
		if i < voters {
			m.disk.snapshot = persimmoncross.Snapshot{
				Index:  1,
				Term:   1,
				Config: config,
			}
		}
		c.members = append(c.members, m)
		c.start(m)
	}
	return c
}

// start starts a member from the state on its disk.
func (c *cluster) start(m *member) {
	m.core = &Core{
		Group:             "test",
		ID:                m.id,
		VM:                m.vm,
		HeartbeatInterval: testHeartbeatInterval,
		ElectionTimeout:   testElectionTimeout,
		LeaseDuration:     testLeaseDuration,
		Random:            c.random,
		BroadcastCommits:  c.broadcastCommits,
	}
	m.applied = decodeApplied(m.disk.snapshot.Data)
	m.core.Start(c.now, m.disk.hardState, m.disk.snapshot, m.disk.entries)
}

// encodeApplied encodes a snapshot of the fake state machine. Each command is preceded by its
// length in one byte.
func encodeApplied(list []string) []byte {
	var data []byte
	for _, s := range list {
		data = append(data, byte(len(s)))
		data = append(data, s...)
	}
	return data
}

func decodeApplied(data []byte) []string {
	var list []string
	for len(data) > 0 {
		n := int(data[0])
		list = append(list, string(data[1:1+n]))
		data = data[1+n:]
	}
	return list
}

func (c *cluster) crash(m *member) { m.core = nil }

// restartWithEmptyDisk restarts a member with an empty disk and a new ID.
func (c *cluster) restartWithEmptyDisk(m *member) {
	m.id += 100
	m.disk = fakeDisk{}
	c.start(m)
}

// processActions carries out a member's actions as the owner of its Core would. The member
// crashes after MessagesBeforeSync if crashAfter is 1, and after the sync if crashAfter is 2.
func (c *cluster) processActions(m *member, crashAfter int) {
	for m.core != nil {
		a := m.core.TakeActions()
		c.enqueue(a.MessagesBeforeSync)
		if crashAfter == 1 {
			c.crash(m)
			return
		}
		if a.Snapshot != nil {
			m.disk.install(*a.Snapshot)
			m.applied = decodeApplied(a.Snapshot.Data)
		}
		m.disk.append(a.HardState, a.Entries)
		if n := len(a.Entries); n > 0 {
			m.core.MarkSynced(a.Entries[n-1].Index)
		}
		if crashAfter == 2 {
			c.crash(m)
			return
		}
		c.enqueue(a.MessagesAfterSync)
		c.apply(m, a.CommittedEntries)
		if len(a.CommittedEntries) == 0 && len(a.Entries) == 0 && a.Snapshot == nil {
			break
		}
	}
	c.checkInvariants(m)
}

func (c *cluster) enqueue(messages []persimmoncross.Message) {
	for _, msg := range messages {
		if msg.ToVM != "" {
			c.inflight = append(c.inflight, msg)
			continue
		}
		for _, m := range c.members {
			if m.vm != msg.FromVM {
				msg.ToVM = m.vm
				c.inflight = append(c.inflight, msg)
			}
		}
	}
}

// apply applies entries at a member, and checks that all members apply the same commands in the
// same order.
func (c *cluster) apply(m *member, entries []persimmoncross.Entry) {
	for _, e := range entries {
		if e.Kind == persimmoncross.EntryCommand {
			m.applied = append(m.applied, string(e.Data))
		}
		m.core.MarkApplied(e.Index)
	}
	for i, s := range m.applied {
		if i < len(c.committed) && c.committed[i] != s {
			c.fatalf("%s applied %q as command %d, another member applied %q", m.vm, s, i, c.committed[i])
		}
	}
	for i := len(c.committed); i < len(m.applied); i++ {
		c.committed = append(c.committed, m.applied[i])
		c.commitTimes = append(c.commitTimes, c.now)
	}
}

// checkInvariants checks that a term has at most one leader, and that no member holds a lease
// while it lacks a command that was committed longer than the lease duration ago.
func (c *cluster) checkInvariants(m *member) {
	c.checkLease(m)
	if m.core == nil || m.core.Role() != Leader {
		return
	}
	if other, ok := c.leadersByTerm[m.core.Term()]; ok && other != m.id {
		c.fatalf("term %d has two leaders, %d and %d", m.core.Term(), other, m.id)
	}
	c.leadersByTerm[m.core.Term()] = m.id
}

func (c *cluster) checkLease(m *member) {
	if m.core == nil {
		return
	}
	expiry, requiredIndex := m.core.LeaseExpiry()
	if !c.now.Before(expiry) || m.core.appliedIndex < requiredIndex {
		return
	}
	for i := len(m.applied); i < len(c.committed); i++ {
		if c.now.Sub(c.commitTimes[i]) >= testLeaseDuration {
			c.fatalf("%s holds a lease without %s, committed %v ago", m.vm, c.committed[i], c.now.Sub(c.commitTimes[i]))
		}
	}
}

// deliver delivers the i-th message in flight.
func (c *cluster) deliver(i int) {
	msg := c.inflight[i]
	c.inflight = slices.Delete(c.inflight, i, i+1)
	if c.blockedLinks[[2]string{msg.FromVM, msg.ToVM}] {
		return
	}
	for _, m := range c.members {
		if m.vm == msg.ToVM && m.core != nil {
			m.core.Step(c.now, msg)
			c.processActions(m, 0)
		}
	}
}

// run advances the time by d, and delivers all messages in order.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		for len(c.inflight) > 0 {
			c.deliver(0)
		}
		c.now = c.now.Add(testHeartbeatInterval / 2)
		for _, m := range c.members {
			if m.core != nil {
				m.core.Tick(c.now)
				c.processActions(m, 0)
			}
		}
	}
}

// runWithholding advances the time by d, and returns the messages that withhold selects instead
// of delivering them. The stopped member, if any, is not ticked.
func (c *cluster) runWithholding(d time.Duration, stopped *member, withhold func(persimmoncross.Message) bool) []persimmoncross.Message {
	var withheld []persimmoncross.Message
	for end := c.now.Add(d); c.now.Before(end); {
		for len(c.inflight) > 0 {
			if withhold(c.inflight[0]) {
				withheld = append(withheld, c.inflight[0])
				c.inflight = c.inflight[1:]
				continue
			}
			c.deliver(0)
		}
		c.now = c.now.Add(testHeartbeatInterval / 2)
		for _, m := range c.members {
			if m != stopped {
				m.core.Tick(c.now)
				c.processActions(m, 0)
			}
		}
	}
	return withheld
}

func (c *cluster) leader() *member {
	var best *member
	for _, m := range c.members {
		if m.core != nil && m.core.Role() == Leader && (best == nil || m.core.Term() > best.core.Term()) {
			best = m
		}
	}
	return best
}

// propose appends a new command at the member, if it leads.
func (c *cluster) propose(m *member) string {
	if m == nil || m.core == nil {
		return ""
	}
	c.lastCommand++
	data := fmt.Sprintf("c%d", c.lastCommand)
	if _, _, err := m.core.Propose(c.now, []byte(data)); err != nil {
		return ""
	}
	return data
}

// compact takes a snapshot at a member and compacts its log.
func (c *cluster) compact(m *member) {
	if m.core == nil || m.core.appliedIndex <= m.core.snapshot.Index {
		return
	}
	s := m.core.SnapshotMetadata(m.core.appliedIndex)
	s.Data = encodeApplied(m.applied)
	compactIndex := s.Index - min(2, s.Index)
	m.disk.compact(s, compactIndex)
	m.core.Compact(s, compactIndex)
}

// setPartitioned partitions a member from the others in both directions, or ends the partition.
func (c *cluster) setPartitioned(m *member, partitioned bool) {
	for _, o := range c.members {
		c.blockedLinks[[2]string{m.vm, o.vm}] = partitioned
		c.blockedLinks[[2]string{o.vm, m.vm}] = partitioned
	}
}

// hasApplied reports whether the member has applied the command.
func (m *member) hasApplied(command string) bool { return slices.Contains(m.applied, command) }

// TestSafetyUnderRandomFailures subjects a group to random message losses, delays and
// duplicates, crashes between the steps of processing actions, a lost disk and changes of
// voters. Committed commands must not be lost or reordered, and a term has at most one leader.
func TestSafetyUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		c := newCluster(t.Fatalf, voters, 1, rapid.Uint64().Draw(t, "seed"))
		lostDisks := 0
		randomMember := func() *member { return c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")] }
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for range steps {
			switch action := rapid.IntRange(0, 99).Draw(t, "action"); {
			case action < 45:
				if len(c.inflight) > 0 {
					c.deliver(rapid.IntRange(0, min(len(c.inflight)-1, 5)).Draw(t, "message"))
				}
			case action < 50:
				if len(c.inflight) > 0 { // a duplicate
					c.inflight = append(c.inflight, c.inflight[rapid.IntRange(0, len(c.inflight)-1).Draw(t, "message")])
				}
			case action < 54:
				if len(c.inflight) > 0 { // a loss
					i := rapid.IntRange(0, len(c.inflight)-1).Draw(t, "message")
					c.inflight = slices.Delete(c.inflight, i, i+1)
				}
			case action < 72:
				c.now = c.now.Add(time.Duration(rapid.IntRange(10, 700).Draw(t, "wait")) * time.Millisecond)
				if m := randomMember(); m.core != nil {
					m.core.Tick(c.now)
					c.processActions(m, 0)
				}
			case action < 82:
				m := c.leader()
				if c.propose(m) != "" {
					c.processActions(m, rapid.IntRange(0, 2).Draw(t, "crash"))
				}
			case action < 86:
				if m := randomMember(); m.core != nil {
					c.crash(m)
				}
			case action < 92:
				if m := randomMember(); m.core == nil {
					c.start(m)
				}
			case action < 94:
				c.compact(randomMember())
			case action < 95:
				if lostDisks == 0 { // at most one disk, because two could lose a quorum of three voters
					lostDisks++
					c.restartWithEmptyDisk(randomMember())
				}
			case action < 97:
				c.changeRandomVoter(t)
			case action < 98:
				if m := c.leader(); m != nil {
					m.core.TransferLeadership(c.now)
					c.processActions(m, 0)
				}
			default:
				c.run(time.Duration(rapid.IntRange(1, 3).Draw(t, "run")) * time.Second)
			}
		}
		c.checkRecovery(t, lostDisks)
	})
}

// changeRandomVoter tries to add a member that is not a voter, or to remove a voter whose ID no
// member has any more.
func (c *cluster) changeRandomVoter(t *rapid.T) {
	l := c.leader()
	if l == nil {
		return
	}
	for _, m := range c.members {
		if !l.core.Config().HasVoter(m.id) && rapid.Bool().Draw(t, "add") {
			l.core.AddVoter(c.now, persimmoncross.Member{
				ID: m.id,
				VM: m.vm,
			})
			c.processActions(l, 0)
			return
		}
	}
	for _, v := range l.core.Config().Voters {
		gone := !slices.ContainsFunc(c.members, func(m *member) bool { return m.id == v.ID })
		if gone {
			l.core.RemoveVoter(c.now, v.ID)
			c.processActions(l, 0)
			return
		}
	}
}

// checkRecovery restarts all members that are down, and checks that every member then applies a
// new command.
func (c *cluster) checkRecovery(t *rapid.T, lostDisks int) {
	for _, m := range c.members {
		if m.core == nil {
			c.start(m)
		}
	}
	c.run(20 * time.Second)
	l := c.leader()
	if l == nil {
		t.Fatalf("no leader with all members up (%d disks lost)", lostDisks)
	}
	last := c.propose(l)
	c.processActions(l, 0)
	c.run(5 * time.Second)
	for _, m := range c.members {
		if !m.hasApplied(last) {
			t.Fatalf("%s has not applied %s: it has applied %v, and the leader's progress for it is %+v", m.vm, last, m.applied, l.core.followers[m.id])
		}
	}
}
