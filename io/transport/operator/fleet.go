package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/coordination/group"
	"persimmoncross/core/coordination/routing"
	"persimmoncross/core/state/ledger"
	"persimmoncross/core/state/record"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/wire"
)

// Waits of the operators' API.
const (
	commitWait  = 10 * time.Second
	inForceWait = 3500 * time.Millisecond // longer than a lease: who is not heard by then starts nothing
	inForcePoll = 20 * time.Millisecond
)

// Fleet is what the operators' API works on.
type Fleet struct {
	VM        string
	Clock     persimmoncross.Clock
	State     *settings.State
	Changes   persimmoncross.Proposer // of the settings group
	Table     *routing.Table
	Ledger    *ledger.Ledger                           // nil: this VM does not vote
	CatchUp   func(ctx context.Context) error          // waits until Ledger holds all that was committed
	Reports   func(ctx context.Context) []*wire.Status // of all VMs, nil for those that don't answer
	VMs       func() []string                          // all
	Repair    func(ctx context.Context, lost, with string) error
	Transfers func(ctx context.Context) error // hands the leadership on
}

func (f *Fleet) settings(context.Context, any) (any, error) {
	s := f.State.Current()
	return SettingsResult{
		Revision: s.Revision,
		File:     string(s.Source),
	}, nil
}

func (f *Fleet) apply(ctx context.Context, request any) (any, error) {
	c := request.(ChangeRequest)
	// A file with mistakes is refused here already, with all of them.
	if _, err := settings.Parse(c.File); err != nil {
		return nil, merry.Wrap(err, merry.WithHTTPCode(http.StatusUnprocessableEntity), withCode(settings.RefusedInvalid))
	}
	change := &record.Change{}
	f.State.Current().Pack(change, c.File)
	return f.commit(ctx, c, change)
}

func (f *Fleet) withdraw(ctx context.Context, request any) (any, error) {
	c := request.(ChangeRequest)
	return f.commit(ctx, c, &record.Change{
		Withdraw: c.Name,
	})
}

func (f *Fleet) drain(ctx context.Context, request any) (any, error) {
	c := request.(ChangeRequest)
	if !slices.Contains(f.VMs(), c.Name) {
		return nil, merry.Errorf("there is no VM %q", c.Name, merry.WithHTTPCode(http.StatusNotFound), withCode(settings.RefusedUnknown))
	}
	return f.commit(ctx, c, &record.Change{
		Drain: c.Name,
	})
}

func (f *Fleet) undrain(ctx context.Context, request any) (any, error) {
	c := request.(ChangeRequest)
	return f.commit(ctx, c, &record.Change{
		Undrain: c.Name,
	})
}

// evacuate keeps new work from the upstreams of a data centre.
func (f *Fleet) evacuate(ctx context.Context, request any) (any, error) {
	c := request.(ChangeRequest)
	return f.commit(ctx, c, &record.Change{
		Evacuate: c.Name,
	})
}

// readmit ends that.
func (f *Fleet) readmit(ctx context.Context, request any) (any, error) {
	c := request.(ChangeRequest)
	return f.commit(ctx, c, &record.Change{
		Readmit: c.Name,
	})
}

// commit proposes a change and waits until it is in force at every VM that
// answers, or the wait is over.
func (f *Fleet) commit(ctx context.Context, c ChangeRequest, change *record.Change) (any, error) {
	began := f.Clock.Now()
	change.Id = c.ID
	change.Operator = c.Operator
	change.Time = began.UnixNano()
	change.Expect = c.Expect
	change.Any = c.Any
	bounded, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	r, err := f.propose(bounded, change)
	if err == nil && r.GetKind() == settings.RefusedBase {
		(*settings.Snapshot)(nil).Pack(change, c.File) // another change came between
		r, err = f.propose(bounded, change)
	}
	if err != nil {
		return nil, err
	}
	if r.GetError() != "" {
		return nil, refusedChange(r)
	}
	result := ApplyResult{
		Revision: r.GetRevision(),
		Change:   c.ID,
	}
	f.await(ctx, &result)
	result.Took = f.Clock.Now().Sub(began).Seconds()
	return result, nil
}

