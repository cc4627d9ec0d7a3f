package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/capacity"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/state/catalog"
)

// newCapacityPool returns a pool with n upstreams for which the part capacity is in force.
func newCapacityPool(clock persimmoncross.Clock, n, slots int) (*Pool, []*Target) {
	p := &Pool{
		Clock:           clock,
		CapacityEnabled: func(string) bool { return true },
	}
	return p, p.Update(upstreamList(n, slots, time.Time{}))[testService]
}

func upstreamList(n, slots int, startedAt time.Time) []persimmoncross.Upstream {
	var list []persimmoncross.Upstream
	for i := range n {
		list = append(list, persimmoncross.Upstream{
			Name:      fmt.Sprint("u", i),
			Service:   testService,
			Slots:     slots,
			StartedAt: startedAt,
		})
	}
	return list
}

// reportPaces lets each target report its pace in percent four times a second for the duration.
func reportPaces(clock *steppingClock, targets []*Target, percent func(i int) int, duration time.Duration) {
	for end := clock.Now().Add(duration); clock.Now().Before(end); clock.advance(250 * time.Millisecond) {
		for i, t := range targets {
			t.recordPace(percent(i), clock.Now())
		}
	}
}

// homes returns the number of the upstream that is the home of each of n prefixes.
func homes(targets []*Target, n int, now time.Time) []string {
	var names []string
	for i := range n {
		names = append(names, placeByPrefix(targets, fmt.Sprint("part", i), 0, now).Name)
	}
	return names
}

func countMoved(a, b []string) int {
	moved := 0
	for i := range a {
		if a[i] != b[i] {
			moved++
		}
	}
	return moved
}

// Guards against homes that follow slots alone: machines of which one is 2.5 times as slow got as
// many prefixes. Also guards against homes that move with a machine's neighbours.
func TestHomesFollowLastingPace(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	_, targets := newCapacityPool(clock, 6, 12)
	noisy := func(seed uint64) func(i int) int {
		r := rand.New(rand.NewPCG(seed, 2))
		return func(i int) int {
			pace := []float64{70, 70, 70, 70, 175, 175}[i]
			if r.Float64() < 0.15 {
				pace *= 2.5
			}
			return int(pace)
		}
	}
	reportPaces(clock, targets, noisy(1), 10*time.Second)
	const prefixes = 6000
	before := homes(targets, prefixes, clock.Now())
	count := map[string]float64{}
	for _, name := range before {
		count[name]++
	}
	fast, slow := (count["u0"]+count["u1"]+count["u2"]+count["u3"])/4, (count["u4"]+count["u5"])/2
	if ratio := fast / slow; ratio < 1.9 || ratio > 3.2 {
		t.Errorf("a fast upstream has %.2f times the homes of a slow one, want about 2.5 (%v)", ratio, count)
	}
	reportPaces(clock, targets, noisy(2), 30*time.Second)
	if moved := countMoved(before, homes(targets, prefixes, clock.Now())); moved != 0 {
		t.Errorf("%d of %d homes moved under a noisy pace, want none", moved, prefixes)
	}
	// One upstream becomes slow for good. Only its own homes move.
	changed := noisy(3)
	reportPaces(clock, targets, func(i int) int {
		if i == 0 {
			return changed(4)
		}
		return changed(i)
	}, 30*time.Second)
	after := homes(targets, prefixes, clock.Now())
	for i := range before {
		if before[i] != after[i] && before[i] != "u0" {
			t.Fatalf("prefix %d moved from %s to %s, but only u0 has changed", i, before[i], after[i])
		}
	}
	if moved := countMoved(before, after); moved < int(count["u0"])/3 || moved > int(count["u0"]) {
		t.Errorf("%d homes of u0 moved, of %v", moved, count["u0"])
	}
}

// Guards against single prompts that stay with a home that is slow for seconds and has work.
func TestPromptsLeaveBrieflySlowHome(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	pool, targets := newCapacityPool(clock, 4, 12)
	reportPaces(clock, targets, func(int) int { return 100 }, 5*time.Second)
	home := placeByPrefix(targets, "part", 0, clock.Now())
	reportPaces(clock, targets, func(i int) int {
		if targets[i] == home {
			return 400
		}
		return 100
	}, time.Second)
	// Each has as much work, which takes the slow one four times as long.
	var loads []FleetLoad
	for _, u := range targets {
		loads = append(loads, FleetLoad{
			InstanceID:  u.InstanceID(),
			PrefillTime: 150 * time.Millisecond,
		})
	}
	pool.ApplyFleetLoads(loads)
	if got := placeByPrefix(targets, "part", 0, clock.Now()); got == home {
		t.Error("a prompt went to its home, which is four times as slow now")
	}
	reportPaces(clock, targets, func(int) int { return 100 }, 5*time.Second)
	if got := placeByPrefix(targets, "part", 0, clock.Now()); got != home {
		t.Errorf("a prompt went to %s after its home was fast again, want %s", got.Name, home.Name)
	}
}

