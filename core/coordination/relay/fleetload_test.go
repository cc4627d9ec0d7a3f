package relay

import (
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
)

// One entry of many sends only a small part of an upstream's requests. Prompts that other entries
// have pending at the preferred upstream therefore also move a prompt to another upstream, while
// the fleet load that reports them is recent.
func TestFleetLoadAffectsPlacement(t *testing.T) {
	now := time.Unix(100, 0)
	prefixPrefillTime := 50 * time.Millisecond
	tests := []struct {
		name          string
		prefillTime   time.Duration // total for the pending prompts of other entries at the preferred upstream
		reported      *persimmoncross.UpstreamLoad
		elapsed       time.Duration // time since the fleet load was received
		prefixPrefill time.Duration
		wantMoved     bool
	}{
		{
			name:          "no pending prompts",
			prefixPrefill: prefixPrefillTime,
		},
		{
			name:          "less than the prefill of the shared parts",
			prefillTime:   100*time.Millisecond + prefixPrefillTime,
			prefixPrefill: prefixPrefillTime,
		},
		{
			name:          "long prompt pending",
			prefillTime:   2 * time.Second,
			prefixPrefill: prefixPrefillTime,
			wantMoved:     true,
		},
		{
			name:        "fleet load too old",
			prefillTime: 2 * time.Second,
			elapsed:     maxLoadAge,
		},
		{
			name: "every slot in use",
			reported: &persimmoncross.UpstreamLoad{
				Running: 10,
				Waiting: 4,
			},
			wantMoved: true,
		},
	}
	for _, tt := range tests {
		all := newTargets(4)
		preferred := placeByPrefix(all, "part", 0, now)
		preferred.applyFleetLoad(FleetLoad{
			PrefillTime: tt.prefillTime,
			Reported:    tt.reported,
		}, now)
		if got := placeByPrefix(all, "part", tt.prefixPrefill, now.Add(tt.elapsed+time.Millisecond)); (got != preferred) != tt.wantMoved {
			t.Errorf("%s: moved from the preferred upstream = %v, want %v", tt.name, got != preferred, tt.wantMoved)
		}
	}
}

// A pending prompt is in each load report of the entry until its response begins. A load that an
// upstream reported is in one report only.
func TestCollectLoads(t *testing.T) {
	clock := &steppingClock{
		now: time.Unix(100, 0),
	}
	p := &Pool{
		Clock: clock,
	}
	u := persimmoncross.Upstream{
		Name:    "u",
		Service: "s",
	}
	target := p.Update([]persimmoncross.Upstream{u})["s"][0]
	recordHead := target.trackPendingHead(clock.Now(), time.Second)
	target.recordLoad(&persimmoncross.UpstreamLoad{
		Running: 3,
		Waiting: 2,
	}, clock.Now())
	first := p.CollectLoads()
	if len(first) != 1 || first[0].PrefillTime != time.Second || first[0].Reported == nil || first[0].Reported.Waiting != 2 {
		t.Fatalf("first load report: %+v", first)
	}
	if next := p.CollectLoads(); len(next) != 1 || next[0].Reported != nil || next[0].PrefillTime != time.Second {
		t.Errorf("next load report: %+v", next)
	}
	recordHead(clock.Now(), true)
	if last := p.CollectLoads(); len(last) != 0 {
		t.Errorf("load report after the response began: %+v, want none", last)
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
		t.Errorf("pending prefill time %v, want 3s", got)
	}
	target.trackPendingHead(clock.Now(), time.Second)
	if got := target.pendingPrefill(clock.Now()); got != 4*time.Second {
		t.Errorf("pending prefill time with a prompt that this entry sent since: %v, want 4s", got)
	}
}

// The estimated prefill time is the part of the time to the response head that grows with the
// prompt, however long the queue is.
func TestPrefillTimeEstimate(t *testing.T) {
	stats := &ModelStats{}
	now := time.Unix(100, 0)
	if got := stats.prefillTime("s", "m", 1000); got != 0 {
		t.Errorf("prefill time of an unknown model: %v, want 0", got)
	}
	for i := range 300 {
		prompt := 1000 * (1 + i%7)
		queue := time.Duration(i%5) * 200 * time.Millisecond
		stats.trackPendingHead("s", "m", prompt, now)(now.Add(queue+time.Duration(prompt)*50*time.Microsecond), true)
	}
	if got := stats.prefillTime("s", "m", 10000); got < 350*time.Millisecond || got > 650*time.Millisecond {
		t.Errorf("prefill time of 10,000 tokens: %v, want about 500 ms", got)
	}
}

