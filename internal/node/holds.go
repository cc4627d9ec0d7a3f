package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// How requests that end upstreams are known everywhere: entries tell their
// controller the cases of their books as they change, controllers tell the leader,
// which judges; the holds go through the log, so that they outlive it, and from
// each controller to its entries.

// Of holds and cases.
const (
	judgeEvery    = 100 * time.Millisecond
	judgeIdle     = time.Second // where nothing new was told
	casesAtOnce   = 128         // in an account: 10 KB with an end or two each
	holdsAtOnce   = 64          // in an update or a command: 4 KB
	casesOfSender = 1024        // that a controller keeps of each
	casesInAll    = 4096        // that are judged: 1 MB
)

// caseBoard keeps what the followers of a controller saw. What an entry told that
// is gone counts on.
type caseBoard struct {
	clock persimmoncross.Clock

	mu      sync.Mutex // guards all below
	senders map[string]map[persimmoncross.Digest]boardCase
	news    uint64
}

// boardCase is a case with the count of news that it came with.
type boardCase struct {
	quarantine.Case
	news uint64
}

// take keeps cases of a sender; each replaces the one before of its digest.
func (b *caseBoard) take(sender string, cases []*wire.Case) {
	if len(cases) == 0 {
		return
	}
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.senders == nil {
		b.senders = map[string]map[persimmoncross.Digest]boardCase{}
	}
	of := b.senders[sender]
	if of == nil {
		of = map[persimmoncross.Digest]boardCase{}
		b.senders[sender] = of
	}
	b.news++
	for _, c := range wire.Cases(cases, now) {
		if _, known := of[c.Digest]; known || len(of) < casesOfSender {
			of[c.Digest] = boardCase{
				Case: c,
				news: b.news,
			}
		}
	}
}

// changed reports whether anything came since the count of news.
func (b *caseBoard) changed(since uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news != since
}

// forget drops what counts no more. The caller holds mu.
func (b *caseBoard) forget(now time.Time) {
	for sender, of := range b.senders {
		for d, c := range of {
			if c.Stale(now) {
				delete(of, d)
			}
		}
		if len(of) == 0 {
			delete(b.senders, sender)
		}
	}
}

// cases returns what all senders saw, of the digests that came with news since the
// count, and the count now.
func (b *caseBoard) cases(since uint64, now time.Time) ([]quarantine.Case, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	fresh := map[persimmoncross.Digest]bool{}
	for _, of := range b.senders {
		for d, c := range of {
			if c.news > since {
				fresh[d] = true
			}
		}
	}
	var lists [][]quarantine.Case
	for _, of := range b.senders {
		var list []quarantine.Case
		for d, c := range of {
			if fresh[d] {
				list = append(list, c.Case)
			}
		}
		lists = append(lists, list)
	}
	return quarantine.Merge(lists, casesInAll), b.news
}

// holdWatch remembers since when this process has known of each hold. One goroutine
// owns it.
type holdWatch map[persimmoncross.Digest]quarantine.Held

// follow takes the holds in force.
func (w holdWatch) follow(s *register.State, now time.Time) {
	for d := range w {
		if _, ok := s.Holds[d]; !ok {
			delete(w, d)
		}
	}
	for d, h := range s.Holds {
		since := now
		if old, ok := w[d]; ok && old.Hold == h {
			since = old.Since
		}
		w[d] = quarantine.Held{
			Hold:  h,
			Since: since,
		}
	}
}

// unsettled reports whether a request is watched: time alone may prove it.
func (w holdWatch) unsettled() bool {
	for _, h := range w {
		if h.Stage == persimmoncross.HoldWatch {
			return true
		}
	}
	return false
}

// holdsDuty judges, while this controller leads, which requests end upstreams.
func (c *Controller) holdsDuty(ctx context.Context) {
	watch := holdWatch{}
	told, judged := uint64(0), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(judgeEvery):
		}
		now := c.Clock.Now()
		watch.follow(c.register.Current(), now)
		if !c.leadsNow() || !c.cases.changed(told) && !watch.unsettled() && now.Sub(judged) < judgeIdle {
			continue
		}
		var cases []quarantine.Case
		cases, told = c.cases.cases(0, now)
		judged = now
		if changes := quarantine.Judge(cases, watch, now); len(changes) > 0 {
			c.hold(ctx, changes[:min(len(changes), holdsAtOnce)], now)
		}
	}
}

// hold brings changes into force.
func (c *Controller) hold(ctx context.Context, changes []quarantine.Change, now time.Time) {
	command := register.Command{}
	for _, x := range changes {
		command.Holds = append(command.Holds, x.Hold)
	}
	_, err := c.order(ctx, command)
	for _, x := range changes {
		c.count("hold." + x.Stage.String())
	}
	quarantine.Log(c.Log, changes, now, err)
}

// relayedCases returns what changed of this controller's part, for the leader.
func (c *Controller) relayedCases(since uint64) ([]*wire.Case, uint64) {
	now := c.Clock.Now()
	cases, news := c.cases.cases(since, now)
	return wire.FromCases(cases, now), news
}

