package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/packed"
	"persimmoncross/core/state/register"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/forward"
	"persimmoncross/io/transport/peer"
)

// Entry is one entry's process. The exported fields are set before Run.
type Entry struct {
	Site    *settings.Site
	Clock   persimmoncross.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry
	Lister  persimmoncross.UpstreamLister
	Codec   persimmoncross.PassageCodec
	// Decode reads a document that passed its check before it was kept.
	Decode func(document []byte) (*catalog.Catalog, error)
	Policy cascade.Confidence

	incarnation string
	relay       *relay.Relay
	client      *forward.Client
	evidence    *relay.Evidence
	book        *quarantine.Book
	pool        *relay.Pool
	node        *peer.Node
	follower    *follower // from Run on
	view        atomic.Pointer[relay.View]
	seeds       atomic.Pointer[[]string]
	leaving     atomic.Bool

	mu       sync.Mutex // guards all below
	index    uint64
	current  *register.State // without its document
	document document
	catalog  *catalog.Catalog // of document, or of the last one that could be read
	targets  map[string][]*relay.Target
	listRead time.Time                                     // when the list in force was read; zero: there is none
	holds    map[persimmoncross.Digest]persimmoncross.Hold // never changed
	holdsOf  uint64                                        // index of the state that they are of
	keeper   *quarantine.Keeper                            // while no controller judges for all; nil: one does
	rejoined time.Time                                     // when a controller judged again, while keeper refuses on; zero: none has
	leased   time.Time                                     // when a controller last told that its state is recent
	started  time.Time
	entries  entryCount
}

// Prepare makes the parts.
func (e *Entry) Prepare() {
	e.incarnation = uuid.NewString()
	e.started = e.Clock.Now()
	e.SetSeeds(e.Site)
	e.client = &forward.Client{
		Codec:   e.Codec,
		Clock:   e.Clock,
		Metrics: e.Metrics,
	}
	e.pool = &relay.Pool{
		Clock: e.Clock,
		Gone:  e.client.CloseIdle,
		Again: e.startedAgain,

		Limits: &ratelimit.Store{},
	}
	e.evidence = &relay.Evidence{}
	e.book = &quarantine.Book{
		VM: e.Site.Name,
	}
	e.relay = &relay.Relay{
		Forwarder: e.client,
		View:      e.view.Load,
		Clock:     e.Clock,
		Bounds: relay.Bounds{
			RetryShare:    e.Site.Bounds.RetryShare,
			RetryWindow:   e.Site.Bounds.RetryWindow,
			RetrySlack:    e.Site.Bounds.RetrySlack,
			ExposureShare: e.Site.Bounds.ExposureShare,
			SessionIdle:   e.Site.Bounds.SessionIdle,
		},
		Regions: e.Site.Regions,
		Sessions: &relay.Sessions{
			Idle: e.Site.Bounds.SessionIdle,
		},
		Evidence: e.evidence,
		Pressure: &relay.Pressure{},
		Book:     e.book,
		Limits:   e.pool.Limits,
		Prober:   e.client,
		Cascade:  e.Policy,
		Metrics:  e.Metrics,
		Log:      e.Log,
	}
	e.node = &peer.Node{
		VM:      e.Site.Peer.String(),
		Open:    true,
		Via:     e.Site.Via,
		Clock:   e.Clock,
		Metrics: e.Metrics,
		Log:     e.Log,
	}
	e.node.Prepare()
}

// startedAgain notes that an upstream is another one under the same name or at the same
// address: what was known of it is forgotten, and answers that broke off there were
// its end.
func (e *Entry) startedAgain(was, is persimmoncross.Upstream) {
	metrics.GetOrRegisterCounter("upstreams.again", e.Metrics).Inc(1)
	blamed := e.book.Succeeded(was.Life(), e.Clock.Now())
	e.Log.Info().Str("upstream", was.Incarnation).Time("was", was.Started).Str("by", is.Incarnation).Time("started", is.Started).Str("address", is.Address.String()).Strs("digests", quarantine.Named(blamed)).Int("requests", len(blamed)).Msg("upstream started again")
}

