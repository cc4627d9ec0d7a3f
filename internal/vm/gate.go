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

// gate tells whether this VM may take work. It implements [persimmoncross.Admitter].
type gate struct {
	vm       *VM
	leaving  atomic.Bool // a stop has begun: readyz fails, requests are still taken
	stopping atomic.Bool // the grace is over: requests are refused
}

// Admit implements [persimmoncross.Admitter].
func (g *gate) Admit() *persimmoncross.Refusal {
	if g.stopping.Load() {
		return persimmoncross.NewRefusal(persimmoncross.CodeStopping, "this VM is being stopped").WithRetryAfter(otherWait)
	}
	if g.drained() {
		return persimmoncross.NewRefusal(persimmoncross.CodeStopping, "this VM is drained").WithRetryAfter(otherWait)
	}
	return g.CheckLease()
}

// CheckLease implements [persimmoncross.Admitter].
func (g *gate) CheckLease() *persimmoncross.Refusal {
	if !g.leased() {
		return persimmoncross.NewRefusal(persimmoncross.CodeNoLease, "this VM has not heard of the settings in force for %v", leaseTime).WithRetryAfter(leaseWait)
	}
	return nil
}

func (g *gate) leased() bool {
	// Without the fleet's time a request could not be stamped.
	return g.vm.started.Load() && g.vm.presence.time.Load() != nil && g.vm.settings.HasLease()
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

func leaderless(g *group.Replica) bool { return g.View().LeaderVM == "" }
