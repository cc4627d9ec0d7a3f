package node

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// fleetCapacities returns the capacities that the aggregator would send to a follower.
func fleetCapacities(a *loadAggregator, order []string) map[string]relay.FleetCapacity {
	e := a.encodedLoads(order)
	capacities := map[string]relay.FleetCapacity{}
	for _, c := range decodeCapacities(order, e.sparse, decodeSparse(e.sparse, len(order)), e.capacities) {
		capacities[c.InstanceID] = c
	}
	return capacities
}

func paceReport(instanceID string, pace, age, tokens uint32) *wire.UpstreamLoad {
	return &wire.UpstreamLoad{
		Life:   instanceID,
		Told:   true,
		Age:    age,
		Pace:   pace,
		Tokens: tokens,
		Work:   100,
	}
}

// Guards against tokens that entries of another controller hold and nobody counts, and against an
// older pace that replaces a newer one.
func TestCapacitiesAcrossControllers(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	order := []string{"u1", "u2", "u3"}
	leader := &loadAggregator{
		clock: clock,
	}
	other := &loadAggregator{
		clock: clock,
	}
	exchange := func() {
		leader.receive("other", other.report())
		e := leader.encodedLoads(order)
		loads := decodeSparse(e.sparse, len(order))
		other.applyCapacities(decodeCapacities(order, e.sparse, loads, e.capacities))
		other.applyFleetLoads(order, loads)
		clock.now = clock.now.Add(100 * time.Millisecond)
	}
	leader.receive("e1", []*wire.UpstreamLoad{paceReport("u1", 70, 300, 20_000)})
	other.receive("e2", []*wire.UpstreamLoad{paceReport("u1", 176, 100, 30_000), paceReport("u2", 2000, 0, 0)})
	exchange()
	for name, a := range map[string]*loadAggregator{"leader": leader, "other": other} {
		got := fleetCapacities(a, order)
		if held := got["u1"].HeldTokens; held < 50_000 || held > 53_500 {
			t.Errorf("%s: %d tokens held at u1, want 50,000", name, held)
		}
		if got["u1"].Pace != 176 || got["u2"].Pace != maxReportedPace || got["u2"].HeldTokens != 0 {
			t.Errorf("%s: capacities %+v, want the newest pace of u1 and the largest of u2", name, got)
		}
		if _, known := got["u3"]; known {
			t.Errorf("%s: a capacity of an upstream without loads", name)
		}
	}
	// An upstream whose entries have gone silent is not known any more.
	clock.now = clock.now.Add(maxLoadAge)
	for name, a := range map[string]*loadAggregator{"leader": leader, "other": other} {
		if got := fleetCapacities(a, order); len(got) != 0 {
			t.Errorf("%s: capacities without reports: %+v", name, got)
		}
	}
}

// Guards against an upstream that looks idle between the capacities and the loads of one update, to
// followers that are sent loads in that moment.
func TestCapacitiesLeaveLoads(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	order := []string{"u1"}
	a := &loadAggregator{
		clock: clock,
	}
	a.receive("e1", []*wire.UpstreamLoad{{
		Life:    "u1",
		Told:    true,
		Running: 9,
		Waiting: 4,
		Age:     300,
		Pace:    100,
	}})
	a.applyCapacities([]relay.FleetCapacity{{
		InstanceID: "u1",
		Pace:       176,
		ReportAge:  100 * time.Millisecond,
	}})
	if got := decodeLoads(order, a.encodedLoads(order).dense)[0].Reported; got == nil || got.Running != 9 || got.Waiting != 4 {
		t.Errorf("reported load before the loads were applied: %+v, want 9 running and 4 waiting", got)
	}
	// The load that comes with the pace, at the same time of the clock.
	a.applyFleetLoads(order, []byte{unknownLoad, 5, 7, 2, 0, 0})
	clock.now = clock.now.Add(time.Millisecond)
	got := decodeLoads(order, a.encodedLoads(order).dense)[0].Reported
	if got == nil || got.Running != 7 || got.Waiting != 2 || fleetCapacities(a, order)["u1"].Pace != 176 {
		t.Errorf("reported load %+v, pace %d, want 7 running, 2 waiting and a pace of 176", got, fleetCapacities(a, order)["u1"].Pace)
	}
}

// Guards against further bytes where no upstream reports a pace and no entry reports tokens, and
// against messages of another list or of another version.
func TestCapacitiesAreSentWhereKnown(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	order := []string{"u1", "u2"}
	a := &loadAggregator{
		clock: clock,
	}
	a.receive("e1", []*wire.UpstreamLoad{paceReport("u1", 0, 0, 0)})
	e := a.encodedLoads(order)
	if len(e.capacities) != 0 {
		t.Errorf("%d bytes of capacities without paces and tokens", len(e.capacities))
	}
	clock.now = clock.now.Add(time.Millisecond)
	a.receive("e1", []*wire.UpstreamLoad{paceReport("u1", 100, 0, 0)})
	e = a.encodedLoads(order)
	if len(e.capacities) != capacityRecordBytes {
		t.Fatalf("%d bytes of capacities of one upstream", len(e.capacities))
	}
	loads := decodeSparse(e.sparse, len(order))
	for _, tt := range []struct {
		name    string
		encoded []byte
	}{
		{"none, from an earlier version", nil},
		{"too few bytes", e.capacities[:1]},
		{"too many bytes", append([]byte{1, 2}, e.capacities...)},
	} {
		if got := decodeCapacities(order, e.sparse, loads, tt.encoded); got != nil {
			t.Errorf("%s: decoded %+v", tt.name, got)
		}
	}
	if got := decodeCapacities(order, nil, loads, e.capacities); got != nil {
		t.Errorf("capacities without sparse loads were decoded: %+v", got)
	}
}

// BenchmarkEncodeCapacities measures the encoding of 4,100 upstreams at the leader, from 380
// entries that hold tokens at 40 upstreams each. Controllers encode once for all their followers.
func BenchmarkEncodeCapacities(b *testing.B) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	a := &loadAggregator{
		clock: clock,
	}
	var order []string
	for i := range 4100 {
		order = append(order, fmt.Sprintf("u%04d", i))
	}
	for entry := range 380 {
		var loads []*wire.UpstreamLoad
		for i := range 40 {
			loads = append(loads, paceReport(order[(entry*97+i*101)%len(order)], 100, 0, 2000))
		}
		a.receive(fmt.Sprint("e", entry), loads)
	}
	sparse := a.encodedLoads(order).sparse
	a.mu.Lock()
	defer a.mu.Unlock()
	work := a.currentWork(clock.now)
	for b.Loop() {
		a.encodeCapacities(order, sparse, work, clock.now)
	}
}
