package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
)

// steppingClock is a clock on which a wait of up to 100 ms ends at once and a longer one never
// ends, so that the timeouts of attempts don't race with the responses of the fakes.
type steppingClock struct {
	mu  sync.Mutex // guards now
	now time.Time
}

func (c *steppingClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *steppingClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *steppingClock) After(d time.Duration) <-chan time.Time {
	if d > 100*time.Millisecond {
		return nil
	}
	c.advance(d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// frozenClock is a clock whose time does not advance and whose waits never end.
type frozenClock struct{ now time.Time }

func (c frozenClock) Now() time.Time                       { return c.now }
func (c frozenClock) After(time.Duration) <-chan time.Time { return nil }

// fakeResponse is the response of a fake upstream to one attempt.
type fakeResponse struct {
	head        persimmoncross.ProxyResponseHead
	body        string
	interrupted bool // the connection is cut after the body
	err         *persimmoncross.AttemptError
	onAttempt   func()
	reader      *bytes.Reader
	forwarder   *fakeForwarder
}

func (r *fakeResponse) Head() persimmoncross.ProxyResponseHead { return r.head }

func (r *fakeResponse) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if errors.Is(err, io.EOF) && r.interrupted {
		return n, &persimmoncross.AttemptError{
			Reason: "cut",
			Run:    persimmoncross.Ran,
		}
	}
	return n, err
}

func (r *fakeResponse) Close() error {
	r.forwarder.mu.Lock()
	defer r.forwarder.mu.Unlock()
	r.forwarder.openResponses--
	return nil
}

// fakeForwarder answers the attempts with the responses in order, and records the attempts.
type fakeForwarder struct {
	responses []*fakeResponse

	mu            sync.Mutex // guards all below
	attempts      []*persimmoncross.ProxyAttempt
	openResponses int
}

func (f *fakeForwarder) Forward(_ context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.attempts)
	f.attempts = append(f.attempts, a)
	if n >= len(f.responses) {
		return nil, &persimmoncross.AttemptError{
			Reason: "connect",
			Run:    persimmoncross.NotRun,
		}
	}
	next := f.responses[n]
	if next.onAttempt != nil {
		next.onAttempt()
	}
	if next.err != nil {
		return nil, next.err
	}
	if next.head.Header == nil {
		next.head.Header = http.Header{}
	}
	next.reader = bytes.NewReader([]byte(next.body))
	next.forwarder = f
	f.openResponses++
	return next, nil
}

// recordingSink records the response that a caller gets.
type recordingSink struct {
	head *persimmoncross.ProxyResponseHead
	body bytes.Buffer
}

func (r *recordingSink) WriteHead(h persimmoncross.ProxyResponseHead) error {
	if r.head != nil {
		return errors.New("WriteHead was called twice")
	}
	r.head = &h
	return nil
}

func (r *recordingSink) Write(p []byte) error {
	_, err := r.body.Write(p)
	return err
}

func (r *recordingSink) Flush() error { return nil }

// testEnv is a relay with a fake forwarder, sink and clock.
type testEnv struct {
	relay     *Relay
	forwarder *fakeForwarder
	sink      *recordingSink
	clock     persimmoncross.Clock
	view      *View
	targets   []*Target
}

const (
	testService = "s"
	testKey     = "k"
)

