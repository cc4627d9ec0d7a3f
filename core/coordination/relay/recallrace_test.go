package relay

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// Guards against the end of a response whose head was received while a better upstream was looked
// for: part of it may be at the caller already.
func TestNoRecallAfterHead(t *testing.T) {
	for _, reason := range []abortReason{abortRecalled, abortReplaced} {
		detector := &stallDetector{
			done: make(chan struct{}),
		}
		if !detector.recordHead(time.Time{}) {
			t.Error("a response counts as withdrawn without a withdrawal")
		}
		if detector.abort(func() { t.Errorf("reason %d: the response was canceled after its head", reason) }, reason) {
			t.Errorf("reason %d: the response is not watched for stalls any more", reason)
		}
		if detector.stop() {
			t.Errorf("reason %d: the attempt counts as canceled", reason)
		}
	}
}

// lateHeadForwarder returns the response head of a withdrawn attempt all the same.
type lateHeadForwarder struct{ *queueForwarder }

func (f lateHeadForwarder) Forward(ctx context.Context, a *persimmoncross.ProxyAttempt) (persimmoncross.ProxyResponse, error) {
	response, err := f.queueForwarder.Forward(ctx, a)
	if err != nil && ctx.Err() != nil {
		late := largeAnswer(true)
		late.reader = bytes.NewReader(nil)
		f.mu.Lock()
		late.forwarder = &f.fakeForwarder
		f.openResponses++
		f.mu.Unlock()
		return late, nil
	}
	return response, err
}

// Guards against a head that is sent to the caller of a run that was withdrawn meanwhile. The run
// counts as an execution once.
func TestHeadOfRecalledAttemptIsNotSent(t *testing.T) {
	answer := streamResponse(eventStream("1"), false)
	answer.head.Header = http.Header{"Model": {"second"}}
	e := newRecallEnv(streamResponse("", false), answer)
	e.forwarder.queued[0] = true
	e.relay.Forwarder = lateHeadForwarder{e.forwarder}
	first := ""
	if refusal := e.serveQueued("stream", 5*time.Second, func(now time.Time) {
		if first == "" {
			first = (<-e.forwarder.entered).Upstream.Name
		}
		e.setLoads(now, func(name string) bool { return name == first })
	}, nil); refusal != nil {
		t.Fatal(refusal)
	}
	if got := e.sink.head.Header.Get("Model"); got != "second" {
		t.Errorf("the caller got the head of the withdrawn run, want that of the second run")
	}
	if n := e.counter("recalled"); n != 1 {
		t.Errorf("counter recalled = %d, want 1", n)
	}
	e.checkEnded(t)
}

// Guards against a withdrawn request that is refused because the chosen upstream takes nothing any
// more, though its former upstream would serve it.
func TestRecalledRequestReturnsToFormerUpstream(t *testing.T) {
	e := newRecallEnv()
	c := &call{
		relay:          e.relay,
		route:          e.view.Catalog.Route("h", "/stream/x"),
		service:        testService,
		request:        &persimmoncross.ProxyRequest{},
		triedUpstreams: map[string]bool{e.targets[0].Name: true},
	}
	e.view.Targets[testService] = e.targets[:2]
	e.targets[1].markDraining()
	detector := &stallDetector{
		start:        e.start,
		done:         make(chan struct{}),
		recallTarget: e.targets[1],
	}
	detector.abort(func() {}, abortRecalled)
	c.handleAbort(e.targets[0], detector, time.Second)
	if got := c.pickTarget(persimmoncross.QuarantineNone); got != e.targets[0] {
		t.Errorf("picked %v, want the upstream that the request was withdrawn from", got)
	}
}

// Guards against a withdrawn request that runs on a version that an upgrade, which advanced while it
// lay in the queue, has moved its session away from.
func TestRecalledRequestRunsOnChosenVersion(t *testing.T) {
	for _, tt := range []struct {
		target int // index of the target chosen at the withdrawal
		want   string
	}{
		{1, "v2"},
		{2, "v2"},
	} {
		e := newRecallEnv()
		for _, u := range e.targets[2:] {
			u.Version = "v2"
		}
		c := &call{
			relay:        e.relay,
			route:        e.view.Catalog.Route("h", "/stream/x"),
			service:      testService,
			recallTarget: e.targets[tt.target],
			recalledFrom: e.targets[0],
			request: &persimmoncross.ProxyRequest{
				SessionID: "session",
			},
			versionFilter: versionFilter{
				version: "v2", // chosen before the upgrade began
				strict:  true,
			},
		}
		e.view.Upgrades[testService] = register.Upgrade{
			Service: testService,
			Target:  "v2",
			Stage:   register.Completed,
		}
		target := c.pickTarget(persimmoncross.QuarantineNone)
		if target == nil || target.Version != tt.want {
			t.Errorf("target %d chosen before: picked %v, want an upstream of %s", tt.target, target, tt.want)
		}
		if tt.target == 2 && target != e.targets[2] {
			t.Errorf("picked %v, want the chosen one of the right version", target)
		}
	}
}

// Guards against a larger model that counts as not asked twice for one request.
func TestLargerModelNotAskedIsCountedOnce(t *testing.T) {
	small := smallAnswer(false, "1")
	e := newRecallEnv(small)
	c := &call{
		relay:    e.relay,
		route:    e.view.Catalog.Route("h", "/stream/x"),
		service:  testService,
		deadline: e.start,
		request: &persimmoncross.ProxyRequest{
			RouterPicksModel: true,
			OutputTokensHint: 10,
		},
	}
	for range 2 {
		if c.canLargestFinish(e.start) {
			t.Error("the larger model counts as able to end at the deadline")
		}
	}
	if n := e.counter("larger.too-late"); n != 1 {
		t.Errorf("counter larger.too-late = %d, want 1", n)
	}
}

// Guards against a withdrawal of a request in quarantine, whose crashes must be attributed to one run,
// and against withdrawals by loads that are too old to act on.
func TestAttemptIsNotRecalledInQuarantine(t *testing.T) {
	for _, tt := range []struct {
		name  string
		stage persimmoncross.QuarantineStage
		age   time.Duration // age of the reported load
		want  bool
	}{
		{"no quarantine", persimmoncross.QuarantineNone, 0, true},
		{"isolated", persimmoncross.QuarantineIsolate, 0, false},
		{"old load", persimmoncross.QuarantineNone, maxLoadAge + time.Second, false},
	} {
		e := newRecallEnv()
		now := e.start.Add(time.Minute)
		c := &call{
			relay:    e.relay,
			route:    e.view.Catalog.Route("h", "/stream/x"),
			service:  testService,
			deadline: now.Add(10 * time.Second),
			request: &persimmoncross.ProxyRequest{
				ArrivedAt: now.Add(-2 * time.Second),
			},
		}
		e.view.Quarantines = map[persimmoncross.Digest]persimmoncross.Quarantine{
			c.quarantineRequest.Digest: {
				Stage: tt.stage,
			},
		}
		e.setLoads(now.Add(-tt.age), func(name string) bool { return name == e.targets[0].Name })
		watch := c.newRecallWatch(e.targets[0], now.Add(-2*time.Second))
		detector := &stallDetector{
			start: now.Add(-2 * time.Second),
		}
		if got := watch.betterTarget(detector, now) != nil; got != tt.want {
			t.Errorf("%s: withdrawn %v, want %v", tt.name, got, tt.want)
		}
	}
}