// Guards against plain calls at a machine 2.5 times as slow while a fast one is free: with calls
// of 15 ms an upstream is mostly idle, and all idle ones looked alike.
func TestPlainCallsAvoidSlowMachine(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	_, targets := newCapacityPool(clock, 3, 6)
	reportPaces(clock, targets, func(i int) int { return []int{70, 70, 175}[i] }, 5*time.Second)
	place := func(running ...int) map[string]int {
		for i, n := range running {
			targets[i].recordLoad(&persimmoncross.UpstreamLoad{
				Running: n,
			}, clock.Now())
		}
		count := map[string]int{}
		for range 300 {
			target, _ := placeRequest(targets, placement.Prompt{}, clock.Now(), noLinkDelay)
			count[target.Name]++
		}
		return count
	}
	for _, tt := range []struct {
		name     string
		running  []int
		wantSlow bool
	}{
		{"all idle", []int{0, 0, 0}, false},
		{"fast ones half full", []int{3, 3, 0}, false},
		{"one fast one free", []int{6, 0, 0}, false},
		{"fast ones with long queues", []int{24, 24, 0}, true},
	} {
		count := place(tt.running...)
		if (count["u2"] > 0) != tt.wantSlow {
			t.Errorf("%s: calls by upstream %v, want the slow one to get calls: %v", tt.name, count, tt.wantSlow)
		}
	}
	if count := place(0, 0, 0); count["u0"] < 100 || count["u1"] < 100 {
		t.Errorf("calls by upstream %v, want the fast ones to share them", count)
	}
}

// Guards against a begin delay that takes all upstreams for equally fast.
func TestBeginDelayByPace(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	_, targets := newCapacityPool(clock, 3, 6)
	for _, u := range targets {
		u.recordLoad(&persimmoncross.UpstreamLoad{
			Running: 6,
			Waiting: 5,
		}, clock.Now())
	}
	if a, b := targets[0].beginDelay(time.Second, clock.Now()), targets[2].beginDelay(time.Second, clock.Now()); a != time.Second || b != time.Second {
		t.Errorf("begin delays without paces: %v and %v, want 1s", a, b)
	}
	reportPaces(clock, targets, func(i int) int { return []int{70, 70, 175}[i] }, time.Second)
	fast, slow := targets[0].beginDelay(time.Second, clock.Now()), targets[2].beginDelay(time.Second, clock.Now())
	if ratio := float64(slow) / float64(fast); ratio < 2.3 || ratio > 2.7 {
		t.Errorf("begin delays %v and %v, want a ratio of 2.5", fast, slow)
	}
	if got := targets[0].holdTime(2 * time.Second); got != 2*time.Second {
		t.Errorf("hold time before any answer: %v, want the fallback", got)
	}
}

// Guards against upstreams that report no pace and turned slow, and against use of controllers'
// messages that have stopped.
func TestCapacityWithoutMessages(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	pool, targets := newCapacityPool(clock, 3, 6)
	for range 10 {
		clock.advance(300 * time.Millisecond)
		targets[0].recordMeasuredPace(4, clock.Now())
		targets[1].recordMeasuredPace(1, clock.Now())
	}
	if slow, other, unseen := targets[0].relativePace(clock.Now()), targets[1].relativePace(clock.Now()), targets[2].relativePace(clock.Now()); slow < 2 || other != 1 || unseen != 1 {
		t.Errorf("measured paces %v, %v, %v, want over 2, 1, 1", slow, other, unseen)
	}
	targets[0].capacity.hold(700, clock.Now())
	pool.ApplyFleetCapacities([]FleetCapacity{
		{
			InstanceID: targets[0].InstanceID(),
			HeldTokens: 5000,
		},
		{
			InstanceID: "gone",
		},
	})
	if got := targets[0].heldTokens(clock.Now()); got != 5700 {
		t.Errorf("held tokens %d, want those of all entries and this one's since, 5700", got)
	}
	clock.advance(maxLoadAge)
	if got := targets[0].heldTokens(clock.Now()); got != 700 {
		t.Errorf("held tokens without messages %d, want this entry's 700", got)
	}
}

