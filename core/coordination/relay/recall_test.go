package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross"
)

// queueForwarder is a fakeForwarder with responses that never come, as of upstreams that queue the
// request, and responses that stay open after their body.
type queueForwarder struct {
	fakeForwarder
	queued   map[int]bool // attempts, from 0, that stay in the upstream's queue until they are canceled
	stayOpen map[int]bool // attempts whose response goes on after its body until it is canceled
	entered  chan *persimmoncross.ProxyAttempt
	clock    persimmoncross.Clock
	waiting  atomic.Int64 // attempts that wait until they are canceled
	atWork   int          // attempts that have not ended
	maxWork  int          // most attempts that were not ended at once
	// canceledAt is when the last queued attempt was canceled.
	canceledAt time.Time
}

func (f *queueForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	f.mu.Lock()
	n := len(f.attempts)
	f.atWork++
	f.maxWork = max(f.maxWork, f.atWork)
	f.mu.Unlock()
	response, err := f.fakeForwarder.Forward(ctx, a)
	f.entered <- a
	if err != nil {
		f.end()
		return nil, err
	}
	if f.queued[n] {
		f.waiting.Add(1)
		<-ctx.Done()
		f.waiting.Add(-1)
		f.canceledAt = f.clock.Now()
		f.end()
		response.Close()
		return nil, &persimmoncross.AttemptError{
			Reason: "canceled",
			Run:    persimmoncross.RunUnknown,
		}
	}
	return &queueResponse{
		ProxyResponse: response,
		forwarder:     f,
		ctx:           ctx,
		stayOpen:      f.stayOpen[n],
		isLast:        len(f.queued) == 0 && len(f.responses) == n+1,
	}, nil
}

func (f *queueForwarder) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.atWork--
}

type queueResponse struct {
	persimmoncross.ProxyResponse
	forwarder *queueForwarder
	ctx       context.Context
	stayOpen  bool
	isLast    bool // no other attempt is expected
}

func (r *queueResponse) Read(p []byte) (int, error) {
	n, err := r.ProxyResponse.Read(p)
	if err == io.EOF && r.stayOpen {
		if r.isLast {
			r.forwarder.waiting.Add(1)
			defer r.forwarder.waiting.Add(-1)
		}
		<-r.ctx.Done()
		return n, r.ctx.Err()
	}
	return n, err
}

func (r *queueResponse) Close() error {
	r.forwarder.end()
	return r.ProxyResponse.Close()
}

// stepClock is a manualClock on which short waits end at once.
type stepClock struct{ *manualClock }

func (c stepClock) After(d time.Duration) <-chan time.Time {
	if d < stallCheckInterval {
		fired := make(chan time.Time, 1)
		fired <- c.Now()
		return fired
	}
	return c.manualClock.After(d)
}

// recallEnv is a testEnv with the part in force and a clock that advances only while an attempt waits
// until it is canceled.
type recallEnv struct {
	*testEnv
	clock     stepClock
	forwarder *queueForwarder
	start     time.Time
	ctx       context.Context // of the caller
	cancel    context.CancelFunc
	maxSteps  int // waits after which the caller leaves
}

func newRecallEnv(responses ...*fakeResponse) *recallEnv {
	e := &recallEnv{
		testEnv: newTestEnv(responses...),
		clock: stepClock{
			manualClock: newManualClock(),
		},
		forwarder: &queueForwarder{
			queued:   map[int]bool{},
			stayOpen: map[int]bool{},
			entered:  make(chan *persimmoncross.ProxyAttempt, 100),
		},
		maxSteps: 1000,
	}
	e.forwarder.responses = responses
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.clock.now = time.Now() // contexts use the system clock
	e.start = e.clock.now
	e.relay.Clock = e.clock
	e.forwarder.clock = e.clock
	e.relay.Forwarder = e.forwarder
	e.relay.Config.Overload = persimmoncross.OverloadPolicy{
		Mode:         persimmoncross.OverloadOn,
		MaxHeldBytes: 1 << 20,
	}
	for range 20 {
		e.relay.ModelStats.recordGeneration(testService, "small", 10, 30*time.Millisecond, e.start)
		e.relay.ModelStats.recordGeneration(testService, "large", 10, 300*time.Millisecond, e.start)
	}
	return e
}

