package relay

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
)

// turnSink is a caller's sink that records whether a turn was held while the caller was written to.
type turnSink struct {
	recordingSink
	queue *serviceQueue
	held  bool
}

func (s *turnSink) WriteHead(h persimmoncross.ProxyResponseHead) error {
	s.queue.mu.Lock()
	s.held = s.held || s.queue.turnHolder != nil
	s.queue.mu.Unlock()
	return s.recordingSink.WriteHead(h)
}

// A dispatched call that ends with a failure response, because the retry budget is empty, must give its
// turn back before it writes to its caller: a slow caller would stop the whole queue.
func TestTurnEndsBeforeCallerIsWrittenTo(t *testing.T) {
	e := newQueueEnv(t)
	q := e.queue()
	sink := &turnSink{
		queue: q,
	}
	c := &call{
		relay:   e.relay,
		request: &persimmoncross.ProxyRequest{},
		service: testService,
		route:   e.view.Catalog.Routes[1],
		sink:    sink,
		fallback: &bufferedResponse{
			head: failedResponse(http.StatusInternalServerError).head,
		},
	}
	c.fallback.head.Header = http.Header{}
	c.admission.hasTurn = true
	q.turnHolder = c
	c.giveUp(context.Background(), "retry budget")
	if sink.head == nil || sink.held {
		t.Errorf("head %v, turn held meanwhile: %v", sink.head, sink.held)
	}
}

// Load: upstreams with free slots whose memory has no room for a large prompt, and one with memory
// whose slots are taken. The large prompt must not wait for memory, because it would hold up what
// comes behind it: both are sent at once, each to an upstream with a free slot.
func TestLargePromptDoesNotHoldUpSmallOnes(t *testing.T) {
	e := newQueueEnv(t, okResponse("x"), okResponse("x"))
	const memory = 10000
	e.view.Catalog.Services[testService].Engine = &catalog.Engine{
		Memory: memory,
	}
	for _, u := range e.targets[1:] {
		u.recordLoad(&persimmoncross.UpstreamLoad{
			Running: 4,
			Slots:   8,
		}, e.clock.Now())
		u.mu.Lock()
		u.capacity.hold(memory*6/10, e.clock.Now())
		u.mu.Unlock()
	}
	for _, request := range []struct {
		route  string
		tokens int
	}{
		{"safe", memory * 6 / 10},
		{"once", memory / 100},
	} {
		if r := <-e.sendPrompt(context.Background(), request.route, request.tokens); r.refusal != nil {
			t.Errorf("%s: got %+v, want the answer", request.route, r.refusal)
		}
	}
	if got := e.sent(); len(got) != 2 || got[0] != "safe" || got[1] != "once" {
		t.Errorf("sent %v, want both prompts in their order", got)
	}
}

// sendPrompt is like send, for a prompt of the given number of tokens.
func (e *queueEnv) sendPrompt(ctx context.Context, route string, tokens int) <-chan result {
	return e.sendChanged(ctx, route, func(p *persimmoncross.ProxyRequest) { p.PromptTokens = tokens })
}

// sendChanged is like send, after change has modified the request.
func (e *queueEnv) sendChanged(ctx context.Context, route string, change func(p *persimmoncross.ProxyRequest)) <-chan result {
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
	change(p)
	go func() {
		results <- result{
			refusal: e.relay.Serve(ctx, p, sink),
			sink:    sink,
		}
	}()
	return results
}

// A dispatched call that finds no room after all, for example because its chance to probe an avoided
// upstream differs, must let others go before it tries again. Otherwise it would take the next turn
// at once, and so on.
func TestTurnWithoutRoomIsNotRepeatedAtOnce(t *testing.T) {
	e := newQueueEnv(t)
	c := &call{
		relay:    e.relay,
		request:  &persimmoncross.ProxyRequest{},
		service:  testService,
		route:    e.view.Catalog.Routes[1],
		deadline: e.clock.Now().Add(20 * time.Second),
	}
	c.admission.hasTurn, c.admission.noRoom = true, true
	e.queue().turnHolder = c
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.awaitTurn(ctx)
	if e.queue().turnHolder != nil || c.admission.hasTurn {
		t.Error("the turn was not given back")
	}
	if !c.admission.notBefore.After(e.clock.Now()) {
		t.Error("the call may take the next turn at once")
	}
}

