package relay

import (
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// One of many entries makes a small part of an upstream's work: what the others
// await there turns a prompt away from its home too, for as long as it is known.
func TestFleetLoadAffectsPlacement(t *testing.T) {
	now := time.Unix(100, 0)
	reread := 50 * time.Millisecond
	tests := []struct {
		name        string
		prefillTime time.Duration // that others await at the home
		reported    *persimmoncross.UpstreamLoad
		elapsed     time.Duration // after the account came
		reread      time.Duration
		wantMoved   bool
	}{
		{
			name:   "nothing is awaited",
			reread: reread,
		},
		{
			name:        "less than the shared parts take to be read again",
			prefillTime: 100*time.Millisecond + reread,
			reread:      reread,
		},
		{
			name:        "a long prompt is read",
			prefillTime: 2 * time.Second,
			reread:      reread,
			wantMoved:   true,
		},
		{
			name:        "the account is old",
			prefillTime: 2 * time.Second,
			elapsed:     maxLoadAge,
		},
		{
			name: "every slot is taken",
			reported: &persimmoncross.UpstreamLoad{
				Running: 10,
				Waiting: 4,
			},
			wantMoved: true,
		},
	}
	for _, tt := range tests {
		all := newTargets(4)
		home := placeByPrefix(all, "part", 0, now)
		home.applyFleetLoad(FleetLoad{
			PrefillTime: tt.prefillTime,
			Reported:    tt.reported,
		}, now)
		if got := placeByPrefix(all, "part", tt.reread, now.Add(tt.elapsed+time.Millisecond)); (got != home) != tt.wantMoved {
			t.Errorf("%s: moved: %v, want %v", tt.name, got != home, tt.wantMoved)
		}
	}
}

// What an entry awaits is in its account until the answer begins; what an
// upstream told is in one account.
func TestCollectLoads(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(100, 0),
	}
	p := &Pool{
		Clock: clock,
	}
	u := persimmoncross.Upstream{
		Incarnation: "u",
		Service:     "s",
	}
	target := p.Update([]persimmoncross.Upstream{u})["s"][0]
	recordHead := target.awaitHead(clock.Now(), time.Second)
	target.recordLoad(&persimmoncross.UpstreamLoad{
		Running: 3,
		Waiting: 2,
	}, clock.Now())
	first := p.CollectLoads()
	if len(first) != 1 || first[0].PrefillTime != time.Second || first[0].Reported == nil || first[0].Reported.Waiting != 2 {
		t.Fatalf("the account is %+v", first)
	}
	if next := p.CollectLoads(); len(next) != 1 || next[0].Reported != nil || next[0].PrefillTime != time.Second {
		t.Errorf("the next account is %+v", next)
	}
	recordHead(clock.Now(), true)
	if last := p.CollectLoads(); len(last) != 0 {
		t.Errorf("the account after the answer began is %+v", last)
	}
	p.ApplyFleetLoads([]FleetLoad{
		{
			InstanceID:  u.InstanceID(),
			PrefillTime: 3 * time.Second,
		},
		{
			InstanceID: "gone",
		},
	})
	if got := target.pendingPrefill(clock.Now()); got != 3*time.Second {
		t.Errorf("%v of reading is awaited, want 3 s", got)
	}
	target.awaitHead(clock.Now(), time.Second)
	if got := target.pendingPrefill(clock.Now()); got != 4*time.Second {
		t.Errorf("with an own prompt sent since %v, want 4 s", got)
	}
}

// The time that a model takes to read is what grows with the prompt, however long
// the queue is meanwhile.
func TestPrefillTimeEstimate(t *testing.T) {
	p := &ModelStats{}
	now := time.Unix(100, 0)
	if got := p.prefillTime("s", "m", 1000); got != 0 {
		t.Errorf("an unknown model reads in %v", got)
	}
	for i := range 300 {
		prompt := 1000 * (1 + i%7)
		queue := time.Duration(i%5) * 200 * time.Millisecond
		p.awaitHead("s", "m", prompt, now)(now.Add(queue+time.Duration(prompt)*50*time.Microsecond), true)
	}
	if got := p.prefillTime("s", "m", 10000); got < 350*time.Millisecond || got > 650*time.Millisecond {
		t.Errorf("10,000 tokens are read in %v, want about 500 ms", got)
	}
}

