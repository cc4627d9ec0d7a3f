package relay

import (
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/catalog"
)

// While no upstream takes requests, as after the loss of a data centre, nobody has a share. Callers
// then wait for the upstreams as they do without shares; a refusal for a share would be untrue, also
// for the smallest organisation. Neither may a service without declared slots refuse everybody.
func TestNobodyIsRefusedWithoutCapacity(t *testing.T) {
	tests := []struct {
		name   string
		change func(target *Target, now time.Time)
	}{
		{"all are suspected", func(target *Target, now time.Time) { target.markSuspected(now) }},
		{"none declares slots", func(target *Target, _ time.Time) { target.Slots = 0 }},
	}
	for _, tt := range tests {
		f := newShareFleet(t)
		e := f.entries[0]
		now := f.clock.Now()
		for _, target := range e.relay.View().Targets[testService] {
			tt.change(target, now)
		}
		e.relay.FleetDemands.Apply([]Demand{{
			Service:   testService,
			Entries:   shareEntries,
			BeginRate: 1,
			Holdings: []Holding{{
				Organisation: "o0",
				Held:         2,
			}},
		}}, now)
		if refusal := f.newCall(e, "o0").refuseOverShare(); refusal != nil {
			t.Errorf("%s: refused: %+v", tt.name, refusal)
		}
	}
}

// A request whose time is short, as a caller's second try, is not refused for a backlog of a second:
// it may be served late, or in time if it is shorter than most.
func TestShortBacklogIsNotRefused(t *testing.T) {
	tests := []struct {
		name string
		held int
		want bool
	}{
		{"a second", shareSlots + 18, false}, // 18 beyond the share, of 16 a second
		{"five seconds", shareSlots + 80, true},
	}
	for _, tt := range tests {
		f := newShareFleet(t)
		e := f.entries[0]
		e.relay.FleetDemands.Apply([]Demand{{
			Service:   testService,
			Entries:   shareEntries,
			BeginRate: 16,
			Holdings: []Holding{{
				Organisation: "o0",
				Held:         tt.held,
			}},
		}}, f.clock.Now())
		c := f.newCall(e, "o0")
		c.deadline = f.clock.Now().Add(time.Second) // requests hold a slot for two
		if refusal := c.refuseOverShare(); (refusal != nil) != tt.want {
			t.Errorf("%s: refusal %+v, want one: %v", tt.name, refusal, tt.want)
		}
	}
}

// The slots that are added to a part of the capacity, because requests are not spread evenly, begin
// no requests. If they counted, requests would seem to hold a slot for twice as long at one of
// many entries, and too little time would seem left to them.
func TestHoldTimeOfPartOfEntries(t *testing.T) {
	for _, entries := range []int{1, shareEntries / 2, shareEntries} {
		f := newShareFleet(t)
		r := f.entries[0].relay
		r.FleetDemands.Apply([]Demand{{
			Service:   testService,
			Entries:   entries,
			BeginRate: float64(entries) * 8,
		}}, f.clock.Now())
		if got := r.shares(testService, f.clock.Now()).holdTime; got != 500*time.Millisecond {
			t.Errorf("hold time %v by %d entries, want 500ms", got, entries)
		}
	}
}

// The division must rank organisations as the order of their requests does. Otherwise those
// without a priority, which come with the first ones, would get what those with a low one leave.
func TestShareRanksFollowCatalog(t *testing.T) {
	f := newShareFleet(t)
	r := f.entries[0].relay
	c := *r.View().Catalog
	c.Organisations = []*catalog.Organisation{
		{
			Name:     "second",
			Priority: 1,
		},
		{
			Name:     "none",
			Priority: -1,
		},
	}
	r.View().Catalog = &c
	r.FleetDemands.Apply([]Demand{{
		Service: testService,
		Entries: shareEntries,
		Holdings: []Holding{
			{
				Organisation: "second",
				Held:         shareSlots,
			},
			{
				Organisation: "none",
				Held:         shareSlots / 2,
			},
		},
	}}, f.clock.Now())
	a := r.shares(testService, f.clock.Now()).allocation
	if a.Share("none") != shareSlots/2 || a.Share("second") != shareSlots/2 {
		t.Errorf("shares %v of the one without a priority and %v of the second, want %d of each", a.Share("none"), a.Share("second"), shareSlots/2)
	}
	if rank, other := c.Rank(&catalog.Route{}, c.Organisations[1]), c.Rank(&catalog.Route{}, c.Organisations[0]); rank > other {
		t.Errorf("the catalog ranks the one without a priority %d, the second %d", rank, other)
	}
}

// A request over its organisation's share must be refused before an upstream gets it, and only
// where the part is in force: elsewhere requests are served as without it.
func TestRequestOverShareIsNotForwarded(t *testing.T) {
	tests := []struct {
		name   string
		policy persimmoncross.OverloadPolicy
		want   bool
	}{
		{"without queue", persimmoncross.OverloadPolicy{Mode: persimmoncross.OverloadOn, Omit: []persimmoncross.OverloadPart{persimmoncross.OverloadQueue}}, true},
		{"off", persimmoncross.OverloadPolicy{Mode: persimmoncross.OverloadOff}, false},
		{"automatic, not declared", persimmoncross.OverloadPolicy{Mode: persimmoncross.OverloadAuto}, false},
		{"omitted", persimmoncross.OverloadPolicy{Mode: persimmoncross.OverloadOn, Omit: []persimmoncross.OverloadPart{persimmoncross.OverloadShares}}, false},
	}
	for _, tt := range tests {
		e := newTestEnv(okResponse("answer"))
		e.view.EntryCount = shareEntries
		e.relay.Config.Overload = tt.policy
		e.relay.FleetDemands = &FleetDemands{}
		e.relay.FleetDemands.Apply([]Demand{{
			Service:   testService,
			Entries:   shareEntries,
			BeginRate: 16,
			Holdings: []Holding{{
				Organisation: "o",
				Held:         1000,
			}},
		}}, time.Now().Add(time.Minute)) // serve sets the clock to the system's
		refusal := e.serve(t, "once", nil)
		if !tt.want {
			if refusal != nil || len(e.forwarder.attempts) != 1 {
				t.Errorf("%s: refusal %+v, %d attempts", tt.name, refusal, len(e.forwarder.attempts))
			}
			continue
		}
		if refusal == nil || refusal.Code != persimmoncross.CodeConcurrencyLimited || refusal.Run != persimmoncross.NotRun || len(e.forwarder.attempts) > 0 {
			t.Errorf("%s: refusal %+v, %d attempts", tt.name, refusal, len(e.forwarder.attempts))
		}
	}
}

// Each attempt must count for its organisation until it ends, however it ends, and those that
// upstreams began for the rate. Otherwise shares would be divided by nothing, or by requests that
// have ended long ago.
func TestAttemptsCountAsHeld(t *testing.T) {
	var e *testEnv
	held := 0
	count := func() { held += e.relay.ownLoad.service(testService).heldByOrganisation["o"] }
	rejected := &fakeResponse{
		err: &persimmoncross.AttemptError{
			Reason: "connect",
			Run:    persimmoncross.NotRun,
		},
		onAttempt: count,
	}
	answered := okResponse("answer")
	answered.onAttempt = count
	e = newTestEnv(rejected, answered)
	if refusal := e.serve(t, "once", nil); refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	s := e.relay.ownLoad.service(testService)
	if held != 2 || s.begun != 1 || len(s.heldByOrganisation) > 0 {
		t.Errorf("%d held in two attempts one after the other, %d begun, %v held afterwards", held, s.begun, s.heldByOrganisation)
	}
}
