package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/detour"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/coordination/slotshare"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/packed"
	"persimmoncross/core/state/register"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/wire"
	detourio "persimmoncross/io/transport/detour"
	"persimmoncross/io/transport/forward"
	"persimmoncross/io/transport/peer"
)

// Entry is the process of an entry. The exported fields are set before Run.
type Entry struct {
	Site    *settings.Site
	Clock   persimmoncross.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry
	Lister  persimmoncross.UpstreamLister
	Codec   persimmoncross.ProxyHeaderCodec
	// Decode parses a document that was validated before it was stored.
	Decode        func(document []byte) (*catalog.Catalog, error)
	CascadePolicy cascade.EscalationPolicy
	Overload      persimmoncross.OverloadPolicy
	// DialUpstream opens a connection from this VM to an upstream; nil: a direct TCP connection.
	DialUpstream func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	incarnation        string
	relay              *relay.Relay
	client             *forward.Client
	canaryStats        *relay.CanaryStats
	sessionCollector   *sessionCollector
	quarantineRecorder *quarantine.Recorder
	pool               *relay.Pool
	node               *peer.Node
	paths              *detour.Paths
	dialer             *detourio.Dialer // connects to upstreams
	detours            *detourio.Server // connects other entries to upstreams
	gate               *callerGate      // decides which requests are read
	follower           *follower        // set by Run
	view               atomic.Pointer[relay.View]
	seeds              atomic.Pointer[[]string]
	stopping           atomic.Bool
	reportedNotReady   atomic.Pointer[string] // what ReportReady last answered; nil: nothing yet

	mu                  sync.Mutex // guards all below
	stateIndex          uint64
	state               *register.State // without its document
	document            document
	catalog             *catalog.Catalog // catalog of the last document that could be decoded
	targets             map[string][]*relay.Target
	listReadAt          time.Time                                           // read time of the list in force; zero: none
	quarantines         map[persimmoncross.Digest]persimmoncross.Quarantine // from the controllers; read-only
	quarantinesIndex    uint64                                              // state index of the controllers' quarantines
	localQuarantines    *quarantine.Store                                   // this entry's own decisions; nil: a controller decides
	rejoinedAt          time.Time                                           // when a controller had a lease again; zero: not yet
	upgradesStale       bool                                                // no controller with a lease was reached for staleUpgradeTimeout
	leasedAt            time.Time                                           // when an update from a controller with a lease last arrived
	openStreamsLoggedAt time.Time                                           // when the open streams of upgrades were last logged
	// capacityMetricsAt is when the gauges of capacities were last updated.
	capacityMetricsAt time.Time
	startedAt         time.Time
	entries           entryCount
	fleetRequests     fleetRequests
}