// Load: 60 callers at full upstreams, of which a third disconnects, while loads and the stages of an
// upgrade change. The queue reads and writes waiting calls; with -race this guards against use by two
// goroutines. Afterwards nothing may be counted any more.
func TestQueueIsEmptyAfterCallersLeave(t *testing.T) {
	var responses []*fakeResponse
	for range 400 {
		responses = append(responses, okResponse("x"))
	}
	e := newQueueEnv(t, responses...)
	e.queue().queue.MaxRequests = 40
	for _, u := range e.targets[:2] {
		u.Version = "v2"
	}
	var mu sync.Mutex // guards view
	view := e.view
	e.relay.View = func() *View {
		mu.Lock()
		defer mu.Unlock()
		return view
	}
	setStage := func(stage register.Stage) {
		v := *e.view
		v.Upgrades = map[string]register.Upgrade{testService: {
			Service: testService,
			Target:  "v2",
			Stage:   stage,
		}}
		mu.Lock()
		view = &v
		mu.Unlock()
	}
	var all []<-chan result
	var leave []context.CancelFunc
	for i := range 60 {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if i%3 == 0 {
			leave = append(leave, cancel)
		}
		all = append(all, e.send(ctx, []string{"once", "safe", "fixed"}[i%3]))
	}
	for round := 0; ; round++ {
		ended := 0
		for _, results := range all {
			ended += len(results)
		}
		if ended == len(all) {
			break
		}
		if round%2 == 0 {
			setStage(register.Completed)
		} else {
			setStage(register.Withdrawn)
		}
		if len(leave) > 0 {
			leave[0]()
			leave = leave[1:]
		}
		e.setLoad(8-round%4, 24*(round%2))
		e.clock.advance(time.Millisecond)
		runtime.Gosched()
	}
	e.awaitLength(0)
	q := e.queue()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.turnHolder != nil || len(q.waiters) > 0 || len(q.held) > 0 || !q.window.Idle() {
		t.Errorf("turn held: %v, %d waiters, %v held, window idle: %v", q.turnHolder != nil, len(q.waiters), q.held, q.window.Idle())
	}
}

// Load: a service that is short, whose upstreams begin a request within a quarter of a second. A request
// over its organisation's share is held there, since others want the room; one of another
// organisation and the rest of a stream go on. Where a slot is free, it goes on too: unused parts are lent.
func TestRequestOverShareWaitsForUnusedRoom(t *testing.T) {
	tests := []struct {
		name             string
		holder           string // organisation that holds most
		running, waiting int
		lastEventID      string
		wantHeld         bool
	}{
		{"over its share", "o", 8, 0, "", true},
		{"within its share", "other", 8, 0, "", false},
		{"rest of a stream", "o", 8, 0, "4", false},
		{"over its share, free slots", "o", 4, 0, "", false},
	}
	for _, tt := range tests {
		e := newQueueEnv(t, okResponse("x"))
		e.setLoad(tt.running, tt.waiting)
		e.relay.FleetDemands = &FleetDemands{}
		e.relay.FleetDemands.Apply([]Demand{{
			Service:   testService,
			Entries:   1,
			BeginRate: 16,
			Holdings: []Holding{
				{
					Organisation: tt.holder,
					Held:         60,
				},
				{
					Organisation: "small",
					Held:         14,
				},
			},
		}}, e.clock.Now())
		c := &call{
			relay:        e.relay,
			request:      &persimmoncross.ProxyRequest{},
			service:      testService,
			organisation: "o",
			route:        e.view.Catalog.Routes[0],
			lastEventID:  tt.lastEventID,
		}
		if refusal := c.refuseOverShare(); refusal != nil {
			t.Errorf("%s: refused at once: %+v", tt.name, refusal)
		}
		now := e.clock.Now()
		free := c.withRoom(e.targets, now)
		if held := len(free) == 0; held != tt.wantHeld {
			t.Errorf("%s: held: %v, want %v", tt.name, held, tt.wantHeld)
		}
		q := e.queue()
		q.overShare = e.relay.overShare(testService, now)
		if c.isDispatchable(q, map[roomKey]bool{}, now) == tt.wantHeld {
			t.Errorf("%s: the queue decides otherwise", tt.name)
		}
	}
}

