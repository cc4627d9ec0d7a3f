// Package node assembles the two kinds of process of a fleet that discovers its own members:
// controllers, which keep the operators' documents in a replicated log and make the fleet-wide
// decisions, and entries, which serve callers and follow a controller.
//
//	caller ─▶ entry ─▶ core/coordination/relay ─▶ io/transport/forward ─▶ upstream
//	             ▲ updates   │ reports
//	             │           ▼
//	operator ─▶ controller: register in a replicated log, list of upstreams,
//	             voters (steward), upgrades
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/consensus"
	"persimmoncross/core/coordination/group"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
	"persimmoncross/io/transport/socket"
)

// Timeouts of the replicated log. An election takes one to two election timeouts. A lease
// expires within that time, so that a controller that is cut off does not claim that its state is
// recent.
const (
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 500 * time.Millisecond
	leaseDuration     = 1000 * time.Millisecond
)

// proposalTimeout limits the wait for a proposed command. It is below a second because operators
// try another controller after a second without an answer.
const proposalTimeout = 900 * time.Millisecond

// Controller is the process of a controller. The exported fields are set before Run.
type Controller struct {
	Site    *settings.Site
	Clock   persimmoncross.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry
	Lister  persimmoncross.UpstreamLister
	// Decode parses a document that was validated before it was stored. If Decode is nil, no
	// upstream is treated as cold.
	Decode func(document []byte) (*catalog.Catalog, error)

	store          *memberStore
	register       *register.Register
	group          *group.Replica
	node           *peer.Node
	proposer       *peer.Proposer
	publisher      *publisher
	loads          *loadAggregator
	demands        *demandAggregator
	requests       *requestAggregator
	cases          *caseAggregator
	upgradeTracker upgradeTracker
	coldTracker    coldTracker
	seeds          atomic.Pointer[[]string]
	groupOpened    atomic.Bool

	followerStreams atomic.Int64 // open streams to followers
	packMu          sync.Mutex   // held while a document is packed for the log
	decodeMu        sync.Mutex   // held while a document is decoded
}

// WithDecodeLock calls decode while no other document is being decoded. Decoding takes about
// twenty times the document's size in memory, and operators may send several documents of the
// maximum size at once.
func (c *Controller) WithDecodeLock(decode func()) {
	c.decodeMu.Lock()
	defer c.decodeMu.Unlock()
	decode()
}

// Prepare opens the data folder and listens on the peer address.
func (c *Controller) Prepare(ctx context.Context) error {
	c.SetSeeds(c.Site)
	store, err := openStore(c.Site, c.Log)
	if err != nil {
		return newError("start", StartFailed, err)
	}
	c.store = store
	listener, err := socket.Listen().Listen(ctx, "tcp", c.Site.Peer.String())
	if err != nil {
		return newError("start", StartFailed, err)
	}
	c.createComponents(listener)
	if err := c.group.Open(); err != nil {
		return newError("start", StartFailed, err)
	}
	c.groupOpened.Store(true)
	return nil
}

func (c *Controller) createComponents(listener net.Listener) {
	c.publisher = newPublisher(c.Clock)
	c.publisher.setDataCentre(c.Site.Peer.String(), c.Site.DataCentre)
	metrics.NewRegisteredFunctionalGauge("followers", c.Metrics, c.followerStreams.Load)
	c.loads = &loadAggregator{
		clock: c.Clock,
	}
	c.demands = &demandAggregator{
		clock: c.Clock,
	}
	c.requests = &requestAggregator{
		clock: c.Clock,
	}
	c.cases = &caseAggregator{}
	c.register = register.New()
	c.register.Changed = c.stateChanged
	c.node = &peer.Node{
		VM:       c.Site.Peer.String(),
		Listener: listener,
		Open:     true,
		Via:      c.Site.Via,
		Handler: &peerHandler{
			controller: c,
		},
		Clock:   c.Clock,
		Metrics: c.Metrics,
		Log:     c.Log,

		Connections: newConnections(controllerPeerPart, c.Site, c.Clock, c.Metrics, c.Log),
		Messages:    newMessages(c.Site, c.Clock, c.Metrics),
		MaxStreams:  maxStreams(c.Site),
	}
	c.node.Prepare()
	c.group = &group.Replica{
		Core: &consensus.Core{
			Group:             groupName,
			ID:                c.store.member,
			VM:                c.node.VM,
			HeartbeatInterval: heartbeatInterval,
			ElectionTimeout:   electionTimeout,
			LeaseDuration:     leaseDuration,
			Random:            rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid()))),
			BroadcastCommits:  true,
		},
		Storage:      c.store.log,
		StateMachine: c.register,
		Sender: &consensusSender{
			controller: c,
		},
		Clock:   c.Clock,
		Metrics: c.Metrics,
		Logger:  c.Log,
	}
	c.publisher.detours.isLeader = c.IsLeader
	c.proposer = &peer.Proposer{
		Group: groupName,
		Node:  c.node,
		Local: c.group,
		Clock: c.Clock,
	}
}

