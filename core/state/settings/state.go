package settings

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/packed"
	"persimmoncross/core/state/record"
)

// rememberedResults is how many recent changes are remembered, so that a
// resend gets the first result.
const rememberedResults = 4096

// Verdicts that end a roll-out.
const (
	VerdictDone = "done"
	VerdictBack = "back"
)

// Kinds of refused change, as in [record.Result].
const (
	RefusedConflict = "conflict"
	RefusedInvalid  = "invalid"
	RefusedUnknown  = "unknown"
	// RefusedBase tells that the file was packed against a revision that is not in
	// force any more. It is not remembered: the same change comes again whole.
	RefusedBase = "base"
)

// State is the replicated state machine of the settings. The group's goroutine
// owns it; others read the snapshot in force.
type State struct {
	// Observe, if set before the first change, is called with each snapshot right
	// before it comes into force, so that what is derived from it is never older.
	Observe func(*Snapshot)

	current atomic.Pointer[Snapshot]
	held    *record.Settings
}

// NewState returns the state before any change: revision 0, nothing allowed.
func NewState() *State {
	s := &State{}
	s.reset(&record.Settings{})
	return s
}

// Current returns the snapshot in force.
func (s *State) Current() *Snapshot { return s.current.Load() }

// Apply implements [persimmoncross.StateMachine].
func (s *State) Apply(entry persimmoncross.Entry) []byte {
	c := &record.Change{}
	if err := proto.Unmarshal(entry.Data, c); err != nil {
		return record.Encode(&record.Result{
			Error: "the change cannot be decoded",
			Kind:  RefusedInvalid,
		})
	}
	if r := s.remembered(c.GetId()); r != nil {
		return record.Encode(r)
	}
	r := s.change(c)
	r.Change = c.GetId()
	if r.GetKind() == RefusedBase {
		return record.Encode(r)
	}
	s.held.Results = append(s.held.Results, r)
	if n := len(s.held.Results); n > rememberedResults {
		s.held.Results = slices.Clone(s.held.Results[n-rememberedResults:])
	}
	return record.Encode(r)
}

func (s *State) remembered(id string) *record.Result {
	for _, r := range s.held.Results {
		if r.GetChange() == id {
			return r
		}
	}
	return nil
}

// change makes one change, or says why not.
func (s *State) change(c *record.Change) *record.Result {
	if !c.GetAny() && c.GetExpect() != s.held.GetRevision() {
		return &record.Result{
			Revision: s.held.GetRevision(),
			Error:    fmt.Sprintf("the current revision is %d, made by %s, not %d", s.held.GetRevision(), s.held.GetHolder(), c.GetExpect()),
			Kind:     RefusedConflict,
			Holder:   s.held.GetHolder(),
		}
	}
	next := proto.Clone(s.held).(*record.Settings)
	file, kind, err := s.edit(next, c)
	if err != nil {
		return &record.Result{
			Revision: s.held.GetRevision(),
			Error:    err.Error(),
			Kind:     kind,
		}
	}
	next.Revision++
	next.Holder = c.GetOperator() + " (change " + c.GetId() + ")"
	s.take(next, file)
	return &record.Result{
		Revision: next.GetRevision(),
	}
}

// edit carries out the change on a copy of the state, and returns the file
// that is then in force.
func (s *State) edit(next *record.Settings, c *record.Change) (file *File, kind string, err error) {
	if len(c.GetPacked()) > 0 {
		source, err := s.open(c)
		if err != nil {
			return nil, RefusedBase, err
		}
		return s.editFile(next, source)
	}
	if len(c.GetFile()) > 0 {
		return s.editFile(next, c.GetFile())
	}
	kind, err = s.editLists(next, c)
	return s.Current().File, kind, err
}

// open returns the file of a change that carries it packed.
func (s *State) open(c *record.Change) ([]byte, error) {
	switch c.GetBase() {
	case 0:
		return packed.Open(c.GetPacked(), nil)
	case s.held.GetRevision():
		return packed.Open(c.GetPacked(), s.held.GetFile())
	}
	return nil, fmt.Errorf("the file was packed against revision %d, in force is %d", c.GetBase(), s.held.GetRevision())
}

// Pack puts a file into a change, as what differs from the file in force where
// that makes it smaller: a log that carries a whole file with each change of a
// line costs every VM its bytes.
func (x *Snapshot) Pack(c *record.Change, file []byte) {
	c.File = nil
	c.Base = 0
	c.Packed = packed.Whole(file)
	if x == nil || x.Revision == 0 || len(x.Source) == 0 {
		return
	}
	if less := packed.Since(x.Source, file); len(less) < len(c.Packed) {
		c.Packed = less
		c.Base = x.Revision
	}
}

