package vm

import (
	"context"
	"errors"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/consensus"
	"persimmoncross/core/coordination/orders"
	"persimmoncross/core/coordination/routing"
	"persimmoncross/io/transport/engine"
)

// Times of the orders to engines.
const (
	orderEvery = 500 * time.Millisecond
	orderWait  = 2 * time.Second
)

// ordersLoop gives orders to the engines while this VM leads the settings.
func (v *VM) ordersLoop(ctx context.Context) {
	var planner *orders.Planner
	term := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.Clock.After(orderEvery):
		}
		view := v.settings.View()
		if view.Role != consensus.Leader || !v.gate.leased() {
			planner = nil
			continue
		}
		if planner == nil || view.Term != term {
			term = view.Term
			planner = &orders.Planner{
				LeaderSince:       v.Clock.Now(),
				FormerLeaderLease: leaseTime,
			}
		}
		v.giveOrders(ctx, planner, term)
	}
}

func (v *VM) giveOrders(ctx context.Context, planner *orders.Planner, term uint64) {
	s := v.state.Current()
	planner.MaxConcurrentLoads = s.File.Loads
	var engines []orders.Engine
	for _, u := range v.table.List() {
		if u.Kind() == "engine" {
			engines = append(engines, engineOf(u))
		}
	}
	for _, o := range planner.Plan(v.Clock.Now(), engines, s.Withdrawn) {
		if err := v.giveOrder(ctx, o, term); err != nil {
			planner.OrderFailed(o)
			v.count("order.failed")
			v.Log.Warn().Err(err).Str("upstream", o.Engine).Str("kind", o.Kind).Str("version", o.Version.String()).Msg("order not taken")
			continue
		}
		v.count("order." + o.Kind)
		v.Log.Info().Str("upstream", o.Engine).Str("kind", o.Kind).Str("version", o.Version.String()).Uint64("fence", term).Msg("order given")
	}
}

func engineOf(u *routing.Upstream) orders.Engine {
	e := orders.Engine{
		Name:            u.Name,
		SupportsFencing: u.SupportsFencing(),
		Reported:        u.ReportedVersions(),
		Available:       !u.Draining() && u.HasRecentReport(),
		Restarts:        u.Restarts(),
	}
	for _, name := range u.DeclaredVersions() {
		e.Declared = append(e.Declared, persimmoncross.ParseModelVersion(name))
	}
	return e
}

// giveOrder reads back what an engine without fencing holds, and looks at the
// lease, right before it orders.
func (v *VM) giveOrder(ctx context.Context, o orders.Order, term uint64) error {
	u, ok := v.table.Find(o.Engine)
	if !ok {
		return errors.New("vm: the engine is gone")
	}
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	if !u.SupportsFencing() {
		v.pollOne(ctx, u)
	}
	if view := v.settings.View(); view.Role != consensus.Leader || view.Term != term || !v.gate.leased() {
		return errors.New("vm: no longer the giver of orders")
	}
	return v.client.Order(ctx, u.Address, engine.Order{
		Fence:   term,
		Kind:    o.Kind,
		Version: o.Version.String(),
	})
}