// serveQueued serves a request with a deadline. The clock advances by stallCheckInterval with each
// wait of a stall detector, and tick is called at its new time.
func (e *recallEnv) serveQueued(route string, deadline time.Duration, tick func(now time.Time), change func(p *persimmoncross.ProxyRequest)) *persimmoncross.Refusal {
	p := &persimmoncross.ProxyRequest{
		ID:               "id",
		Method:           http.MethodPost,
		Host:             "h",
		Path:             "/" + route + "/x",
		APIKey:           testKey,
		ArrivedAt:        e.start,
		Deadline:         e.start.Add(deadline),
		OutputTokensHint: 10,
	}
	if change != nil {
		change(p)
	}
	defer e.cancel()
	ended := make(chan *persimmoncross.Refusal, 1)
	go func() { ended <- e.relay.Serve(e.ctx, p, e.sink) }()
	for step := 0; ; step++ {
		if step >= e.maxSteps {
			e.cancel()
		}
		select {
		case refusal := <-ended:
			return refusal
		case fired := <-e.clock.waits:
			for e.forwarder.waiting.Load() == 0 {
				select {
				case refusal := <-ended:
					return refusal
				default:
					time.Sleep(20 * time.Microsecond) // the attempt is on its way
				}
			}
			e.clock.mu.Lock()
			e.clock.now = e.clock.now.Add(stallCheckInterval)
			now := e.clock.now
			e.clock.mu.Unlock()
			for _, u := range e.targets {
				u.recordReceived(now) // busy with other requests, not stalled
			}
			if tick != nil {
				tick(now)
			}
			fired <- now
		}
	}
}

// setLoads makes the named targets report a queue and the others free slots.
func (e *recallEnv) setLoads(now time.Time, queued func(name string) bool) {
	for _, u := range e.targets {
		load := &persimmoncross.UpstreamLoad{
			Running: 1,
			Slots:   8,
		}
		if queued(u.Name) {
			load.Running, load.Waiting = 8, 20
		}
		u.recordLoad(load, now)
	}
}

func (e *recallEnv) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("relay."+name, e.relay.Metrics).Count()
}

func (e *recallEnv) checkEnded(t *testing.T) {
	t.Helper()
	e.forwarder.mu.Lock()
	defer e.forwarder.mu.Unlock()
	if e.forwarder.openResponses != 0 || e.forwarder.atWork != 0 {
		t.Errorf("%d responses are open and %d attempts at work after the end", e.forwarder.openResponses, e.forwarder.atWork)
	}
	if n := e.relay.keptBytes.Load(); n != 0 {
		t.Errorf("%d bytes of kept answers are held after the end", n)
	}
	for _, u := range e.targets {
		if n := u.inFlight.Load(); n != 0 {
			t.Errorf("%s has %d requests in flight after the end", u.Name, n)
		}
	}
}

// Guards against a request that lies in the queue of an upstream until its deadline, while others
// would begin it at once. It must be withdrawn before it runs elsewhere.
func TestQueuedAttemptIsRecalled(t *testing.T) {
	e := newRecallEnv(streamResponse("", false), streamResponse(eventStream("1", "2"), false))
	e.forwarder.queued[0] = true
	first := ""
	refusal := e.serveQueued("stream", 5*time.Second, func(now time.Time) {
		if first == "" {
			first = (<-e.forwarder.entered).Upstream.Name
		}
		e.setLoads(now, func(name string) bool { return name == first })
	}, nil)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.sink.body.String(); got != eventStream("1", "2") {
		t.Errorf("the caller got %q", got)
	}
	if waited := e.forwarder.canceledAt.Sub(e.start); waited > time.Second {
		t.Errorf("the attempt was withdrawn after %v, though others would have begun it at once", waited)
	}
	a := e.forwarder.attempts
	if len(a) != 2 || a[1].Upstream.Name == first {
		t.Errorf("got %d attempts, want 2 at different upstreams", len(a))
	}
	if e.forwarder.maxWork != 1 {
		t.Errorf("%d attempts were at work at once, want 1", e.forwarder.maxWork)
	}
	if e.counter("recalled") != 1 || e.counter("retry.recalled") != 1 {
		t.Errorf("counters recalled %d and retry.recalled %d, want 1", e.counter("recalled"), e.counter("retry.recalled"))
	}
	for _, u := range e.targets {
		if u.isSuspected(e.clock.Now()) {
			t.Errorf("%s is suspected, but only has a queue", u.Name)
		}
	}
	e.checkEnded(t)
}

