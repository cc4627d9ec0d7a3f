// Package register is the replicated state of a fleet that is run by numbered
// documents: the highest document, and the state of each service's upgrade. It
// implements [persimmoncross.StateMachine] without I/O or clock.
package register

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"persimmoncross"
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
}

// Command is one change. Exactly one of its fields is set.
type Command struct {
	Declare *Declare `json:"declare,omitempty"`
	Begin   *Upgrade `json:"begin,omitempty"`
	Advance *Advance `json:"advance,omitempty"`
	Read    bool     `json:"read,omitempty"`
}

// Declare offers a document; it takes effect if its number is the highest.
type Declare struct {
	Number   uint64 `json:"number"`
	Document []byte `json:"document"`
}

// Advance moves the upgrade that an order began to a later stage.
type Advance struct {
	Service string   `json:"service"`
	Order   uint64   `json:"order"`
	Stage   Stage    `json:"stage"`
	Kept    []uint64 `json:"kept,omitempty"` // of [Upgrade], for the trial
}

// State is what the register holds after one entry. It never changes.
type State struct {
	Index    uint64             `json:"index"` // of the entry that made it
	Number   uint64             `json:"number"`
	Document []byte             `json:"document"`
	Upgrades map[string]Upgrade `json:"upgrades"`
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

// Apply implements [persimmoncross.StateMachine]. The result of every command
// is the state's index and, for a read, the state itself.
func (r *Register) Apply(e persimmoncross.Entry) []byte {
	c := Command{}
	if json.Unmarshal(e.Data, &c) != nil {
		return nil
	}
	old := r.state.Load()
	if c.Read {
		return encode(old)
	}
	next := *old
	next.Index = e.Index
	changed := false
	switch {
	case c.Declare != nil:
		changed = next.declare(c.Declare)
	case c.Begin != nil:
		changed = next.begin(c.Begin, e.Index)
	case c.Advance != nil:
		changed = next.advance(c.Advance)
	}
	if changed {
		r.put(&next)
	}
	return nil
}

func (s *State) declare(d *Declare) bool {
	if d.Number <= s.Number {
		return false
	}
	s.Number = d.Number
	s.Document = d.Document
	return true
}

// begin starts an upgrade. The same order again changes nothing, so that it
// may be sent again after a lost answer, also when the upgrade has ended.
func (s *State) begin(u *Upgrade, index uint64) bool {
	if now, ok := s.Upgrades[u.Service]; ok && now.Target == u.Target {
		return false
	}
	began := *u
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
	if !ok || now.Order != a.Order || stageRank[a.Stage] <= stageRank[now.Stage] {
		return false
	}
	now.Stage = a.Stage
	now.Kept = a.Kept
	s.replace(now)
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
func (r *Register) Snapshot() []byte { return encode(r.state.Load()) }

// Restore implements [persimmoncross.StateMachine].
func (r *Register) Restore(data []byte) error {
	s := &State{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, s); err != nil {
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

// Decode reads the result of a read.
func Decode(data []byte) (*State, error) {
	s := &State{}
	return s, json.Unmarshal(data, s)
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
func EncodeState(s *State) []byte { return encode(s) }