// Prepare creates the components of the entry.
func (e *Entry) Prepare() {
	e.incarnation = uuid.NewString()
	e.startedAt = e.Clock.Now()
	e.SetSeeds(e.Site)
	e.gate = &callerGate{
		Clock:   e.Clock,
		Metrics: e.Metrics,
		Log:     e.Log,
		Limits:  e.Limits,
	}
	e.client = &forward.Client{
		Codec:   e.Codec,
		Clock:   e.Clock,
		Metrics: e.Metrics,
	}
	e.pool = &relay.Pool{
		Clock:      e.Clock,
		OnRemoved:  e.client.CloseIdle,
		OnReplaced: e.upstreamRestarted,

		RateLimits: &ratelimit.Store{},
	}
	e.canaryStats = &relay.CanaryStats{}
	sessions := &relay.Sessions{
		IdleTimeout: e.Site.Bounds.SessionIdle,
	}
	e.sessionCollector = &sessionCollector{
		Sessions: sessions,
		Share:    e.Site.Bounds.ExposureShare,
	}
	e.quarantineRecorder = &quarantine.Recorder{
		VM: e.Site.Name,
	}
	e.relay = &relay.Relay{
		Forwarder: e.client,
		View:      e.view.Load,
		Clock:     e.Clock,
		StartedAt: e.Clock.Now(),
		Config: relay.Config{
			RetryBudgetRatio:   e.Site.Bounds.RetryShare,
			RetryBudgetWindow:  e.Site.Bounds.RetryWindow,
			RetryBudgetMinimum: e.Site.Bounds.RetrySlack,
			MaxCanaryShare:     e.Site.Bounds.ExposureShare,
			SessionIdleTimeout: e.Site.Bounds.SessionIdle,
			Overload:           e.Overload,
		},
		RegionByDataCentre: e.Site.Regions,
		Sessions:           sessions,
		CanaryStats:        e.canaryStats,
		ModelStats:         &relay.ModelStats{},
		QuarantineRecorder: e.quarantineRecorder,
		RateLimits:         e.pool.RateLimits,
		Prober:             e.client,
		Cascade:            e.CascadePolicy,
		FleetDemands:       &relay.FleetDemands{},
		HeldBytes:          relay.NewHeldBytes(e.Overload.MaxHeldBytes, e.Clock, e.Metrics, e.Log),
		Metrics:            e.Metrics,
		Log:                e.Log,
	}
	e.usePaces()
	e.node = &peer.Node{
		VM:      e.Site.Peer.String(),
		Open:    true,
		Via:     e.Site.Via,
		Clock:   e.Clock,
		Metrics: e.Metrics,
		Log:     e.Log,

		Connections: newConnections(entryPeerPart, e.Site, e.Clock, e.Metrics, e.Log),
		Messages:    newMessages(e.Site, e.Clock, e.Metrics),
		MaxStreams:  maxStreams(e.Site),
	}
	e.node.Prepare()
	e.gate.PeerDelay = newPeerDelay(e.Clock, e.followedController, e.node.Ping)
	e.prepareDetours()
	e.node.Handler = &entryHandler{
		entry: e,
	}
	e.client.Dial = e.dialer.Dial
	e.client.DialWithin = e.dialer.DialWithin
	e.client.Down = e.dialer.IsDown
	e.client.Accepting = e.dialer.Accepts
	e.pool.HasLostPath = e.paths.HasLost
}

// upstreamRestarted handles the replacement of an upstream by another instance under the same
// name or at the same address. The state kept on the previous instance no longer applies, and
// responses that broke off there are attributed to its crash.
func (e *Entry) upstreamRestarted(previous, current persimmoncross.Upstream) {
	metrics.GetOrRegisterCounter("upstreams.again", e.Metrics).Inc(1)
	crashed := e.quarantineRecorder.InstanceReplaced(previous.InstanceID(), e.Clock.Now())
	crashed.Log(e.Log.Info().Str("upstream", previous.Name).Time("was", previous.StartedAt).Str("by", current.Name).Time("started", current.StartedAt).Str("address", current.Address.String())).Msg("upstream replaced by another instance")
}

// SetSeeds replaces the seeds by those of a reloaded site file.
func (e *Entry) SetSeeds(s *settings.Site) {
	names := seedAddresses(s)
	e.seeds.Store(&names)
}

// Relay returns the relay that handles proxied requests.
func (e *Entry) Relay() *relay.Relay { return e.relay }

// Ready reports whether callers can be served, see notReady.
func (e *Entry) Ready() bool { return e.notReady() == "" }

// notReady returns why callers can't be served, "" if they can: a document is in force here, there
// are upstreams of a service that it declares, the process is not stopping, it has
// not held nearly all bytes that it may hold for a while, it does not refuse most connections of callers, and it reaches
// upstreams, itself or through other entries. An entry that reaches them through others stays ready: where most entries of a data
// centre are cut off alike, the load balancer sends callers to all of them.
func (e *Entry) notReady() string {
	v := e.view.Load()
	switch {
	case e.stopping.Load():
		return "stopping"
	case v == nil || v.Catalog == nil:
		return "no settings"
	case e.paths.IsCutOff(e.Clock.Now()):
		return "cut off"
	}
	for service := range v.Targets {
		if v.Catalog.Services[service] == nil {
			continue
		}
		if !e.relay.HasRoom() {
			return "no memory"
		}
		if e.gate.refusesMost() {
			return "refusing connections"
		}
		return ""
	}
	return "no upstreams"
}

// ReportReady is Ready for the load balancer. It logs each change of the answer, and keeps it in
// the gauge "ready".
func (e *Entry) ReportReady() bool {
	reason := e.notReady()
	if previous := e.reportedNotReady.Swap(&reason); previous == nil || *previous != reason {
		e.Log.Info().Bool("ready", reason == "").Str("why", reason).Msg("readiness changed")
	}
	value := int64(0)
	if reason == "" {
		value = 1
	}
	metrics.GetOrRegisterGauge("ready", e.Metrics).Update(value)
	return reason == ""
}