// Load: the same, and nothing gets free until the request can't end in time. Its caller is told the reason:
// the organisation has more than its share. Others are told that no upstream has room.
func TestHeldRequestOverShareIsRefusedInTime(t *testing.T) {
	for _, tt := range []struct {
		holder string
		want   persimmoncross.Code
	}{
		{"o", persimmoncross.CodeConcurrencyLimited},
		{"other", persimmoncross.CodeOverloaded},
	} {
		e := newQueueEnv(t)
		e.relay.FleetDemands = &FleetDemands{}
		results := e.send(context.Background(), "once")
		e.awaitLength(1)
		for len(results) == 0 {
			e.relay.FleetDemands.Apply([]Demand{{
				Service:   testService,
				Entries:   1,
				BeginRate: 16,
				Holdings: []Holding{
					{
						Organisation: tt.holder,
						Held:         100,
					},
					{
						Organisation: "small",
						Held:         14,
					},
				},
			}}, e.clock.Now())
			e.setLoad(8, 24)
			e.step(results)
		}
		r := <-results
		if r.refusal == nil || r.refusal.Code != tt.want || r.refusal.Run != persimmoncross.NotRun || len(e.sent()) > 0 {
			t.Errorf("%s holds most: got %+v, want %s, not run", tt.holder, r.refusal, tt.want)
		}
	}
}

// Failure: the larger model would wait in the queue, and no upstream gets room. The smaller model's answer
// must not be lost with the refusal: where it is kept it is delivered then, and where it is not kept the
// larger model is not asked.
func TestQueuedEscalationKeepsSmallerAnswer(t *testing.T) {
	tests := []struct {
		name string
		kept bool
	}{
		{"kept", true},
		{"not kept", false},
	}
	for _, tt := range tests {
		small := smallAnswer(false, "1", "2")
		e := newQueueEnv(t, small)
		e.setLoad(6, 0)
		small.onAttempt = func() { e.setLoad(8, 24) }
		if tt.kept {
			for range 20 {
				e.relay.ModelStats.recordGeneration(testService, "small", 10, 30*time.Millisecond, e.clock.Now())
				e.relay.ModelStats.recordGeneration(testService, "large", 10, 300*time.Millisecond, e.clock.Now())
			}
		}
		results := e.sendChanged(context.Background(), "stream", func(p *persimmoncross.ProxyRequest) {
			p.RouterPicksModel = true
			p.OutputTokensHint = 10
		})
		queued := false
		for len(results) == 0 {
			if e.queue().length.Load() > 0 {
				queued = true
				e.setLoad(8, 24)
				e.step(results)
			}
			runtime.Gosched()
		}
		r := <-results
		if r.refusal != nil || r.sink.body.String() != eventStream("1", "2") || r.sink.head.Header.Get("Model") != "small" {
			t.Errorf("%s: got %+v and %q, want the smaller answer", tt.name, r.refusal, r.sink.body.String())
		}
		if queued != tt.kept || len(e.sent()) != 1 {
			t.Errorf("%s: queued %v, %d attempts", tt.name, queued, len(e.sent()))
		}
	}
}
