package relay

import (
	"bytes"
	"context"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
)

// queueClock is a clock that tests advance. Waits end when their time has come.
type queueClock struct {
	mu    sync.Mutex // guards all below
	now   time.Time
	waits map[chan time.Time]time.Time
}

func (c *queueClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *queueClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	fired := make(chan time.Time, 1)
	c.waits[fired] = c.now.Add(d)
	return fired
}

// hasWait reports whether something waits for the time to advance.
func (c *queueClock) hasWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waits) > 0
}

func (c *queueClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for fired, at := range c.waits {
		if !at.After(c.now) {
			fired <- c.now
			delete(c.waits, fired)
		}
	}
}

// queueEnv is a testEnv whose upstreams are full, with queues in force.
type queueEnv struct {
	*testEnv
	clock *queueClock
}

func newQueueEnv(t *testing.T, responses ...*fakeResponse) *queueEnv {
	t.Helper()
	e := &queueEnv{
		testEnv: newTestEnv(responses...),
		clock: &queueClock{
			now:   time.Now(), // the deadlines of contexts use the system clock
			waits: map[chan time.Time]time.Time{},
		},
	}
	e.relay.Clock = e.clock
	e.relay.Config.Overload = persimmoncross.OverloadPolicy{
		Mode:         persimmoncross.OverloadOn,
		MaxQueued:    16,
		MaxHeldBytes: 16 << 20,
	}
	e.queue().holdTime = 2 * time.Second
	e.setLoad(8, 24)
	return e
}

func (e *queueEnv) queue() *serviceQueue { return e.relay.queueOf(testService) }

// setLoad makes all upstreams report a load.
func (e *queueEnv) setLoad(running, waiting int) {
	for _, u := range e.targets {
		u.recordLoad(&persimmoncross.UpstreamLoad{
			Running: running,
			Waiting: waiting,
			Slots:   8,
		}, e.clock.Now())
	}
	e.relay.LoadsApplied()
}

// result is what a caller gets.
type result struct {
	refusal *persimmoncross.Refusal
	sink    *recordingSink
}

// send sends a request on the route; the result follows on the channel.
func (e *queueEnv) send(ctx context.Context, route string) <-chan result {
	results := make(chan result, 1)
	sink := &recordingSink{}
	p := &persimmoncross.ProxyRequest{
		ID:            route,
		Method:        http.MethodPost,
		Host:          "h",
		Path:          "/" + route + "/x",
		RequestTarget: "/" + route + "/x",
		APIKey:        testKey,
		ArrivedAt:     e.clock.Now(),
	}
	go func() {
		results <- result{
			refusal: e.relay.Serve(ctx, p, sink),
			sink:    sink,
		}
	}()
	return results
}

// awaitLength waits until n requests are queued.
func (e *queueEnv) awaitLength(n int) {
	for e.queue().length.Load() != int64(n) {
		runtime.Gosched()
	}
}

// step advances the clock by queueCheckInterval once the queue waits for it, or the result is there.
func (e *queueEnv) step(results <-chan result) {
	for !e.clock.hasWait() && len(results) == 0 {
		runtime.Gosched()
	}
	e.clock.advance(queueCheckInterval)
}

func (e *queueEnv) sent() []string {
	e.forwarder.mu.Lock()
	defer e.forwarder.mu.Unlock()
	var ids []string
	for _, a := range e.forwarder.attempts {
		ids = append(ids, a.Request.ID)
	}
	return ids
}

// Load: all slots taken and three times as many requests waiting at each upstream. A request must
// not join them, and goes on as soon as loads show room.
func TestRequestWaitsAtEntryUntilRoom(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"))
	results := e.send(context.Background(), "once")
	e.awaitLength(1)
	if len(e.sent()) != 0 {
		t.Fatal("the request was sent to a full upstream")
	}
	e.setLoad(6, 0)
	if r := <-results; r.refusal != nil || r.sink.body.String() != "x" {
		t.Errorf("got %v, %q, want the answer", r.refusal, r.sink.body.String())
	}
	e.awaitLength(0)
}

