// Package orders decides which versions the engines are ordered to load and to
// unload, so that each comes to hold what the settings declare.
//
// One VM gives orders: the leader of the settings' log. Its term is the fencing
// number: terms only rise, and a term has one leader. An engine that refuses
// old numbers is safe from a former leader that was frozen and goes on. One
// that ignores them is ordered only after the former leader's lease has run
// out, and after it has been asked again what it holds.
package orders

import (
	"cmp"
	"slices"
	"time"

	"persimmoncross"
)

// Rules of the plan.
const (
	DefaultMaxConcurrentLoads = 2               // loads at once, if the settings don't say
	loadTimeout               = 5 * time.Minute // a load that is not reported by then is ordered again
)

// The kinds of order.
const (
	KindLoad   = "load"
	KindUnload = "unload"
)

// Engine is an engine as the giver sees it.
type Engine struct {
	Name            string
	SupportsFencing bool                          // it refuses old fencing numbers
	Declared        []persimmoncross.ModelVersion // what it should hold
	Reported        []persimmoncross.ModelVersion // what it says that it holds
	Available       bool                          // it reports, and does not leave
	Restarts        uint64                        // how often it has started again
}

// Order is one order to give.
type Order struct {
	Engine  string
	Kind    string
	Version persimmoncross.ModelVersion
}

// Planner plans one giver's orders.
type Planner struct {
	MaxConcurrentLoads int           // loads at once, over all engines: the weight store's limit
	LeaderSince        time.Time     // when this VM became the giver
	FormerLeaderLease  time.Duration // how long a former giver may still give orders

	pendingLoads map[Order]pendingLoad // ordered, and not reported yet
}

// pendingLoad is when an order was pendingLoad, and to which life of its engine.
type pendingLoad struct {
	orderedAt      time.Time
	engineRestarts uint64
}

// Plan returns the orders to give now.
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

// canOrder reports whether the engine canOrder be ordered already.
func (p *Planner) canOrder(now time.Time, e Engine) bool {
	return e.SupportsFencing || now.Sub(p.LeaderSince) > p.FormerLeaderLease
}

// nextOrder returns the engine's nextOrder order: it loads before it unloads.
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

// canSpare reports whether everything that the engine serves is served by another
// one that is not loading: an engine that loads may be slow.
func (p *Planner) canSpare(e Engine, engines []Engine) bool {
	for _, v := range e.Reported {
		soleProvider := true
		for _, o := range engines {
			soleProvider = soleProvider && (o.Name == e.Name || !slices.Contains(o.Declared, v))
		}
		// Nobody else is even meant to serve it: waiting would not help.
		if !soleProvider && !p.isServedElsewhere(v, e, engines) {
			return false
		}
	}
	return true
}

// isServedElsewhere reports whether another live engine that is not loading holds the version.
func (p *Planner) isServedElsewhere(v persimmoncross.ModelVersion, except Engine, engines []Engine) bool {
	return slices.ContainsFunc(engines, func(o Engine) bool {
		return o.Name != except.Name && o.Available && !p.isLoading(o.Name) && slices.Contains(o.Reported, v)
	})
}

func isDeclared(v persimmoncross.ModelVersion, engines []Engine) bool {
	return slices.ContainsFunc(engines, func(o Engine) bool { return slices.Contains(o.Declared, v) })
}

// OrderFailed tells that a load could not be ordered.
func (p *Planner) OrderFailed(o Order) { delete(p.pendingLoads, o) }

// isLoading reports whether the engine is loading.
func (p *Planner) isLoading(engine string) bool {
	for o := range p.pendingLoads {
		if o.Engine == engine {
			return true
		}
	}
	return false
}

// prunePendingLoads ends the loads that are reported, given up, or of engines that are gone or
// have started again: those know of no order.
func (p *Planner) prunePendingLoads(now time.Time, engines []Engine) {
	if p.pendingLoads == nil {
		p.pendingLoads = map[Order]pendingLoad{}
	}
	for o, g := range p.pendingLoads {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == o.Engine })
		if i < 0 || now.Sub(g.orderedAt) > loadTimeout || engines[i].Restarts != g.engineRestarts || slices.Contains(engines[i].Reported, o.Version) {
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
