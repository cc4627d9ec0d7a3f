package relay

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmoncross"
)

// In calm nothing is reported; from half of the slots on, and as soon as requests wait, all is.
func TestDemandsAreReportedUnderLoad(t *testing.T) {
	f := newShareFleet(t)
	e := f.entries[0]
	now := f.clock.Now()
	defer e.relay.ownLoad.hold(testService, "o")()
	if got := e.relay.CollectDemands(now); len(got) > 0 {
		t.Errorf("demands %+v are reported in calm", got)
	}
	e.queue = append(e.queue, &shareRequest{
		organisation: "o",
	})
	got := e.relay.CollectDemands(now)
	if len(got) != 1 || got[0].Waiting() != 1 || got[0].Holdings[0].Held != 1 || got[0].Holdings[0].Waiting != 1 {
		t.Errorf("demands %+v while a request waits", got)
	}
	e.queue = nil
	for _, target := range e.relay.View().Targets[testService] {
		target.recordLoad(&persimmoncross.UpstreamLoad{
			Running: target.Slots / 2,
			Slots:   target.Slots,
		}, now)
	}
	now = now.Add(time.Second)
	if got := e.relay.CollectDemands(now); len(got) != 1 {
		t.Errorf("demands %+v at half of the slots", got)
	}
}

// Entries estimate the utilization differently. If only those that see much of it reported, the
// sum would be that of a few entries with many requests. An entry therefore reports as well while
// a sum lacks most entries, and stops when a whole sum shows room.
func TestDemandsAreReportedWhileSumIsPartial(t *testing.T) {
	tests := []struct {
		entries, held int
		want          bool
	}{
		{1, 2, true},
		{shareEntries, shareSlots / 2, true},
		{shareEntries, shareSlots/2 - 1, false},
		{0, 0, false}, // the service has no demand any more
	}
	for _, tt := range tests {
		r := newShareFleet(t).entries[0].relay
		now := r.Clock.Now()
		r.FleetDemands.Apply([]Demand{{
			Service: testService,
			Entries: tt.entries,
			Holdings: []Holding{{
				Organisation: "o",
				Held:         tt.held,
			}},
		}}, now)
		if got := r.CollectDemands(now); len(got) > 0 != tt.want {
			t.Errorf("sum of %d entries with %d held: reported %+v, want a report: %v", tt.entries, tt.held, got, tt.want)
		}
	}
}

// BenchmarkDivide measures one division at an entry with 4,100 upstreams and 64 organisations. It
// takes place every 410 ms then.
func BenchmarkDivide(b *testing.B) {
	env := newTestEnv()
	clock := frozenClock{
		now: time.Unix(1000, 0),
	}
	pool := &Pool{
		Clock: clock,
	}
	var list []persimmoncross.Upstream
	for i := range 4100 {
		list = append(list, persimmoncross.Upstream{
			Name:    fmt.Sprint(i),
			Service: testService,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1),
			Slots:   8,
		})
	}
	env.view.Targets = pool.Update(list)
	env.view.EntryCount = 380
	env.relay.FleetDemands = &FleetDemands{}
	sum := Demand{
		Service: testService,
		Entries: 380,
	}
	for i := range 64 {
		sum.Holdings = append(sum.Holdings, Holding{
			Organisation: fmt.Sprint(i),
			Held:         1000,
		})
	}
	env.relay.FleetDemands.Apply([]Demand{sum}, clock.now)
	for b.Loop() {
		env.relay.divide(&serviceShares{}, testService, clock.now)
	}
}

// BenchmarkUtilization measures one addition of the requests at 4,100 upstreams, which takes place
// every 1.025 s.
func BenchmarkUtilization(b *testing.B) {
	now := time.Unix(1000, 0)
	var targets []*Target
	for range 4100 {
		targets = append(targets, &Target{
			targetState: &targetState{},
		})
	}
	for b.Loop() {
		slotUtilization(targets, now)
	}
}

// The shares of all entries must not exceed what upstreams bear, whatever the entries' parts of the requests are.
func TestLimitShare(t *testing.T) {
	for _, tt := range []struct {
		name        string
		own, others float64
		want        float64 // 0: an equal share
	}{
		{"equal parts", 10, 50, 0},
		{"a few more", 20, 40, 0},
		{"most requests", 90, 10, 1 - 1.2/6 - 3.8/24},
		{"all requests", 100, 0, 1 - 5.0/24},
		{"few requests", 2, 98, 1.0 / 24},
		{"nearly an equal part", 9, 51, 0},
		{"no requests anywhere", 0, 0, 0},
	} {
		if got := limitShare(tt.own, tt.others, 6); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", tt.name, got, tt.want)
		}
	}
	if got := limitShare(10, 10, 2); got != 0.5 {
		t.Errorf("one of two entries: %g, want 0.5", got)
	}
}

// Guards against shares of entries that add up to more than the limit, where one has most requests and the others have
// parts of different sizes.
func TestLimitSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 40).Draw(t, "rates")
		rates[0] *= rapid.Float64Range(1, 100).Draw(t, "more")
		total := 0.0
		for _, r := range rates {
			total += r
		}
		sum := 0.0
		for _, r := range rates {
			share := limitShare(r, total-r, len(rates))
			if share == 0 {
				share = 1 / float64(len(rates))
			}
			sum += share
		}
		if sum > 1+1e-9 {
			t.Fatalf("the shares add up to %g", sum)
		}
	})
}