// Load: the same, and nothing gets free. The caller is told while the request is still not run, not
// at its deadline.
func TestQueuedRequestRefusedBeforeDeadline(t *testing.T) {
	e := newQueueEnv(t)
	results := e.send(context.Background(), "once")
	e.awaitLength(1)
	var r result
	for waited := time.Duration(0); r.sink == nil; waited += queueCheckInterval {
		if waited > 20*time.Second {
			t.Fatal("the request was held to its deadline")
		}
		e.setLoad(8, 24)
		e.step(results)
		select {
		case r = <-results:
		default:
		}
	}
	if r.refusal == nil || r.refusal.Code != persimmoncross.CodeOverloaded || r.refusal.Run != persimmoncross.NotRun || r.refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want overloaded, not run, with a Retry-After", r.refusal)
	}
	if len(e.sent()) != 0 {
		t.Error("the request was sent")
	}
}

// The request of a caller that disconnects must leave the queue at once and free its place.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	e := newQueueEnv(t)
	ctx, cancel := context.WithCancel(context.Background())
	results := e.send(ctx, "once")
	e.awaitLength(1)
	cancel()
	<-results
	e.awaitLength(0)
	if len(e.sent()) != 0 {
		t.Error("the request was sent")
	}
}

// Load: the queue is full of less urgent requests. The more urgent one takes a place, and the one
// pushed out is told at once.
func TestUrgentRequestPushesOut(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"))
	e.queue().queue.MaxRequests = 1
	e.setPriority("safe", 1)
	less := e.send(context.Background(), "safe")
	e.awaitLength(1)
	urgent := e.send(context.Background(), "once")
	if r := <-less; r.refusal == nil || r.refusal.Run != persimmoncross.NotRun {
		t.Errorf("the less urgent request got %+v, want a refusal as not run", r.refusal)
	}
	e.setLoad(6, 0)
	if r := <-urgent; r.refusal != nil {
		t.Errorf("the urgent request got %+v", r.refusal)
	}
}

func (e *queueEnv) setPriority(route string, priority int) {
	for _, r := range e.view.Catalog.Routes {
		if r.Name == route {
			r.Priority = priority
		}
	}
}

// Load: full upstreams; then room for all. The most urgent request is sent first, though it arrived
// last.
func TestUrgentRequestIsSentFirst(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"), okResponse("x"), okResponse("x"))
	log := &bytes.Buffer{}
	e.relay.Log = zerolog.New(zerolog.SyncWriter(log))
	e.setPriority("safe", 2)
	e.setPriority("fixed", 1)
	var all []<-chan result
	for i, route := range []string{"safe", "fixed", "once"} {
		all = append(all, e.send(context.Background(), route))
		e.awaitLength(i + 1)
	}
	e.setLoad(6, 0)
	for _, results := range all {
		<-results
	}
	var got []string
	for _, line := range strings.Split(log.String(), "\n") {
		if strings.Contains(line, "request dispatched") {
			got = append(got, strings.Split(line, `"`)[7])
		}
	}
	if !slices.Equal(got, []string{"once", "fixed", "safe"}) {
		t.Errorf("dispatched %v, want once, fixed, safe", got)
	}
}

// A call that holds a slot for 15 ms must not wait behind streams: full upstreams of its service
// begin it within the bound.
func TestShortCallNeverWaits(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"))
	e.queue().holdTime = 15 * time.Millisecond
	if r := <-e.send(context.Background(), "once"); r.refusal != nil {
		t.Errorf("got %+v, want the answer", r.refusal)
	}
	if n := e.relay.Metrics.Get("relay.queue.entered"); n != nil {
		t.Error("the call was queued")
	}
}

// Failure: no loads arrive any more. After maxLoadAge the entry's own requests count alone, and
// what waits goes on.
func TestQueueGoesOnWithoutLoads(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"))
	results := e.send(context.Background(), "once")
	e.awaitLength(1)
	e.clock.advance(maxLoadAge + queueCheckInterval)
	for {
		select {
		case r := <-results:
			if r.refusal != nil {
				t.Errorf("got %+v, want the answer", r.refusal)
			}
			return
		default:
			e.step(results)
		}
	}
}

// Failure: all upstreams are lost while a request waits. It must not be held, since nothing can
// serve it.
func TestQueuedRequestRefusedWhenUpstreamsLeave(t *testing.T) {
	e := newQueueEnv(t)
	results := e.send(context.Background(), "once")
	e.awaitLength(1)
	for _, u := range e.targets {
		u.markDraining()
	}
	e.relay.LoadsApplied()
	if r := <-results; r.refusal == nil || r.refusal.Run != persimmoncross.NotRun {
		t.Errorf("got %+v, want a refusal as not run", r.refusal)
	}
}

