// Package vm puts one VM's process together: its members of the replicated
// logs, its connections to the other VMs, the callers' and the operators' API,
// and the goroutines that keep its view of the fleet fresh.
//
//	caller ─▶ io/transport/caller ─▶ core/coordination/dispatch ─▶ io/transport/engine ─▶ upstream
//	                                   │ claim, settle
//	                                   ▼
//	                    io/transport/peer (Proposer) ─▶ core/coordination/group ─▶ disk
//	operator ─▶ io/transport/operator ──┘
package vm

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/detour"
	"persimmoncross/core/coordination/dispatch"
	"persimmoncross/core/coordination/group"
	"persimmoncross/core/coordination/limits"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/rollout"
	"persimmoncross/core/coordination/routing"
	"persimmoncross/core/state/ledger"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/transport/caller"
	detourio "persimmoncross/io/transport/detour"
	"persimmoncross/io/transport/disk"
	"persimmoncross/io/transport/engine"
	"persimmoncross/io/transport/operator"
	"persimmoncross/io/transport/peer"
	"persimmoncross/io/transport/socket"
)

// Names of the replicated logs.
const (
	settingsGroup = "settings"
	ledgerGroup   = "ledger"
)

// headerTimeout bounds how long a caller may take to send its headers.
const headerTimeout = 10 * time.Second

// Version is the program's version, shown by the command line and in status.
const Version = "0.10.0"

// VM is one VM's process. The exported fields are set before Run.
type VM struct {
	Local *settings.Local
	Clock persimmoncross.Clock
	Log   zerolog.Logger
	// Listeners replaces the addresses of Local; nil opens those.
	Listeners *Listeners
	// SweepAfter is the age at which a dead owner's claim is settled; 0 is a minute.
	SweepAfter time.Duration
	// DialUpstream opens a connection from this VM to an upstream; nil: a direct TCP connection.
	DialUpstream func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Ready is called once the VM is ready for callers the first time; may be nil.
	Ready func()

	incarnation string
	metrics     metrics.Registry
	folder      *disk.Folder
	member      persimmoncross.MemberID
	origin      atomic.Pointer[persimmoncross.Config]
	state       *settings.State
	ledger      *ledger.Ledger // nil without a disk
	settings    *group.Replica
	bills       *group.Replica // nil without a disk
	started     atomic.Bool    // the groups run
	node        *peer.Node
	changes     *peer.Proposer
	claims      *peer.Proposer
	gate        *gate
	presence    *presence
	table       *routing.Table
	client      *engine.Client
	paths       *detour.Paths
	dialer      *detourio.Dialer // connects to upstreams
	detours     *detourio.Server // connects other VMs to upstreams
	evidence    *rollout.Collector
	book        *quarantine.Recorder
	keeper      *quarantine.Store
	limits      *limits.Limiter
	dispatcher  *dispatch.Dispatcher
	callers     *http.Server
	operators   *http.Server
	secrets     *secrets
}

// Listeners are the sockets that a VM serves on.
type Listeners struct {
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
}

// Run serves until the context ends and then stops gracefully: nothing that
// runs is cut. It returns nil after a graceful stop.
func (v *VM) Run(ctx context.Context) error {
	if err := v.prepare(); err != nil {
		return err
	}
	defer v.close()
	// What serves requests outlives ctx, until the graceful stop is through.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var duties sync.WaitGroup
	v.serve(life, &duties)
	if v.bootstrap(ctx) {
		v.startGroups(life, &duties)
		v.signalReady(ctx)
		<-ctx.Done()
	}
	v.stop()
	end()
	duties.Wait()
	return nil
}

// prepare opens what can fail, so that a start that can't work fails at once.
func (v *VM) prepare() error {
	v.incarnation = uuid.NewString()
	v.metrics = metrics.NewRegistry()
	v.secrets = &secrets{
		local: v.Local,
		clock: v.Clock,
		log:   v.Log,
	}
	if err := v.secrets.load(); err != nil {
		return err
	}
	if err := v.listen(); err != nil {
		return err
	}
	if err := v.openDisk(); err != nil {
		v.closeListeners()
		return err
	}
	v.assemble()
	return nil
}