// SetSeeds replaces the seeds by those of a reloaded site file.
func (c *Controller) SetSeeds(s *settings.Site) {
	names := seedAddresses(s)
	c.seeds.Store(&names)
}

func seedAddresses(s *settings.Site) []string {
	var names []string
	for _, a := range s.Seeds {
		if p := s.PeerOf(a); p != s.Peer {
			names = append(names, p.String())
		}
	}
	return names
}

// stateChanged publishes the register's state to the followers.
func (c *Controller) stateChanged(s *register.State) {
	c.publisher.setState(s)
	c.coldTracker.updateState(s, c.Clock.Now())
	c.Log.Info().Uint64("index", s.Index).Uint64("number", s.Number).Int("upgrades", len(s.Upgrades)).Strs("evacuated", evacuatedDataCentres(s)).Msg("state")
}

// Run serves until the context ends, and then transfers the leadership if this controller
// leads.
func (c *Controller) Run(ctx context.Context) {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops sync.WaitGroup
	loops.Go(func() { c.node.Run(runCtx) })
	loops.Go(func() { c.group.Run(runCtx) })
	loops.Go(func() { c.runListReader(runCtx) })
	loops.Go(func() { c.runVoterChanges(runCtx) })
	loops.Go(func() { c.runUpgrades(runCtx) })
	loops.Go(func() { c.runQuarantineEvaluation(runCtx) })
	f := &follower{
		Name: c.node.VM,
		Node: c.node,

		DataCentre: c.Site.DataCentre,

		Clock:          c.Clock,
		Log:            c.Log,
		Metrics:        c.Metrics,
		Seeds:          func() []string { return nil },
		OnlyController: c.remoteLeader,
		Reports:        c.reportsForLeader,
		ApplyUpdate:    c.applyUpdate,

		LoadReport: c.loads.report,
		ApplyLoads: c.loads.applyFleetLoads,

		DemandReport: c.demands.report,
		ApplyDemands: c.demands.applyFleetDemands,

		RequestReport:      c.requests.report,
		ApplyRequestCounts: c.requests.apply,

		CasesSince: c.casesForLeader,

		ApplyCapacities: c.loads.applyCapacities,

		Limits: &c.publisher.limits,
	}
	loops.Go(func() { f.run(runCtx) })
	<-ctx.Done()
	c.Log.Info().Msg("stopping")
	c.transferLeadership(runCtx)
	stop()
	loops.Wait()
	c.store.log.Close()
	c.store.folder.Close()
	c.Log.Info().Msg("stopped")
}

// transferLeadership transfers the leadership and waits until this controller has stopped
// leading, for at most two election timeouts.
func (c *Controller) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*electionTimeout)
	defer cancel()
	if !c.group.TransferLeadership(ctx) {
		return
	}
	for c.IsLeader() && ctx.Err() == nil {
		<-c.Clock.After(heartbeatInterval / 2)
	}
}

// IsLeader reports whether this controller leads the consensus group.
func (c *Controller) IsLeader() bool { return c.group.View().Role == consensus.Leader }

// remoteLeader returns the address of the controller that leads, or "" if no leader is known or
// this controller leads.
func (c *Controller) remoteLeader() string {
	if l := c.group.View().LeaderVM; l != c.node.VM {
		return l
	}
	return ""
}

