// Package register is the replicated state of a fleet that is run by numbered
// documents: the highest document, the state of each service's upgrade, the data
// centres that are evacuated, and the requests that are held. It
// implements [persimmoncross.StateMachine] without I/O or clock.
package register

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/packed"
)

// Stage is how far an upgrade has come.
type Stage string

// The stages of an upgrade.
const (
	Prepare   Stage = "prepare"   // all on the old version; the sessions that stay there are collected
	Trial     Stage = "trial"     // a bounded share of new sessions
	Shift     Stage = "shift"     // all requests, with the old version still there
	Completed Stage = "completed" // the old version may be stopped
	Withdrawn Stage = "withdrawn" // all requests back on the old version
)

// Ended reports whether the stage is final.
func (s Stage) Ended() bool { return s == Completed || s == Withdrawn }

// Upgrade moves a service to a version of its software.
type Upgrade struct {
	Service  string        `json:"service"`
	Target   string        `json:"target"`
	Duration time.Duration `json:"duration"`
	Order    uint64        `json:"order"` // index of the entry that began it
	Began    int64         `json:"began"` // Unix milliseconds at the proposer
	Stage    Stage         `json:"stage"`
	// Kept are the hashes of sessions that stay on the old version while the trial
	// runs: they ran there just before it.
	Kept []uint64 `json:"kept,omitempty"`
	// Share and SessionShare are the fractions of the requests without a session, and of the sessions,
	// that a trial sends to the target. SessionShare does not change during the trial. If they are 0, as
	// in earlier logs, the fraction follows from Duration.
	Share        float64 `json:"share,omitempty"`
	SessionShare float64 `json:"sessionshare,omitempty"`
	// Rejected are versions of earlier upgrades that were withdrawn, or given up for a later one before they
	// had shown themselves. Their upstreams may still run, and get no requests.
	Rejected []string `json:"rejected,omitempty"`
}

// maxRejected bounds the versions that are rejected at once: their upstreams stop seconds after the
// withdrawal.
const maxRejected = 16

// rejectedFor returns the versions that are rejected while the next upgrade, to the target, goes on.
func (u Upgrade) rejectedFor(target string) []string {
	rejected := slices.Clone(u.Rejected)
	if u.Stage != Completed && u.Stage != Shift {
		rejected = append(rejected, u.Target)
	}
	rejected = slices.DeleteFunc(rejected, func(version string) bool { return version == target })
	return rejected[max(len(rejected)-maxRejected, 0):]
}

// Command is one change. Exactly one of its fields is set.
type Command struct {
	Declare *Declare `json:"declare,omitempty"`
	Begin   *Upgrade `json:"begin,omitempty"`
	Advance *Advance `json:"advance,omitempty"`
	Read    bool     `json:"read,omitempty"`
	// Holds are changes of what is done with requests that end upstreams.
	Holds    []persimmoncross.Quarantine `json:"holds,omitempty"`
	Evacuate *Evacuate                   `json:"evacuate,omitempty"`
	// Have is, with Read, the number of the document that the reader holds: the
	// result leaves that one out.
	Have uint64 `json:"have,omitempty"`
	// After is, with an operator's order (Begin, Evacuate), [State.LastOrder] as its proposer knew it. The order
	// changes nothing if a later one was accepted since: it may have been given up by then, and arrive late.
	// Nil is an order of an earlier release, which is carried out whenever it arrives.
	After *uint64 `json:"after,omitempty"`
}

// Declare offers a document; it takes effect if its number is the highest. A
// change of one route must not cost the bytes of thousands, on every voter's link
// and disk: the document is packed, against the one with the number Base if that
// is not 0.
type Declare struct {
	Number   uint64 `json:"number"`
	Document []byte `json:"document,omitempty"` // not packed, as earlier logs have it
	Packed   []byte `json:"packed,omitempty"`
	Base     uint64 `json:"base,omitempty"`
}

// OtherBase is the result of a [Declare] whose base is not in force any more, or
// whose document can't be opened. It has changed nothing: it is offered again whole.
const OtherBase = "base"

// Advance moves the upgrade that an order began to a later stage. Of an upgrade
// in its trial, an advance to the trial adds sessions to those that are kept, and changes Share unless
// it is 0.
type Advance struct {
	Service      string   `json:"service"`
	Order        uint64   `json:"order"`
	Stage        Stage    `json:"stage"`
	Kept         []uint64 `json:"kept,omitempty"` // of [Upgrade], for the trial
	Share        float64  `json:"share,omitempty"`
	SessionShare float64  `json:"sessionshare,omitempty"`
}