// SetSeeds takes the seeds of a file that was read again.
func (e *Entry) SetSeeds(s *settings.Site) {
	names := seedNames(s)
	e.seeds.Store(&names)
}

// Relay returns what serves passages.
func (e *Entry) Relay() *relay.Relay { return e.relay }

// Ready reports whether callers can be served: a document is in force here, there
// are upstreams of a service that it declares, and the process is not stopping.
func (e *Entry) Ready() bool {
	v := e.view.Load()
	if e.leaving.Load() || v == nil || v.Catalog == nil {
		return false
	}
	for service := range v.Targets {
		if v.Catalog.Services[service] != nil {
			return true
		}
	}
	return false
}

// Limits returns what callers may send, nil if no document is in force yet.
func (e *Entry) Limits() *catalog.Limits {
	if v := e.view.Load(); v != nil && v.Catalog != nil {
		return &v.Catalog.Limits
	}
	return nil
}

// Run follows a controller until the context ends.
func (e *Entry) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { e.node.Run(ctx) })
	duties.Go(func() { e.client.Run(ctx) })
	duties.Go(func() { e.listDuty(ctx) })
	duties.Go(func() { e.holdsDuty(ctx) })
	e.follower = &follower{
		Name:  e.Site.Name,
		Entry: true,

		DataCentre: e.Site.DataCentre,

		Node:     e.node,
		Clock:    e.Clock,
		Log:      e.Log,
		Metrics:  e.Metrics,
		Seeds:    func() []string { return *e.seeds.Load() },
		Accounts: e.accounts,
		Take:     e.take,

		Held:         e.held,
		TakeDocument: e.takeDocument,

		Loads:     e.loads,
		TakeLoads: e.takeLoads,

		Incarnation: e.incarnation,
		Cases:       e.toldCases,
		Limits:      e.pool.Limits,
		TakeHolds:   e.takeHolds,
	}
	duties.Go(func() { e.follower.run(ctx) })
	duties.Wait()
}

// take brings an update into force. A state that is older than the one here is
// not taken: it comes from a controller that lags. It returns false if the list
// in the update is older than the one in force.
func (e *Entry) take(u *wire.Update) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	if u.GetLeased() {
		e.leased = e.Clock.Now()
	}
	if e.entries.set(int(u.GetEntries()), e.Clock.Now()) {
		e.pool.SetEntries(e.entries.n)
		changed = true
	}
	if len(u.GetState()) > 0 && u.GetIndex() > e.index {
		changed = e.takeState(u.GetState()) || changed
	}
	if told := coldsOf(u, e.Clock.Now()); told != nil {
		e.pool.Chill(told)
	}
	if limits := limitsOf(u.GetLimits(), e.Clock.Now()); len(limits) > 0 {
		e.pool.MergeLimits(limits)
	}
	taken := true
	if u.GetAge() >= 0 {
		read := e.Clock.Now().Add(-time.Duration(u.GetAge()))
		taken = read.After(e.listRead)
		if taken && u.GetListed() {
			e.targets = e.pool.Update(upstreamsOf(u))
			changed = true
		}
		if taken {
			e.listRead = read
		}
	}
	if changed {
		e.publish()
	}
	return taken
}

func (e *Entry) takeState(data []byte) bool {
	s, err := register.Decode(data)
	if err != nil {
		e.Log.Error().Err(err).Msg("a state of the controllers can't be read")
		return false
	}
	if e.current != nil && s.Number < e.current.Number {
		return false
	}
	e.index = s.Index
	if e.current != nil {
		e.tookBack(e.current.Evacuations, s.Evacuations)
	}
	e.current = s
	return true
}

// held returns the document in force here.
func (e *Entry) held() document {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document
}

