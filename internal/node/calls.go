package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// calls answers the other VMs. It implements [peer.Handler].
type calls struct {
	controller *Controller
}

// Receive implements [peer.Handler]. A member that looks for the leader is
// passed on to it once: it may know only VMs that do not lead.
func (h *calls) Receive(m persimmoncross.Message) {
	c := h.controller
	if m.Group != groupName || !c.opened.Load() {
		return
	}
	if m.Kind == persimmoncross.MessageHello && !c.Leads() {
		if leader := c.otherLeader(); leader != "" && !m.Transfer {
			m.Transfer = true // passed on
			m.Dest = leader
			c.node.Pass(m)
		}
		return
	}
	c.group.Receive(m)
}

// Call implements [peer.Handler].
func (h *calls) Call(ctx context.Context, call *wire.Call, s *peer.Stream) {
	switch {
	case call.GetPropose() != nil:
		s.Send(peer.AnswerProposal(ctx, h.controller.group, call.GetPropose()))
	case call.GetFollow() != nil:
		h.follow(ctx, call.GetFollow(), s)
	}
}

// follow sends updates until the stream fails, and takes accounts. The first
// account tells that this controller was chosen.
func (h *calls) follow(ctx context.Context, call *wire.Follow, s *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := h.controller
	if !call.GetEntry() {
		c.hub.place(call.GetVm(), call.GetDatacentre())
	}
	c.followers.Add(1)
	defer c.followers.Add(-1)
	chosen := make(chan struct{})
	go func() {
		// Whoever sends may wait for room on the way to a follower who has gone; with
		// what waits there, a controller's memory would grow at every follower that
		// leaves.
		defer s.Close()
		defer cancel()
		h.takeAccounts(call.GetVm(), s, chosen)
	}()
	got := &sent{
		asks:    true,
		entry:   call.GetEntry(),
		vm:      call.GetVm(),
		sums:    call.GetList(),
		packs:   call.GetPacked(),
		bitmaps: call.GetBitmaps(),
		number:  call.GetNumber(),
		sum:     call.GetSum(),
	}
	for ctx.Err() == nil {
		u, changed := c.hub.next(got, c.leased(), c.controllers())
		if now := c.Clock.Now(); !now.Before(got.loads) {
			got.loads = now.Add(c.tellLoads(u, got))
		}
		before := s.Sent()
		err := s.Send(u)
		metrics.GetOrRegisterCounter("followers.bytes", c.Metrics).Inc(s.Sent() - before)
		if err != nil {
			return
		}
		if got.pending() {
			continue
		}
		select {
		case <-ctx.Done():
		case <-chosen:
			got.asks = false
			chosen = nil
		case <-changed:
		case <-c.Clock.After(updateEvery):
		}
	}
}

// tellLoads puts the loads into an update, and returns the pause until the next.
func (c *Controller) tellLoads(u *wire.Update, s *sent) time.Duration {
	all, known := c.loads.tell(s.order)
	if !s.packs {
		u.Loads = all
		return loadPause(len(all), len(s.order))
	}
	u.Known = known
	return loadPause(len(known), len(s.order))
}

// takeAccounts takes a follower's accounts until the stream fails. It closes
// chosen at the first.
func (h *calls) takeAccounts(vm string, s *peer.Stream, chosen chan<- struct{}) {
	for first := true; ; first = false {
		a := &wire.Account{}
		if s.Receive(a) != nil {
			return
		}
		if first {
			close(chosen)
		}
		switch {
		case len(a.GetCases()) > 0:
			h.controller.cases.take(vm+"#"+a.GetIncarnation(), a.GetCases())
			continue
		case len(a.GetLimits()) > 0:
			h.controller.hub.mergeLimits(limitsOf(a.GetLimits(), h.controller.Clock.Now()))
			continue
		case a.GetVm() == "":
			h.controller.loads.take(vm, a.GetLoads())
			continue
		}
		h.controller.hub.take(a)
	}
}

// leased reports whether this controller's state is known to be recent.
func (c *Controller) leased() bool {
	return c.group.Leased()
}

// controllers returns the addresses of the voters.
func (c *Controller) controllers() []string {
	var names []string
	for _, v := range c.group.View().Set.Voters {
		names = append(names, v.VM)
	}
	return names
}

// leadsNow reports whether this controller leads and holds a quorum.
func (c *Controller) leadsNow() bool {
	return c.Leads() && c.group.Leased()
}