// editLists carries out a change of anything but the file.
func (s *State) editLists(next *record.Settings, c *record.Change) (kind string, err error) {
	current := s.Current()
	switch {
	case c.GetWithdraw() != "":
		v := persimmoncross.ParseModelVersion(c.GetWithdraw())
		if !v.Pinned() || len(current.File.expand(v.Model)) == 0 || current.File.Models[v.Model].Versions[v.Name] == nil {
			return RefusedUnknown, fmt.Errorf("there is no version %q", v)
		}
		if !slices.Contains(next.Withdrawn, v.String()) {
			next.Withdrawn = append(next.Withdrawn, v.String())
		}
	case c.GetDrain() != "":
		if !slices.Contains(next.Drained, c.GetDrain()) {
			next.Drained = append(next.Drained, c.GetDrain())
		}
	case c.GetUndrain() != "":
		next.Drained = slices.DeleteFunc(next.Drained, func(n string) bool { return n == c.GetUndrain() })
	case c.GetEvacuate() != "":
		if !current.File.hasDataCentre(c.GetEvacuate()) {
			return RefusedUnknown, fmt.Errorf("no upstream stands in a data centre %q", c.GetEvacuate())
		}
		if !slices.Contains(next.Evacuated, c.GetEvacuate()) {
			next.Evacuated = append(next.Evacuated, c.GetEvacuate())
		}
	case c.GetReadmit() != "":
		next.Evacuated = slices.DeleteFunc(next.Evacuated, func(n string) bool { return n == c.GetReadmit() })
	case c.GetStage() != nil:
		return s.editStage(next, c.GetStage())
	default:
		return RefusedInvalid, errors.New("the change changes nothing")
	}
	return "", nil
}

// editFile replaces the file. A roll-out whose name now stands for another
// change begins anew; one that goes on keeps its stage.
func (s *State) editFile(next *record.Settings, source []byte) (file *File, kind string, err error) {
	file, err = Parse(source)
	if err != nil {
		return nil, RefusedInvalid, err
	}
	next.File = source
	next.Stages = slices.DeleteFunc(next.Stages, func(t *record.Stage) bool {
		r := file.Rollouts[t.GetRollout()]
		return r == nil || r.change() != t.GetChange()
	})
	return file, "", nil
}

// change names what a roll-out does.
func (r *Rollout) change() string { return r.Model + " " + r.From + " " + r.To }

// editStage moves a roll-out on from the stage that the proposer saw, so that
// two proposers cannot move it twice. A roll-out that goes back withdraws its
// version.
func (s *State) editStage(next *record.Settings, stage *record.Stage) (kind string, err error) {
	r := s.Current().File.Rollouts[stage.GetRollout()]
	if r == nil {
		return RefusedUnknown, fmt.Errorf("there is no roll-out %q", stage.GetRollout())
	}
	i := slices.IndexFunc(next.Stages, func(t *record.Stage) bool { return t.GetRollout() == stage.GetRollout() })
	held := &record.Stage{}
	if i >= 0 {
		held = next.Stages[i]
	}
	if held.GetVerdict() != "" || held.GetStage() != stage.GetFrom() {
		return RefusedConflict, fmt.Errorf("roll-out %q is at stage %d %s", stage.GetRollout(), held.GetStage(), held.GetVerdict())
	}
	stage.Change = r.change()
	if i < 0 {
		next.Stages = append(next.Stages, stage)
	} else {
		next.Stages[i] = stage
	}
	to := r.Model + "@" + r.To
	if stage.GetVerdict() == VerdictBack && !slices.Contains(next.Withdrawn, to) {
		next.Withdrawn = append(next.Withdrawn, to)
	}
	return "", nil
}

// reset takes a state from a snapshot into force, after checking its file again.
func (s *State) reset(held *record.Settings) error {
	file := &File{
		Fleet: &Branch{},
	}
	if len(held.GetFile()) > 0 {
		parsed, err := Parse(held.GetFile())
		if err != nil {
			return err
		}
		file = parsed
	}
	s.take(held, file)
	return nil
}

// take takes a state with its checked file into force.
func (s *State) take(held *record.Settings, file *File) {
	next := newSnapshot(file, held.GetFile())
	next.Revision = held.GetRevision()
	next.Withdrawn = map[persimmoncross.ModelVersion]bool{}
	for _, w := range held.GetWithdrawn() {
		next.Withdrawn[persimmoncross.ParseModelVersion(w)] = true
	}
	next.Drained = map[string]bool{}
	for _, d := range held.GetDrained() {
		next.Drained[d] = true
	}
	next.Evacuated = map[string]bool{}
	for _, d := range held.GetEvacuated() {
		next.Evacuated[d] = true
	}
	next.Stages = map[string]Stage{}
	for _, t := range held.GetStages() {
		next.Stages[t.GetRollout()] = Stage{
			Index:   int(t.GetStage()),
			Verdict: t.GetVerdict(),
			Reason:  t.GetReason(),
		}
	}
	s.held = held
	if s.Observe != nil {
		s.Observe(next)
	}
	s.current.Store(next)
}

// Snapshot implements [persimmoncross.StateMachine].
func (s *State) Snapshot() []byte {
	if len(s.held.GetFile()) == 0 {
		return record.Encode(s.held)
	}
	return record.Encode(&record.Settings{
		Revision:  s.held.GetRevision(),
		Packed:    packed.Whole(s.held.GetFile()),
		Withdrawn: s.held.GetWithdrawn(),
		Drained:   s.held.GetDrained(),
		Evacuated: s.held.GetEvacuated(),
		Results:   s.held.GetResults(),
		Holder:    s.held.GetHolder(),
		Stages:    s.held.GetStages(),
	})
}

// Restore implements [persimmoncross.StateMachine].
func (s *State) Restore(data []byte) error {
	held := &record.Settings{}
	if err := proto.Unmarshal(data, held); err != nil {
		return &Error{
			Operation: "restore",
			Kind:      Invalid,
			Detail:    err.Error(),
		}
	}
	if len(held.GetPacked()) > 0 {
		file, err := packed.Open(held.GetPacked(), nil)
		if err != nil {
			return &Error{
				Operation: "restore",
				Kind:      Invalid,
				Detail:    err.Error(),
			}
		}
		held.File = file
		held.Packed = nil
	}
	return s.reset(held)
}