// Guards against the pace of a process that is gone: its successor may run on another machine.
func TestRestartedUpstreamStartsWithoutPace(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	pool, targets := newCapacityPool(clock, 3, 6)
	reportPaces(clock, targets, func(i int) int { return []int{400, 100, 100}[i] }, 5*time.Second)
	targets[0].capacity.hold(700, clock.Now())
	if targets[0].lastingPace() == 0 {
		t.Fatal("the lasting pace is not known")
	}
	again := pool.Update(upstreamList(3, 6, clock.Now()))[testService]
	for _, u := range again {
		if u.lastingPace() != 0 || u.relativePace(clock.Now()) != 1 || u.heldTokens(clock.Now()) != 0 {
			t.Errorf("%s starts with lasting pace %v, pace %v, %d held tokens", u.Name, u.lastingPace(), u.relativePace(clock.Now()), u.heldTokens(clock.Now()))
		}
	}
}

// Guards against tokens that stay counted after their request has ended, and against any use of
// paces where the part is not in force.
func TestServeRecordsCapacity(t *testing.T) {
	for _, tt := range []struct {
		name     string
		overload persimmoncross.OverloadPolicy
		want     bool
	}{
		{"in force", persimmoncross.OverloadPolicy{Mode: persimmoncross.OverloadOn}, true},
		{"off", persimmoncross.OverloadPolicy{}, false},
		{"omitted", persimmoncross.OverloadPolicy{
			Mode: persimmoncross.OverloadOn,
			Omit: []persimmoncross.OverloadPart{persimmoncross.OverloadCapacity},
		}, false},
	} {
		var e *testEnv
		response := okResponse("x")
		response.head.Load = &persimmoncross.UpstreamLoad{
			Slots: 8,
			Pace:  170,
		}
		held, reports := 0, 0
		response.onAttempt = func() {
			for _, u := range e.targets {
				held += u.heldTokens(e.clock.Now())
			}
		}
		e = newTestEnv(response)
		e.relay.Config.Overload = tt.overload
		e.serve(t, "safe", func(p *persimmoncross.ProxyRequest) {
			p.PromptTokens = 1000
			p.OutputTokensHint = 200
			p.MaxOutputTokens = 800
		})
		for _, u := range e.targets {
			if got := u.heldTokens(e.clock.Now()); got != 0 {
				t.Errorf("%s: %d tokens are held after the end", tt.name, got)
			}
			if u.capacity.pace.Brief(0, e.clock.Now()) > 0 {
				reports++
			}
		}
		if (held == 1200) != tt.want || (reports == 1) != tt.want || (e.targets[0].holdTime(0) > 0) != tt.want {
			t.Errorf("%s: held %d tokens, %d paces, hold time %v", tt.name, held, reports, e.targets[0].holdTime(0))
		}
	}
}

// engineRun is a request that runs at a simulated engine.
type engineRun struct {
	target *Target
	entry  int
	heldID uint64
	tokens int
	endsAt time.Time
}

