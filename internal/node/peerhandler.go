package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// peerHandler handles messages and calls from other VMs. It implements [peer.Handler].
type peerHandler struct {
	controller *Controller
}

// Receive implements [peer.Handler]. A controller that does not lead forwards a learner's join
// message to the leader, because the learner may have only the addresses of VMs that do not lead.
// A join message is forwarded only once.
func (h *peerHandler) Receive(m persimmoncross.Message) {
	c := h.controller
	if m.Group != groupName || !c.groupOpened.Load() {
		return
	}
	if m.Kind == persimmoncross.MessageLearnerJoin && !c.IsLeader() {
		if leader := c.remoteLeader(); leader != "" && !m.LeadershipTransfer {
			m.LeadershipTransfer = true // marks the message as forwarded
			m.ToVM = leader
			c.node.Pass(m)
		}
		return
	}
	c.group.Receive(m)
}

// Call implements [peer.Handler].
func (h *peerHandler) Call(ctx context.Context, call *wire.Call, s *peer.Stream) {
	switch {
	case call.GetPropose() != nil:
		s.Send(peer.AnswerProposal(ctx, h.controller.group, call.GetPropose()))
	case call.GetFollow() != nil:
		h.serveFollower(ctx, call.GetFollow(), s)
	}
}

// serveFollower sends updates until the stream fails, and receives reports. The first report
// means that the follower has chosen this controller.
func (h *peerHandler) serveFollower(ctx context.Context, call *wire.Follow, s *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := h.controller
	if !call.GetEntry() {
		c.publisher.setDataCentre(call.GetVm(), call.GetDatacentre())
	}
	c.followerStreams.Add(1)
	defer c.followerStreams.Add(-1)
	selected := make(chan struct{})
	go func() {
		// The sending loop may be blocked on flow control towards a follower that is gone.
		// Closing the stream unblocks the loop; otherwise each such follower would leave its
		// unsent data in the controller's memory.
		defer s.Close()
		defer cancel()
		h.receiveReports(call.GetVm(), s, selected)
	}()
	state := &followerState{
		probing:          true,
		entry:            call.GetEntry(),
		vm:               call.GetVm(),
		dataCentre:       call.GetDatacentre(),
		initialChecksums: call.GetList(),
		acceptsPacked:    call.GetPacked(),
		acceptsBitmaps:   call.GetBitmaps(),
		documentNumber:   call.GetNumber(),
		documentChecksum: call.GetSum(),
	}
	for ctx.Err() == nil {
		u, changed := c.publisher.nextUpdate(state, c.hasLease(), c.voterAddresses())
		if now := c.Clock.Now(); !now.Before(state.nextLoadsAt) {
			state.nextLoadsAt = now.Add(c.addLoads(u, state))
		}
		c.addDemands(u, state)
		if now := c.Clock.Now(); !state.probing && !now.Before(state.nextRequestsAt) {
			state.nextRequestsAt = now.Add(requestCountInterval)
			c.requests.addTo(u, c.IsLeader())
		}
		sentBefore := s.Sent()
		err := s.Send(u)
		metrics.GetOrRegisterCounter("followers.bytes", c.Metrics).Inc(s.Sent() - sentBefore)
		if err != nil {
			return
		}
		if state.hasPending() {
			continue
		}
		select {
		case <-ctx.Done():
		case <-selected:
			state.probing = false
			selected = nil
		case <-changed:
		case <-c.Clock.After(min(updateInterval, requestCountInterval)):
		}
	}
}

// addLoads adds the loads to an update, and returns the interval until the next ones.
func (c *Controller) addLoads(u *wire.Update, s *followerState) time.Duration {
	e := c.loads.encodedLoads(s.listIDs)
	if !s.acceptsPacked {
		u.Loads = e.dense
		return loadSendInterval(len(e.dense), len(s.listIDs))
	}
	u.Known = e.sparse
	u.Capacities = e.capacities
	return loadSendInterval(len(e.sparse)+len(e.capacities), len(s.listIDs))
}

// receiveReports receives a follower's reports until the stream fails. It closes selected at
// the first report.
func (h *peerHandler) receiveReports(vm string, s *peer.Stream, selected chan<- struct{}) {
	sender := &reportSender{
		cases: h.controller.cases,
		vm:    vm,

		incrementCounter: h.controller.incrementCounter,
	}
	requests := &requestTotals{}
	defer h.controller.requests.remove(requests)
	for first := true; ; first = false {
		a := &wire.Account{}
		if s.Receive(a) != nil {
			return
		}
		sender.receive(a, h.controller.Clock.Now())
		if first {
			close(selected)
		}
		switch {
		case len(a.GetCases()) > 0:
			continue
		case len(a.GetRequests()) > 0:
			h.controller.requests.receive(requests, a.GetRequests())
			continue
		case len(a.GetLimits()) > 0:
			h.controller.publisher.mergeLimits(fromWireLimits(a.GetLimits(), h.controller.Clock.Now()))
			continue
		case a.GetVm() == "":
			h.controller.loads.receive(vm, a.GetLoads())
			h.controller.demands.receive(vm, a.GetDemands())
			continue
		}
		h.controller.publisher.receiveReport(a)
	}
}

// hasLease reports whether this controller has a lease, so that its state is recent.
func (c *Controller) hasLease() bool {
	return c.group.HasLease()
}

// voterAddresses returns the addresses of the voters.
func (c *Controller) voterAddresses() []string {
	var names []string
	for _, v := range c.group.View().Config.Voters {
		names = append(names, v.VM)
	}
	return names
}

// isLeaderWithLease reports whether this controller leads and holds a lease from a quorum.
func (c *Controller) isLeaderWithLease() bool {
	return c.IsLeader() && c.group.HasLease()
}