// Limits returns the limits of callers' requests, or nil if no document is in force yet.
func (e *Entry) Limits() *catalog.Limits {
	if v := e.view.Load(); v != nil && v.Catalog != nil {
		return &v.Catalog.Limits
	}
	return nil
}

// Run follows a controller until the context ends.
func (e *Entry) Run(ctx context.Context) {
	var loops sync.WaitGroup
	e.node.Listener = e.listenForPeers(ctx)
	loops.Go(func() { e.node.Run(ctx) })
	loops.Go(func() { e.client.Run(ctx) })
	loops.Go(func() { e.dialer.Run(ctx) })
	loops.Go(func() { e.runFallbackListReader(ctx) })
	loops.Go(func() { e.runLocalEvaluation(ctx) })
	e.follower = &follower{
		Name:  e.Site.Name,
		Entry: true,

		DataCentre: e.Site.DataCentre,

		Node:        e.node,
		Clock:       e.Clock,
		Log:         e.Log,
		Metrics:     e.Metrics,
		Seeds:       func() []string { return *e.seeds.Load() },
		Reports:     e.reports,
		ApplyUpdate: e.applyUpdate,

		HeldDocument:  e.heldDocument,
		ApplyDocument: e.applyDocument,

		LoadReport: e.loadReport,
		ApplyLoads: e.applyLoads,

		DemandReport: e.demandReport,
		ApplyDemands: e.applyDemands,

		RequestReport:      e.requestReport,
		ApplyRequestCounts: e.applyRequestCounts,

		ApplyCapacities: e.applyCapacities,

		Incarnation:      e.incarnation,
		CasesSince:       e.changedCases,
		Limits:           e.pool.RateLimits,
		ApplyQuarantines: e.applyQuarantines,
	}
	loops.Go(func() { e.follower.run(ctx) })
	loops.Go(func() { e.gate.PeerDelay.run(ctx) })
	loops.Wait()
}

// followedController returns the controller that this entry follows, "" for none.
func (e *Entry) followedController() string {
	if e.follower == nil {
		return "" // not running yet
	}
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.follower.followedController
}

// applyUpdate applies an update. It ignores a state that is older than the one in force,
// because it comes from a controller that lags behind. It returns false if the list in the
// update is older than the one in force.
func (e *Entry) applyUpdate(u *wire.Update) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	if u.GetLeased() {
		e.leasedAt = e.Clock.Now()
		changed = e.upgradesStale
		e.upgradesStale = false
	}
	if e.entries.update(int(u.GetEntries()), e.Clock.Now()) {
		e.pool.SetEntryCount(e.entries.count)
		changed = true
	}
	if len(u.GetState()) > 0 && u.GetIndex() > e.stateIndex {
		changed = e.applyState(u.GetState()) || changed
	}
	if cold := coldUpstreamsOf(u, e.Clock.Now()); cold != nil {
		e.pool.SetCold(cold)
	}
	e.applyDetours(u.GetDetours())
	if u.GetPlace() > 0 {
		e.pool.SetPlace(slotshare.Place{
			Index: int(u.GetPlace()) - 1,
			Count: int(u.GetPlaces()),
		})
	}
	if limits := fromWireLimits(u.GetLimits(), e.Clock.Now()); len(limits) > 0 {
		e.pool.MergeRateLimits(limits)
	}
	listApplied := true
	if u.GetAge() >= 0 {
		readAt := e.Clock.Now().Add(-time.Duration(u.GetAge()))
		listApplied = readAt.After(e.listReadAt)
		if listApplied && u.GetListed() {
			e.targets = e.pool.Update(upstreamsOf(u))
			changed = true
		}
		if listApplied {
			e.listReadAt = readAt
		}
	}
	if changed {
		e.publishView()
	}
	return listApplied
}

func (e *Entry) applyState(data []byte) bool {
	s, err := register.Decode(data)
	if err != nil {
		e.Log.Error().Err(err).Msg("a state from the controllers could not be decoded")
		return false
	}
	if e.state != nil && s.Number < e.state.Number {
		return false
	}
	e.stateIndex = s.Index
	if e.state != nil {
		e.assumeReturnedCold(e.state.Evacuations, s.Evacuations)
	}
	e.state = s
	return true
}

