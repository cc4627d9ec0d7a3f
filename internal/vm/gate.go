package vm

import (
	"errors"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/group"
)

// Times to come back that the gate's refusals name.
const (
	leaseWait = time.Second
	otherWait = time.Second // the balancer has another VM
)

// gate tells whether this VM may take work. It implements [persimmoncross.Gate].
type gate struct {
	vm       *VM
	leaving  atomic.Bool // a stop has begun: readyz fails, requests are still taken
	stopping atomic.Bool // the grace is over: requests are refused
}

// Admit implements [persimmoncross.Gate].
func (g *gate) Admit() *persimmoncross.Refusal {
	if g.stopping.Load() {
		return persimmoncross.Refuse(persimmoncross.CodeStopping, "this VM is being stopped").After(otherWait)
	}
	if g.drained() {
		return persimmoncross.Refuse(persimmoncross.CodeStopping, "this VM is drained").After(otherWait)
	}
	return g.Lease()
}

// Lease implements [persimmoncross.Gate].
func (g *gate) Lease() *persimmoncross.Refusal {
	if !g.leased() {
		return persimmoncross.Refuse(persimmoncross.CodeNoLease, "this VM has not heard of the settings in force for %v", leaseTime).After(leaseWait)
	}
	return nil
}

func (g *gate) leased() bool {
	// Without the fleet's time a request could not be stamped.
	return g.vm.started.Load() && g.vm.presence.time.Load() != nil && g.vm.settings.Leased()
}

func (g *gate) drained() bool { return g.vm.state.Current().Drained[g.vm.Local.Name] }

// ready says why callers should go elsewhere, nil if they need not.
func (g *gate) ready() error {
	switch {
	case g.leaving.Load():
		return errors.New("stopping")
	case !g.vm.started.Load():
		return errors.New("waiting for the other VMs")
	case g.drained():
		return errors.New("drained")
	case !g.leased():
		return errors.New("no lease")
	case g.vm.bills != nil && leaderless(g.vm.bills):
		return errors.New("the ledger has no leader")
	}
	return nil
}

func leaderless(g *group.Group) bool { return g.View().Leader == "" }
