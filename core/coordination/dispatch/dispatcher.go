package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/limits"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/retry"
	"persimmoncross/core/coordination/routing"
	"persimmoncross/core/state/record"
	"persimmoncross/core/state/settings"
)

// settleGracePeriod is how long past its deadline a request may wait for the ledger.
const settleGracePeriod = 10 * time.Second

// Evidence learns how versions do, and limits new work on those being rolled
// out.
type Evidence interface {
	// Note takes the outcome of one run and the time to its first token.
	Note(v persimmoncross.Version, organisation string, failed bool, first time.Duration)
	// Rated takes a rating of one answer that was noted.
	Rated(v persimmoncross.Version, organisation string, poor bool)
	// Sample asks whether an answer of the version should be rated.
	Sample(v persimmoncross.Version) bool
	// Expose asks whether the version may get work that could go elsewhere.
	Expose(v persimmoncross.Version) bool
}

// Dispatcher runs requests. The exported fields are set before the first.
type Dispatcher struct {
	Owner     string // the VM and its process's incarnation
	Clock     persimmoncross.Clock
	Stamp     func() int64 // the fleet's time, in Unix nanoseconds, for the ledger
	Settings  func() *settings.Snapshot
	Gate      persimmoncross.Gate
	Ledger    persimmoncross.Proposer
	Upstreams persimmoncross.Upstreams
	Prober    persimmoncross.Prober // nil: nothing is found out of upstreams
	Book      *quarantine.Book
	Keeper    *quarantine.Keeper
	Table     *routing.Table
	Limits    *limits.Limits
	Rater     persimmoncross.Rater // nil: cascades take the first answer
	Joiner    persimmoncross.Joiner
	Cascades  *cascade.Estimator
	Evidence  Evidence
	Metrics   metrics.Registry
	Log       zerolog.Logger
	Random    *rand.Rand

	sharedResponses sharedResponses
	ratingQueue     chan ratingRequest // answers that wait for the rater
	lateSettlements chan *record.Settle
	pinnedVersions  pinCache

	mu          sync.Mutex // guards Random and all below
	inFlight    int
	retryBudget retry.Window
}

// Of the retries that all organisations' requests share.
const (
	retryBudgetWindow   = 10 * time.Second
	minRetriesPerWindow = 10 // in a window, where hardly any traffic comes
)

// creditRetryBudget lets the retries grow by a request of the organisation.
func (d *Dispatcher) creditRetryBudget(o *settings.Organisation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudgetLocked().Request(o.Retries, d.Clock.Now())
}

// takeRetry takes a retry out, and reports whether there was one.
func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudgetLocked().Retry(d.Clock.Now())
}

// retryBudgetLocked returns the retries' retryBudgetLocked. The caller holds mu.
func (d *Dispatcher) retryBudgetLocked() *retry.Window {
	d.retryBudget.Length = retryBudgetWindow
	d.retryBudget.Floor = minRetriesPerWindow
	return &d.retryBudget
}

// Serve runs the request and hands its answer, or its refusal, to the sink.
func (d *Dispatcher) Serve(ctx context.Context, w *Work, sink persimmoncross.Sink) {
	d.count("requests")
	d.addInFlight(1)
	defer d.addInFlight(-1)
	countedSink := &countingSink{
		Sink:       sink,
		dispatcher: d,
		request:    w,
	}
	if refusal := d.Gate.Admit(); refusal != nil {
		countedSink.End(refusal)
		return
	}
	if refusal := d.checkPermission(w); refusal != nil {
		countedSink.End(refusal)
		return
	}
	release, refusal := d.Limits.Enter(w.Organisation.Name, limits.Bounds{
		Pool:        w.Name,
		Capacity:    d.capacity(w),
		Rate:        w.Organisation.Rate,
		Burst:       w.Organisation.Burst,
		Concurrency: w.Organisation.Concurrency,
	})
	if refusal != nil {
		countedSink.End(refusal)
		return
	}
	defer release()
	d.creditRetryBudget(w.Organisation)
	if w.Key != "" {
		d.serveKeyed(ctx, w, countedSink)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	d.execute(ctx, w, countedSink)
}

// capacity returns how many requests the upstreams that the request may use
// serve at once.
func (d *Dispatcher) capacity(w *Work) int {
	if w.Service != nil {
		return 0 // a plain service's limits are its own
	}
	s := d.Settings()
	var versions []persimmoncross.Version
	for _, step := range s.Steps(w.Name) {
		versions = append(versions, permittedVersions(s, w.Organisation.Name, step)...)
	}
	return d.Table.Capacity(versions)
}

// serveKeyed runs the request apart from its caller, who may lose the
// connection and ask again: the run goes on, and every caller with the same
// key gets the same recording.
func (d *Dispatcher) serveKeyed(ctx context.Context, w *Work, sink persimmoncross.Sink) {
	response, created := d.sharedResponses.getOrCreate(w)
	if response == nil {
		sink.End(persimmoncross.Refuse(persimmoncross.CodeKeyReused, "the key was used for another request"))
		return
	}
	if created {
		d.addInFlight(1)
		go func() {
			defer d.addInFlight(-1)
			defer d.sharedResponses.close(w, response)
			runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), w.Deadline)
			defer cancel()
			d.execute(runCtx, w, response)
		}()
	}
	response.streamTo(ctx, sink)
}

// Prepare makes what requests share. It comes before the first request.
func (d *Dispatcher) Prepare() {
	d.ratingQueue = make(chan ratingRequest, maxQueuedRatings)
	d.lateSettlements = make(chan *record.Settle, maxLateSettlements)
}

// Running returns the number of requests being served or run.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

func (d *Dispatcher) addInFlight(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight += n
}

// Follow copies the answer of a request that runs here, for another VM's
// caller. It returns false if the request doesn't run here.
func (d *Dispatcher) Follow(ctx context.Context, organisation, key string, sink persimmoncross.Sink) bool {
	response := d.sharedResponses.find(organisation, key)
	if response == nil {
		return false
	}
	d.addInFlight(1) // a planned stop waits for the copy too
	defer d.addInFlight(-1)
	response.streamTo(ctx, sink)
	return true
}

func (d *Dispatcher) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}

// countingSink counts and logs what becomes of each request.
type countingSink struct {
	persimmoncross.Sink
	dispatcher *Dispatcher
	request    *Work
	head       persimmoncross.Head
}

// Start implements [persimmoncross.Sink].
func (s *countingSink) Start(h persimmoncross.Head) error {
	s.head = h
	return s.Sink.Start(h)
}

// End implements [persimmoncross.Sink].
func (s *countingSink) End(r *persimmoncross.Refusal) {
	d := s.dispatcher
	line := d.Log.Info()
	if r != nil {
		d.count("refused." + string(r.Code))
		line = line.Str("code", string(r.Code)).Str("run", string(r.Run)).Str("detail", r.Detail)
	} else {
		d.count("answered")
	}
	line.Str("request", s.request.ID).
		Str("organisation", s.request.Organisation.Name).
		Str("name", s.request.Name).
		Str("attempt", s.head.Attempt).
		Str("version", s.head.Version.String()).
		Uint64("revision", d.Settings().Revision).
		Msg("request ended")
	s.Sink.End(r)
}
