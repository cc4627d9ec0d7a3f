package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
	"persimmoncross/core/coordination/admission"
	"persimmoncross/core/coordination/lending"
)

// Parameters of the entry's queues.
const (
	// queueCheckInterval is the longest time between two checks of a queue in which something
	// waits. Deadlines and estimates that grow old change it without an event.
	queueCheckInterval = 100 * time.Millisecond
	// queuedRequestBytes is what a waiting request holds beside its body: headers, buffers of
	// the connection and a stack.
	queuedRequestBytes = 16 << 10
	// favourablePrefill is the part of the estimated prefill time that a request surely takes.
	favourablePrefill = 0.5
	// likelyGeneration is the multiple of the mean generation time within which most answers end,
	// because callers expect the number of tokens within about a factor of two.
	likelyGeneration = 1.5
	holdTimeWeight   = 0.05 // weight of one answer in the mean hold time
)

// Reasons why a request is refused by the queue. They are also parts of counter names.
const (
	refusedDeadline  = "deadline"   // it can't end in time even if it went next
	refusedQueueFull = "queue-full" // the bounds are reached and nothing less urgent waits
	refusedPushedOut = "pushed-out" // a more urgent request took its place
)

// turn is how the wait of a request in the queue ended.
type turn struct {
	refused string // reason of the refusal; "" if the request goes on
}

// waiter is a call that waits in a queue.
type waiter struct {
	call  *call
	ended chan turn // of capacity 1, so that the queue never blocks
}

// serviceQueue is the queue of one service's requests at this entry, with what this entry has
// learned of their durations. A goroutine runs while something waits.
type serviceQueue struct {
	relay   *Relay
	service string
	woken   chan struct{} // of capacity 1
	length  atomic.Int64

	mu         sync.Mutex // guards all below
	queue      admission.Queue
	overShare  func(organisation string) bool
	waiters    map[*admission.Request]*waiter
	running    bool  // the goroutine runs
	turnHolder *call // was dispatched and has not picked its upstream; nil if there is none
	held       map[string]int
	sends      []time.Time              // of the last fleetLoadDelay
	holdTime   time.Duration            // mean time for which an answer was seen to hold a slot
	drain      admission.DrainEstimator // of streams
	window     admission.Window
	account    lending.Account
	fleetHold  time.Duration // mean time for which all entries' requests hold a slot, while the account is active
}

// serviceQueues holds the queues by service. The zero value has none.
type serviceQueues struct {
	queues sync.Map // from service to *serviceQueue
}

// queueOf returns the service's queue, nil if the part is not in force for the service.
func (r *Relay) queueOf(service string) *serviceQueue {
	if !r.overloadEnabled(persimmoncross.OverloadQueue, service) {
		return nil
	}
	if q, ok := r.queues.queues.Load(service); ok {
		return q.(*serviceQueue)
	}
	q := &serviceQueue{
		relay:   r,
		service: service,
		woken:   make(chan struct{}, 1),
		waiters: map[*admission.Request]*waiter{},
		held:    map[string]int{},
	}
	q.queue = admission.Queue{
		MaxRequests: r.Config.Overload.MaxQueued,
		MaxBytes:    r.Config.Overload.MaxHeldBytes,
		Usage:       func(string) float64 { return 0 },
	}
	stored, _ := r.queues.queues.LoadOrStore(service, q)
	return stored.(*serviceQueue)
}

// LoadsApplied makes the queues check whether upstreams have room, after ApplyFleetLoads.
func (r *Relay) LoadsApplied() {
	r.queues.queues.Range(func(_, q any) bool {
		q.(*serviceQueue).divideRoom(r.Clock.Now())
		q.(*serviceQueue).wake()
		return true
	})
}

// organisationUsage returns the function that orders the waiting requests among organisations: what
// each holds in the fleet as a multiple of its fair share, or the requests that this entry has in
// flight where the part shares is not in force. The caller doesn't hold mu, because the shares
// count what waits here.
func (q *serviceQueue) organisationUsage(now time.Time) func(organisation string) float64 {
	if q.relay.overloadEnabled(persimmoncross.OverloadShares, q.service) {
		return q.relay.shareUsage(q.service, now)
	}
	return func(organisation string) float64 { return float64(q.held[organisation]) }
}