// reportsForLeader returns the entries' reports that were not forwarded to the leader yet.
func (c *Controller) reportsForLeader() []*wire.Account {
	return c.publisher.takeUnforwardedReports()
}

// applyUpdate applies an update from the leader, except for the state, which comes through the
// log.
func (c *Controller) applyUpdate(u *wire.Update) bool {
	c.publisher.setEntries(int(u.GetEntries()))
	for i, name := range u.GetControllers() {
		if i < len(u.GetDatacentres()) {
			c.publisher.setDataCentre(name, u.GetDatacentres()[i])
		}
	}
	if cold := coldUpstreamsOf(u, c.Clock.Now()); cold != nil {
		c.publisher.mergeColdUpstreams(cold, c.Clock.Now())
	}
	c.publisher.mergeLimits(fromWireLimits(u.GetLimits(), c.Clock.Now()))
	c.publisher.detours.merge(u.GetDetours())
	if u.GetAge() < 0 {
		return true
	}
	readAt := c.Clock.Now().Add(-time.Duration(u.GetAge()))
	if u.GetListed() {
		return c.publisher.setList(upstreamsOf(u), readAt)
	}
	list, _ := c.publisher.upstreams()
	return c.publisher.setList(list, readAt)
}

// PublishDocument proposes a document to the fleet. It returns nil once a quorum has stored the
// document or one with a higher number.
func (c *Controller) PublishDocument(ctx context.Context, number uint64, document []byte) error {
	// A concurrent change may replace the base document; the document is then proposed whole.
	for _, s := range []*register.State{c.register.Current(), {}} {
		result, err := c.propose(ctx, c.documentCommand(s, number, document))
		if err != nil {
			return err
		}
		if string(result) != register.OtherBase {
			return nil
		}
		c.incrementCounter("declare.again")
	}
	return newError("declare", Unavailable, errors.New("the document could not be opened"))
}

// documentCommand packs the document into a command, one document at a time: packing the
// largest takes 25 MB.
func (c *Controller) documentCommand(s *register.State, number uint64, document []byte) register.Command {
	c.packMu.Lock()
	defer c.packMu.Unlock()
	return register.Offer(s, number, document)
}

// ReadState returns a state that includes every command acknowledged before the call. The
// document is not sent again if this controller already has it.
func (c *Controller) ReadState(ctx context.Context) (*register.State, error) {
	current := c.register.Current()
	result, err := c.propose(ctx, register.Command{
		Read: true,
		Have: current.Number,
	})
	if err != nil {
		return nil, err
	}
	s, err := register.Decode(result)
	if err == nil && s.Number == current.Number {
		s.Document = current.Document
	}
	return s, err
}

func (c *Controller) propose(ctx context.Context, command register.Command) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	result, err := c.proposer.Propose(ctx, register.Encode(command))
	if err != nil {
		return nil, newError("order", Unavailable, err)
	}
	return result, nil
}

// proposeLocally proposes a decision of this controller as the leader. The decision is dropped if this
// controller does not lead any more: another leader decides by itself then, and a decision that arrived
// there late could undo a later one.
func (c *Controller) proposeLocally(ctx context.Context, command register.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if _, err := c.group.Propose(ctx, register.Encode(command)); err != nil {
		return newError("decide", Unavailable, err)
	}
	return nil
}

// consensusSender sends the consensus messages. A message without a receiver, such as the join
// message of a learner that looks for the leader, goes to the seeds and to the voters of the
// current configuration.
type consensusSender struct {
	controller *Controller
}

// Send implements [persimmoncross.Sender].
func (s *consensusSender) Send(m persimmoncross.Message) {
	if m.ToVM != "" {
		s.controller.node.Send(m)
		return
	}
	sent := map[string]bool{
		s.controller.node.VM: true,
	}
	names := *s.controller.seeds.Load()
	for _, v := range s.controller.group.View().Config.Voters {
		names = append(names[:len(names):len(names)], v.VM)
	}
	for _, name := range names {
		if sent[name] {
			continue
		}
		sent[name] = true
		m.ToVM = name
		s.controller.node.Send(m)
	}
}
