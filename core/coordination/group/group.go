// Package group runs one member of one replicated log: it owns a
// [consensus.Core], feeds it from a bounded ring, syncs, sends and applies.
//
// All of it happens on the goroutine of [Group.Run]. Other goroutines post
// events, and read the [View] that the owner replaces after each round.
package group

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/consensus"
)

// Sizes of the ring, of one round and of the log kept behind a snapshot.
const (
	ringSize      = 4096
	roundSize     = 1024
	snapshotEvery = 8192    // applied entries
	keepBehind    = 2048    // entries
	snapshotBytes = 8 << 20 // of applied commands: bounds the log in memory and on disk
)

// retryDisk is the pause after a failed write.
const retryDisk = 100 * time.Millisecond

// View is what others may know of the group; it never changes.
type View struct {
	Role       consensus.Role
	Term       uint64
	Leader     string // VM, "" if unknown
	Commit     uint64
	Applied    uint64
	Last       uint64
	Set        persimmoncross.Config
	LeaseUntil time.Time
	LeaseIndex uint64
	DiskError  string // why nothing is acknowledged, "" if all is well
}

// Leased reports whether new work may be taken: a leader that holds a quorum
// was heard within the lease, and what it had committed is applied.
func (v *View) Leased(now time.Time) bool {
	return v.Applied >= v.LeaseIndex && now.Before(v.LeaseUntil)
}

// Group runs a member. The exported fields are set before [Group.Run].
type Group struct {
	Core    *consensus.Core
	Storage persimmoncross.Storage
	Machine persimmoncross.StateMachine
	Sender  persimmoncross.Sender
	Clock   persimmoncross.Clock
	Metrics metrics.Registry
	Log     zerolog.Logger

	ring    chan event
	done    chan struct{}
	view    atomic.Pointer[View]
	waiting map[uint64]waiter
	applied uint64
	snapped uint64
	bytes   int // of the commands applied since the last snapshot
	disk    string
}

// event is what is posted to the ring: one of its fields is set.
type event struct {
	message *persimmoncross.Message
	propose *proposal
	act     func(now time.Time)
}

type proposal struct {
	data  []byte
	reply chan outcome
}

type outcome struct {
	result []byte
	err    error
}

type waiter struct {
	term  uint64
	reply chan outcome
}

// now returns the time with that for which the VM was suspended: a lease and an
// election run out meanwhile. A leader that wakes would else pass for recent for what
// its lease had left, though another one has accepted changes since.
func (g *Group) now() time.Time {
	now := g.Clock.Now()
	if c, ok := g.Clock.(persimmoncross.SuspendClock); ok {
		now = now.Add(c.Suspended())
	}
	return now
}

// Leased reports whether new work may be taken now: see [View.Leased].
func (g *Group) Leased() bool { return g.View().Leased(g.now()) }

// Open loads the member's disk and restores the state machine. It comes before
// Run, so that a broken disk stops the start.
func (g *Group) Open() error {
	hard, snapshot, entries, err := g.Storage.Load()
	if err != nil {
		return err
	}
	if err := g.Machine.Restore(snapshot.Data); err != nil {
		return err
	}
	g.ring = make(chan event, ringSize)
	g.done = make(chan struct{})
	g.waiting = map[uint64]waiter{}
	g.applied = snapshot.Index
	g.snapped = snapshot.Index
	g.Core.Start(g.now(), hard, snapshot, entries)
	g.publish()
	return nil
}

// View returns the group's state as of the latest round.
func (g *Group) View() *View { return g.view.Load() }

// Done is closed when the group has stopped.
func (g *Group) Done() <-chan struct{} { return g.done }

// Run owns the member until the context ends.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	defer g.failWaiting(Stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.ring:
			g.handle(e)
			g.drain()
		case <-g.Clock.After(g.Core.Heartbeat / 2):
		}
		g.Core.Tick(g.now())
		g.settle(ctx)
	}
}

// drain handles what else waits, so that one sync serves many.
func (g *Group) drain() {
	for range roundSize {
		select {
		case e := <-g.ring:
			g.handle(e)
		default:
			return
		}
	}
}

func (g *Group) handle(e event) {
	now := g.now()
	switch {
	case e.message != nil:
		g.Core.Step(now, *e.message)
	case e.propose != nil:
		index, term, err := g.Core.Propose(now, e.propose.data)
		if err != nil {
			e.propose.reply <- outcome{
				err: failure("propose", NotLeader, g.Core.Leader(), nil),
			}
			return
		}
		g.waiting[index] = waiter{
			term:  term,
			reply: e.propose.reply,
		}
	case e.act != nil:
		e.act(now)
	}
}