// waitingDemand returns how many requests for the service wait in this entry's queue, by rank and
// by organisation.
func (r *Relay) waitingDemand(service string) (byRank []int, byOrganisation map[string]int) {
	if r.queuedDemand != nil {
		return r.queuedDemand(service)
	}
	stored, ok := r.queues.queues.Load(service)
	if !ok {
		return nil, nil
	}
	q := stored.(*serviceQueue)
	q.mu.Lock()
	defer q.mu.Unlock()
	ranks, byOrganisation := q.queue.Waiting()
	for rank, n := range ranks {
		for len(byRank) <= rank {
			byRank = append(byRank, 0)
		}
		byRank[max(rank, 0)] += n
	}
	return byRank, byOrganisation
}

// wake makes the goroutine check the queue soon.
func (q *serviceQueue) wake() {
	if q.length.Load() == 0 {
		return
	}
	select {
	case q.woken <- struct{}{}:
	default:
	}
}

// run dispatches requests until none waits.
func (q *serviceQueue) run() {
	for q.check() {
		select {
		case <-q.woken:
		case <-q.relay.Clock.After(queueCheckInterval):
		}
	}
}

// check ends the wait of the requests that can't end in time, and of the next one that an upstream
// would begin soon. Only one request at a time picks its upstream, so that the next decision counts
// it. check reports whether requests still wait.
func (q *serviceQueue) check() bool {
	now := q.relay.Clock.Now()
	usage, overShare := q.organisationUsage(now), q.relay.overShare(q.service, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Usage = usage
	q.overShare = overShare
	for _, r := range q.queue.Expire(now) {
		q.end(r, turn{refused: refusedDeadline})
	}
	if q.turnHolder == nil && q.window.Open() && q.account.MaySend(now) {
		room := map[roomKey]bool{}
		next := q.queue.Next(now, func(r *admission.Request) bool { return q.waiters[r].call.isDispatchable(q, room, now) })
		if next != nil {
			q.turnHolder = q.waiters[next].call
			q.end(next, turn{})
		}
	}
	q.updateGauges(now)
	q.running = q.queue.Len() > 0
	return q.running
}

// end ends the wait of a request that has left the queue. The caller holds mu.
func (q *serviceQueue) end(r *admission.Request, t turn) {
	w := q.waiters[r]
	delete(q.waiters, r)
	w.ended <- t
}

// updateGauges publishes the state of the queue. The caller holds mu.
func (q *serviceQueue) updateGauges(now time.Time) {
	n := int64(q.queue.Len())
	q.length.Store(n)
	metrics.GetOrRegisterGauge("relay.queue.length."+q.service, q.relay.Metrics).Update(n)
	metrics.GetOrRegisterGauge("relay.queue.oldest."+q.service, q.relay.Metrics).Update(q.queue.OldestWait(now).Milliseconds())
	metrics.GetOrRegisterGauge("relay.queue.window."+q.service, q.relay.Metrics).Update(int64(q.window.Limit()))
}

// enqueue adds a request and returns its waiter, the expected wait and the queue's length.
func (q *serviceQueue) enqueue(c *call, r *admission.Request, now time.Time) (w *waiter, expected time.Duration, length int) {
	usage := q.organisationUsage(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Usage = usage
	w = &waiter{
		call:  c,
		ended: make(chan turn, 1),
	}
	expected = q.queue.ExpectedWait(r.Rank, now)
	q.waiters[r] = w
	for _, out := range q.queue.Enqueue(r, now) {
		reason := refusedPushedOut
		if out == r {
			reason = refusedQueueFull
		}
		q.end(out, turn{refused: reason})
	}
	q.updateGauges(now)
	switch {
	case q.running:
		q.wake() // an upstream may have room for this request, though it has none for the others
	case q.queue.Len() > 0:
		q.running = true
		go q.run()
	}
	return w, expected, q.queue.Len()
}

// remove removes a request whose caller disconnected. A turn that it got meanwhile goes to the next
// request.
func (q *serviceQueue) remove(c *call, r *admission.Request) {
	q.mu.Lock()
	if q.queue.Remove(r) {
		delete(q.waiters, r)
	}
	q.updateGauges(q.relay.Clock.Now())
	q.mu.Unlock()
	q.endTurn(c)
}

// endTurn lets the next request be dispatched after the call has picked its upstream.
func (q *serviceQueue) endTurn(c *call) {
	q.mu.Lock()
	holds := q.turnHolder == c
	if holds {
		q.turnHolder = nil
	}
	q.mu.Unlock()
	if holds {
		q.wake()
	}
}

// expectedWait returns the expected wait of a request of the rank; 0 if it is not known.
func (q *serviceQueue) expectedWait(rank int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.ExpectedWait(rank, q.relay.Clock.Now())
}

// inflow returns what the loads don't show yet of the requests to the given number of upstreams.
func (q *serviceQueue) inflow(upstreams int, now time.Time) admission.Inflow {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inflowLocked(upstreams, now)
}

// inflowLocked is like inflow, but the caller holds mu.
func (q *serviceQueue) inflowLocked(upstreams int, now time.Time) admission.Inflow {
	q.pruneSends(now)
	entries, holdTime := q.relay.View().entryCountOrDefault(), max(q.holdTime, q.drain.HoldTime())
	if q.account.IsActive(now) {
		entries = 1 // what the others send was divided
		holdTime = q.fleetHold
	}
	return admission.Inflow{
		OwnSends:  len(q.sends),
		Entries:   entries,
		Upstreams: upstreams,
		HoldTime:  holdTime,
		LoadAge:   fleetLoadDelay,
	}
}

// pruneSends forgets the sends that the loads show. The caller holds mu.
func (q *serviceQueue) pruneSends(now time.Time) {
	old := 0
	for old < len(q.sends) && now.Sub(q.sends[old]) > fleetLoadDelay {
		old++
	}
	q.sends = append(q.sends[:0], q.sends[old:]...)
}

// beginAttempt records that an attempt was sent. The caller calls endAttempt when it has ended.
func (q *serviceQueue) beginAttempt(organisation string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held[organisation]++
	q.window.Send()
	q.account.Send()
	q.pruneSends(now)
	q.sends = append(q.sends, now)
}

// endAttempt records the end of an attempt that held a slot for the given time; 0 if that is not
// known.
func (q *serviceQueue) endAttempt(organisation string, held time.Duration) {
	q.mu.Lock()
	if q.held[organisation]--; q.held[organisation] <= 0 {
		delete(q.held, organisation)
	}
	switch {
	case held <= 0:
	case q.holdTime == 0:
		q.holdTime = held
	default:
		q.holdTime += time.Duration(holdTimeWeight * float64(held-q.holdTime))
	}
	q.mu.Unlock()
	q.wake()
}

// endPending records how long a head took, or the end of the attempt without a head. ahead is what
// waited at the upstream when the request was sent; it is used for streams only, because the head of
// a plain answer comes with its end.
func (q *serviceQueue) endPending(b admission.Begun, ahead float64, stream bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.End(b, now)
	if stream {
		q.drain.Record(ahead, now.Sub(b.SentAt), b.Received)
	}
	q.wake()
}

// mayOvertake reports whether a new request need not wait: nothing waits, and this entry has not too
// much at the upstreams that did not begin.
func (q *serviceQueue) mayOvertake() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len() == 0 && q.turnHolder == nil && q.window.Open() && q.account.MaySend(q.relay.Clock.Now())
}

// runTimes returns a favourable and a likely estimate of the time from the start of the call's request
// at an upstream to the end of the answer, 0 if nothing is known.
func (q *serviceQueue) runTimes(c *call) (favourable, likely time.Duration) {
	fresh := c.request.PromptTokens - c.request.SharedPromptTokens()
	prefill := q.relay.ModelStats.prefillTime(c.service, c.modelName(), max(fresh, 0))
	mean, optimistic := q.relay.ModelStats.generationTime(c.service, c.modelName(), c.expectedOutputTokens())
	return time.Duration(favourablePrefill*float64(prefill)) + optimistic, prefill + time.Duration(likelyGeneration*float64(mean))
}

// wait queues the call until an upstream would begin it or it is refused. It returns the zero turn
// if the call may pick its upstream, and false if the context ended.
func (q *serviceQueue) wait(ctx context.Context, c *call) (t turn, ok bool) {
	now := q.relay.Clock.Now()
	r := c.admissionRequest(q, now)
	if !r.Fits(now) {
		return turn{refused: refusedDeadline}, true
	}
	w, expected, length := q.enqueue(c, r, now)
	c.logQueued(r, expected, length)
	select {
	case t = <-w.ended:
	case <-ctx.Done():
		q.remove(c, r)
		q.relay.incrementCounter("queue.left")
		return turn{}, false
	}
	if t.refused == "" {
		c.logDispatched(q.relay.Clock.Now().Sub(now), int(q.length.Load()))
	}
	return t, true
}