// Guards against recalls that are forbidden, or that gain nothing.
func TestAttemptIsNotRecalled(t *testing.T) {
	tests := []struct {
		name         string
		route        string
		change       func(e *recallEnv)
		allQueued    bool
		noLoads      bool // no load is reported by anybody
		headReceived bool
		unwatched    bool // no wait of a detector advances the clock
		attempts     int
	}{
		{name: "may not run twice", route: "once", unwatched: true, attempts: 1},
		{name: "stream that may not run twice", route: "fixed", unwatched: true, attempts: 1},
		{name: "at work", route: "stream", headReceived: true, attempts: 1},
		{name: "loads are missing", route: "stream", noLoads: true, attempts: 1},
		{name: "all have queues", route: "stream", allQueued: true, attempts: 1},
		{
			name:     "no retry left",
			route:    "stream",
			change:   func(e *recallEnv) { e.exhaustRetries() },
			attempts: 1,
		},
		{
			name:     "part not in force",
			route:    "stream",
			change:   func(e *recallEnv) { e.relay.Config.Overload.Mode = persimmoncross.OverloadOff },
			attempts: 1,
		},
		{
			name:      "last execution",
			route:     "stream",
			change:    func(e *recallEnv) { e.view.Catalog.Route("h", "/stream/x").MaxAttempts = 1 },
			unwatched: true,
			attempts:  1,
		},
		{
			name:     "recalled twice",
			route:    "stream",
			change:   func(e *recallEnv) { e.view.Catalog.Route("h", "/stream/x").MaxAttempts = 6 },
			attempts: 3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			responses := []*fakeResponse{streamResponse(eventStream("1"), false)}
			for range 5 {
				if !tt.headReceived {
					responses = append(responses, streamResponse(eventStream("1"), false))
				}
			}
			e := newRecallEnv(responses...)
			e.maxSteps = 60
			for i := range responses {
				if tt.headReceived {
					e.forwarder.stayOpen[i] = true
				} else {
					e.forwarder.queued[i] = true
				}
			}
			if tt.change != nil {
				tt.change(e)
			}
			if tt.unwatched {
				defer time.AfterFunc(200*time.Millisecond, e.cancel).Stop()
			}
			last := ""
			e.serveQueued(tt.route, 15*time.Second, func(now time.Time) {
				select {
				case a := <-e.forwarder.entered:
					last = a.Upstream.Name
				default:
				}
				if !tt.noLoads {
					e.setLoads(now, func(name string) bool { return tt.allQueued || name == last })
				}
			}, nil)
			if got := len(e.forwarder.attempts); got != tt.attempts {
				t.Errorf("got %d attempts, want %d", got, tt.attempts)
			}
			if e.forwarder.maxWork != 1 {
				t.Errorf("%d attempts were at work at once, want 1", e.forwarder.maxWork)
			}
			e.checkEnded(t)
		})
	}
}

func (e *recallEnv) exhaustRetries() {
	for e.relay.takeRetry(testService) {
		// Use up the retry budget, as failures would.
	}
}