// All upstreams reject the request. It waits in the queue and is sent again when there is room,
// also after the 40 ms of a retry round.
func TestRejectedRequestReturnsToQueue(t *testing.T) {
	e := newQueueEnv(t, rejectedResponse(), rejectedResponse(), rejectedResponse(), rejectedResponse(), okResponse("x"))
	e.setLoad(6, 0)
	results := e.send(context.Background(), "safe")
	e.awaitLength(1)
	for {
		select {
		case r := <-results:
			if r.refusal != nil || len(e.sent()) != 5 {
				t.Errorf("got %+v after %d attempts, want the answer of the fifth", r.refusal, len(e.sent()))
			}
			return
		default:
			e.step(results)
		}
	}
}

// A version that is withdrawn while a request waits must not get it: the version is chosen when the
// request is sent, not when it is queued.
func TestVersionIsChosenWhenSent(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"))
	for _, u := range e.targets[:2] {
		u.Version = "v2"
	}
	upgrade := register.Upgrade{
		Service: testService,
		Target:  "v2",
		Stage:   register.Completed,
	}
	completed, withdrawn := *e.view, *e.view
	completed.Upgrades = map[string]register.Upgrade{testService: upgrade}
	upgrade.Stage = register.Withdrawn
	withdrawn.Upgrades = map[string]register.Upgrade{testService: upgrade}
	var mu sync.Mutex // guards view
	view := &completed
	e.relay.View = func() *View {
		mu.Lock()
		defer mu.Unlock()
		return view
	}
	results := e.send(context.Background(), "once")
	e.awaitLength(1)
	mu.Lock()
	view = &withdrawn
	mu.Unlock()
	e.setLoad(6, 0)
	if r := <-results; r.refusal != nil {
		t.Fatalf("got %+v, want the answer", r.refusal)
	}
	if v := e.forwarder.attempts[0].Upstream.Version; v != "v1" {
		t.Errorf("sent to version %s, want v1", v)
	}
}

// A request that may run only in regions without room must not hold up those that may run where
// there is room.
func TestResidencyHoldsForQueuedRequests(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"))
	e.relay.RegionByDataCentre = map[string]string{"a": "north", "b": "south"}
	for i, u := range e.targets {
		u.DataCentre = []string{"a", "b"}[i%2]
	}
	var bound *catalog.Route
	for _, r := range e.view.Catalog.Routes {
		if r.Name == "once" {
			bound = r
		}
	}
	bound.Homes = []string{"north"}
	ctx, cancel := context.WithCancel(context.Background())
	north := e.send(ctx, "once")
	e.awaitLength(1)
	any := e.send(context.Background(), "safe")
	e.awaitLength(2)
	for _, u := range e.targets {
		if u.DataCentre == "b" {
			u.recordLoad(&persimmoncross.UpstreamLoad{
				Slots: 8,
			}, e.clock.Now())
		}
	}
	e.relay.LoadsApplied()
	if r := <-any; r.refusal != nil {
		t.Errorf("got %+v, want the answer", r.refusal)
	}
	e.awaitLength(1)
	cancel()
	<-north
	if got := e.sent(); len(got) != 1 || got[0] != "safe" {
		t.Errorf("sent %v, want safe alone", got)
	}
}

// Load: an engine whose memory is full lets requests wait while slots are free. It has no room, and
// one that lets none wait has.
func TestQueueDelayWithFreeSlots(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name             string
		running, waiting int
		pending          int
		want             time.Duration
	}{
		{"none waits", 32, 0, 5, 0},
		{"memory full", 32, 15, 0, time.Second},
		{"memory full, sent since", 32, 15, 16, 2 * time.Second},
	}
	for _, tt := range tests {
		u := &Target{
			Upstream: persimmoncross.Upstream{
				Slots: 64,
			},
			targetState: &targetState{},
		}
		u.recordLoad(&persimmoncross.UpstreamLoad{
			Running: tt.running,
			Waiting: tt.waiting,
			Slots:   64,
		}, now)
		for range tt.pending {
			u.trackPendingHead(now.Add(time.Millisecond), 0)
		}
		if got := u.queueDelay(2*time.Second, now); got != tt.want {
			t.Errorf("%s: delay %v, want %v", tt.name, got, tt.want)
		}
		if got := u.queueDelay(2*time.Second, now.Add(maxLoadAge+1)); got != 0 {
			t.Errorf("%s: delay %v by a load that is too old, want 0", tt.name, got)
		}
	}
}