// State is what the register holds after one entry. It never changes.
type State struct {
	Index    uint64 // of the entry that made it
	Number   uint64
	Document []byte
	Upgrades map[string]Upgrade
	Holds    map[persimmoncross.Digest]persimmoncross.Quarantine
	Held     uint64 // index of the entry that changed Holds last
	// Evacuations are in force, by data centre.
	Evacuations map[string]Evacuation
	// LastOrder is the index of the last entry with an operator's order that was accepted, also if
	// the order changed nothing.
	LastOrder uint64

	packing *packing // of Document; nil: it is packed when it is needed
}

// packing is a document's packed form, made once for all states that hold it.
type packing struct {
	once sync.Once
	data []byte
}

// Packed returns the document, packed by itself.
func (s *State) Packed() []byte {
	if len(s.Document) == 0 {
		return nil
	}
	if s.packing == nil {
		return packed.Whole(s.Document)
	}
	s.packing.once.Do(func() { s.packing.data = packed.Whole(s.Document) })
	return s.packing.data
}

// Register holds the state. Changed, if set, is called on the log's goroutine
// after each change.
type Register struct {
	Changed func(s *State)

	state atomic.Pointer[State]
}

// New returns an empty register.
func New() *Register {
	r := &Register{}
	r.state.Store(&State{
		Upgrades: map[string]Upgrade{},
	})
	return r
}

// Current returns the latest state.
func (r *Register) Current() *State { return r.state.Load() }

// Apply implements [persimmoncross.StateMachine]. The result of a read is the
// state, that of a document [OtherBase] if it has to come again, and that of an order
// [LaterOrder] if another one came in between.
func (r *Register) Apply(e persimmoncross.Entry) []byte {
	c := Command{}
	if json.Unmarshal(e.Data, &c) != nil {
		return nil
	}
	old := r.state.Load()
	if c.Read {
		if c.Have != 0 && c.Have == old.Number {
			return EncodeHead(old)
		}
		return EncodeState(old)
	}
	if c.After != nil && *c.After < old.LastOrder {
		return encodeLaterOrder(old.LastOrder)
	}
	next := *old
	next.Index = e.Index
	changed := c.After != nil
	if changed {
		next.LastOrder = e.Index
	}
	switch {
	case c.Declare != nil:
		document, ok := c.Declare.open(old)
		if !ok {
			return []byte(OtherBase)
		}
		changed = next.declare(c.Declare.Number, document)
	case c.Begin != nil:
		changed = next.begin(c.Begin, e.Index) || changed
	case c.Advance != nil:
		changed = next.advance(c.Advance)
	case len(c.Holds) > 0:
		changed = next.setHolds(c.Holds)
	case c.Evacuate != nil:
		changed = next.evacuate(c.Evacuate) || changed
	}
	if changed {
		r.put(&next)
	}
	return nil
}

// open returns the document, nil if a later one is in force.
func (d *Declare) open(s *State) (document []byte, ok bool) {
	switch {
	case d.Number <= s.Number:
		return nil, true
	case len(d.Packed) == 0:
		return d.Document, true
	case d.Base == 0:
		document, err := packed.Open(d.Packed, nil)
		return document, err == nil
	case d.Base != s.Number:
		return nil, false
	}
	document, err := packed.Open(d.Packed, s.Document)
	return document, err == nil
}

// smallPart is the part of a document up to which what differs is worth no
// comparison with the whole, packed: that has about a fifteenth of its bytes, and
// packing it takes as much memory again.
const smallPart = 15

// Offer returns the command that declares the document, packed against the
// state's where that makes it smaller.
func Offer(s *State, number uint64, document []byte) Command {
	d := &Declare{
		Number: number,
	}
	if number <= s.Number { // nothing of it is used
		return Command{
			Declare: d,
		}
	}
	if s.Number > 0 && len(s.Document) > 0 {
		d.Packed = packed.Since(s.Document, document)
		d.Base = s.Number
	}
	if d.Base == 0 || len(d.Packed) > len(document)/smallPart {
		if whole := packed.Whole(document); d.Base == 0 || len(whole) < len(d.Packed) {
			d.Packed = whole
			d.Base = 0
		}
	}
	return Command{
		Declare: d,
	}
}

func (s *State) declare(number uint64, document []byte) bool {
	if number <= s.Number {
		return false
	}
	s.Number = number
	s.Document = document
	s.packing = &packing{}
	return true
}

// begin starts an upgrade. The same order again changes nothing, so that it
// may be sent again after a lost answer, also when the upgrade has ended.
func (s *State) begin(u *Upgrade, index uint64) bool {
	now, ok := s.Upgrades[u.Service]
	if ok && now.Target == u.Target {
		return false
	}
	began := *u
	began.Rejected = nil
	if ok {
		began.Rejected = now.rejectedFor(u.Target)
	}
	began.Order = index
	began.Stage = Prepare
	s.replace(began)
	return true
}

