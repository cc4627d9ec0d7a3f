package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// Intervals and timeouts of a follower.
const (
	findRetryInterval = 100 * time.Millisecond // wait before the next search for a controller
	// staleTimeout is how long a follower stays with a controller that has no lease before it
	// tries another controller.
	staleTimeout = 300 * time.Millisecond
	// queryStagger is the interval after which the next controller is queried while earlier
	// ones have not answered yet. findTimeout ends the wait for a controller with a lease.
	queryStagger = 200 * time.Millisecond
	findTimeout  = 1200 * time.Millisecond
)

// follower receives a stream of updates from a controller. The exported fields are set before
// run.
type follower struct {
	Name  string // name under which controllers know this VM
	Entry bool
	// DataCentre is the data centre of this VM. Controllers in the same data centre are
	// preferred; if DataCentre is "", none are.
	DataCentre     string
	Node           *peer.Node
	Clock          persimmoncross.Clock
	Log            zerolog.Logger
	Metrics        metrics.Registry
	Seeds          func() []string
	OnlyController func() string // the only controller to follow; nil: any controller
	Reports        func() []*wire.Account
	// LoadReport returns the upstream loads that this VM reports.
	LoadReport func() []*wire.UpstreamLoad
	// ApplyLoads applies the upstream loads from the controller: loads has loadRecordBytes for
	// each of the instance IDs.
	ApplyLoads func(lives []string, loads []byte)
	// DemandReport returns the demands that this VM reports with its loads. ApplyDemands applies
	// the sums from the controller. Both may be nil.
	DemandReport func() []*wire.Demand
	ApplyDemands func(demands []*wire.Demand)
	// RequestReport returns the requests that this VM has counted. ApplyRequestCounts applies the controller's counts.
	// Both may be nil.
	RequestReport      func() []*wire.RequestCount
	ApplyRequestCounts func(counts []*wire.RequestCount, epoch uint64)
	countedBy          atomic.Pointer[peer.Stream] // the stream whose controller counts requests; one of an earlier release does not
	// ApplyCapacities applies the capacities that come with loads, before these; nil: not used.
	ApplyCapacities func(list []relay.FleetCapacity)
	// Incarnation distinguishes this process from earlier ones of the same VM; it is "" where
	// that does not matter.
	Incarnation string
	// CasesSince returns the cases that changed after a version, 0 for all, and the current
	// version. It may be nil.
	CasesSince func(since uint64, now time.Time) ([]*wire.Case, uint64)
	// Limits are the rate limits of upstreams that this VM has received or observed.
	Limits *ratelimit.Store
	// ApplyQuarantines applies the quarantines of the state with the index held. It is nil
	// where they come through the log.
	ApplyQuarantines func(held uint64, holds map[persimmoncross.Digest]persimmoncross.Quarantine)
	// HeldDocument returns the document in force on this VM, and ApplyDocument replaces it.
	// Both are nil where documents come through the log.
	HeldDocument  func() document
	ApplyDocument func(number uint64, source []byte)
	// ApplyUpdate applies an update. It returns false if the update's list is older than the
	// one in force; the list is then passed again with the next update.
	ApplyUpdate func(u *wire.Update) bool

	mu                     sync.Mutex // guards all below
	controllers            []string
	dataCentres            dataCentreByController
	receivedList           map[string]*wire.Upstream // the list last received on any stream, by instance ID; read-only
	followedController     string
	lastFollowedController string // the controller that was followed last
	needsWholeDocument     bool   // the held document can't serve as a base; the next one is requested whole
}

