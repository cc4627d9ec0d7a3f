package node

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross/io/protocol/wire"
)

func newDemandAggregator(clock *manualClock) *demandAggregator {
	return &demandAggregator{
		clock: clock,
	}
}

// entryDemand returns an entry's report in which organisation a holds and awaits some requests.
func entryDemand(service string, held, waiting uint32) []*wire.Demand {
	return []*wire.Demand{{
		Service: service,
		Waiting: []uint32{0, waiting},
		Rate:    2500,
		Entries: 1,
		Holdings: []*wire.Holding{{
			Organisation: "a",
			Held:         held,
			Waiting:      waiting,
		}},
	}}
}

// checkDemand checks the sum of a service, by the number of entries and what organisation a holds.
func checkDemand(t *testing.T, when string, demands []*wire.Demand, entries, held, waiting uint32) {
	t.Helper()
	if entries == 0 {
		if len(demands) > 0 {
			t.Errorf("%s: sums %v, want none", when, demands)
		}
		return
	}
	if len(demands) != 1 || len(demands[0].Holdings) != 1 {
		t.Errorf("%s: sums %v, want one service with one organisation", when, demands)
		return
	}
	d := demands[0]
	if h := d.Holdings[0]; d.Entries != entries || h.Held != held || h.Waiting != waiting || d.Waiting[1] != waiting || d.Rate != 2500*entries {
		t.Errorf("%s: sum %v, want %d entries, %d held, %d waiting", when, d, entries, held, waiting)
	}
}

// An organisation's requests are spread over all entries, so that no controller sees what it
// holds unless the leader sums the reports of all controllers' entries.
func TestDemandsAreSummedAcrossControllers(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	leader, other := newDemandAggregator(clock), newDemandAggregator(clock)
	leader.receive("e1", entryDemand("s", 3, 1))
	other.receive("e2", entryDemand("s", 4, 0))
	other.receive("e3", entryDemand("s", 5, 2))
	leader.receive("other", other.report())
	other.applyFleetDemands(leader.sums())
	checkDemand(t, "leader", leader.sums(), 3, 12, 3)
	checkDemand(t, "other", other.sums(), 3, 12, 3)
	// A report replaces the one before, and the leader's sum is not reported back to it.
	clock.now = clock.now.Add(loadInterval)
	other.receive("e3", nil)
	leader.receive("other", other.report())
	other.applyFleetDemands(leader.sums())
	checkDemand(t, "after e3 reported nothing", other.sums(), 2, 7, 1)
}

// Without the expiry, the last report of an entry that died would count against its
// organisations for good.
func TestDemandsOfSilentReportersExpire(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	a := newDemandAggregator(clock)
	a.receive("dies", entryDemand("s", 3, 1))
	clock.now = clock.now.Add(maxLoadAge / 2)
	a.receive("lives", entryDemand("s", 4, 0))
	checkDemand(t, "both report", a.sums(), 2, 7, 1)
	clock.now = clock.now.Add(maxLoadAge/2 + time.Millisecond)
	checkDemand(t, "one is silent", a.sums(), 1, 4, 0)
	clock.now = clock.now.Add(maxLoadAge)
	checkDemand(t, "all are silent", a.sums(), 0, 0, 0)
}

// When the leader is lost, controllers go on with its last sum and then with that of their own
// entries. A new leader that starts with nothing has the whole sum after one round of reports.
func TestDemandsAfterLeaderIsLost(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	leader, first, second := newDemandAggregator(clock), newDemandAggregator(clock), newDemandAggregator(clock)
	report := func() {
		first.receive("e1", entryDemand("s", 3, 0))
		second.receive("e2", entryDemand("s", 4, 0))
	}
	report()
	leader.receive("first", first.report())
	leader.receive("second", second.report())
	first.applyFleetDemands(leader.sums())
	second.applyFleetDemands(leader.sums())
	for range 4 {
		clock.now = clock.now.Add(loadInterval)
		report()
	}
	checkDemand(t, "last sum of the lost leader", first.sums(), 2, 7, 0)
	for range 3 {
		clock.now = clock.now.Add(loadInterval)
		report()
	}
	checkDemand(t, "own entries", first.sums(), 1, 3, 0)
	// The second controller becomes the leader; the first one has restarted with nothing.
	first = newDemandAggregator(clock)
	checkDemand(t, "restarted", first.sums(), 0, 0, 0)
	clock.now = clock.now.Add(loadInterval)
	report()
	second.receive("first", first.report())
	first.applyFleetDemands(second.sums())
	checkDemand(t, "new leader", second.sums(), 2, 7, 0)
	checkDemand(t, "restarted controller", first.sums(), 2, 7, 0)
}

