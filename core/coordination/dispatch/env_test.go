package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/dispatch"
	"persimmoncross/core/coordination/limits"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/rollout"
	"persimmoncross/core/coordination/routing"
	"persimmoncross/core/state/ledger"
	"persimmoncross/core/state/record"
	"persimmoncross/core/state/settings"
	"persimmoncross/internal/standin"
	"persimmoncross/io/transport/engine"
)

// testEnv is a dispatcher with an in-memory ledger and stand-in upstreams.
type testEnv struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	state      *settings.State
	ledger     *fakeLedger
	admitter   *fakeAdmitter
	rater      *fakeRater
	engines    map[string]*standin.Engine
	service    *standin.Service
	addresses  map[string]string
	sequence   int
	services   string // services that the organisation may call
}

// fakeLedger applies commands at once, unless unavailable is set.
type fakeLedger struct {
	mu          sync.Mutex // guards all fields below
	machine     *ledger.Ledger
	index       uint64
	unavailable bool
	onCommand   func(c *record.Command) // called before each command; may be nil
}

func (l *fakeLedger) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &record.Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return nil, err
	}
	if l.onCommand != nil {
		l.onCommand(c)
	}
	if l.unavailable {
		return nil, errors.New("no quorum")
	}
	l.index++
	return l.machine.Apply(persimmoncross.Entry{
		Index: l.index,
		Data:  command,
	}), nil
}

type fakeAdmitter struct {
	mu    sync.Mutex // guards admit and lease
	admit *persimmoncross.Refusal
	lease *persimmoncross.Refusal
}

func (g *fakeAdmitter) set(admit, lease *persimmoncross.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admit = admit
	g.lease = lease
}

func (g *fakeAdmitter) Admit() *persimmoncross.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admit != nil {
		return g.admit
	}
	return g.lease
}

func (g *fakeAdmitter) CheckLease() *persimmoncross.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease
}

// fakeRater returns smallRating for answers of the model small and 0.9 for all others.
type fakeRater struct {
	mu          sync.Mutex // guards all fields below
	smallRating float64
	err         error
	onRate      func() // called for each rating; may be nil
}

func (r *fakeRater) Rate(_ context.Context, _, _ []byte, v persimmoncross.ModelVersion) (float64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.onRate != nil {
		r.onRate()
	}
	if v.Model == "small" {
		return r.smallRating, r.err
	}
	return 0.9, r.err
}

// failingJoiner behaves as if the owner had exited.
type failingJoiner struct{}

func (failingJoiner) Join(context.Context, string, string, string, persimmoncross.ResponseSink) error {
	return errors.New("gone")
}

// firstCandidate always picks the first candidate, so that tests can predict the pick.
type firstCandidate struct{}

func (firstCandidate) Pick([]persimmoncross.Candidate, int) int { return 0 }

const envSettings = `{
  "models": {
    "small": {"price": 1, "versions": {"1": {"weight": 100}, "2": {"weight": 0}}},
    "large": {"price": 12, "versions": {"1": {"weight": 100}}},
  },
  "cascades": {"auto": {"steps": ["small", "large"]}},
  "upstreams": {
    "engine-1": {"kind": "engine", "address": "<engine-1>", "versions": ["small@1", "small@2"]},
    "engine-2": {"kind": "engine", "address": "<engine-2>", "versions": ["small@1", "small@2"]},
    "engine-3": {"kind": "engine", "address": "<engine-3>", "versions": ["large@1"]},
    "stock-1": {"kind": "service", "address": "<stock-1>"},
  },
  "fleet": {
    "organisations": {"relay": {"keys": ["<key>"], "allow": ["small", "large", "auto"], "services": [<services>]<more>}},
    "callable": {"stock": {"upstreams": ["stock-1"], "once": ["POST /deposit"]}},
  },
}`

func newEnv(t *testing.T) *testEnv {
	t.Helper()
	e := &testEnv{
		t:        t,
		state:    settings.NewState(),
		admitter: &fakeAdmitter{},
		rater: &fakeRater{
			smallRating: 0.9,
		},
		engines:   map[string]*standin.Engine{},
		service:   &standin.Service{},
		addresses: map[string]string{},
		services:  `"stock"`,
		ledger: &fakeLedger{
			machine: ledger.New(),
		},
	}
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		versions := []string{"small@1", "small@2"}
		if name == "engine-3" {
			versions = []string{"large@1"}
		}
		e.engines[name] = &standin.Engine{
			Versions: versions,
		}
		e.addServer(name, httptest.NewServer(e.engines[name].Handler()))
	}
	e.addServer("stock-1", httptest.NewServer(e.service.Handler()))
	clock := persimmoncross.SystemClock{}
	table := &routing.Table{
		Clock:       clock,
		Picker:      firstCandidate{},
		LiveEntries: func() int { return 1 },
	}
	e.state.Observe = table.Update
	client := engine.NewClient()
	e.dispatcher = &dispatch.Dispatcher{
		QuarantineRecorder: &quarantine.Recorder{},
		QuarantineStore:    &quarantine.Store{},
		Owner:              "vm-a#1",
		Clock:              clock,
		FleetTime:          func() int64 { return clock.Now().UnixNano() },
		Settings:           e.state.Current,
		Admitter:           e.admitter,
		Ledger:             e.ledger,
		UpstreamClient:     client,
		Table:              table,
		Limiter: &limits.Limiter{
			Clock:       clock,
			LiveEntries: func() int { return 1 },
		},
		Rater:            e.rater,
		Joiner:           failingJoiner{},
		CascadeEstimator: &cascade.Estimator{},
		RolloutEvidence: &rollout.Collector{
			Clock: clock,
		},
		Metrics: metrics.NewRegistry(),
		Log:     zerolog.Nop(),
		Random:  rand.New(rand.NewPCG(1, 2)),
	}
	e.dispatcher.Prepare()
	e.apply("")
	return e
}