func newTestEnv(responses ...*fakeResponse) *testEnv {
	e := &testEnv{
		forwarder: &fakeForwarder{
			responses: responses,
		},
		sink: &recordingSink{},
		clock: &steppingClock{
			now: time.Unix(1000, 0),
		},
	}
	pool := &Pool{
		Clock: e.clock,
	}
	var list []persimmoncross.Upstream
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		list = append(list, persimmoncross.Upstream{
			Name:    id,
			Service: testService,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Version: "v1",
			Slots:   8,
		})
	}
	targetsByService := pool.Update(list)
	e.targets = targetsByService[testService]
	c := &catalog.Catalog{
		Number: 1,
		Keyed:  true,
		Services: map[string]*catalog.Service{
			testService: {
				Name: testService,
			},
		},
		Organisations: []*catalog.Organisation{
			{
				Name:     "o",
				Keys:     []string{testKey},
				Priority: -1,
			},
		},
	}
	for _, r := range []struct {
		name   string
		repeat persimmoncross.RetryMode
		stream bool
	}{
		{"once", persimmoncross.RetryNever, false},
		{"safe", persimmoncross.RetryFreely, false},
		{"stream", persimmoncross.RetryResume, true},
		{"fixed", persimmoncross.RetryNever, true},
	} {
		c.Routes = append(c.Routes, &catalog.Route{
			Name:        r.name,
			Host:        "h",
			Prefix:      "/" + r.name + "/",
			Repeat:      r.repeat,
			Stream:      r.stream,
			Timeout:     20 * time.Second,
			Objective:   3 * time.Second,
			Models:      []string{"small", "middle", "large"},
			MaxAttempts: 3,
			Split: []catalog.Share{
				{
					Service: testService,
					Weight:  1,
				},
			},
		})
	}
	c.Index()
	e.view = &View{
		Catalog:    c,
		Targets:    targetsByService,
		Upgrades:   map[string]register.Upgrade{},
		EntryCount: defaultEntryCount,
	}
	e.relay = &Relay{
		Forwarder: e.forwarder,
		View:      func() *View { return e.view },
		Clock:     e.clock,
		Config: Config{
			RetryBudgetRatio:   0.9,
			RetryBudgetWindow:  10 * time.Second,
			RetryBudgetMinimum: 60,
			MaxCanaryShare:     0.15,
		},
		Sessions: &Sessions{
			IdleTimeout: 5 * time.Second,
		},
		CanaryStats:        &CanaryStats{},
		QuarantineRecorder: &quarantine.Recorder{},
		ModelStats:         &ModelStats{},
		Cascade: cascade.EscalationPolicy{
			Thresholds: []int{55, 55},
		},
		Metrics: metrics.NewRegistry(),
		Log:     zerolog.Nop(),
	}
	return e
}

// takeRetry takes a retry from the service's budget, as another request would, and reports whether one was left.
func (r *Relay) takeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).TryRetry(r.Clock.Now())
}

// serve sends a request on the route, after change has modified it.
func (e *testEnv) serve(t *testing.T, route string, change func(p *persimmoncross.ProxyRequest)) *persimmoncross.Refusal {
	t.Helper()
	p := &persimmoncross.ProxyRequest{
		ID:            "id",
		Method:        http.MethodPost,
		Host:          "h",
		Path:          "/" + route + "/x",
		RequestTarget: "/" + route + "/x",
		APIKey:        testKey,
		ArrivedAt:     e.clock.Now(),
	}
	if change != nil {
		change(p)
	}
	// The deadlines of contexts use the system clock.
	e.view.Catalog.Routes[0].Timeout = 20 * time.Second
	p.ArrivedAt = time.Now()
	if l, ok := e.clock.(*steppingClock); ok {
		l.mu.Lock()
		l.now = p.ArrivedAt
		l.mu.Unlock()
	}
	return e.relay.Serve(context.Background(), p, e.sink)
}

// okResponse returns a successful response that is no stream.
func okResponse(body string) *fakeResponse {
	return &fakeResponse{
		head: persimmoncross.ProxyResponseHead{
			Status:          http.StatusOK,
			HasSignature:    true,
			ModelConfidence: -1,
		},
		body: body,
	}
}

// failedResponse returns a failure response of the upstream itself.
func failedResponse(status int) *fakeResponse {
	response := okResponse("failed")
	response.head.Status = status
	return response
}

// rejectedResponse returns a response that says that the request did not run.
func rejectedResponse() *fakeResponse {
	response := failedResponse(http.StatusServiceUnavailable)
	response.head.HasSignature = false
	response.head.NotRun = true
	return response
}

// lostResponse returns the result of an attempt that got no response.
func lostResponse(run persimmoncross.RunStatus) *fakeResponse {
	return &fakeResponse{
		err: &persimmoncross.AttemptError{
			Reason: "cut",
			Run:    run,
		},
	}
}
