// Package node puts together the two kinds of process of a fleet that finds
// its members by itself: controllers, which keep the operators' documents in a
// replicated log and decide for the fleet, and entries, which serve callers and
// follow a controller.
//
//	caller ─▶ entry ─▶ core/coordination/relay ─▶ io/transport/forward ─▶ upstream
//	             ▲ updates   │ accounts
//	             │           ▼
//	operator ─▶ controller: register in a replicated log, list of upstreams,
//	             voters (steward), upgrades
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
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

// Times of the log. An election takes one to two election times; a lease ends
// before that, so that a controller that was cut off does not pass for recent.
const (
	heartbeat = 100 * time.Millisecond
	election  = 500 * time.Millisecond
	leaseTime = 1000 * time.Millisecond
)

// orderWait bounds an operator's order: callers go to another controller after
// a second without an answer.
const orderWait = 900 * time.Millisecond

// Controller is one controller's process. The exported fields are set before
// Run.
type Controller struct {
	Site    *settings.Site
	Clock   persimmoncross.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry
	Lister  persimmoncross.UpstreamLister
	// Decode reads a document that passed its check before it was kept; nil: no
	// upstream is cold.
	Decode func(document []byte) (*catalog.Catalog, error)

	store    *store
	register *register.Register
	group    *group.Group
	node     *peer.Node
	orders   *peer.Proposer
	hub      *hub
	loads    *loadBoard
	cases    *caseBoard
	watch    upgradeWatch
	colds    coldWatch
	seeds    atomic.Pointer[[]string]
	opened   atomic.Bool

	followers atomic.Int64 // streams to followers under way
	packing   sync.Mutex   // held while a document is packed for the log
	decoding  sync.Mutex   // held while a document is decoded
}

// OneDocument does what decodes a document while nobody else does: that takes some
// twenty times its bytes, and operators may send several at once that are as large as
// they may be.
func (c *Controller) OneDocument(decode func()) {
	c.decoding.Lock()
	defer c.decoding.Unlock()
	decode()
}

// Prepare opens the data folder and the peer socket.
func (c *Controller) Prepare(ctx context.Context) error {
	c.SetSeeds(c.Site)
	st, err := openStore(c.Site, c.Log)
	if err != nil {
		return failure("start", Start, err)
	}
	c.store = st
	listener, err := socket.Listen().Listen(ctx, "tcp", c.Site.Peer.String())
	if err != nil {
		return failure("start", Start, err)
	}
	c.assemble(listener)
	if err := c.group.Open(); err != nil {
		return failure("start", Start, err)
	}
	c.opened.Store(true)
	return nil
}

func (c *Controller) assemble(listener net.Listener) {
	c.hub = newHub(c.Clock)
	c.hub.place(c.Site.Peer.String(), c.Site.DataCentre)
	metrics.NewRegisteredFunctionalGauge("followers", c.Metrics, c.followers.Load)
	c.loads = &loadBoard{
		clock: c.Clock,
	}
	c.cases = &caseBoard{
		clock: c.Clock,
	}
	c.register = register.New()
	c.register.Changed = c.stateChanged
	c.node = &peer.Node{
		VM:       c.Site.Peer.String(),
		Listener: listener,
		Open:     true,
		Via:      c.Site.Via,
		Handler: &calls{
			controller: c,
		},
		Clock:   c.Clock,
		Metrics: c.Metrics,
		Log:     c.Log,
	}
	c.node.Prepare()
	c.group = &group.Group{
		Core: &consensus.Core{
			Group:     groupName,
			ID:        c.store.member,
			VM:        c.node.VM,
			Heartbeat: heartbeat,
			Election:  election,
			Lease:     leaseTime,
			Random:    rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid()))),
			Announce:  true,
		},
		Storage: c.store.log,
		Machine: c.register,
		Sender: &sender{
			controller: c,
		},
		Clock:   c.Clock,
		Metrics: c.Metrics,
		Log:     c.Log,
	}
	c.orders = &peer.Proposer{
		Group: groupName,
		Node:  c.node,
		Local: c.group,
		Clock: c.Clock,
	}
}