// playLongPrompts plays a crowd of long prompts from several entries to four engines, and returns
// how often an engine held more than its memory, so that it would have put a request back, and
// how many requests were placed. Entries learn what others hold at intervals of 250 ms.
func playLongPrompts(t *testing.T, enabled bool) (putBack, placed int) {
	const entries, engines, memory, prompt = 8, 4, 558_864, 54_600
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	r := rand.New(rand.NewPCG(7, 7))
	var pools []*Pool
	var views []*testEnv
	for range entries {
		e := newTestEnv()
		e.clock, e.relay.Clock = clock, clock
		pool, targets := newCapacityPool(clock, engines, 12)
		e.targets = targets
		e.view.Targets = map[string][]*Target{testService: targets}
		e.view.Catalog.Services[testService].Engine = &catalog.Engine{
			Memory: memory,
		}
		if enabled {
			e.relay.Config.Overload.Mode = persimmoncross.OverloadOn
		}
		pools, views = append(pools, pool), append(views, e)
	}
	var runs []engineRun
	used := map[string]int{}
	for step := range 400 {
		now := clock.Now()
		for i := 0; i < len(runs); i++ {
			if !now.Before(runs[i].endsAt) {
				delete(runs[i].target.capacity.held, runs[i].heldID)
				used[runs[i].target.Name] -= runs[i].tokens
				runs = append(runs[:i], runs[i+1:]...)
				i--
			}
		}
		if step%5 == 0 {
			for _, pool := range pools {
				var fleet []FleetCapacity
				for i := range engines {
					u := views[0].targets[i]
					fleet = append(fleet, FleetCapacity{
						InstanceID: u.InstanceID(),
						HeldTokens: int(capacity.DecodeHeld(capacity.EncodeHeld(uint64(used[u.Name])))),
					})
				}
				pool.ApplyFleetCapacities(fleet)
			}
		}
		// A request of the crowd holds its tokens for 2 to 4 s; the engines have room for 36 of
		// them, and 20 are there on average.
		if r.Float64() < 0.33 {
			entry := r.IntN(entries)
			c := &call{
				relay:   views[entry].relay,
				service: testService,
				route:   views[entry].view.Catalog.Routes[2],
				request: &persimmoncross.ProxyRequest{
					PromptTokens:     prompt,
					OutputTokensHint: 400,
				},
			}
			candidates := c.withMemoryRoom(views[entry].targets, now)
			// A crowd shares its prefix, and so its home.
			target := placeByPrefix(candidates, "crowd", 3*time.Second, now)
			runs = append(runs, engineRun{
				target: target,
				entry:  entry,
				heldID: target.capacity.hold(prompt+400, now),
				tokens: prompt + 400,
				endsAt: now.Add(2*time.Second + time.Duration(r.Float64()*2*float64(time.Second))),
			})
			used[target.Name] += prompt + 400
			placed++
			if used[target.Name] > memory {
				putBack++
			}
		}
		clock.advance(50 * time.Millisecond)
	}
	return putBack, placed
}

// Guards against engines whose memory is exceeded: they put requests back, which run again.
func TestLongPromptsStayWithinMemory(t *testing.T) {
	putBack, placed := playLongPrompts(t, true)
	if putBack != 0 {
		t.Errorf("%d of %d requests exceeded their engine's memory, want none", putBack, placed)
	}
	if putBack, placed := playLongPrompts(t, false); putBack == 0 {
		t.Errorf("none of %d requests exceeded a memory without the part: the load is too small to show anything", placed)
	}
}

// Guards against a legal request that is refused because no engine has room for it now.
func TestFullMemoryIsNoRefusal(t *testing.T) {
	e := newTestEnv()
	e.relay.Config.Overload.Mode = persimmoncross.OverloadOn
	e.view.Catalog.Services[testService].Engine = &catalog.Engine{
		Memory: 10_000,
	}
	now := e.clock.Now()
	for i, u := range e.targets {
		u.capacity.hold(9_500-100*i, now)
	}
	c := &call{
		relay:   e.relay,
		service: testService,
		route:   e.view.Catalog.Routes[2],
		request: &persimmoncross.ProxyRequest{
			PromptTokens: 2000,
		},
	}
	got := c.withMemoryRoom(e.targets, now)
	if len(got) != 1 || got[0] != e.targets[len(e.targets)-1] {
		t.Errorf("candidates %v, want the one with the most room", got)
	}
}

// BenchmarkApplyFleetCapacities measures one message on 4,100 upstreams, which an entry gets every
// three seconds at most.
func BenchmarkApplyFleetCapacities(b *testing.B) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	pool, targets := newCapacityPool(clock, 4100, 12)
	var fleet []FleetCapacity
	for i, u := range targets {
		fleet = append(fleet, FleetCapacity{
			InstanceID: u.InstanceID(),
			Pace:       70 + i%100,
			HeldTokens: 1000 * i,
		})
	}
	for b.Loop() {
		clock.advance(time.Second)
		pool.ApplyFleetCapacities(fleet)
	}
}

// BenchmarkPlaceByCapacity measures one placement among 89 upstreams whose paces are known.
func BenchmarkPlaceByCapacity(b *testing.B) {
	clock := &steppingClock{
		now: time.Unix(1000, 0),
	}
	_, targets := newCapacityPool(clock, 89, 12)
	reportPaces(clock, targets, func(i int) int { return 70 + i }, 5*time.Second)
	for b.Loop() {
		placeByPrefix(targets, "part", time.Second, clock.Now())
	}
}
