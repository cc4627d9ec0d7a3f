package vm

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross/core/coordination/consensus"
	"persimmoncross/core/coordination/group"
)

// Times of a graceful stop.
const (
	stopPoll     = 10 * time.Millisecond
	handOverWait = 2 * time.Second
	closeWait    = 5 * time.Second
)

// stop ends the VM's work without cutting any: it fails readyz, still takes
// requests for the grace, then refuses new ones, waits for those that run,
// hands the leadership over, and closes the connections.
func (v *VM) stop() {
	v.Log.Info().Str("vm", v.Local.Name).Dur("grace", *v.Local.Grace).Msg("stopping")
	v.gate.leaving.Store(true)
	if v.started.Load() {
		<-v.Clock.After(*v.Local.Grace)
	}
	v.gate.stopping.Store(true)
	v.detours.Stop()
	for v.dispatcher.InFlight() > 0 {
		<-v.Clock.After(stopPoll)
	}
	if v.started.Load() {
		v.handOver()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	v.callers.Shutdown(ctx)
	v.operators.Shutdown(ctx)
	v.Log.Info().Str("vm", v.Local.Name).Msg("stopped")
}

// handOver gives away the leadership of both logs, if this VM has it and
// another voter can take it.
func (v *VM) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverWait)
	defer cancel()
	for _, g := range v.groups() {
		if err := v.transfer(ctx, g); err != nil {
			v.Log.Warn().Err(err).Str("group", g.Core.Group).Msg("leadership not handed over")
		}
	}
}

func (v *VM) groups() []*group.Replica {
	list := []*group.Replica{v.settings}
	if v.bills != nil {
		list = append(list, v.bills)
	}
	return list
}

func (v *VM) transferAll(ctx context.Context) error {
	var all error
	for _, g := range v.groups() {
		all = errors.Join(all, v.transfer(ctx, g))
	}
	return all
}

func (v *VM) transfer(ctx context.Context, g *group.Replica) error {
	if g.View().Role != consensus.Leader {
		return nil
	}
	if !g.TransferLeadership(ctx) {
		return failure("transfer", Refused, nil, "no other voter of %s can take over", g.Core.Group)
	}
	for g.View().Role == consensus.Leader || g.View().LeaderVM == "" {
		select {
		case <-ctx.Done():
			return failure("transfer", Absent, ctx.Err(), "")
		case <-v.Clock.After(stopPoll):
		}
	}
	return nil
}

func (v *VM) count(name string) {
	metrics.GetOrRegisterCounter(name, v.metrics).Inc(1)
}