// toldCases returns what changed in this entry's book.
func (e *Entry) toldCases(since uint64) ([]*wire.Case, uint64) {
	now := e.Clock.Now()
	cases, news := e.book.Cases(since, now)
	return wire.FromCases(cases, now), news
}

// sentHolds is what of the holds one follower has got.
type sentHolds struct {
	told map[persimmoncross.Digest]persimmoncross.Hold
	held uint64 // index of the state that told is of, once it is whole
}

// next puts into the update what the follower lacks, and reports whether that is
// all.
func (x *sentHolds) next(u *wire.Update, s *register.State) bool {
	if s == nil || s.Held == x.held {
		return true
	}
	if x.told == nil {
		x.told = map[persimmoncross.Digest]persimmoncross.Hold{}
	}
	room := holdsAtOnce
	var changed []persimmoncross.Hold
	tell := func(h persimmoncross.Hold) {
		room--
		changed = append(changed, h)
	}
	for d := range x.told {
		if _, ok := s.Holds[d]; !ok && room > 0 {
			delete(x.told, d)
			tell(persimmoncross.Hold{
				Digest: d,
			})
		}
	}
	for d, h := range s.Holds {
		if x.told[d] != h && room > 0 {
			x.told[d] = h
			tell(h)
		}
	}
	u.Holds = wire.FromHolds(changed)
	if room == 0 {
		return false // there may be more
	}
	x.held = s.Held
	u.Held = s.Held
	return true
}

// takeHolds takes changes of the holds, and returns all of them once they are whole.
func (a *found) takeHolds(u *wire.Update) map[persimmoncross.Digest]persimmoncross.Hold {
	if a.holds == nil {
		a.holds = map[persimmoncross.Digest]persimmoncross.Hold{}
	}
	for _, h := range wire.Holds(u.GetHolds()) {
		if h.Stage == persimmoncross.HoldFree {
			delete(a.holds, h.Digest)
		} else {
			a.holds[h.Digest] = h
		}
	}
	if u.GetHeld() == 0 {
		return nil
	}
	return maps.Clone(a.holds)
}

// takeHolds brings the holds of a state into force, unless they are older than
// those here: they come from a controller that lags.
func (e *Entry) takeHolds(held uint64, holds map[persimmoncross.Digest]persimmoncross.Hold) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held <= e.holdsOf {
		return
	}
	e.holdsOf = held
	e.holds = holds
	metrics.GetOrRegisterGauge("holds", e.Metrics).Update(int64(len(holds)))
	e.publish()
}

// judgeAlone is how long no controller's state was recent before an entry judges by
// what it saw itself: longer than an election, and shorter than the time in which all
// have to know. For as long at most it refuses on what it found, once a controller
// judges again.
const judgeAlone = 2 * time.Second

// holdsDuty judges while no controller does for all: cut off from them, an entry goes
// on serving, and what ends upstreams goes on coming.
func (e *Entry) holdsDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(judgeEvery):
		}
		e.judge(e.Clock.Now())
	}
}

func (e *Entry) judge(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := e.started
	if e.leased.After(since) {
		since = e.leased
	}
	switch {
	case now.Sub(since) < judgeAlone && e.keeper == nil:
		return
	case now.Sub(since) < judgeAlone:
		if e.rejoined.IsZero() {
			e.rejoined = now
		}
		if now.Sub(e.rejoined) >= judgeAlone || e.refusedByAll() {
			e.keeper = nil
			e.publish()
		}
		return
	case e.keeper == nil:
		e.keeper = &quarantine.Keeper{}
	}
	e.rejoined = time.Time{}
	cases, _ := e.book.Cases(0, now)
	if changes := e.keeper.Judge(quarantine.Merge([][]quarantine.Case{cases}, casesInAll), now); len(changes) > 0 {
		quarantine.Log(e.Log, changes, now, nil)
		e.publish()
	}
}

// refusedByAll reports whether what this entry refuses by itself is refused by all. It
// goes on refusing it until then: what it found is told to the leader, who judges anew.
// The caller holds mu.
func (e *Entry) refusedByAll() bool {
	for _, h := range e.keeper.Holds() {
		if h.Stage == persimmoncross.HoldRefuse && e.holds[h.Digest].Stage != persimmoncross.HoldRefuse {
			return false
		}
	}
	return true
}

// heldNow returns the holds in force here. The caller holds mu.
func (e *Entry) heldNow() map[persimmoncross.Digest]persimmoncross.Hold {
	if e.keeper == nil {
		return e.holds
	}
	all := maps.Clone(e.holds)
	if all == nil {
		all = map[persimmoncross.Digest]persimmoncross.Hold{}
	}
	for _, h := range e.keeper.Holds() {
		if h.Stage > all[h.Digest].Stage {
			all[h.Digest] = h
		}
	}
	return all
}
