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
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// Pauses of a follower.
const (
	findRetryInterval = 100 * time.Millisecond // before the next controller is asked
	// staleTimeout is how long a controller without a lease is followed before
	// another one is tried.
	staleTimeout = 300 * time.Millisecond
	// queryStagger is the pause before the next controller is asked beside the
	// one that has not answered yet; findWait ends the search.
	queryStagger = 200 * time.Millisecond
	findTimeout  = 1200 * time.Millisecond
)

// follower keeps a stream of updates from some controller. The exported fields
// are set before Run.
type follower struct {
	Name  string // of this VM, as controllers know it
	Entry bool
	// DataCentre is that of this VM. Controllers there are followed before others; "":
	// any.
	DataCentre     string
	Node           *peer.Node
	Clock          persimmoncross.Clock
	Log            zerolog.Logger
	Metrics        metrics.Registry
	Seeds          func() []string
	OnlyController func() string // the one controller to follow; nil: any
	Reports        func() []*wire.Account
	// LoadReport returns what the follower knows of the upstreams' loads.
	LoadReport func() []*wire.UpstreamLoad
	// ApplyLoads takes the loads that the controller knows of: loadBytes for each
	// of the lives.
	ApplyLoads func(lives []string, loads []byte)
	// Incarnation tells this process from those before it; "" where that says
	// nothing.
	Incarnation string
	// CasesSince returns what changed of the cases that the follower knows of since a
	// count of news, 0 for all, and the count now; may be nil.
	CasesSince func(since uint64) ([]*wire.Case, uint64)
	// Limits are those that the follower knows of.
	Limits *ratelimit.Store
	// ApplyQuarantines brings the holds of the state with the index into force; nil where
	// they come with the log.
	ApplyQuarantines func(held uint64, holds map[persimmoncross.Digest]persimmoncross.Quarantine)
	// HeldDocument returns the document that is held here, TakeDocument brings another into
	// force; nil where documents come with the log.
	HeldDocument  func() document
	ApplyDocument func(number uint64, source []byte)
	// ApplyUpdate brings an update into force. It returns false if the update's list is
	// older than the one in force; the list then comes again with the next update.
	ApplyUpdate func(u *wire.Update) bool

	mu                 sync.Mutex // guards all below
	controllers        []string
	dataCentres        dataCentreByController
	receivedList       map[string]*wire.Upstream // the list, as some stream told it; never changed
	followedController string
	failedController   string // the one that was followed last
	needsWholeDocument bool   // the document held is no base: it is asked for whole
}

// run follows until the context ends.
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
			f.Log.Info().Err(err).Str("controller", current.controller).Str("why", reason).Int64("bytes", current.stream.Received()).Msg("not following any more")
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

// endReason returns the reason for which a following ended, as it is counted.
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

// candidates returns the controllers to ask: those of this VM's data centre first, in an
// order of this VM's own, so that the followers spread over all; the one that failed
// last comes last.
func (f *follower) candidates() []string {
	if f.OnlyController != nil {
		if only := f.OnlyController(); only != "" {
			return []string{only}
		}
		return nil
	}
	f.mu.Lock()
	names := slices.Clone(f.controllers)
	failedController, dataCentres := f.failedController, f.dataCentres
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
		case a == failedController:
			return 1
		case b == failedController:
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

// findController asks the controllers one after the other, without waiting long for any,
// and returns the first whose state is recent; failing that, any that answers.
// A controller that was cut off does not answer for seconds, and a change must
// be in force here sooner than that.
func (f *follower) findController(ctx context.Context) *controllerStream {
	candidates := f.candidates()
	if len(candidates) == 0 {
		return nil // as long as no leader is known
	}
	answers := make(chan *controllerStream, len(candidates))
	acceptUnleased := &atomic.Bool{} // those that wait for a lease answer with what they have
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

// preferred keeps the one whose state is recent, of two such the near one, and ends the
// other.
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

// closeLateStreams ends the answers that come too late.
func closeLateStreams(answers <-chan *controllerStream, outstanding int) {
	for range outstanding {
		if a := <-answers; a != nil {
			a.cancel()
		}
	}
}

// query opens a stream and takes updates from it until the controller's state is
// recent, as after a start of all of them, or the search is over.
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

// follow takes updates until they stay away, their state is not recent, or a nearer
// controller has answered, which it returns.
func (f *follower) follow(ctx context.Context, current *controllerStream) (next *controllerStream, err error) {
	defer current.cancel()
	defer func() { f.setFailed(current.controller) }()
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
	unleasedSince := time.Time{} // without a lease
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

// lastReceivedList returns the list that this VM was told last, by life.
func (f *follower) lastReceivedList() map[string]*wire.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receivedList
}

// setReceivedList keeps it.
func (f *follower) setReceivedList(list map[string]*wire.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedList = maps.Clone(list)
}

// setFollowed notes which controller is followed, "" for none.
func (f *follower) setFollowed(controller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followedController = controller
}

func (f *follower) setFailed(controller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedController = controller
}

// errLocalAnswered ends following a controller for one in this VM's data centre.
var errLocalAnswered = newError("follow", Unavailable, errors.New("a controller in this data centre has answered"))

// errStaleController ends following a controller whose state may be old.
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

// sendReports tells the controller what this VM saw.
func (f *follower) sendReports(ctx context.Context, s *peer.Stream) {
	lastReportSent, lastReportCheck := time.Time{}, time.Time{}
	lastLoadsEmpty := false // the account of loads before was empty
	sent := sentCanaryStats{}
	casesVersion, limitsVersion := uint64(0), uint64(0)
	for {
		now := f.Clock.Now()
		if now.Sub(lastReportCheck) >= reportInterval {
			lastReportCheck = now
			keepaliveDue := now.Sub(lastReportSent) >= keepaliveInterval
			for _, a := range f.Reports() {
				a = sent.delta(a)
				if f.Entry && !keepaliveDue && len(a.GetTrials()) == 0 && len(a.GetRecent()) == 0 {
					continue
				}
				if s.Send(a) != nil {
					return
				}
				lastReportSent = now
			}
		}
		a := &wire.Account{
			Loads: f.LoadReport(),
		}
		if len(a.Loads) > 0 || !lastLoadsEmpty {
			if s.Send(a) != nil {
				return
			}
		}
		lastLoadsEmpty = len(a.Loads) == 0
		var cases []*wire.Case
		if f.CasesSince != nil {
			cases, casesVersion = f.CasesSince(casesVersion)
		}
		for part := range slices.Chunk(cases, maxCasesPerReport) {
			if s.Send(f.caseReport(part)) != nil {
				return
			}
		}
		var err error
		if limitsVersion, err = f.sendLimits(s, limitsVersion); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.Limits.Changed():
		case <-f.Clock.After(loadInterval):
		}
	}
}
