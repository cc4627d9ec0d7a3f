package vm

import (
	"context"
	"sync"
	"time"

	"persimmoncross/core/coordination/routing"
	"persimmoncross/io/transport/platform"
)

// Times of the view of the upstreams.
const (
	reportEvery  = 500 * time.Millisecond
	reportWait   = 400 * time.Millisecond
	platformWait = time.Second
)

// pollUpstreams asks every upstream for its load report, again and again.
func (v *VM) pollUpstreams(ctx context.Context) {
	for {
		var group sync.WaitGroup
		for _, u := range v.table.List() {
			group.Go(func() { v.pollOne(ctx, u) })
		}
		group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(reportEvery):
		}
	}
}

func (v *VM) pollOne(ctx context.Context, u *routing.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	taken := v.Clock.Now()
	r, err := v.client.Report(ctx, u.Address)
	if err != nil {
		v.count("upstream.report.failed")
		return
	}
	r.RequestedAt = taken
	life := u.InstanceID()
	if u.ApplyReport(r) {
		v.count("upstream.again")
		crashed := v.book.InstanceReplaced(life, v.Clock.Now())
		crashed.Log(v.Log.Info().Str("upstream", u.Name).Time("started", r.StartedAt).Uint64("sequence", r.Sequence)).Msg("upstream started again")
	}
}

// pollPlatform follows the platform's list of live and leaving VMs. The list
// lags; an upstream's own word counts as well.
func (v *VM) pollPlatform(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(reportEvery):
		}
		address := v.state.Current().File.Platform
		if address == nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, platformWait)
		list, err := platform.Leaving(bounded, *address)
		cancel()
		if err != nil {
			v.count("platform.failed")
			continue
		}
		for _, u := range v.table.List() {
			u.SetDraining(list[u.Address])
		}
	}
}
