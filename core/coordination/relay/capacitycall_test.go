package relay

import (
	"math"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/catalog"
)

// Load: every engine's memory is full, and the one that holds least has no slot free, while another
// has. Guards against a request that waits in the queue, and may be refused, for memory alone.
func TestFullMemoryIsNoWait(t *testing.T) {
	e := newQueueEnv(t)
	e.setLoad(1, 0)
	e.view.Catalog.Services[testService].Engine = &catalog.Engine{
		Memory: 10_000,
	}
	now := e.clock.Now()
	for i, u := range e.targets {
		u.capacity.hold(9_500-100*i, now)
	}
	roomiest := e.targets[len(e.targets)-1]
	roomiest.recordLoad(&persimmoncross.UpstreamLoad{
		Running: 8,
		Waiting: 24,
		Slots:   8,
	}, now)
	c := &call{
		relay:          e.relay,
		service:        testService,
		route:          e.view.Catalog.Routes[2],
		triedUpstreams: map[string]bool{},
		request: &persimmoncross.ProxyRequest{
			PromptTokens: 2000,
		},
	}
	if got := c.pickTarget(persimmoncross.QuarantineNone); got == nil || got == roomiest {
		t.Errorf("picked %v, want an upstream with a free slot", got)
	}
}

// Guards against an attempt whose answer is kept while a larger model is asked: when it ends, the call
// has the other model already, and changes it in another goroutine.
func TestHoldTimeOfKeptAnswer(t *testing.T) {
	e := newTestEnv()
	e.relay.Config.Overload.Mode = persimmoncross.OverloadOn
	now := e.clock.Now()
	for prompt := 1000; prompt <= 20_000; prompt += 1000 {
		for model, perToken := range map[string]time.Duration{"small": 10 * time.Microsecond, "large": 200 * time.Microsecond} {
			e.relay.ModelStats.trackPendingHead(testService, model, prompt, now)(now.Add(time.Duration(prompt)*perToken), true)
		}
	}
	c := &call{
		relay:   e.relay,
		service: testService,
		route: &catalog.Route{
			Stream: true,
			Models: []string{"small", "large"},
		},
		request: &persimmoncross.ProxyRequest{
			RouterPicksModel: true,
			PromptTokens:     10_000,
		},
	}
	target := e.targets[0]
	reading := e.relay.ModelStats.prefillTime(testService, "small", 10_000)
	a := c.beginCapacity(target, now)
	// It waited 10 s in the upstream's queue, and was answered for one second.
	a.recordHead(persimmoncross.ProxyResponseHead{}, now.Add(10*time.Second))
	c.modelIndex = 1
	a.end(now.Add(11 * time.Second))
	if got, want := target.holdTime(0), time.Second+reading; reading == 0 || got < want-time.Millisecond || got > want+time.Millisecond {
		t.Errorf("hold time %v, want a second and the reading of the small model's prompt, %v", got, want)
	}
}

// Guards against a stream of which a part was received before, as of a kept answer that is delivered at
// once: it made the upstream that was asked last look eight times as fast.
func TestPartialStreamIsNoPace(t *testing.T) {
	for _, partial := range []bool{true, false} {
		e := newTestEnv()
		e.relay.Config.Overload.Mode = persimmoncross.OverloadOn
		target, now := e.targets[0], e.clock.Now()
		c := &call{
			relay:   e.relay,
			service: testService,
			route:   e.view.Catalog.Routes[2],
			request: &persimmoncross.ProxyRequest{
				MaxOutputTokens: 100,
			},
		}
		c.capacity = c.beginCapacity(target, now)
		for range 20 {
			c.capacity.service.recordStream("", 50, 100, 20*time.Millisecond)
		}
		c.recordCompletedStream(target, streamTiming{
			partial:      partial,
			headReceived: now.Add(-time.Millisecond),
			events:       10,
		})
		if got := target.relativePace(now); (got == 1) != partial {
			t.Errorf("partial %v: measured pace %.2f", partial, got)
		}
		if got := c.capacity.service.outputTokens("", 0, 100); (got == 50) != partial {
			t.Errorf("partial %v: %d tokens expected", partial, got)
		}
	}
}

// Guards against waits that are computed with a hold time far from the service's own, where its calls
// take milliseconds.
func TestExpectedWaitByHoldTime(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	_, targets := newCapacityPool(clock, 1, 6)
	targets[0].recordLoad(&persimmoncross.UpstreamLoad{
		Running: 6,
		Waiting: 4,
	}, clock.Now())
	targets[0].capacity.service.recordHold(15 * time.Millisecond)
	if got := targets[0].placementCandidate(clock.Now()).ExpectedWait(); got != 15*time.Millisecond {
		t.Errorf("expected wait %v, want 15ms: six more requests than the slots with one kept free", got)
	}
}

// Guards against a mean pace that depends on the order of the list: it is the measure of what is slow,
// and of the waits that a prompt accepts at its home.
func TestMeanPaceWithoutOrder(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	const n = 400
	pool, targets := newCapacityPool(clock, n, 12)
	var fleet []FleetCapacity
	for i, u := range targets {
		pace := 70
		if i >= n/2 {
			pace = 140
		}
		fleet = append(fleet, FleetCapacity{
			InstanceID: u.InstanceID(),
			Pace:       pace,
		})
	}
	for range 20 {
		clock.advance(500 * time.Millisecond)
		pool.ApplyFleetCapacities(fleet)
	}
	if got, want := targets[0].capacity.service.pace(), 0.7*math.Sqrt2; got < 0.98*want || got > 1.02*want {
		t.Errorf("mean pace %.2f, want %.2f", got, want)
	}
}
