package node

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

func testCanaryStats(route string, order, runs uint64) *wire.Trial {
	return &wire.Trial{
		Service: "s",
		Version: "v2",
		Route:   route,
		Order:   order,
		Runs:    runs,
	}
}

// TestReportsSendOnlyChanges checks that a report contains the canary statistics only of
// those routes, out of thousands, that had responses since the report before, that the controller
// has the statistics of all routes, and that a new stream is sent all of them.
func TestReportsSendOnlyChanges(t *testing.T) {
	pub := newPublisher(persimmoncross.SystemClock{})
	counts := map[string]uint64{}
	newReport := func() *wire.Account {
		a := &wire.Account{
			Vm:          "a",
			Incarnation: "1",
			Entry:       true,
		}
		for route, n := range counts {
			a.Trials = append(a.Trials, testCanaryStats(route, 4, n))
		}
		return a
	}
	for i := range manyRoutes {
		counts[fmt.Sprint("r", i)] = 1
	}
	stream := sentCanaryStats{}
	pub.receiveReport(stream.delta(newReport()))
	for n := range 5 {
		counts["r7"]++
		counts["r9"] += 2
		a := stream.delta(newReport())
		if size := proto.Size(a); len(a.GetTrials()) != 2 || size > 100 {
			t.Errorf("report %d: %d routes, %d bytes; want 2 routes and at most 100 bytes", n, len(a.GetTrials()), size)
		}
		pub.receiveReport(a)
	}
	if a := stream.delta(newReport()); len(a.GetTrials()) != 0 {
		t.Errorf("%d routes reported although no route had a response", len(a.GetTrials()))
	}
	reports, _ := pub.currentReports(pub.clock.Now())
	evidence := canaryEvidence(register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   4,
	}, reports)
	if len(evidence.New) != manyRoutes || evidence.New["r7"].Answers != 6 || evidence.New["r9"].Answers != 11 || evidence.New["r8"].Answers != 1 {
		t.Errorf("%d routes, r7 %d, r8 %d, r9 %d", len(evidence.New), evidence.New["r7"].Answers, evidence.New["r8"].Answers, evidence.New["r9"].Answers)
	}
	pub.receiveReport(&wire.Account{
		Vm:          "a",
		Incarnation: "1",
		Entry:       true,
		Trials:      []*wire.Trial{testCanaryStats("r7", 4, 3)},
	})
	if currentReports, _ := pub.currentReports(pub.clock.Now()); canaryEvidence(register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   4,
	}, currentReports).New["r7"].Answers != 6 {
		t.Error("an outdated count replaced a newer one")
	}
	for _, failed := range []uint64{3, 1} {
		late := testCanaryStats("r7", 4, 6)
		late.Failed = failed
		pub.receiveReport(&wire.Account{
			Vm:          "a",
			Incarnation: "1",
			Entry:       true,
			Trials:      []*wire.Trial{late},
		})
	}
	if currentReports, _ := pub.currentReports(pub.clock.Now()); canaryEvidence(register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   4,
	}, currentReports).New["r7"].Failed != 3 {
		t.Error("an outdated count of failures replaced a newer one")
	}
	forwarded := pub.takeUnforwardedReports()
	if len(forwarded) != 1 || len(sentCanaryStats{}.delta(forwarded[0]).GetTrials()) != manyRoutes {
		t.Errorf("a new stream is not sent the statistics of all routes")
	}
	if again, _ := pub.currentReports(pub.clock.Now()); len(again[0].GetTrials()) != manyRoutes {
		t.Error("forwarding a report changed the stored report")
	}
	counts = nil // the upgrade has ended
	stream.delta(newReport())
	if len(stream) != 0 {
		t.Error("the stream keeps the statistics of an upgrade that has ended")
	}
}

// TestCanaryStatsOfEndedUpgradesAreDropped checks that canary statistics of upgrades that have ended
// are dropped, and that those of an upgrade that this controller has not received yet are kept.
func TestCanaryStatsOfEndedUpgradesAreDropped(t *testing.T) {
	previous := &wire.Account{
		Trials: []*wire.Trial{testCanaryStats("r", 3, 1), testCanaryStats("r", 5, 1), testCanaryStats("r", 9, 1)},
	}
	for _, tt := range []struct {
		stage register.Stage
		order uint64
		want  []uint64
	}{
		{register.Trial, 5, []uint64{5, 9}},
		{register.Completed, 5, []uint64{9}},
		{register.Trial, 9, []uint64{9}},
		{register.Prepare, 2, []uint64{3, 5, 9}},
	} {
		got := mergeCanaryStats(previous, &wire.Account{}, map[string]register.Upgrade{
			"s": {
				Service: "s",
				Order:   tt.order,
				Stage:   tt.stage,
			},
		})
		keptOrders := map[uint64]bool{}
		for _, x := range got.GetTrials() {
			keptOrders[x.GetOrder()] = true
		}
		if len(keptOrders) != len(tt.want) {
			t.Errorf("order %d, %s: kept %v, want %v", tt.order, tt.stage, keptOrders, tt.want)
		}
		for _, n := range tt.want {
			if !keptOrders[n] {
				t.Errorf("order %d, %s: kept %v, want %v", tt.order, tt.stage, keptOrders, tt.want)
			}
		}
	}
}

// canaryEvidence returns the evidence of one round of reports.
func canaryEvidence(u register.Upgrade, reports []*wire.Account) upgrade.Evidence {
	m := &upgrade.Matcher{}
	addCanaryStats(m, u, reports, time.Unix(0, 0))
	return m.Evidence()
}

// TestExposureOfReports checks that the requests of one upgrade are added up, and that an entry of an earlier
// release, which reports no attempts, counts with its answers.
func TestExposureOfReports(t *testing.T) {
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   4,
		Stage:   register.Trial,
	}
	newReport := func(vm string, runs, sent uint64) *wire.Account {
		target := testCanaryStats("r", 4, runs)
		target.Sent = sent
		old := testCanaryStats("r", 4, 10*runs)
		old.Version = "v1"
		old.Sent = 10 * sent
		return &wire.Account{
			Vm:     vm,
			Trials: []*wire.Trial{target, old, testCanaryStats("r", 3, 1000)},
		}
	}
	tracker := &upgradeTracker{}
	now := time.Now()
	tracker.elapsed(u, now)
	e := tracker.exposure(u, time.Second, []*wire.Account{newReport("a", 5, 8), newReport("b", 3, 0)}, now)
	if e.New != 11 || e.All != 121 || e.Shifted != 0 {
		t.Errorf("%+v, want 11 of 121 requests before the shift", e)
	}
	u.Stage = register.Shift
	tracker.exposure(u, 2*time.Second, nil, now.Add(time.Second))
	if e := tracker.exposure(u, 4*time.Second, nil, now.Add(3*time.Second)); e.New != 11 || e.Shifted != 2*time.Second {
		t.Errorf("%+v, want the same requests two seconds after the shift", e)
	}
}