// run follows controllers until the context ends.
func (f *follower) run(ctx context.Context) {
	var current *controllerStream
	for ctx.Err() == nil {
		if current == nil {
			current = f.findController(ctx)
		}
		if current != nil {
			next, err := f.follow(ctx, current)
			reason := endReason(err)
			f.incrementCounter("follow.left." + reason)
			f.Log.Info().Err(err).Str("controller", current.controller).Str("why", reason).Int64("bytes", current.stream.Received()).Msg("stopped following the controller")
			if current = next; current != nil {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(findRetryInterval):
		}
	}
}

// endReason returns why a follower left its controller, as the suffix of a counter's name.
func endReason(err error) string {
	switch {
	case err == nil:
		return "leader" // another controller leads
	case errors.Is(err, errStaleController):
		return "stale"
	case errors.Is(err, errLocalAnswered):
		return "near"
	case errors.Is(err, yamux.ErrTimeout):
		return "silent"
	}
	return "broken"
}

func (f *follower) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, f.Metrics).Inc(1)
}

// candidates returns the controllers to query. Those of this VM's data centre come first, and
// the controller that was followed last comes last. Otherwise the order is that of a hash that
// differs between VMs, so that the followers spread over all controllers.
func (f *follower) candidates() []string {
	if f.OnlyController != nil {
		if only := f.OnlyController(); only != "" {
			return []string{only}
		}
		return nil
	}
	f.mu.Lock()
	names := slices.Clone(f.controllers)
	lastFollowedController, dataCentres := f.lastFollowedController, f.dataCentres
	f.mu.Unlock()
	for _, s := range f.Seeds() {
		if !slices.Contains(names, s) {
			names = append(names, s)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := xxhash.Sum64String(f.Name+a), xxhash.Sum64String(f.Name+b)
		local := func(name string) bool { return f.DataCentre != "" && dataCentres[name] == f.DataCentre }
		switch {
		case a == b:
			return 0
		case a == lastFollowedController:
			return 1
		case b == lastFollowedController:
			return -1
		case local(a) != local(b):
			if local(a) {
				return -1
			}
			return 1
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return names
}

// findController queries the controllers one after the other, with a short wait for each, and
// returns the first one that has a lease; failing that, any that answers. The wait is short
// because a controller that is cut off does not answer for seconds, and a change must be in force
// on this VM sooner than that.
func (f *follower) findController(ctx context.Context) *controllerStream {
	candidates := f.candidates()
	if len(candidates) == 0 {
		return nil // no leader is known yet
	}
	answers := make(chan *controllerStream, len(candidates))
	acceptUnleased := &atomic.Bool{} // set: queries that wait for a lease return without one
	acceptTimer := f.Clock.After(findTimeout)
	deadline := f.Clock.After(findTimeout + updateTimeout)
	next := f.Clock.After(0)
	queried, answered := 0, 0
	var best *controllerStream
	for searching := true; searching; {
		select {
		case <-next:
			f.incrementCounter("follow.asked")
			go f.query(ctx, candidates[queried], acceptUnleased, answers)
			queried++
			next = nil
			if queried < len(candidates) {
				next = f.Clock.After(queryStagger)
			}
		case a := <-answers:
			answered++
			best = f.preferred(best, a)
		case <-acceptTimer:
			acceptUnleased.Store(true)
		case <-deadline:
			searching = false
		case <-ctx.Done():
			searching = false
		}
		enough := best != nil && (best.leased || acceptUnleased.Load())
		searching = searching && !enough && answered < len(candidates)
	}
	acceptUnleased.Store(true)
	go closeLateStreams(answers, queried-answered)
	return best
}

// preferred returns the better of two streams and cancels the other. A stream with a lease is
// better; between equals, one to a controller in this data centre.
func (f *follower) preferred(a, b *controllerStream) *controllerStream {
	switch {
	case b == nil:
		return a
	case a == nil:
		return b
	case b.leased && !a.leased, b.leased == a.leased && f.isLocal(b.controller) && !f.isLocal(a.controller):
		a.cancel()
		return b
	}
	b.cancel()
	return a
}

// closeLateStreams cancels the streams of answers that arrive after the search.
func closeLateStreams(answers <-chan *controllerStream, outstanding int) {
	for range outstanding {
		if a := <-answers; a != nil {
			a.cancel()
		}
	}
}

// query opens a stream to the controller and handles its updates until the controller has a
// lease, which takes a while after all controllers have started, or until acceptUnleased is
// set.
func (f *follower) query(ctx context.Context, controller string, acceptUnleased *atomic.Bool, answers chan<- *controllerStream) {
	ctx, cancel := context.WithCancel(ctx)
	base, list := f.baseDocument(), f.lastReceivedList()
	s, err := f.Node.Call(ctx, controller, &wire.Call{
		Body: &wire.Call_Follow{
			Follow: &wire.Follow{
				Vm:     f.Name,
				Entry:  f.Entry,
				Number: base.number,
				Sum:    base.checksum,

				Datacentre: f.DataCentre,
				List:       partitionChecksums(list),
				Packed:     true,
				Bitmaps:    true,
			},
		},
	})
	if err != nil {
		cancel()
		answers <- nil
		return
	}
	a := &controllerStream{
		controller: controller,
		stream:     s,
		upstreams:  maps.Clone(list),
		cancel: func() {
			cancel()
			s.Close()
		},
	}
	s.Silence(findTimeout)
	for first := true; first || !a.leased && !acceptUnleased.Load(); first = false {
		u := &wire.Update{}
		err := s.Receive(u)
		if err != nil {
			f.Node.Suspect(controller, updateTimeout)
		} else {
			err = a.handleUpdate(f, u)
		}
		if err != nil {
			a.cancel()
			answers <- nil
			return
		}
		a.leased = u.GetLeased()
	}
	answers <- a
}

// follow handles updates until they stop, the controller has been without a lease for too long,
// or another controller leads. It also ends when a controller in this data centre has answered,
// and then returns that controller's stream.
func (f *follower) follow(ctx context.Context, current *controllerStream) (next *controllerStream, err error) {
	defer current.cancel()
	defer func() { f.setLastFollowed(current.controller) }()
	f.Log.Info().Str("controller", current.controller).Bool("near", f.isLocal(current.controller)).Msg("following")
	f.setFollowed(current.controller)
	defer f.setFollowed("")
	prober := &localProber{
		follower:  f,
		streamCtx: ctx,
	}
	defer prober.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.sendReports(ctx, current.stream)
	unleasedSince := time.Time{} // since when the controller has had no lease; zero: it has one
	current.stream.Silence(updateTimeout)
	for {
		u := &wire.Update{}
		if err := current.stream.Receive(u); err != nil {
			f.Node.Suspect(current.controller, updateTimeout)
			return nil, err
		}
		if err := current.handleUpdate(f, u); err != nil {
			return nil, err
		}
		if f.OnlyController != nil && f.OnlyController() != current.controller {
			return nil, nil
		}
		now := f.Clock.Now()
		if next := prober.poll(current.controller, now); next != nil {
			return next, errLocalAnswered
		}
		switch {
		case u.GetLeased():
			unleasedSince = time.Time{}
		case unleasedSince.IsZero():
			unleasedSince = now
		case now.Sub(unleasedSince) > staleTimeout && f.OnlyController == nil:
			return nil, errStaleController
		}
	}
}

// lastReceivedList returns the list that this VM last received, by instance ID.
func (f *follower) lastReceivedList() map[string]*wire.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receivedList
}

// setReceivedList records a copy of the received list.
func (f *follower) setReceivedList(list map[string]*wire.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedList = maps.Clone(list)
}

// setFollowed records which controller is followed, "" for none.
func (f *follower) setFollowed(controller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followedController = controller
}

func (f *follower) setLastFollowed(controller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFollowedController = controller
}

// errLocalAnswered ends following a controller in another data centre because one in this VM's
// data centre has answered.
var errLocalAnswered = newError("follow", Unavailable, errors.New("a controller in this data centre has answered"))

// errStaleController ends following a controller that has no lease, because its state may be
// outdated.
var errStaleController = newError("follow", Unavailable, context.DeadlineExceeded)

func (f *follower) setControllers(controllers []string) {
	if len(controllers) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controllers = controllers
}

func (f *follower) caseReport(cases []*wire.Case) *wire.Account {
	return &wire.Account{
		Incarnation: f.Incarnation,
		Cases:       cases,
	}
}

// clockReadingsTime is how long a follower sends a report every loadInterval after it has sent cases, also if
// there is nothing to report. If the cases were delayed, one of these reports corrects their times
// before the bound on detection has passed; keepalives alone are too rare for that.
const clockReadingsTime = 2 * time.Second

// reportStream sends reports with readings of this VM's clock, from which the controller estimates
// when each was sent.
type reportStream struct {
	*peer.Stream
	startedAt time.Time // at which the readings begin
}

// sendAt sends a report whose ages were taken at the time.
func (s *reportStream) sendAt(a *wire.Account, now time.Time) error {
	a.Reading = uint64(max(now.Sub(s.startedAt).Microseconds(), 1))
	return s.Send(a)
}

// sendReports sends reports, loads, cases and rate limits to the followed controller until the
// stream fails or the context ends.
func (f *follower) sendReports(ctx context.Context, stream *peer.Stream) {
	s := &reportStream{
		Stream:    stream,
		startedAt: f.Clock.Now(),
	}
	lastReportSent, lastReportCheck, lastRegularCheck := time.Time{}, time.Time{}, time.Time{}
	lastLoadCheck, casesSentAt, lastRequestsSent := time.Time{}, time.Time{}, time.Time{}
	lastLoadsEmpty := false // the previous report of loads and demands was empty
	sent, sessions := sentCanaryStats{}, sentSessions{}
	casesVersion, limitsVersion := uint64(0), uint64(0)
	for {
		now := f.Clock.Now()
		if now.Sub(lastReportCheck) >= sessions.checkInterval(now) {
			lastReportCheck = now
			isRegular := now.Sub(lastRegularCheck) >= reportInterval
			if isRegular {
				lastRegularCheck = now
			}
			keepaliveDue := now.Sub(lastReportSent) >= keepaliveInterval
			for _, a := range f.Reports() {
				if changed := sessions.record(a, now); f.Entry && !isRegular && !changed {
					continue
				}
				a = sent.delta(a)
				if f.Entry && !keepaliveDue && len(a.GetTrials()) == 0 && len(a.GetRecent()) == 0 {
					continue
				}
				if s.sendAt(a, f.Clock.Now()) != nil {
					return
				}
				lastReportSent = now
			}
		}
		if !sessions.isActive(now) || now.Sub(lastLoadCheck) >= loadInterval {
			lastLoadCheck = now
			a := &wire.Account{
				Loads: f.LoadReport(),
			}
			if f.DemandReport != nil {
				a.Demands = f.DemandReport()
			}
			empty := len(a.Loads) == 0 && len(a.Demands) == 0
			if !empty || !lastLoadsEmpty || now.Sub(casesSentAt) < clockReadingsTime {
				if s.sendAt(a, f.Clock.Now()) != nil {
					return
				}
			}
			lastLoadsEmpty = empty
		}
		if f.RequestReport != nil && f.countedBy.Load() == stream && now.Sub(lastRequestsSent) >= requestCountInterval {
			lastRequestsSent = now
			if counts := f.RequestReport(); len(counts) > 0 && s.sendAt(&wire.Account{Requests: counts}, f.Clock.Now()) != nil {
				return
			}
		}
		var cases []*wire.Case
		casesTakenAt := f.Clock.Now()
		if f.CasesSince != nil {
			cases, casesVersion = f.CasesSince(casesVersion, casesTakenAt)
		}
		for part := range slices.Chunk(cases, maxCasesPerReport) {
			if s.sendAt(f.caseReport(part), casesTakenAt) != nil {
				return
			}
			casesSentAt = casesTakenAt
		}
		var err error
		if limitsVersion, err = f.sendLimits(stream, limitsVersion); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.Limits.Changed():
		case <-f.Clock.After(min(requestCountInterval, sessions.checkInterval(now))):
		}
	}
}