// stageRank orders the stages: an upgrade never goes back to an earlier one,
// and of the two final stages the first stays.
var stageRank = map[Stage]int{
	Prepare:   0,
	Trial:     1,
	Shift:     2,
	Completed: 3,
	Withdrawn: 3,
}

func (s *State) advance(a *Advance) bool {
	now, ok := s.Upgrades[a.Service]
	if ok && now.Order == a.Order && now.Stage == Trial && a.Stage == Trial {
		return s.changeTrial(now, a)
	}
	if !ok || now.Order != a.Order || stageRank[a.Stage] <= stageRank[now.Stage] {
		return false
	}
	now.Stage = a.Stage
	now.Kept = a.Kept
	now.Share = a.Share
	now.SessionShare = a.SessionShare
	s.replace(now)
	return true
}

// changeTrial adds sessions to those that stay on the old version during the trial of the upgrade, and
// changes the share of the requests without a session.
func (s *State) changeTrial(u Upgrade, a *Advance) bool {
	kept := append(slices.Clone(u.Kept), a.Kept...)
	slices.Sort(kept)
	kept = slices.Compact(kept)
	share := u.Share
	if a.Share != 0 {
		share = a.Share
	}
	if len(kept) == len(u.Kept) && share == u.Share {
		return false
	}
	u.Kept = kept
	u.Share = share
	s.replace(u)
	return true
}

// replace copies the map: readers hold the old one.
func (s *State) replace(u Upgrade) {
	upgrades := make(map[string]Upgrade, len(s.Upgrades)+1)
	for name, old := range s.Upgrades {
		upgrades[name] = old
	}
	upgrades[u.Service] = u
	s.Upgrades = upgrades
}

// Snapshot implements [persimmoncross.StateMachine].
func (r *Register) Snapshot() []byte { return EncodeState(r.state.Load()) }

// Restore implements [persimmoncross.StateMachine].
func (r *Register) Restore(data []byte) error {
	s := &State{}
	if len(data) > 0 {
		var err error
		if s, err = Decode(data); err != nil {
			return err
		}
	}
	if s.Upgrades == nil {
		s.Upgrades = map[string]Upgrade{}
	}
	r.put(s)
	return nil
}

func (r *Register) put(s *State) {
	r.state.Store(s)
	if r.Changed != nil {
		r.Changed(s)
	}
}

// stored is a state as it is kept and sent.
type stored struct {
	Index    uint64                      `json:"index"`
	Number   uint64                      `json:"number"`
	Document []byte                      `json:"document,omitempty"` // not packed, as earlier snapshots have it
	Packed   []byte                      `json:"packed,omitempty"`
	Upgrades map[string]Upgrade          `json:"upgrades"`
	Holds    []persimmoncross.Quarantine `json:"holds,omitempty"`
	Held     uint64                      `json:"held,omitempty"`

	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
	LastOrder   uint64                `json:"ordered,omitempty"`
}

// Decode reads a state. One without a document was encoded by [EncodeHead], or
// for a reader that holds it.
func Decode(data []byte) (*State, error) {
	e := stored{}
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, err
	}
	s := &State{
		Index:    e.Index,
		Number:   e.Number,
		Document: e.Document,
		Upgrades: e.Upgrades,
		Holds:    holdMap(e.Holds),
		Held:     e.Held,
		packing:  &packing{},

		Evacuations: e.Evacuations,
		LastOrder:   e.LastOrder,
	}
	if len(e.Packed) > 0 {
		document, err := packed.Open(e.Packed, nil)
		if err != nil {
			return nil, err
		}
		s.Document = document
	}
	return s, nil
}

// Encode returns a command's bytes.
func Encode(c Command) []byte { return encode(c) }

// encode cannot fail: the types hold nothing that JSON can't.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// EncodeState returns a state's bytes, which Decode reads.
func EncodeState(s *State) []byte {
	return encode(stored{
		Index:    s.Index,
		Number:   s.Number,
		Packed:   s.Packed(),
		Upgrades: s.Upgrades,
		Holds:    holdList(s),
		Held:     s.Held,

		Evacuations: s.Evacuations,
		LastOrder:   s.LastOrder,
	})
}

// EncodeHead returns the bytes of a state without its document and its holds.
func EncodeHead(s *State) []byte {
	return encode(stored{
		Index:    s.Index,
		Number:   s.Number,
		Upgrades: s.Upgrades,

		Evacuations: s.Evacuations,
		LastOrder:   s.LastOrder,
	})
}