// propose offers a change to the settings group and returns its result.
func (f *Fleet) propose(ctx context.Context, change *record.Change) (*record.Result, error) {
	raw, err := f.Changes.Propose(ctx, record.Encode(change))
	if err != nil {
		return nil, merry.Wrap(fmt.Errorf("not known to be accepted, send it again with the same change ID: %w", err),
			merry.WithHTTPCode(http.StatusServiceUnavailable), withCode("no-quorum"))
	}
	r := &record.Result{}
	if err := proto.Unmarshal(raw, r); err != nil {
		return nil, merry.Wrap(err)
	}
	return r, nil
}

func refusedChange(r *record.Result) error {
	status := map[string]int{
		settings.RefusedConflict: http.StatusConflict,
		settings.RefusedInvalid:  http.StatusUnprocessableEntity,
		settings.RefusedUnknown:  http.StatusNotFound,
	}[r.GetKind()]
	return merry.Wrap(errors.New(r.GetError()), merry.WithHTTPCode(status), withCode(r.GetKind()))
}

// await fills in where the revision is in force. A VM that was heard to have it
// once has it for good, so a later question without an answer changes nothing.
func (f *Fleet) await(ctx context.Context, result *ApplyResult) {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	inForce := map[string]bool{}
	for {
		for _, s := range f.Reports(ctx) {
			if s != nil && s.GetRevision() >= result.Revision {
				inForce[s.GetVm()] = true
			}
		}
		if len(inForce) == len(f.VMs()) || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(inForcePoll):
		}
	}
	for _, vm := range f.VMs() {
		if inForce[vm] {
			result.InForce = append(result.InForce, vm)
		} else {
			result.Waiting = append(result.Waiting, vm)
		}
	}
}

func (f *Fleet) repair(ctx context.Context, request any) (any, error) {
	r := request.(RepairRequest)
	err := f.Repair(ctx, r.Lost, r.With)
	var refused *group.Error
	if errors.As(err, &refused) && refused.Kind == group.ChangeRejected {
		return nil, merry.Wrap(err, merry.WithHTTPCode(http.StatusConflict), withCode(settings.RefusedConflict))
	}
	if err != nil {
		return nil, merry.Wrap(err, merry.WithHTTPCode(http.StatusServiceUnavailable), withCode("failed"))
	}
	return f.status(ctx, nil)
}

func (f *Fleet) transfer(ctx context.Context, _ any) (any, error) {
	if err := f.Transfers(ctx); err != nil {
		return nil, merry.Wrap(err, merry.WithHTTPCode(http.StatusConflict), withCode(settings.RefusedConflict))
	}
	return f.status(ctx, nil)
}

func (f *Fleet) status(ctx context.Context, _ any) (any, error) {
	s := f.State.Current()
	result := StatusResult{
		VM:        f.VM,
		Revision:  s.Revision,
		Withdrawn: []string{},
		Drained:   []string{},
		Evacuated: []string{},
		VMs:       f.vmStatuses(ctx),
		Upstreams: f.upstreamStatuses(),
		Rollouts:  rolloutStatuses(s),
	}
	for v := range s.Withdrawn {
		result.Withdrawn = append(result.Withdrawn, v.String())
	}
	for d := range s.Drained {
		result.Drained = append(result.Drained, d)
	}
	for d := range s.Evacuated {
		result.Evacuated = append(result.Evacuated, d)
	}
	slices.Sort(result.Evacuated)
	slices.Sort(result.Withdrawn)
	slices.Sort(result.Drained)
	return result, nil
}

func (f *Fleet) vmStatuses(ctx context.Context) []VMStatus {
	heard := map[string]*wire.Status{}
	for _, r := range f.Reports(ctx) {
		if r != nil {
			heard[r.GetVm()] = r
		}
	}
	var list []VMStatus
	for _, name := range f.VMs() {
		v := VMStatus{
			Name: name,
		}
		if r := heard[name]; r != nil {
			v.Reachable = true
			v.DataCentre = r.GetDatacentre()
			v.Revision = r.GetRevision()
			v.Lease = r.GetLease()
			v.Draining = r.GetDraining()
			v.Incarnation = r.GetIncarnation()
			for _, g := range r.GetGroups() {
				v.Groups = append(v.Groups, groupStatus(g))
			}
		}
		list = append(list, v)
	}
	return list
}