// takeDocument brings a document into force, unless it is older than the one
// here: it comes from a controller that lags.
func (e *Entry) takeDocument(number uint64, source []byte) {
	c, err := e.Decode(source)
	if err != nil {
		e.Log.Error().Err(err).Uint64("number", number).Msg("a document that was kept can't be read")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if number <= e.document.number {
		return
	}
	e.document = document{
		number: number,
		sum:    packed.Sum(source),
		source: source,
	}
	if err == nil {
		e.catalog = c
		e.publish()
	}
}

// publish makes the view that requests are served from.
func (e *Entry) publish() {
	v := &relay.View{
		Catalog: e.catalog,
		Targets: e.targets,
		Entries: e.entries.n,

		Holds: e.heldNow(),
	}
	if s := e.current; s != nil {
		v.Upgrades = s.Upgrades
		v.Targets = remainingTargets(e.targets, s.Evacuations)
	}
	v.Reserved = relay.Reserve(v.Holds, v.Targets)
	e.view.Store(v)
	running := map[uint64]bool{}
	for _, u := range v.Upgrades {
		if !u.Stage.Ended() {
			running[u.Order] = true
		}
	}
	e.evidence.Forget(running)
	number := uint64(0)
	if v.Catalog != nil {
		number = v.Catalog.Number
	}
	e.Log.Info().Uint64("index", e.index).Uint64("number", number).Int("services", len(v.Targets)).Int("entries", v.Entries).Int("holds", len(v.Holds)).Strs("evacuated", evacuated(e.current)).Msg("view")
}

// accounts returns what this entry saw of upgrades.
func (e *Entry) accounts() []*wire.Account {
	a := &wire.Account{
		Vm:          e.Site.Name,
		Incarnation: e.incarnation,
		Entry:       true,
	}
	for k, c := range e.evidence.Counts() {
		a.Trials = append(a.Trials, &wire.Trial{
			Service: k.Service,
			Version: k.Version,
			Route:   k.Route,
			Order:   k.Order,
			Runs:    c.Runs,
			Failed:  c.Failed,
			Timed:   c.Timed,
			Time:    c.Time,
			Square:  c.Square,
		})
	}
	a.Recent = e.recent()
	return []*wire.Account{a}
}

// recent returns the sessions that the trials which are prepared must leave
// where they are.
func (e *Entry) recent() []*wire.Recent {
	v := e.view.Load()
	if v == nil {
		return nil
	}
	var list []*wire.Recent
	for _, u := range v.Upgrades {
		if u.Stage != register.Prepare {
			continue
		}
		share := upgrade.TrialShare(u.Duration, e.Site.Bounds.ExposureShare)
		list = append(list, &wire.Recent{
			Service:  u.Service,
			Order:    u.Order,
			Sessions: e.relay.Sessions.Recent(u, share, e.Clock.Now()),
		})
	}
	return list
}

// loads returns what this entry knows of the upstreams' loads.
func (e *Entry) loads() []*wire.UpstreamLoad {
	now := e.Clock.Now()
	list := []*wire.UpstreamLoad{}
	for _, l := range e.pool.Loads() {
		x := &wire.UpstreamLoad{
			Life: l.Life,
			Work: uint32(l.Work / time.Millisecond),
		}
		if l.Told != nil {
			x.Told = true
			x.Running = uint32(l.Told.Running)
			x.Waiting = uint32(l.Told.Waiting)
			x.Age = uint32(max(now.Sub(l.At), 0) / time.Millisecond)
		}
		if l.Doubted {
			x.Doubters = 1
		}
		if l.Heard {
			x.Heard = true
			x.Silence = uint32(l.Silence / time.Millisecond)
		}
		list = append(list, x)
	}
	return list
}

// takeLoads passes on what all entries know.
func (e *Entry) takeLoads(lives []string, loads []byte) {
	e.pool.Learn(unpack(lives, loads))
}