func (e *testEnv) addServer(name string, s *httptest.Server) {
	e.addresses[name] = netip.MustParseAddrPort(s.Listener.Addr().String()).String()
	e.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
}

// apply puts the settings into force; more holds further fields of the organisation.
func (e *testEnv) apply(more string) {
	text := strings.NewReplacer("<key>", settings.HashKey("k"), "<more>", more, "<services>", e.services).Replace(envSettings)
	for name, a := range e.addresses {
		text = strings.ReplaceAll(text, "<"+name+">", a)
	}
	e.applyChange(&record.Change{
		File: []byte(text),
	})
}

func (e *testEnv) withdraw(version string) {
	e.applyChange(&record.Change{
		Withdraw: version,
	})
}

func (e *testEnv) applyChange(c *record.Change) {
	e.sequence++
	c.Id = fmt.Sprint(e.sequence)
	c.Any = true
	r := &record.Result{}
	raw := e.state.Apply(persimmoncross.Entry{
		Index: uint64(e.sequence),
		Data:  record.Encode(c),
	})
	if err := proto.Unmarshal(raw, r); err != nil || r.GetError() != "" {
		e.t.Fatalf("cannot apply the change: error %v, result %v", err, r)
	}
}

// chatRequest returns a chat request for the model.
func (e *testEnv) chatRequest(model string, tokens int) *dispatch.Request {
	o, ok := e.state.Current().Organisation("k")
	if !ok {
		e.t.Fatal("the settings have no organisation for the key")
	}
	e.sequence++
	return &dispatch.Request{
		ID:           fmt.Sprintf("request-%d", e.sequence),
		Organisation: o,
		TargetName:   model,
		Stream:       true,
		Deadline:     time.Now().Add(20 * time.Second),
		StallTimeout: 10 * time.Second,
		Body:         fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"q"}]}`, model, tokens),
	}
}

// serviceRequest returns a request to the plain service.
func (e *testEnv) serviceRequest(method, path string) *dispatch.Request {
	w := e.chatRequest("stock", 0)
	w.Stream = false
	w.Service = e.state.Current().Services["stock"]
	w.Method = method
	w.Path = path
	w.AtMostOnce = w.Service.OnceOnly(method, path)
	w.Body = []byte("{}")
	return w
}

// fakeSink records what a caller would receive.
type fakeSink struct {
	head        persimmoncross.ResponseHead
	chunks      []string
	ends        int
	refusal     *persimmoncross.Refusal
	failAtChunk int    // the caller disconnects at this chunk; 0 means never
	onWrite     func() // called for each chunk; may be nil
}

func (s *fakeSink) Start(h persimmoncross.ResponseHead) error {
	s.head = h
	return nil
}

func (s *fakeSink) Write(chunk []byte) error {
	s.chunks = append(s.chunks, string(chunk))
	if s.onWrite != nil {
		s.onWrite()
	}
	if s.failAtChunk > 0 && len(s.chunks) >= s.failAtChunk {
		return io.ErrClosedPipe
	}
	return nil
}

func (s *fakeSink) End(r *persimmoncross.Refusal) {
	s.ends++
	s.refusal = r
}

// text returns the text generated in a stream.
func (s *fakeSink) text() string {
	var b strings.Builder
	for _, c := range s.chunks {
		_, after, ok := strings.Cut(c, `"content":"`)
		if ok {
			text, _, _ := strings.Cut(after, `"`)
			b.WriteString(text)
		}
	}
	return b.String()
}

func wantText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// serve runs the request and waits for its end.
func (e *testEnv) serve(w *dispatch.Request) *fakeSink {
	s := &fakeSink{}
	e.dispatcher.Serve(e.t.Context(), w, s)
	if s.ends != 1 {
		e.t.Errorf("End was called %d times, want 1", s.ends)
	}
	return s
}

// startedRuns returns all runs that the upstreams started.
func (e *testEnv) startedRuns() []standin.Run {
	var all []standin.Run
	for _, n := range []string{"engine-1", "engine-2", "engine-3"} {
		all = append(all, e.engines[n].Book.Runs()...)
	}
	return append(all, e.service.Book.Runs()...)
}

// settledRequests returns the settled requests in the ledger.
func (e *testEnv) settledRequests() []*record.Request { return e.ledger.machine.Bills(0, 1000) }

// quotaOf returns the organisation's quota, for tests that use it up.
func quotaOf(e *testEnv) limits.Quota {
	o, _ := e.state.Current().Organisation("k")
	return limits.Quota{
		Rate:        o.Rate,
		Burst:       o.Burst,
		Concurrency: o.Concurrency,
	}
}