// SetSeeds takes the seeds of a file that was read again.
func (c *Controller) SetSeeds(s *settings.Site) {
	names := seedNames(s)
	c.seeds.Store(&names)
}

func seedNames(s *settings.Site) []string {
	var names []string
	for _, a := range s.Seeds {
		if p := s.PeerOf(a); p != s.Peer {
			names = append(names, p.String())
		}
	}
	return names
}

// stateChanged passes the register's state on to the followers.
func (c *Controller) stateChanged(s *register.State) {
	c.hub.setState(s)
	c.colds.follow(s, c.Clock.Now())
	c.Log.Info().Uint64("index", s.Index).Uint64("number", s.Number).Int("upgrades", len(s.Upgrades)).Strs("evacuated", evacuated(s)).Msg("state")
}

// Run serves until the context ends, and then hands the leadership over.
func (c *Controller) Run(ctx context.Context) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var duties sync.WaitGroup
	duties.Go(func() { c.node.Run(life) })
	duties.Go(func() { c.group.Run(life) })
	duties.Go(func() { c.listDuty(life) })
	duties.Go(func() { c.votersDuty(life) })
	duties.Go(func() { c.upgradesDuty(life) })
	duties.Go(func() { c.holdsDuty(life) })
	f := &follower{
		Name: c.node.VM,
		Node: c.node,

		DataCentre: c.Site.DataCentre,

		Clock:    c.Clock,
		Log:      c.Log,
		Metrics:  c.Metrics,
		Seeds:    func() []string { return nil },
		Only:     c.otherLeader,
		Accounts: c.relayed,
		Take:     c.takeUpdate,

		Loads:     c.loads.account,
		TakeLoads: c.loads.learn,
		Cases:     c.relayedCases,
		Limits:    &c.hub.limits,
	}
	duties.Go(func() { f.run(life) })
	<-ctx.Done()
	c.Log.Info().Msg("stopping")
	c.handOver(life)
	end()
	duties.Wait()
	c.store.log.Close()
	c.store.folder.Close()
	c.Log.Info().Msg("stopped")
}

// handOver gives away the leadership and waits until another member has it.
func (c *Controller) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*election)
	defer cancel()
	if !c.group.Transfer(ctx) {
		return
	}
	for c.Leads() && ctx.Err() == nil {
		<-c.Clock.After(heartbeat / 2)
	}
}

// Leads reports whether this controller leads the log.
func (c *Controller) Leads() bool { return c.group.View().Role == consensus.Leader }

// otherLeader returns the controller that leads, "" if none is known or this
// one leads.
func (c *Controller) otherLeader() string {
	if l := c.group.View().Leader; l != c.node.VM {
		return l
	}
	return ""
}

// relayed returns the entries' accounts for the leader.
func (c *Controller) relayed() []*wire.Account {
	return c.hub.unrelayed()
}

// takeUpdate takes the leader's list; the state comes with the log.
func (c *Controller) takeUpdate(u *wire.Update) bool {
	c.hub.setEntries(int(u.GetEntries()))
	for i, name := range u.GetControllers() {
		if i < len(u.GetDatacentres()) {
			c.hub.place(name, u.GetDatacentres()[i])
		}
	}
	if told := coldsOf(u, c.Clock.Now()); told != nil {
		c.hub.addColds(told, c.Clock.Now())
	}
	c.hub.mergeLimits(limitsOf(u.GetLimits(), c.Clock.Now()))
	if u.GetAge() < 0 {
		return true
	}
	read := c.Clock.Now().Add(-time.Duration(u.GetAge()))
	if u.GetListed() {
		return c.hub.setList(upstreamsOf(u), read)
	}
	list, _ := c.hub.upstreams()
	return c.hub.setList(list, read)
}

