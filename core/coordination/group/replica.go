// Package group runs one member of one replicated log. It owns a [consensus.Core], passes it
// events from a bounded queue, writes its entries to disk, sends its messages and applies the
// committed entries.
//
// All of this happens on the goroutine of [Replica.Run]. Other goroutines queue events, and
// read the [View] that Run publishes after each round.
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

// Limits of the event queue, of one round, and of the log kept between snapshots.
const (
	maxQueuedEvents         = 4096
	maxEventsPerRound       = 1024
	maxEntriesSinceSnapshot = 8192 // applied entries after which a snapshot is written
	retainedEntries         = 2048 // entries before the snapshot that are kept for slow followers
	// maxBytesSinceSnapshot is the number of bytes of applied commands after which a snapshot
	// is written. It bounds the log in memory and on disk, so no entries are retained before
	// such a snapshot.
	maxBytesSinceSnapshot = 8 << 20
)

// diskRetryInterval is the delay after a failed write before the next try.
const diskRetryInterval = 100 * time.Millisecond

// View is an immutable copy of the replica's state for other goroutines.
type View struct {
	Role               consensus.Role
	Term               uint64
	LeaderVM           string // VM of the leader, "" if unknown
	CommitIndex        uint64
	AppliedIndex       uint64
	LastIndex          uint64
	Config             persimmoncross.Config
	LeaseExpiry        time.Time
	LeaseRequiredIndex uint64 // index that must be applied for the lease to be valid
	DiskError          string // error of a failed write, "" if none; nothing is acknowledged until a retry succeeds
}

// HasLease reports whether new work may be accepted at time now. It requires that a lease
// confirmed by a leader with a quorum has not expired, and that the entries which the leader had
// committed at the confirmation are applied.
func (v *View) HasLease(now time.Time) bool {
	return v.AppliedIndex >= v.LeaseRequiredIndex && now.Before(v.LeaseExpiry)
}

// Replica runs one member of a group. The exported fields must be set before [Replica.Open].
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
	bytesSinceSnapshot int // bytes of the commands applied since the last snapshot
	diskError          string
}

// event is an element of the event queue. Exactly one of message, proposal and execute is set.
type event struct {
	message  *persimmoncross.Message
	proposal *proposal
	execute  func(now time.Time)
	// ctx is of the caller that awaits the result, nil if none does. An event whose caller has given up
	// is dropped, because the caller may have decided otherwise by then.
	ctx context.Context
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

// now returns the clock's time plus the time for which the VM was suspended, so that leases
// and election timeouts expire during a suspension. Otherwise a resumed leader would count as
// current for the rest of its lease, although another leader may have accepted changes.
func (r *Replica) now() time.Time {
	now := r.Clock.Now()
	if c, ok := r.Clock.(persimmoncross.SuspendClock); ok {
		now = now.Add(c.Suspended())
	}
	return now
}

// HasLease reports whether new work may be accepted now, as described at [View.HasLease].
func (r *Replica) HasLease() bool { return r.View().HasLease(r.now()) }

// Open loads the member's state from disk and restores the state machine. It is called before
// Run, so that a failing disk prevents the start.
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

// View returns the replica's state after the latest round.
func (r *Replica) View() *View { return r.view.Load() }

// Done returns a channel that is closed when Run has returned.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Run handles the member's events until ctx is done.
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

// handleQueuedEvents handles the events that are already queued, at most maxEventsPerRound,
// so that one disk sync covers all of them.
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
	if e.ctx != nil && e.ctx.Err() != nil {
		r.counter("abandoned").Inc(1)
		return
	}
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

// processActions carries out the core's actions until none are left, and writes a snapshot if
// one is due.
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
		r.failPendingProposals(OutcomeUnknown)
	}
	r.snapshotIfDue()
}

func (r *Replica) sendAll(messages []persimmoncross.Message) {
	for _, m := range messages {
		r.Sender.Send(m)
	}
}

// persist writes the hard state and the entries, and retries until the write succeeds. During
// the retries the member sends no replies, so the others elect a leader that can write.
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
			r.Logger.Error().Err(err).Str("group", r.Core.Group).Msg("disk write failed; nothing is acknowledged until a retry succeeds")
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
		r.Logger.Error().Err(err).Str("group", r.Core.Group).Msg("restoring the received snapshot failed")
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
		pending, ok := r.pendingProposals[e.Index]
		if !ok {
			continue
		}
		delete(r.pendingProposals, e.Index)
		if pending.term != e.Term {
			pending.reply <- response{
				err: newError("propose", OutcomeUnknown, r.Core.LeaderVM(), nil),
			}
			continue
		}
		pending.reply <- response{
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
		r.Logger.Error().Err(err).Str("group", r.Core.Group).Msg("writing a snapshot failed")
		return
	}
	r.snapshotIndex = s.Index
	r.bytesSinceSnapshot = 0
	r.Core.Compact(s, compactIndex)
	r.counter("snapshots.written").Inc(1)
}

// failPendingProposals answers all pending proposals with an error of the given kind. It is
// called when this member no longer leads or has stopped, and the outcome is not awaited.
func (r *Replica) failPendingProposals(kind ErrorKind) {
	for index, pending := range r.pendingProposals {
		delete(r.pendingProposals, index)
		pending.reply <- response{
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
