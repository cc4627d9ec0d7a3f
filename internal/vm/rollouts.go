package vm

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"persimmoncross"
	"persimmoncross/core/coordination/consensus"
	"persimmoncross/core/coordination/rollout"
	"persimmoncross/core/state/record"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/wire"
)

// Times and bounds of the roll-outs' control.
const (
	judgeEvery   = time.Second
	maxProcesses = 1024 // whose evidence the leader keeps
	shareSlack   = 2    // entries get this many times their part of a budget, for uneven traffic
)

// plans returns the roll-outs that go on, as this entry must keep to them.
func (v *VM) plans(s *settings.Snapshot) map[persimmoncross.ModelVersion]rollout.Plan {
	plans := map[persimmoncross.ModelVersion]rollout.Plan{}
	for name, r := range s.File.Rollouts {
		to, from := r.Versions()
		stage := s.Stages[name]
		if stage.Verdict != "" || s.Withdrawn[to] {
			continue
		}
		plans[to] = rollout.Plan{
			Baseline:    from,
			Stage:       stage.Index,
			StageBudget: max(1, shareSlack*r.Budget/len(v.Local.Peers)),
			Margin:      r.Margin,
		}
	}
	return plans
}

// controller judges the roll-outs at the leader of the settings. All that is
// lost with the leader is the evidence of processes that have ended.
type controller struct {
	vm       *VM
	judge    rollout.Judge
	evidence map[string]*wire.Status // by VM and incarnation
}

func (v *VM) rolloutLoop(ctx context.Context) {
	var c *controller
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(judgeEvery):
		}
		if v.settings.View().Role != consensus.Leader {
			c = nil
			continue
		}
		if c == nil {
			c = &controller{
				vm:       v,
				evidence: map[string]*wire.Status{},
			}
		}
		c.round(ctx)
	}
}

// round pools what the entries saw and moves each roll-out that is decided.
func (c *controller) round(ctx context.Context) {
	for _, s := range c.vm.presence.ask(ctx) {
		if s == nil {
			continue
		}
		if len(c.evidence) >= maxProcesses {
			c.evidence = map[string]*wire.Status{}
		}
		c.evidence[s.GetVm()+"#"+s.GetIncarnation()] = s
	}
	s := c.vm.state.Current()
	for name, r := range s.File.Rollouts {
		to, _ := r.Versions()
		if s.Stages[name].Verdict == "" && !s.Withdrawn[to] {
			c.decide(ctx, name, r, s.Stages[name].Index)
		}
	}
}

func (c *controller) decide(ctx context.Context, name string, r *settings.Rollout, stage int) {
	decision, reason := c.judge.Decide(c.pool(r), r.Budget, c.stageRuns(r, stage))
	if decision == rollout.DecisionWait {
		return
	}
	next := &record.Stage{
		Rollout: name,
		From:    uint32(stage),
		Stage:   uint32(stage) + 1,
		Reason:  reason,
	}
	switch {
	case decision == rollout.DecisionRollBack:
		next.Stage = uint32(stage)
		next.Verdict = settings.VerdictBack
	case stage+1 >= len(r.Stages):
		next.Stage = uint32(stage)
		next.Verdict = settings.VerdictDone
	}
	c.commit(ctx, next)
}

// stageRuns adds the runs that ended in the stage at all entries.
func (c *controller) stageRuns(r *settings.Rollout, stage int) uint64 {
	to, _ := r.Versions()
	sum := uint64(0)
	for _, s := range c.evidence {
		for _, x := range s.GetExposed() {
			if x.GetVersion() == to.String() && int(x.GetStage()) == stage {
				sum += x.GetRuns()
			}
		}
	}
	return sum
}

func (c *controller) pool(r *settings.Rollout) rollout.PooledEvidence {
	p := rollout.PooledEvidence{
		Margin:    r.Margin,
		Candidate: map[string]rollout.Tally{},
		Baseline:  map[string]rollout.Tally{},
	}
	to, from := r.Versions()
	for _, s := range c.evidence {
		for _, e := range s.GetEvidence() {
			subject := rollout.TallyKey{
				Version:      persimmoncross.ParseModelVersion(e.GetVersion()),
				Organisation: e.GetOrganisation(),
			}
			p.Add(subject, rollout.Tally{
				Runs:            e.GetRuns(),
				FailedRuns:      e.GetBad(),
				DiscordantPairs: e.GetPairs(),
				SlowerPairs:     e.GetSlower(),
				Ratings:         e.GetRated(),
				PoorRatings:     e.GetPoor(),
			}, to, from)
		}
	}
	return p
}

func (c *controller) commit(ctx context.Context, next *record.Stage) {
	ctx, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	change := &record.Change{
		Id:       fmt.Sprintf("rollout-%s-%d-%s", next.GetRollout(), next.GetFrom(), uuid.NewString()),
		Operator: "roll-out " + next.GetRollout(),
		Time:     c.vm.Clock.Now().UnixNano(),
		Any:      true,
		Stage:    next,
	}
	if _, err := c.vm.changes.Propose(ctx, record.Encode(change)); err != nil {
		c.vm.Log.Warn().Err(err).Str("rollout", next.GetRollout()).Msg("roll-out's stage not committed")
		return
	}
	c.vm.count("rollout.decided")
	c.vm.Log.Info().Str("rollout", next.GetRollout()).Uint32("stage", next.GetStage()).Str("verdict", next.GetVerdict()).Str("reason", next.GetReason()).Msg("roll-out moved")
}