// Guards against the use of a larger model whose answer begins in time and ends after the deadline.
// The smaller model's answer is delivered, though its confidence is low.
func TestLargerModelIsNotAskedIfItCannotFinish(t *testing.T) {
	for _, tt := range []struct {
		name   string
		tokens int
		models string
	}{
		{"short answer", 20, "small large"},
		{"long answer", 200, "small"},
	} {
		small := streamResponse(eventStream("1", "2"), false)
		small.head.ModelConfidence = 5
		e := newRecallEnv(small, streamResponse(eventStream("1", "2", "3"), false))
		if refusal := e.serveQueued("stream", 5*time.Second, nil, func(p *persimmoncross.ProxyRequest) {
			p.RouterPicksModel = true
			p.OutputTokensHint = tt.tokens
		}); refusal != nil {
			t.Fatalf("%s: %v", tt.name, refusal)
		}
		var models []string
		for _, a := range e.forwarder.attempts {
			models = append(models, a.Model)
		}
		if got := strings.Join(models, " "); got != tt.models {
			t.Errorf("%s: models %q, want %q", tt.name, got, tt.models)
		}
		e.checkEnded(t)
	}
}

// Guards against a mark on a healthy upstream whose response head arrives in the moment in which the
// attempt is withdrawn, and against an execution that is counted twice.
func TestRecallThatMeetsTheHead(t *testing.T) {
	for _, tt := range []struct {
		name       string
		received   bool
		executions int
	}{
		{"head pending", false, 1},
		{"head received", true, 0}, // counted with the head
	} {
		e := newRecallEnv()
		c := &call{
			relay:   e.relay,
			route:   e.view.Catalog.Route("h", "/stream/x"),
			service: testService,
			request: &persimmoncross.ProxyRequest{},
		}
		detector := &stallDetector{
			start:        e.start,
			done:         make(chan struct{}),
			recallTarget: e.targets[1],
		}
		detector.abort(func() {}, abortRecalled)
		if tt.received && detector.recordHead(e.start) {
			t.Errorf("%s: the response counts as not withdrawn", tt.name)
		}
		if got := c.handleAbort(e.targets[0], detector, time.Second); got != outcomeRecalled || c.executions != tt.executions {
			t.Errorf("%s: outcome %v with %d executions, want outcomeRecalled with %d", tt.name, got, c.executions, tt.executions)
		}
		if e.targets[0].isSuspected(e.start) {
			t.Errorf("%s: the upstream is suspected", tt.name)
		}
		if got := c.takeRecallTarget(); got != e.targets[1] || c.takeRecallTarget() != nil {
			t.Errorf("%s: the request does not go to the chosen target once", tt.name)
		}
	}
}

// Guards against a start with the largest model, to save a retry, whose answer would end after the
// deadline.
func TestFirstModelCanFinish(t *testing.T) {
	for _, tt := range []struct {
		name   string
		tokens int
		want   string
	}{
		{"short answer", 10, "large"},
		{"long answer", 400, "small"},
	} {
		e := newRecallEnv(streamResponse(eventStream("1"), false))
		e.relay.Config.RetryBudgetMinimum = 0
		for i := range 100 {
			e.relay.countRequest(testService)
			prompt := 500 + 100*(i%9)
			recordHead := e.relay.ModelStats.trackPendingHead(testService, "large", prompt, e.start)
			recordHead(e.start.Add(time.Duration(prompt)*50*time.Microsecond), true)
			e.relay.ModelStats.recordConfidence(testService, "small", i%5 < 3)
		}
		for range 62 {
			e.relay.takeRetry(testService) // only retries for failures are left
		}
		if refusal := e.serveQueued("stream", 5*time.Second, nil, func(p *persimmoncross.ProxyRequest) {
			p.RouterPicksModel = true
			p.PromptTokens = 300
			p.OutputTokensHint = tt.tokens
		}); refusal != nil {
			t.Fatalf("%s: %v", tt.name, refusal)
		}
		if got := e.forwarder.attempts[0].Model; got != tt.want {
			t.Errorf("%s: first model %s, want %s", tt.name, got, tt.want)
		}
		e.checkEnded(t)
	}
}