// What several entries can't reach is avoided by all, but for a few that try,
// until it answers one of them.
func TestTargetSuspectedByFleetIsAvoided(t *testing.T) {
	now := time.Unix(100, 0)
	load := &persimmoncross.UpstreamLoad{}
	tests := []struct {
		name    string
		load    FleetLoad
		elapsed time.Duration
		chance  float64
		avoided bool
	}{
		{
			name: "one entry doubts it: it may be cut off by itself",
			load: FleetLoad{
				SuspectingEntries: 1,
			},
			chance: 0.9,
		},
		{
			name: "two do",
			load: FleetLoad{
				SuspectingEntries: 2,
			},
			chance:  0.9,
			avoided: true,
		},
		{
			name: "a few requests try",
			load: FleetLoad{
				SuspectingEntries: 2,
			},
			chance: 0.01,
		},
		{
			name: "it has answered another entry",
			load: FleetLoad{
				SuspectingEntries: 2,
				Reported:          load,
				ReportAge:         300 * time.Millisecond,
			},
			chance: 0.9,
		},
		{
			name: "it answered before it was lost",
			load: FleetLoad{
				SuspectingEntries: 2,
				Reported:          load,
				ReportAge:         outlier.MaxLoadReportAge + time.Millisecond,
			},
			chance:  0.9,
			avoided: true,
		},
		{
			name: "the account is old",
			load: FleetLoad{
				SuspectingEntries: 2,
			},
			elapsed: maxLoadAge + time.Millisecond,
			chance:  0.9,
		},
	}
	for _, tt := range tests {
		u := newTargets(1)[0]
		u.applyFleetLoad(tt.load, now.Add(-fleetLoadDelay))
		if got := u.isAvoidedByFleet(now.Add(tt.elapsed), 74, tt.chance); got != tt.avoided {
			t.Errorf("%s: avoided %v", tt.name, got)
		}
	}
}

// An entry tells of its doubt until the upstream answers, and not for ever.
func TestEntryPublishesSuspicion(t *testing.T) {
	now := time.Unix(100, 0)
	u := newTargets(1)[0]
	u.recordResult(true, now)
	if u.collectLoad(now).Suspected {
		t.Error("one failure is a doubt")
	}
	u.markSuspected(now)
	if !u.collectLoad(now.Add(2*outlier.InitialSuspicion)).Suspected || u.collectLoad(now.Add(outlier.SuspicionRetention+time.Millisecond)).Suspected {
		t.Error("a doubt is told for as long as nothing is known, within its bound")
	}
	u.clearSuspicion()
	if u.collectLoad(now).Suspected {
		t.Error("an upstream that answered is doubted")
	}
	u.recordMisdirected(now)
	if !u.collectLoad(now).Suspected {
		t.Error("an address that another upstream has is not told")
	}
}

// An answer to another entry shows that an upstream is only busy.
func TestReceivedByOtherEntries(t *testing.T) {
	now := time.Unix(100, 0)
	u := newTargets(1)[0]
	u.applyFleetLoad(FleetLoad{
		Received:      true,
		SinceReceived: 200 * time.Millisecond,
	}, now)
	if u.receivedSince(now.Add(-100*time.Millisecond)) || !u.receivedSince(now.Add(-300*time.Millisecond)) {
		t.Error("the age of what others heard does not count")
	}
	u.recordReceived(u.clockOrigin.Add(time.Second))
	l := u.collectLoad(u.clockOrigin.Add(1100 * time.Millisecond))
	if !l.Received || l.SinceReceived != 100*time.Millisecond {
		t.Errorf("the account is %+v", l)
	}
	if l := u.collectLoad(u.clockOrigin.Add(1200 * time.Millisecond)); l.Received {
		t.Error("one sign of life is told twice")
	}
}

// What does not go to its home copies the shared parts from there; at home
// nothing is to be copied, nor where the home begins answers late.
func TestSpilledPromptHasPrefixSource(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(4)
	home, from := placeRequest(all, newPrompt("part", 0), now, noLinkCost)
	if from != nil {
		t.Errorf("at its home a prompt copies from %s", from.Incarnation)
	}
	home.applyFleetLoad(FleetLoad{
		PrefillTime: time.Second,
	}, now)
	spilled, from := placeRequest(all, newPrompt("part", 0), now, noLinkCost)
	if spilled == home || from != home {
		t.Errorf("a spilled prompt copies from %v, want its home", from)
	}
	home.awaitHead(now, 0)
	if _, from = placeRequest(all, newPrompt("part", 0), now.Add(maxLoadAge+time.Second), noLinkCost); from == home {
		t.Error("a home that has not begun an answer for 3 s is to send its copy")
	}
	if _, from = placeRequest(all, newPrompt("", 0), now, noLinkCost); from != nil {
		t.Error("a request without a prompt copies one")
	}
}

// The attempt carries the address to copy from, and only where there is one.
func TestAttemptCarriesPrefixSource(t *testing.T) {
	for _, busy := range []bool{false, true} {
		e := newTestEnv(okResponse("x"))
		e.view.Catalog.Routes[1].Sticky = true
		prompt := []persimmoncross.PromptPart{
			{
				ID:     "shared",
				Tokens: 5000,
			},
			{
				ID:     "own",
				Tokens: 10,
			},
		}
		home := placeByPrefix(e.targets, "\x00shared", 0, e.clock.Now())
		if busy {
			home.awaitHead(time.Now(), 10*time.Second)
		}
		e.serve(t, "safe", func(p *persimmoncross.ProxyRequest) { p.PromptParts = prompt })
		a := e.forwarder.attempts[0]
		if got := a.Upstream.Incarnation == home.Incarnation; got == busy {
			t.Errorf("busy %v: at home %v", busy, got)
		}
		if got := a.PrefixCacheSource.IsValid(); got != busy {
			t.Errorf("busy %v: copies from %v", busy, a.PrefixCacheSource)
		}
	}
}
