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

// settleGracePeriod limits how long past its deadline a request may wait for the ledger.
const settleGracePeriod = 10 * time.Second

// RolloutEvidence collects the outcomes of runs by version, and limits new requests to
// versions that are being rolled out.
type RolloutEvidence interface {
	// RecordFirstToken records the time to the first token of a run that goes on.
	RecordFirstToken(v persimmoncross.ModelVersion, organisation string, took time.Duration)
	// RecordRun records the outcome of one run.
	RecordRun(v persimmoncross.ModelVersion, organisation string, failed bool)
	// RecordRating records the rating of an answer whose run was passed to RecordRun.
	RecordRating(v persimmoncross.ModelVersion, organisation string, poor bool)
	// ShouldRate reports whether an answer of the version should be rated.
	ShouldRate(v persimmoncross.ModelVersion) bool
	// TryExpose reports whether the version may get a request that another version could run.
	TryExpose(v persimmoncross.ModelVersion) bool
}

// Dispatcher runs requests. The exported fields must be set before the first request.
type Dispatcher struct {
	Owner              string // the VM and the incarnation of its process
	Clock              persimmoncross.Clock
	FleetTime          func() int64 // the fleet's time in Unix nanoseconds, for the ledger
	Settings           func() *settings.Snapshot
	Admitter           persimmoncross.Admitter
	Ledger             persimmoncross.Proposer
	UpstreamClient     persimmoncross.UpstreamClient
	Prober             persimmoncross.Prober // nil: upstreams are not probed after a lost connection
	QuarantineRecorder *quarantine.Recorder
	QuarantineStore    *quarantine.Store
	Table              *routing.Table
	Limiter            *limits.Limiter
	Rater              persimmoncross.Rater // nil: a cascade uses the first complete answer, unrated
	Joiner             persimmoncross.Joiner
	CascadeEstimator   *cascade.Estimator
	RolloutEvidence    RolloutEvidence
	Metrics            metrics.Registry
	Log                zerolog.Logger
	Random             *rand.Rand

	sharedResponses sharedResponses
	ratingQueue     chan ratingRequest // answers waiting to be rated
	lateSettlements chan *record.Settle
	pinnedVersions  pinCache

	mu          sync.Mutex // guards Random and all fields below
	inFlight    int
	retryBudget retry.Budget
}

// Limits of the retry budget, which the requests of all organisations share.
const (
	retryBudgetWindow   = 10 * time.Second
	minRetriesPerWindow = 10 // retries of all entries allowed in a window beside those that requests earn
)

// creditRetryBudget adds the credit of one request of the organisation to the retry budget.
func (d *Dispatcher) creditRetryBudget(o *settings.Organisation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudgetLocked().RecordRequest(o.Retries, d.Clock.Now())
}

// takeRetry takes a retry for another attempt of the request and reports whether one was left.
func (r *execution) takeRetry() bool {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	r.attempts.Budget = d.retryBudgetLocked()
	return r.attempts.TakeRetry(d.Clock.Now())
}

// beginAttempt records an attempt that is sent. The returned function records that it has arrived: a
// retry counts until then, because a silent upstream may receive it later.
func (r *execution) beginAttempt() (arrived func()) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	r.attempts.Send()
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.retryBudgetLocked()
		r.attempts.Arrived(d.Clock.Now())
	}
}

// endAttempts records that the request is not sent again.
func (r *execution) endAttempts() {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.attempts.End()
}

// retryBudgetLocked returns the retry budget with its limits set. The caller holds mu.
func (d *Dispatcher) retryBudgetLocked() *retry.Budget {
	d.retryBudget.Window = retryBudgetWindow
	d.retryBudget.Share = 1 / float64(max(1, d.Limiter.LiveEntries()))
	d.retryBudget.BaseAllowance = minRetriesPerWindow
	return &d.retryBudget
}

// Serve runs the request and sends its answer or its refusal to the sink.
func (d *Dispatcher) Serve(ctx context.Context, w *Request, sink persimmoncross.ResponseSink) {
	d.count("requests")
	d.addInFlight(1)
	defer d.addInFlight(-1)
	countedSink := &countingSink{
		ResponseSink: sink,
		dispatcher:   d,
		request:      w,
	}
	if refusal := d.Admitter.Admit(); refusal != nil {
		countedSink.End(refusal)
		return
	}
	if refusal := d.checkPermission(w); refusal != nil {
		countedSink.End(refusal)
		return
	}
	release, refusal := d.Limiter.Admit(w.Organisation.Name, limits.Quota{
		PoolName:    w.TargetName,
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
	if w.IdempotencyKey != "" {
		d.serveKeyed(ctx, w, countedSink)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	d.execute(ctx, w, countedSink)
}

// capacity returns how many requests the upstreams permitted for the request can run
// concurrently. It returns 0, which means unknown, for a plain service.
func (d *Dispatcher) capacity(w *Request) int {
	if w.Service != nil {
		return 0 // a plain service enforces its own limits
	}
	s := d.Settings()
	var versions []persimmoncross.ModelVersion
	for _, step := range s.Steps(w.TargetName) {
		versions = append(versions, permittedVersions(s, w.Organisation.Name, step)...)
	}
	return d.Table.Capacity(versions)
}

// serveKeyed runs the request independently of its caller, who may lose the connection and
// send the request again. The run continues, and every caller with the same idempotency key
// receives the same shared response.
func (d *Dispatcher) serveKeyed(ctx context.Context, w *Request, sink persimmoncross.ResponseSink) {
	response, created := d.sharedResponses.getOrCreate(w)
	if response == nil {
		sink.End(persimmoncross.NewRefusal(persimmoncross.CodeKeyReused, "the key was used for another request"))
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

// Prepare allocates the queues that requests share. It must be called before the first
// request.
func (d *Dispatcher) Prepare() {
	d.ratingQueue = make(chan ratingRequest, maxQueuedRatings)
	d.lateSettlements = make(chan *record.Settle, maxLateSettlements)
}

// InFlight returns the number of requests being served, including runs that continue without
// a caller.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

func (d *Dispatcher) addInFlight(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight += n
}

// ServeJoin copies the answer of a request that runs in this process to a caller of another
// VM. It returns false if the request does not run here.
func (d *Dispatcher) ServeJoin(ctx context.Context, organisation, key string, sink persimmoncross.ResponseSink) bool {
	response := d.sharedResponses.find(organisation, key)
	if response == nil {
		return false
	}
	d.addInFlight(1) // a planned stop also waits for this copy
	defer d.addInFlight(-1)
	response.streamTo(ctx, sink)
	return true
}

func (d *Dispatcher) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}

// countingSink counts and logs the outcome of each request.
type countingSink struct {
	persimmoncross.ResponseSink
	dispatcher *Dispatcher
	request    *Request
	head       persimmoncross.ResponseHead
}

// Start implements [persimmoncross.ResponseSink].
func (s *countingSink) Start(h persimmoncross.ResponseHead) error {
	s.head = h
	return s.ResponseSink.Start(h)
}

// End implements [persimmoncross.ResponseSink].
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
		Str("name", s.request.TargetName).
		Str("attempt", s.head.AttemptID).
		Str("version", s.head.Version.String()).
		Uint64("revision", d.Settings().Revision).
		Msg("request ended")
	s.ResponseSink.End(r)
}