// Declare offers a document to the fleet. It returns nil once the document, or
// one with a higher number, is kept by a quorum.
func (c *Controller) Declare(ctx context.Context, number uint64, document []byte) error {
	// Another change may take the base away meanwhile: then it is offered whole.
	for _, s := range []*register.State{c.register.Current(), {}} {
		result, err := c.order(ctx, c.offer(s, number, document))
		if err != nil {
			return err
		}
		if string(result) != register.OtherBase {
			return nil
		}
		c.count("declare.again")
	}
	return failure("declare", Unavailable, errors.New("the document could not be opened"))
}

// offer packs one document at a time: that takes 25 MB for the largest.
func (c *Controller) offer(s *register.State, number uint64, document []byte) register.Command {
	c.packing.Lock()
	defer c.packing.Unlock()
	return register.Offer(s, number, document)
}

// Read returns the state with all that was acknowledged before the call. A
// document that is held here already is not sent again.
func (c *Controller) Read(ctx context.Context) (*register.State, error) {
	held := c.register.Current()
	result, err := c.order(ctx, register.Command{
		Read: true,
		Have: held.Number,
	})
	if err != nil {
		return nil, err
	}
	s, err := register.Decode(result)
	if err == nil && s.Number == held.Number {
		s.Document = held.Document
	}
	return s, err
}

// Begin orders an upgrade.
func (c *Controller) Begin(ctx context.Context, service, target string, duration time.Duration) error {
	_, err := c.order(ctx, register.Command{
		Begin: &register.Upgrade{
			Service:  service,
			Target:   target,
			Duration: duration,
			Began:    c.Clock.Now().UnixMilli(),
		},
	})
	return err
}

// Evacuate orders that nothing more goes to the upstreams of a data centre, or ends
// that. It returns nil once the order is kept by a quorum; of a data centre that
// nobody knows it returns an [Error] of kind [Unknown].
func (c *Controller) Evacuate(ctx context.Context, dataCentre string, end bool) error {
	known, sure := c.knows(dataCentre)
	switch {
	case !known && !sure:
		return failure("evacuate", Unavailable, errNoList)
	case !known:
		return failure("evacuate", Unknown, fmt.Errorf("there is no data centre %q", dataCentre))
	}
	_, err := c.order(ctx, register.Command{
		Evacuate: &register.Evacuate{
			DataCentre: dataCentre,
			End:        end,
		},
	})
	c.Log.Info().Err(err).Str("datacentre", dataCentre).Bool("end", end).Msg("evacuation ordered")
	return err
}

// errNoList tells that a data centre may have upstreams of which this controller does
// not know yet.
var errNoList = errors.New("the list of upstreams was not read yet")

// knows reports whether a data centre is one of the settings', or has upstreams, or is
// evacuated. It is not sure of one that has none before there is a list.
func (c *Controller) knows(dataCentre string) (known, sure bool) {
	if _, ok := c.Site.Regions[dataCentre]; ok || dataCentre == c.Site.DataCentre {
		return true, true
	}
	if _, ok := c.register.Current().Evacuations[dataCentre]; ok {
		return true, true
	}
	list, read := c.hub.upstreams()
	known = slices.ContainsFunc(list, func(u persimmoncross.Upstream) bool { return u.DataCentre == dataCentre })
	return known, !read.IsZero()
}

func (c *Controller) order(ctx context.Context, command register.Command) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	result, err := c.orders.Propose(ctx, register.Encode(command))
	if err != nil {
		return nil, failure("order", Unavailable, err)
	}
	return result, nil
}

// sender sends the log's messages; a member that looks for the leader asks the
// seeds and the voters that it knows of.
type sender struct {
	controller *Controller
}

// Send implements [persimmoncross.Sender].
func (s *sender) Send(m persimmoncross.Message) {
	if m.Dest != "" {
		s.controller.node.Send(m)
		return
	}
	asked := map[string]bool{
		s.controller.node.VM: true,
	}
	names := *s.controller.seeds.Load()
	for _, v := range s.controller.group.View().Set.Voters {
		names = append(names[:len(names):len(names)], v.VM)
	}
	for _, name := range names {
		if asked[name] {
			continue
		}
		asked[name] = true
		m.Dest = name
		s.controller.node.Send(m)
	}
}