// A follower that gets no message keeps its last sum until that expires. It must be told when
// a service has no demand any more, but nothing is sent in calm.
func TestDemandSenderClearsServices(t *testing.T) {
	now := time.Unix(100, 0)
	s := &demandSender{}
	if got := s.next(nil, now); got != nil {
		t.Errorf("in calm %v is sent", got)
	}
	sums := entryDemand("s", 1, 0)
	if got := s.next(sums, now); len(got) != 1 {
		t.Errorf("%v is sent, want the sum", got)
	}
	if got := s.next(sums, now.Add(loadInterval/2)); got != nil {
		t.Errorf("%v is sent before the interval has passed", got)
	}
	now = now.Add(loadInterval)
	if got := s.next(nil, now); len(got) != 1 || got[0].Service != "s" || got[0].Entries != 0 {
		t.Errorf("%v is sent after the end of the demand, want the service without entries", got)
	}
	if got := s.next(nil, now.Add(loadInterval)); got != nil {
		t.Errorf("%v is sent once more", got)
	}
}

// Messages must stay small however many organisations and services there are, and keep those
// with the largest holdings. 24 organisations take about 16 bytes each.
func TestDemandMessagesAreBounded(t *testing.T) {
	tests := []struct {
		services, organisations   int
		wantServices, wantPer     int
		maxBytes                  int
		wantInterval, maxInterval time.Duration
	}{
		{1, 24, 1, 24, 24*18 + 32, loadInterval, loadInterval},
		{1, 1000, 1, maxServiceHoldings, 1500, loadInterval, time.Second},
		{40, 1000, maxDemandServices, maxMessageHoldings / maxDemandServices, 4000, loadInterval, time.Second},
	}
	for _, tt := range tests {
		a := newDemandAggregator(&manualClock{
			now: time.Unix(100, 0),
		})
		var report []*wire.Demand
		for i := range tt.services {
			d := &wire.Demand{
				Service: fmt.Sprintf("service-%d", i),
				Waiting: []uint32{100, 100, 100},
				Rate:    300_000,
				Entries: 90,
			}
			for j := range tt.organisations {
				d.Holdings = append(d.Holdings, &wire.Holding{
					Organisation: fmt.Sprintf("tenant%d", j),
					Held:         uint32(100 + j),
					Waiting:      10,
				})
			}
			report = append(report, d)
		}
		a.receive("e", report)
		sums := a.sums()
		if len(sums) != tt.wantServices || len(sums[0].Holdings) != tt.wantPer {
			t.Errorf("%d services with %d organisations: %d services with %d", tt.services, tt.organisations, len(sums), len(sums[0].Holdings))
		}
		if got := sums[0].Holdings[0].Held; got != uint32(99+tt.organisations) {
			t.Errorf("the largest holding is %d", got)
		}
		size := proto.Size(&wire.Update{
			Demands: sums,
		})
		t.Logf("%d services with %d organisations: %d bytes", tt.services, tt.organisations, size)
		if size > tt.maxBytes {
			t.Errorf("%d services with %d organisations: %d bytes", tt.services, tt.organisations, size)
		}
		s := &demandSender{}
		s.next(sums, time.Unix(100, 0))
		if interval := s.nextAt.Sub(time.Unix(100, 0)); interval < tt.wantInterval || interval > tt.maxInterval {
			t.Errorf("%d bytes: sent each %v", size, interval)
		}
	}
}

func TestDemandsSurviveTheWire(t *testing.T) {
	sent := entryDemand("s", 3, 2)
	got := toWireDemands(fromWireDemands(sent))
	if len(got) != 1 || !proto.Equal(got[0], sent[0]) {
		t.Errorf("got %v, want %v", got, sent)
	}
	if !reflect.DeepEqual(fromWireDemands(got), fromWireDemands(sent)) {
		t.Errorf("decoded %+v", fromWireDemands(got))
	}
}

// An update of a controller that knows no demands must not clear those that are known, and a
// follower that knows none must go on with the rest of an update.
func TestDemandsOfOtherVersions(t *testing.T) {
	var got []*wire.Demand
	f := &follower{
		ApplyUpdate:  func(*wire.Update) bool { return true },
		ApplyDemands: func(demands []*wire.Demand) { got = demands },
	}
	s := &controllerStream{}
	if err := s.handleUpdate(f, &wire.Update{
		Demands: entryDemand("s", 3, 0),
	}); err != nil || len(got) != 1 {
		t.Errorf("demands %v, error %v", got, err)
	}
	if err := s.handleUpdate(f, &wire.Update{}); err != nil || len(got) != 1 {
		t.Errorf("after an update without demands: %v, error %v", got, err)
	}
	f.ApplyDemands = nil
	if err := s.handleUpdate(f, &wire.Update{
		Demands: entryDemand("s", 3, 0),
	}); err != nil {
		t.Errorf("a follower without demands: %v", err)
	}
}
