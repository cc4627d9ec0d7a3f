// Package orders plans which versions the engines are ordered to load and to
// unload, until each engine has the versions that the settings declare for it.
//
// Only the leader of the settings' log sends orders. Its term is the fencing
// number, because terms only increase and a term has one leader. An engine that
// rejects old fencing numbers is protected against orders of a former leader that
// was suspended and resumes. An engine that ignores them gets orders only after
// the former leader's lease has expired and the engine has reported its versions
// again.
package orders

import (
	"cmp"
	"slices"
	"time"

	"persimmoncross"
)

// Limits on loading versions.
const (
	DefaultMaxConcurrentLoads = 2               // used if the settings define no limit
	loadTimeout               = 5 * time.Minute // a load not reported by then is ordered again
)

// The kinds of orders.
const (
	KindLoad   = "load"
	KindUnload = "unload"
)

// Engine is the state of an engine as observed by the VM that sends orders.
type Engine struct {
	Name            string
	SupportsFencing bool                          // the engine rejects old fencing numbers
	Declared        []persimmoncross.ModelVersion // versions that the settings declare for the engine
	Reported        []persimmoncross.ModelVersion // versions that the engine reports as loaded
	Available       bool                          // the engine sends reports and is not draining
	Restarts        uint64                        // number of restarts observed
}

// Order is one order to an engine.
type Order struct {
	Engine  string
	Kind    string
	Version persimmoncross.ModelVersion
}

// Planner plans the orders of one leader.
type Planner struct {
	MaxConcurrentLoads int           // limit for all engines together, set by the capacity of the weight store; 0 means DefaultMaxConcurrentLoads
	LeaderSince        time.Time     // when this VM became the leader
	FormerLeaderLease  time.Duration // how long a former leader may still send orders

	pendingLoads map[Order]pendingLoad // ordered loads that are not yet reported
}

// pendingLoad records when a load was ordered and how often the engine had restarted by then.
type pendingLoad struct {
	orderedAt      time.Time
	engineRestarts uint64
}

// Plan returns the orders to send now.
func (p *Planner) Plan(now time.Time, engines []Engine, withdrawn map[persimmoncross.ModelVersion]bool) []Order {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	p.prunePendingLoads(now, engines)
	var list []Order
	for _, e := range engines {
		if !e.Available || len(e.Reported) == 0 || p.isLoading(e.Name) || !p.canOrder(now, e) {
			continue
		}
		if o, ok := p.nextOrder(e, engines, withdrawn); ok {
			list = append(list, o)
			if o.Kind == KindLoad {
				p.pendingLoads[o] = pendingLoad{
					orderedAt:      now,
					engineRestarts: e.Restarts,
				}
			}
		}
	}
	return list
}

// canOrder reports whether the engine may get orders at this time.
func (p *Planner) canOrder(now time.Time, e Engine) bool {
	return e.SupportsFencing || now.Sub(p.LeaderSince) > p.FormerLeaderLease
}

// nextOrder returns the next order for the engine, if there is one. All loads precede the
// unloads.
func (p *Planner) nextOrder(e Engine, engines []Engine, withdrawn map[persimmoncross.ModelVersion]bool) (Order, bool) {
	for _, v := range e.Declared {
		if withdrawn[v] || slices.Contains(e.Reported, v) {
			continue
		}
		if len(p.pendingLoads) < p.maxConcurrentLoads() && p.canSpare(e, engines) {
			return Order{
				Engine:  e.Name,
				Kind:    KindLoad,
				Version: v,
			}, true
		}
		return Order{}, false
	}
	for _, v := range e.Reported {
		if slices.Contains(e.Declared, v) && !withdrawn[v] {
			continue
		}
		if withdrawn[v] || !isDeclared(v, engines) || p.isServedElsewhere(v, e, engines) {
			return Order{
				Engine:  e.Name,
				Kind:    KindUnload,
				Version: v,
			}, true
		}
	}
	return Order{}, false
}

// canSpare reports whether the engine may load a version now. An engine may be slow while it
// loads, so each version that it serves must also be served by another engine that is not
// loading, unless no other engine is declared for that version.
func (p *Planner) canSpare(e Engine, engines []Engine) bool {
	for _, v := range e.Reported {
		soleProvider := true
		for _, o := range engines {
			soleProvider = soleProvider && (o.Name == e.Name || !slices.Contains(o.Declared, v))
		}
		// If no other engine is declared for the version, waiting would not help.
		if !soleProvider && !p.isServedElsewhere(v, e, engines) {
			return false
		}
	}
	return true
}

// isServedElsewhere reports whether another available engine that is not loading has the
// version.
func (p *Planner) isServedElsewhere(v persimmoncross.ModelVersion, except Engine, engines []Engine) bool {
	return slices.ContainsFunc(engines, func(o Engine) bool {
		return o.Name != except.Name && o.Available && !p.isLoading(o.Name) && slices.Contains(o.Reported, v)
	})
}

func isDeclared(v persimmoncross.ModelVersion, engines []Engine) bool {
	return slices.ContainsFunc(engines, func(o Engine) bool { return slices.Contains(o.Declared, v) })
}

// OrderFailed drops the pending load of an order that could not be sent.
func (p *Planner) OrderFailed(o Order) { delete(p.pendingLoads, o) }

func (p *Planner) isLoading(engine string) bool {
	for o := range p.pendingLoads {
		if o.Engine == engine {
			return true
		}
	}
	return false
}

// prunePendingLoads removes the loads that are reported or timed out, and those of engines
// that were removed or have restarted, since a restarted engine has lost its orders.
func (p *Planner) prunePendingLoads(now time.Time, engines []Engine) {
	if p.pendingLoads == nil {
		p.pendingLoads = map[Order]pendingLoad{}
	}
	for o, load := range p.pendingLoads {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == o.Engine })
		if i < 0 || now.Sub(load.orderedAt) > loadTimeout || engines[i].Restarts != load.engineRestarts || slices.Contains(engines[i].Reported, o.Version) {
			delete(p.pendingLoads, o)
		}
	}
}

func (p *Planner) maxConcurrentLoads() int {
	if p.MaxConcurrentLoads == 0 {
		return DefaultMaxConcurrentLoads
	}
	return p.MaxConcurrentLoads
}