// An upstream that several entries can't reach is avoided by all entries, apart from a few
// requests that probe it, until it answers an entry.
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
			name: "one suspecting entry, which may itself be cut off",
			load: FleetLoad{
				SuspectingEntries: 1,
			},
			chance: 0.9,
		},
		{
			name: "two suspecting entries",
			load: FleetLoad{
				SuspectingEntries: 2,
			},
			chance:  0.9,
			avoided: true,
		},
		{
			name: "a few requests probe the upstream",
			load: FleetLoad{
				SuspectingEntries: 2,
			},
			chance: 0.01,
		},
		{
			name: "the upstream has answered another entry",
			load: FleetLoad{
				SuspectingEntries: 2,
				Reported:          load,
				ReportAge:         300 * time.Millisecond,
			},
			chance: 0.9,
		},
		{
			name: "the last response to any entry is too old",
			load: FleetLoad{
				SuspectingEntries: 2,
				Reported:          load,
				ReportAge:         outlier.MaxLoadReportAge + time.Millisecond,
			},
			chance:  0.9,
			avoided: true,
		},
		{
			name: "fleet load too old",
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
			t.Errorf("%s: avoided = %v", tt.name, got)
		}
	}
}

// An entry reports that it suspects an upstream until the upstream answers, or until
// outlier.SuspicionRetention has passed.
func TestEntryPublishesSuspicion(t *testing.T) {
	now := time.Unix(100, 0)
	u := newTargets(1)[0]
	u.recordResult(true, now)
	if u.collectLoad(now).Suspected {
		t.Error("the upstream is reported as suspected after one failure")
	}
	u.markSuspected(now)
	if !u.collectLoad(now.Add(2*outlier.InitialSuspicionDuration)).Suspected || u.collectLoad(now.Add(outlier.SuspicionRetention+time.Millisecond)).Suspected {
		t.Error("suspicion without a later result is not reported for exactly SuspicionRetention")
	}
	u.clearSuspicion()
	if u.collectLoad(now).Suspected {
		t.Error("an upstream that answered is reported as suspected")
	}
	u.recordMisdirected(now)
	if !u.collectLoad(now).Suspected {
		t.Error("an upstream whose address another one uses is not reported as suspected")
	}
}

// Bytes that another entry received from an upstream show that it is busy and has not stalled.
func TestReceivedByOtherEntries(t *testing.T) {
	now := time.Unix(100, 0)
	u := newTargets(1)[0]
	u.applyFleetLoad(FleetLoad{
		Received:      true,
		SinceReceived: 200 * time.Millisecond,
	}, now)
	if u.receivedSince(now.Add(-100*time.Millisecond)) || !u.receivedSince(now.Add(-300*time.Millisecond)) {
		t.Error("receivedSince does not follow the age of what other entries received")
	}
	u.recordReceived(u.clockOrigin.Add(time.Second))
	l := u.collectLoad(u.clockOrigin.Add(1100 * time.Millisecond))
	if !l.Received || l.SinceReceived != 100*time.Millisecond {
		t.Errorf("load report: %+v, want bytes received 100 ms ago", l)
	}
	if l := u.collectLoad(u.clockOrigin.Add(1200 * time.Millisecond)); l.Received {
		t.Error("the same received bytes are reported twice")
	}
}

// A prompt that is not placed at its preferred upstream copies the shared parts from there.
// Nothing is copied at the preferred upstream, or from one that responds late.
func TestSpilledPromptHasPrefixSource(t *testing.T) {
	now := time.Unix(100, 0)
	all := newTargets(4)
	preferred, from := placeRequest(all, newPrompt("part", 0), now, noLinkDelay)
	if from != nil {
		t.Errorf("a prompt at its preferred upstream copies from %s", from.Name)
	}
	preferred.applyFleetLoad(FleetLoad{
		PrefillTime: time.Second,
	}, now)
	spilled, from := placeRequest(all, newPrompt("part", 0), now, noLinkDelay)
	if spilled == preferred || from != preferred {
		t.Errorf("a spilled prompt copies from %v, want its preferred upstream", from)
	}
	preferred.trackPendingHead(now, 0)
	if _, from = placeRequest(all, newPrompt("part", 0), now.Add(maxLoadAge+time.Second), noLinkDelay); from == preferred {
		t.Error("the prefix source is an upstream that has sent no response head for 3 s")
	}
	if _, from = placeRequest(all, newPrompt("", 0), now, noLinkDelay); from != nil {
		t.Error("a request without a prompt has a prefix source")
	}
}

// The attempt carries the address of the prefix source, and only if there is one.
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
		preferred := placeByPrefix(e.targets, "\x00shared", 0, e.clock.Now())
		if busy {
			preferred.trackPendingHead(time.Now(), 10*time.Second)
		}
		e.serve(t, "safe", func(p *persimmoncross.ProxyRequest) { p.PromptParts = prompt })
		a := e.forwarder.attempts[0]
		if got := a.Upstream.Name == preferred.Name; got == busy {
			t.Errorf("busy = %v: placed at the preferred upstream = %v", busy, got)
		}
		if got := a.PrefixCacheSource.IsValid(); got != busy {
			t.Errorf("busy = %v: prefix source %v", busy, a.PrefixCacheSource)
		}
	}
}