func (v *VM) listen() error {
	if v.Listeners != nil {
		return nil
	}
	v.Listeners = &Listeners{}
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		target  *net.Listener
	}{
		{
			name:    "caller",
			address: v.Local.Caller,
			target:  &v.Listeners.Caller,
		},
		{
			name:    "operator",
			address: v.Local.Operator,
			target:  &v.Listeners.Operator,
		},
		{
			name:    "peer",
			address: v.Local.Peer,
			target:  &v.Listeners.Peer,
		},
	} {
		config := net.ListenConfig{
			Control: socket.LimitUnread(maxUnreadBytes),
		}
		if l.target == &v.Listeners.Peer {
			config.Control = nil // messages of peers are large, and their senders known
		}
		opened, err := config.Listen(context.Background(), "tcp", l.address.String())
		if err != nil {
			v.closeListeners()
			return failure("start", Start, err, "the %s address can't be taken", l.name)
		}
		*l.target = opened
	}
	return nil
}

func (v *VM) closeListeners() {
	for _, l := range []net.Listener{v.Listeners.Caller, v.Listeners.Operator, v.Listeners.Peer} {
		if l != nil {
			l.Close()
		}
	}
}

// assemble makes the parts and joins them.
func (v *VM) assemble() {
	v.state = settings.NewState()
	v.client = engine.NewClient()
	v.book = &quarantine.Recorder{
		VM: v.Local.Name,
	}
	v.keeper = &quarantine.Store{}
	v.evidence = &rollout.Collector{
		Clock: v.Clock,
	}
	v.node = &peer.Node{
		VM:       v.Local.Name,
		Listener: v.Listeners.Peer,
		Peers:    v.otherVMs(),
		TLS:      v.peerTLS(),
		Handler: &handler{
			vm: v,
		},
		Clock:   v.Clock,
		Metrics: v.metrics,
		Log:     v.Log,

		Connections: v.newConnections("peers", peerFraction),
		Messages:    v.newBodies("messages", 1),
		MaxStreams:  maxStreams,
	}
	v.node.Prepare()
	v.prepareDetours()
	v.settings = v.newGroup(settingsGroup, v.state)
	if v.folder != nil {
		v.ledger = ledger.New()
		v.bills = v.newGroup(ledgerGroup, v.ledger)
	}
	v.changes = v.newProposer(settingsGroup, v.settings)
	v.claims = v.newProposer(ledgerGroup, v.bills)
	v.gate = &gate{
		vm: v,
	}
	v.presence = &presence{
		vm: v,
	}
	v.table = &routing.Table{
		Clock:       v.Clock,
		DataCentre:  v.Local.DataCentre,
		LiveEntries: v.presence.entries,
		Picker: &routing.ExpectedLatency{
			Random: newRandom(),
		},
	}
	v.state.Observe = v.takeSettings
	v.limits = &limits.Limiter{
		Clock:       v.Clock,
		LiveEntries: v.presence.entries,
	}
	v.dispatcher = v.newDispatcher()
	v.dispatcher.Prepare()
	v.callers = &http.Server{
		Handler:           v.callerAPI(),
		ReadHeaderTimeout: headerTimeout,
	}
	v.newConnections("callers", callerFraction).Bind(v.callers)
	v.operators = &http.Server{
		Handler:           v.operatorAPI(),
		ReadHeaderTimeout: headerTimeout,
	}
	v.newConnections("operators", operatorFraction).Bind(v.operators)
}

// takeSettings is called with each revision before it is in force here.
func (v *VM) takeSettings(s *settings.Snapshot) {
	v.table.Update(s)
	v.evidence.SetPlans(v.plans(s))
	v.Log.Info().Uint64("revision", s.Revision).Msg("settings in force")
}

func (v *VM) otherVMs() map[string]netip.AddrPort {
	others := map[string]netip.AddrPort{}
	for name, p := range v.Local.Peers {
		if name != v.Local.Name {
			others[name] = p.Address
		}
	}
	return others
}

func (v *VM) peerTLS() *tls.Config {
	if v.Local.TLS == nil {
		return nil
	}
	return v.secrets.tlsConfig()
}

func (v *VM) newProposer(name string, local *group.Replica) *peer.Proposer {
	return &peer.Proposer{
		Group: name,
		Node:  v.node,
		Local: local,
		Clock: v.Clock,
	}
}

