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

// leaping is a clock on which a short pause is over at once, and a longer wait
// never is: the limits of attempts do not race with the stand-ins' answers.
type leaping struct {
	mu  sync.Mutex // guards now
	now time.Time
}

func (c *leaping) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *leaping) leap(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *leaping) After(d time.Duration) <-chan time.Time {
	if d > 100*time.Millisecond {
		return nil
	}
	c.leap(d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// standing is a clock that stands still: no wait is ever over.
type standing struct{ now time.Time }

func (c standing) Now() time.Time                       { return c.now }
func (c standing) After(time.Duration) <-chan time.Time { return nil }

// answer is what a stand-in upstream answers to one attempt.
type answer struct {
	head    persimmoncross.PassageHead
	body    string
	cut     bool // the body breaks off
	err     *persimmoncross.AttemptError
	then    func()
	read    *bytes.Reader
	forward *forwarder
}

func (a *answer) Head() persimmoncross.PassageHead { return a.head }

func (a *answer) Read(p []byte) (int, error) {
	n, err := a.read.Read(p)
	if errors.Is(err, io.EOF) && a.cut {
		return n, &persimmoncross.AttemptError{
			Reason: "cut",
			Run:    persimmoncross.Ran,
		}
	}
	return n, err
}

func (a *answer) Close() error {
	a.forward.mu.Lock()
	defer a.forward.mu.Unlock()
	a.forward.open--
	return nil
}

// forwarder answers the attempts in order and keeps them.
type forwarder struct {
	answers []*answer

	mu       sync.Mutex // guards all below
	attempts []*persimmoncross.PassageAttempt
	open     int
}

func (f *forwarder) Forward(_ context.Context, a *persimmoncross.PassageAttempt) (persimmoncross.PassageAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.attempts)
	f.attempts = append(f.attempts, a)
	if n >= len(f.answers) {
		return nil, &persimmoncross.AttemptError{
			Reason: "connect",
			Run:    persimmoncross.NotRun,
		}
	}
	next := f.answers[n]
	if next.then != nil {
		next.then()
	}
	if next.err != nil {
		return nil, next.err
	}
	if next.head.Header == nil {
		next.head.Header = http.Header{}
	}
	next.read = bytes.NewReader([]byte(next.body))
	next.forward = f
	f.open++
	return next, nil
}

// recorder is a caller.
type recorder struct {
	head *persimmoncross.PassageHead
	body bytes.Buffer
}

func (r *recorder) Head(h persimmoncross.PassageHead) error {
	if r.head != nil {
		return errors.New("a second head")
	}
	r.head = &h
	return nil
}

func (r *recorder) Write(p []byte) error {
	_, err := r.body.Write(p)
	return err
}

func (r *recorder) Flush() error { return nil }

// env is a relay before stand-ins.
type env struct {
	relay   *Relay
	forward *forwarder
	caller  *recorder
	clock   persimmoncross.Clock
	view    *View
	targets []*Target
}

const (
	service = "s"
	key     = "k"
)

func newEnv(answers ...*answer) *env {
	e := &env{
		forward: &forwarder{
			answers: answers,
		},
		caller: &recorder{},
		clock: &leaping{
			now: time.Unix(1000, 0),
		},
	}
	pool := &Pool{
		Clock: e.clock,
	}
	var list []persimmoncross.Upstream
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		list = append(list, persimmoncross.Upstream{
			Incarnation: id,
			Service:     service,
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
			Version:     "v1",
			Slots:       8,
		})
	}
	targets := pool.Update(list)
	e.targets = targets[service]
	c := &catalog.Catalog{
		Number: 1,
		Keyed:  true,
		Services: map[string]*catalog.Service{
			service: {
				Name: service,
			},
		},
		Organisations: []*catalog.Organisation{
			{
				Name:     "o",
				Keys:     []string{key},
				Priority: -1,
			},
		},
	}
	for _, r := range []struct {
		name   string
		repeat persimmoncross.Repeat
		stream bool
	}{
		{"once", persimmoncross.RepeatNever, false},
		{"safe", persimmoncross.RepeatFreely, false},
		{"stream", persimmoncross.RepeatResume, true},
		{"fixed", persimmoncross.RepeatNever, true},
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
					Service: service,
					Weight:  1,
				},
			},
		})
	}
	c.Index()
	e.view = &View{
		Catalog:  c,
		Targets:  targets,
		Upgrades: map[string]register.Upgrade{},
	}
	e.relay = &Relay{
		Forwarder: e.forward,
		View:      func() *View { return e.view },
		Clock:     e.clock,
		Bounds: Bounds{
			RetryShare:    0.9,
			RetryWindow:   10 * time.Second,
			RetrySlack:    60,
			ExposureShare: 0.15,
		},
		Sessions: &Sessions{
			Idle: 5 * time.Second,
		},
		Evidence: &Evidence{},
		Book:     &quarantine.Book{},
		Pressure: &Pressure{},
		Cascade: cascade.Confidence{
			Thresholds: []int{55, 55},
		},
		Metrics: metrics.NewRegistry(),
		Log:     zerolog.Nop(),
	}
	return e
}

// serve sends a passage on the route.
func (e *env) serve(t *testing.T, route string, change func(p *persimmoncross.Passage)) *persimmoncross.Refusal {
	t.Helper()
	p := &persimmoncross.Passage{
		ID:      "id",
		Method:  http.MethodPost,
		Host:    "h",
		Path:    "/" + route + "/x",
		Target:  "/" + route + "/x",
		Key:     key,
		Arrived: e.clock.Now(),
	}
	if change != nil {
		change(p)
	}
	// The deadlines of contexts are of the system's clock.
	e.view.Catalog.Routes[0].Timeout = 20 * time.Second
	p.Arrived = time.Now()
	if l, ok := e.clock.(*leaping); ok {
		l.mu.Lock()
		l.now = p.Arrived
		l.mu.Unlock()
	}
	return e.relay.Serve(context.Background(), p, e.caller)
}

// whole is a good answer that is no stream.
func whole(body string) *answer {
	return &answer{
		head: persimmoncross.PassageHead{
			Status:     http.StatusOK,
			Signed:     true,
			Confidence: -1,
		},
		body: body,
	}
}

// failure is an upstream's own failure.
func failure(status int) *answer {
	a := whole("failed")
	a.head.Status = status
	return a
}

// rejection says that nothing ran.
func rejection() *answer {
	a := failure(http.StatusServiceUnavailable)
	a.head.Signed = false
	a.head.NotRun = true
	return a
}

// lost is an attempt whose answer never came.
func lost(run persimmoncross.Run) *answer {
	return &answer{
		err: &persimmoncross.AttemptError{
			Reason: "cut",
			Run:    run,
		},
	}
}