// heldDocument returns the document in force on this entry.
func (e *Entry) heldDocument() document {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document
}

// applyDocument brings a document into force, unless it is older than the one in force, because
// it then comes from a controller that lags behind.
func (e *Entry) applyDocument(number uint64, source []byte) {
	c, err := e.Decode(source)
	if err != nil {
		e.Log.Error().Err(err).Uint64("number", number).Msg("a stored document could not be decoded")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if number <= e.document.number {
		return
	}
	e.document = document{
		number:   number,
		checksum: packed.Sum(source),
		source:   source,
	}
	if err == nil {
		e.catalog = c
		e.publishView()
	}
}

// publishView rebuilds the view that requests are served from. The caller holds mu.
func (e *Entry) publishView() {
	v := &relay.View{
		Catalog:    e.catalog,
		Targets:    e.targets,
		EntryCount: e.entries.count,

		Quarantines: e.effectiveQuarantines(),
	}
	if s := e.state; s != nil {
		v.Upgrades = s.Upgrades
		v.UpgradesStale = e.upgradesStale
		v.Targets = availableTargets(e.targets, s.Evacuations)
	}
	v.ReservedInstances = relay.ReservedInstances(v.Quarantines, v.Targets)
	e.view.Store(v)
	running := map[uint64]bool{}
	for _, u := range v.Upgrades {
		if !u.Stage.Ended() {
			running[u.Order] = true
		}
	}
	e.canaryStats.Prune(running)
	number := uint64(0)
	if v.Catalog != nil {
		number = v.Catalog.Number
	}
	e.Log.Info().Uint64("index", e.stateIndex).Uint64("number", number).Int("services", len(v.Targets)).Int("entries", v.EntryCount).Int("holds", len(v.Quarantines)).Int("places", e.pool.Place().Count).Strs("evacuated", evacuatedDataCentres(e.state)).Msg("view")
}

// reports returns this entry's statistics on running upgrades and the sessions to pin.
func (e *Entry) reports() []*wire.Account {
	a := &wire.Account{
		Vm:          e.Site.Name,
		Incarnation: e.incarnation,
		Entry:       true,
		Peer:        e.Site.Peer.String(),
		Datacentre:  e.Site.DataCentre,
	}
	e.canaryStats.ObserveOpen(e.Clock.Now())
	e.logOpenStreams()
	for k, c := range e.canaryStats.Counts() {
		a.Trials = append(a.Trials, &wire.Trial{
			Service: k.Service,
			Version: k.Version,
			Route:   k.Route,
			Order:   k.UpgradeOrder,
			Runs:    c.Executions,
			Failed:  c.Failed,
			Timed:   c.DurationCount,
			Time:    c.DurationSum,
			Square:  c.DurationSquareSum,

			Upstream: k.Upstream,
			Model:    k.Model,
			Paces:    c.Paces,
			Open:     c.OpenStreams,
			Sent:     c.Sent,
		})
	}
	if v := e.view.Load(); v != nil {
		a.Recent = e.sessionCollector.collect(v.Upgrades, e.Clock.Now())
	}
	return []*wire.Account{a}
}

// loadReport returns the upstream loads that this entry has observed.
func (e *Entry) loadReport() []*wire.UpstreamLoad {
	now := e.Clock.Now()
	list := []*wire.UpstreamLoad{}
	for _, l := range e.pool.CollectLoads() {
		x := &wire.UpstreamLoad{
			Life: l.InstanceID,
			Work: uint32(l.PrefillTime / time.Millisecond),
		}
		if l.Reported != nil {
			x.Told = true
			x.Running = uint32(l.Reported.Running)
			x.Waiting = uint32(l.Reported.Waiting)
			x.Age = uint32(max(now.Sub(l.ReportedAt), 0) / time.Millisecond)
		}
		if l.Suspected {
			x.Doubters = 1
		}
		if l.Received {
			x.Heard = true
			x.Silence = uint32(l.SinceReceived / time.Millisecond)
		}
		addCapacity(x, l)
		list = append(list, x)
	}
	return list
}

// applyLoads applies the upstream loads of the whole fleet.
func (e *Entry) applyLoads(ids []string, loads []byte) {
	e.pool.ApplyFleetLoads(decodeLoads(ids, loads))
	e.relay.LoadsApplied()
}