func (v *VM) newDispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Owner:              v.owner(),
		Clock:              v.Clock,
		FleetTime:          v.presence.stamp,
		Settings:           v.state.Current,
		Admitter:           v.gate,
		Ledger:             v.claims,
		UpstreamClient:     v.client,
		Prober:             v.client,
		QuarantineRecorder: v.book,
		QuarantineStore:    v.keeper,
		Table:              v.table,
		Limiter:            v.limits,
		Rater: &engine.Rater{
			Client:  v.client,
			Address: v.raterAddress,
		},
		Joiner: &joiner{
			vm: v,
		},
		CascadeEstimator: &cascade.Estimator{},
		RolloutEvidence:  v.evidence,
		Metrics:          v.metrics,
		Log:              v.Log,
		Random:           newRandom(),
	}
}

// owner names this process in claims.
func (v *VM) owner() string { return v.Local.Name + "#" + v.incarnation }

func (v *VM) raterAddress() (netip.AddrPort, bool) {
	if a := v.state.Current().File.Rater; a != nil {
		return *a, true
	}
	return netip.AddrPort{}, false
}

func (v *VM) callerAPI() http.Handler {
	s := &caller.Server{
		Dispatcher: v.dispatcher,
		Settings:   v.state.Current,
		Leaving:    v.gate.leaving.Load,
		Clock:      v.Clock,
		Metrics:    v.metrics,
		Bodies:     v.newBodies("bodies", largeBodyFraction),
	}
	return s.Handler()
}

func (v *VM) operatorAPI() http.Handler {
	s := &operator.Server{
		Fleet: operator.Fleet{
			VM:        v.Local.Name,
			Clock:     v.Clock,
			State:     v.state,
			Changes:   v.changes,
			Table:     v.table,
			Ledger:    v.ledger,
			CatchUp:   v.catchUp,
			Reports:   v.presence.ask,
			VMs:       v.vmNames,
			Repair:    v.repair,
			Transfers: v.transferAll,
		},
		Operators: v.secrets.operators,
		Ready:     v.gate.ready,
		Metrics:   v.metrics,
		Files:     v.newBodies("files", 1),
	}
	return s.Handler()
}

// serve starts the goroutines that don't need the logs.
func (v *VM) serve(ctx context.Context, duties *sync.WaitGroup) {
	duties.Go(func() { v.node.Run(ctx) })
	duties.Go(func() { v.dialer.Run(ctx) })
	duties.Go(func() { v.callers.Serve(v.Listeners.Caller) })
	duties.Go(func() { v.operators.Serve(v.Listeners.Operator) })
	duties.Go(func() { v.secrets.watch(ctx) })
}

// startGroups starts the logs and what depends on them.
func (v *VM) startGroups(ctx context.Context, duties *sync.WaitGroup) {
	duties.Go(func() { v.settings.Run(ctx) })
	if v.bills != nil {
		duties.Go(func() { v.bills.Run(ctx) })
		duties.Go(func() { v.sweepLoop(ctx) })
	}
	v.started.Store(true)
	duties.Go(func() { v.presence.run(ctx) })
	duties.Go(func() { v.pollUpstreams(ctx) })
	duties.Go(func() { v.pollPlatform(ctx) })
	duties.Go(func() { v.dispatcher.RunRatings(ctx) })
	duties.Go(func() { v.dispatcher.RunLateSettlements(ctx) })
	duties.Go(func() { v.rolloutLoop(ctx) })
	duties.Go(func() { v.ordersLoop(ctx) })
}

const readyPoll = 20 * time.Millisecond

// signalReady waits until callers can be served, and tells.
func (v *VM) signalReady(ctx context.Context) {
	for v.gate.ready() != nil {
		select {
		case <-v.Clock.After(readyPoll):
		case <-ctx.Done():
			return
		}
	}
	v.Log.Info().Str("vm", v.Local.Name).
		Str("caller", v.Listeners.Caller.Addr().String()).
		Str("operator", v.Listeners.Operator.Addr().String()).
		Uint64("revision", v.state.Current().Revision).
		Msg("ready")
	if v.Ready != nil {
		v.Ready()
	}
}

// close ends what a VM holds at whatever point its start has come to: the logs
// are opened only once the first voters have agreed.
func (v *VM) close() {
	v.callers.Close()
	v.operators.Close()
	v.closeListeners()
	if v.folder == nil {
		return
	}
	for _, g := range []*group.Replica{v.settings, v.bills} {
		if g.Storage != nil {
			g.Storage.Close()
		}
	}
	v.folder.Close()
}

func (v *VM) vmNames() []string {
	names := []string{v.Local.Name}
	for name := range v.node.Peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid())))
}