func groupStatus(g *wire.GroupStatus) GroupStatus {
	s := GroupStatus{
		Group:   g.GetGroup(),
		Member:  fmt.Sprintf("%x", g.GetMember()),
		Role:    g.GetRole(),
		Term:    g.GetTerm(),
		Commit:  g.GetCommit(),
		Applied: g.GetApplied(),
		Leader:  g.GetLeader(),
	}
	for _, v := range g.GetVoters() {
		s.Voters = append(s.Voters, v.GetVm())
	}
	return s
}

func (f *Fleet) upstreamStatuses() []UpstreamStatus {
	list := []UpstreamStatus{}
	for _, u := range f.Table.List() {
		list = append(list, UpstreamStatus{
			Name:    u.Name,
			Kind:    u.Kind(),
			Address: u.Address.String(),

			DataCentre: u.DataCentre(),
			Leaving:    u.Draining(),
			Broken:     u.HasOpenBreaker(),
			InFlight:   u.InFlight(),
			Versions:   u.DeclaredVersions(),
		})
	}
	return list
}

func rolloutStatuses(s *settings.Snapshot) []RolloutStatus {
	list := []RolloutStatus{}
	for name, r := range s.File.Rollouts {
		stage := s.Stages[name]
		to := persimmoncross.ParseModelVersion(r.Model + "@" + r.To)
		list = append(list, RolloutStatus{
			Name:    name,
			To:      to.String(),
			Stage:   stage.Index,
			Share:   s.Weights(r.Model)[to],
			Verdict: stage.Verdict,
			Reason:  stage.Reason,
		})
	}
	slices.SortFunc(list, func(a, b RolloutStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (f *Fleet) bills(ctx context.Context, request any) (any, error) {
	b := request.(BillsRequest)
	if err := f.readLedger(ctx); err != nil {
		return nil, err
	}
	list := []BillResult{}
	for _, r := range f.Ledger.Bills(b.After, b.Limit) {
		bill := BillResult{
			Serial:       r.GetSerial(),
			Organisation: r.GetOrganisation(),
			Key:          r.GetKey(),
			Request:      r.GetRequest(),
			Outcome:      r.GetOutcome(),
			Settled:      time.Unix(0, r.GetSettled()).UTC(),
			Lines:        []LineResult{},
		}
		for _, n := range r.GetLines() {
			bill.Lines = append(bill.Lines, LineResult{
				Attempt:  n.GetAttempt(),
				Version:  n.GetVersion(),
				Upstream: n.GetUpstream(),
				Input:    n.GetInput(),
				Output:   n.GetOutput(),
			})
		}
		list = append(list, bill)
	}
	return list, nil
}

// readLedger makes sure that this VM's ledger may be read.
func (f *Fleet) readLedger(ctx context.Context) error {
	if f.Ledger == nil {
		return merry.New("this VM holds no ledger: ask a voter", merry.WithHTTPCode(http.StatusNotFound), withCode(settings.RefusedUnknown))
	}
	if err := f.CatchUp(ctx); err != nil {
		return merry.Wrap(err, merry.WithHTTPCode(http.StatusServiceUnavailable), withCode("no-quorum"))
	}
	return nil
}

func (f *Fleet) totals(ctx context.Context, _ any) (any, error) {
	if err := f.readLedger(ctx); err != nil {
		return nil, err
	}
	list := []TotalResult{}
	for _, t := range f.Ledger.Totals() {
		list = append(list, TotalResult{
			Organisation: t.GetOrganisation(),
			Version:      t.GetVersion(),
			Runs:         t.GetRequests(),
			Input:        t.GetInput(),
			Output:       t.GetOutput(),
		})
	}
	return list, nil
}
