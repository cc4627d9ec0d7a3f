// Package group runs one member of one replicated log: it owns a
// [consensus.Core], feeds it from a bounded ring, syncs, sends and applies.
//
// All of it happens on the goroutine of [Replica.Run]. Other goroutines post
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
	maxQueuedEvents         = 4096
	maxEventsPerRound       = 1024
	maxEntriesSinceSnapshot = 8192    // applied entries
	retainedEntries         = 2048    // entries
	maxBytesSinceSnapshot   = 8 << 20 // of applied commands: bounds the log in memory and on disk
)

// diskRetryInterval is the pause after a failed write.
const diskRetryInterval = 100 * time.Millisecond

// View is what others may know of the group; it never changes.
type View struct {
	Role               consensus.Role
	Term               uint64
	LeaderVM           string // VM, "" if unknown
	CommitIndex        uint64
	AppliedIndex       uint64
	LastIndex          uint64
	Config             persimmoncross.Config
	LeaseExpiry        time.Time
	LeaseRequiredIndex uint64
	DiskError          string // why nothing is acknowledged, "" if all is well
}

// HasLease reports whether new work may be taken: a leader that holds a quorum
// was heard within the lease, and what it had committed is applied.
func (v *View) HasLease(now time.Time) bool {
	return v.AppliedIndex >= v.LeaseRequiredIndex && now.Before(v.LeaseExpiry)
}

// Replica runs a member. The exported fields are set before [Replica.Run].
type Replica struct {
	Core         *consensus.Core
	Storage      persimmoncross.Storage
	StateMachine persimmoncross.StateMachine
	Sender       persimmoncross.Sender
	Clock        persimmoncross.Clock
	Metrics      metrics.Registry
	Logger       zerolog.Logger

	events             chan event
	done               chan struct{}
	view               atomic.Pointer[View]
	pendingProposals   map[uint64]pendingProposal
	appliedIndex       uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int // of the commands applied since the last snapshot
	diskError          string
}

// event is what is posted to the ring: one of its fields is set.
type event struct {
	message  *persimmoncross.Message
	proposal *proposal
	execute  func(now time.Time)
}

type proposal struct {
	data  []byte
	reply chan response
}

type response struct {
	result []byte
	err    error
}

type pendingProposal struct {
	term  uint64
	reply chan response
}

// now returns the time with that for which the VM was suspended: a lease and an
// election run out meanwhile. A leader that wakes would else pass for recent for what
// its lease had left, though another one has accepted changes since.
func (r *Replica) now() time.Time {
	now := r.Clock.Now()
	if c, ok := r.Clock.(persimmoncross.SuspendClock); ok {
		now = now.Add(c.Suspended())
	}
	return now
}

// HasLease reports whether new work may be taken now: see [View.HasLease].
func (r *Replica) HasLease() bool { return r.View().HasLease(r.now()) }

// Open loads the member's disk and restores the state machine. It comes before
// Run, so that a broken disk stops the start.
func (r *Replica) Open() error {
	hardState, snapshot, entries, err := r.Storage.Load()
	if err != nil {
		return err
	}
	if err := r.StateMachine.Restore(snapshot.Data); err != nil {
		return err
	}
	r.events = make(chan event, maxQueuedEvents)
	r.done = make(chan struct{})
	r.pendingProposals = map[uint64]pendingProposal{}
	r.appliedIndex = snapshot.Index
	r.snapshotIndex = snapshot.Index
	r.Core.Start(r.now(), hardState, snapshot, entries)
	r.publishView()
	return nil
}

// View returns the group's state as of the latest round.
func (r *Replica) View() *View { return r.view.Load() }

// Done is closed when the group has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Run owns the member until the context ends.
func (r *Replica) Run(ctx context.Context) {
	defer close(r.done)
	defer r.failPendingProposals(Stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			r.handleEvent(e)
			r.handleQueuedEvents()
		case <-r.Clock.After(r.Core.HeartbeatInterval / 2):
		}
		r.Core.Tick(r.now())
		r.processActions(ctx)
	}
}

// handleQueuedEvents handles what else waits, so that one sync serves many.
func (r *Replica) handleQueuedEvents() {
	for range maxEventsPerRound {
		select {
		case e := <-r.events:
			r.handleEvent(e)
		default:
			return
		}
	}
}

func (r *Replica) handleEvent(e event) {
	now := r.now()
	switch {
	case e.message != nil:
		r.Core.Step(now, *e.message)
	case e.proposal != nil:
		index, term, err := r.Core.Propose(now, e.proposal.data)
		if err != nil {
			e.proposal.reply <- response{
				err: newError("propose", NotLeader, r.Core.LeaderVM(), nil),
			}
			return
		}
		r.pendingProposals[index] = pendingProposal{
			term:  term,
			reply: e.proposal.reply,
		}
	case e.execute != nil:
		e.execute(now)
	}
}