// settle carries out actions until none are left.
func (g *Group) settle(ctx context.Context) {
	for {
		a := g.Core.Take()
		g.sendAll(a.Eager)
		if a.Install != nil && !g.install(ctx, a.Install) {
			return
		}
		if !g.sync(ctx, a) {
			return
		}
		g.sendAll(a.Messages)
		g.apply(a.Committed)
		g.publish()
		if len(a.Committed) == 0 && len(a.Entries) == 0 && a.Install == nil {
			break
		}
	}
	if g.Core.Role() != consensus.Leader {
		g.failWaiting(Lost)
	}
	g.compact()
}

func (g *Group) sendAll(messages []persimmoncross.Message) {
	for _, m := range messages {
		g.Sender.Send(m)
	}
}

// sync writes until it succeeds. While the disk refuses, the member answers
// nobody, so the others elect a leader that can write.
func (g *Group) sync(ctx context.Context, a consensus.Actions) bool {
	if a.Hard == nil && len(a.Entries) == 0 {
		return true
	}
	if !g.persist(ctx, func() error { return g.Storage.Append(a.Hard, a.Entries) }) {
		return false
	}
	if n := len(a.Entries); n > 0 {
		g.Core.Synced(a.Entries[n-1].Index)
		g.counter("synced").Inc(int64(n))
		g.counter("syncs").Inc(1)
	}
	return true
}

func (g *Group) persist(ctx context.Context, write func() error) bool {
	for {
		err := write()
		if err == nil {
			g.disk = ""
			return true
		}
		g.counter("disk.errors").Inc(1)
		if g.disk == "" {
			g.Log.Error().Err(err).Str("group", g.Core.Group).Msg("disk write failed: nothing is acknowledged until it succeeds")
		}
		g.disk = err.Error()
		g.publish()
		select {
		case <-ctx.Done():
			return false
		case <-g.Clock.After(retryDisk):
		}
	}
}

func (g *Group) install(ctx context.Context, s *persimmoncross.Snapshot) bool {
	if !g.persist(ctx, func() error { return g.Storage.Compact(*s, s.Index) }) {
		return false
	}
	if err := g.Machine.Restore(s.Data); err != nil {
		g.Log.Error().Err(err).Str("group", g.Core.Group).Msg("snapshot cannot be restored")
		return false
	}
	g.applied = s.Index
	g.snapped = s.Index
	g.counter("snapshots.installed").Inc(1)
	return true
}

func (g *Group) apply(entries []persimmoncross.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == persimmoncross.EntryCommand {
			result = g.Machine.Apply(e)
			g.bytes += len(e.Data)
		}
		g.applied = e.Index
		w, ok := g.waiting[e.Index]
		if !ok {
			continue
		}
		delete(g.waiting, e.Index)
		if w.term != e.Term {
			w.reply <- outcome{
				err: failure("propose", Lost, g.Core.Leader(), nil),
			}
			continue
		}
		w.reply <- outcome{
			result: result,
		}
	}
	g.Core.Applied(g.applied)
}

func (g *Group) compact() {
	large := g.bytes >= snapshotBytes
	if g.applied-g.snapped < snapshotEvery && !large {
		return
	}
	s := g.Core.Snapshot(g.applied)
	s.Data = g.Machine.Snapshot()
	keep := s.Index - min(keepBehind, s.Index)
	if large {
		keep = s.Index
	}
	if err := g.Storage.Compact(s, keep); err != nil {
		g.counter("disk.errors").Inc(1)
		g.Log.Error().Err(err).Str("group", g.Core.Group).Msg("snapshot not written")
		return
	}
	g.snapped = s.Index
	g.bytes = 0
	g.Core.Compact(s, keep)
	g.counter("snapshots.written").Inc(1)
}

// failWaiting answers the proposals whose outcome this member can't learn.
func (g *Group) failWaiting(kind Kind) {
	for index, w := range g.waiting {
		delete(g.waiting, index)
		w.reply <- outcome{
			err: failure("propose", kind, g.Core.Leader(), nil),
		}
	}
}

func (g *Group) publish() {
	until, index := g.Core.LeaseUntil()
	g.view.Store(&View{
		Role:       g.Core.Role(),
		Term:       g.Core.Term(),
		Leader:     g.Core.Leader(),
		Commit:     g.Core.Commit(),
		Applied:    g.applied,
		Last:       g.Core.Last(),
		Set:        g.Core.Set(),
		LeaseUntil: until,
		LeaseIndex: index,
		DiskError:  g.disk,
	})
}

func (g *Group) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("log."+g.Core.Group+"."+name, g.Metrics)
}