// processActions carries out actions until none are left.
func (r *Replica) processActions(ctx context.Context) {
	for {
		a := r.Core.TakeActions()
		r.sendAll(a.MessagesBeforeSync)
		if a.Snapshot != nil && !r.installSnapshot(ctx, a.Snapshot) {
			return
		}
		if !r.persist(ctx, a) {
			return
		}
		r.sendAll(a.MessagesAfterSync)
		r.apply(a.CommittedEntries)
		r.publishView()
		if len(a.CommittedEntries) == 0 && len(a.Entries) == 0 && a.Snapshot == nil {
			break
		}
	}
	if r.Core.Role() != consensus.Leader {
		r.failPendingProposals(LeadershipLost)
	}
	r.snapshotIfDue()
}

func (r *Replica) sendAll(messages []persimmoncross.Message) {
	for _, m := range messages {
		r.Sender.Send(m)
	}
}

// persist writes until it succeeds. While the disk refuses, the member answers
// nobody, so the others elect a leader that can write.
func (r *Replica) persist(ctx context.Context, a consensus.Actions) bool {
	if a.HardState == nil && len(a.Entries) == 0 {
		return true
	}
	if !r.writeWithRetry(ctx, func() error { return r.Storage.Append(a.HardState, a.Entries) }) {
		return false
	}
	if n := len(a.Entries); n > 0 {
		r.Core.MarkSynced(a.Entries[n-1].Index)
		r.counter("synced").Inc(int64(n))
		r.counter("syncs").Inc(1)
	}
	return true
}

func (r *Replica) writeWithRetry(ctx context.Context, write func() error) bool {
	for {
		err := write()
		if err == nil {
			r.diskError = ""
			return true
		}
		r.counter("disk.errors").Inc(1)
		if r.diskError == "" {
			r.Logger.Error().Err(err).Str("group", r.Core.Group).Msg("disk write failed: nothing is acknowledged until it succeeds")
		}
		r.diskError = err.Error()
		r.publishView()
		select {
		case <-ctx.Done():
			return false
		case <-r.Clock.After(diskRetryInterval):
		}
	}
}

func (r *Replica) installSnapshot(ctx context.Context, s *persimmoncross.Snapshot) bool {
	if !r.writeWithRetry(ctx, func() error { return r.Storage.Compact(*s, s.Index) }) {
		return false
	}
	if err := r.StateMachine.Restore(s.Data); err != nil {
		r.Logger.Error().Err(err).Str("group", r.Core.Group).Msg("snapshot cannot be restored")
		return false
	}
	r.appliedIndex = s.Index
	r.snapshotIndex = s.Index
	r.counter("snapshots.installed").Inc(1)
	return true
}

func (r *Replica) apply(entries []persimmoncross.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == persimmoncross.EntryCommand {
			result = r.StateMachine.Apply(e)
			r.bytesSinceSnapshot += len(e.Data)
		}
		r.appliedIndex = e.Index
		w, ok := r.pendingProposals[e.Index]
		if !ok {
			continue
		}
		delete(r.pendingProposals, e.Index)
		if w.term != e.Term {
			w.reply <- response{
				err: newError("propose", LeadershipLost, r.Core.LeaderVM(), nil),
			}
			continue
		}
		w.reply <- response{
			result: result,
		}
	}
	r.Core.MarkApplied(r.appliedIndex)
}

func (r *Replica) snapshotIfDue() {
	exceedsBytes := r.bytesSinceSnapshot >= maxBytesSinceSnapshot
	if r.appliedIndex-r.snapshotIndex < maxEntriesSinceSnapshot && !exceedsBytes {
		return
	}
	s := r.Core.SnapshotMetadata(r.appliedIndex)
	s.Data = r.StateMachine.Snapshot()
	compactIndex := s.Index - min(retainedEntries, s.Index)
	if exceedsBytes {
		compactIndex = s.Index
	}
	if err := r.Storage.Compact(s, compactIndex); err != nil {
		r.counter("disk.errors").Inc(1)
		r.Logger.Error().Err(err).Str("group", r.Core.Group).Msg("snapshot not written")
		return
	}
	r.snapshotIndex = s.Index
	r.bytesSinceSnapshot = 0
	r.Core.Compact(s, compactIndex)
	r.counter("snapshots.written").Inc(1)
}

// failPendingProposals answers the proposals whose outcome this member can't learn.
func (r *Replica) failPendingProposals(kind ErrorKind) {
	for index, w := range r.pendingProposals {
		delete(r.pendingProposals, index)
		w.reply <- response{
			err: newError("propose", kind, r.Core.LeaderVM(), nil),
		}
	}
}

func (r *Replica) publishView() {
	leaseExpiry, requiredIndex := r.Core.LeaseExpiry()
	r.view.Store(&View{
		Role:               r.Core.Role(),
		Term:               r.Core.Term(),
		LeaderVM:           r.Core.LeaderVM(),
		CommitIndex:        r.Core.CommitIndex(),
		AppliedIndex:       r.appliedIndex,
		LastIndex:          r.Core.LastIndex(),
		Config:             r.Core.Config(),
		LeaseExpiry:        leaseExpiry,
		LeaseRequiredIndex: requiredIndex,
		DiskError:          r.diskError,
	})
}

func (r *Replica) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("log."+r.Core.Group+"."+name, r.Metrics)
}
