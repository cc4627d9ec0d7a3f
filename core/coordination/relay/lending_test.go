package relay

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"persimmoncross"
)

const lendingEntries = 100

// newLendingEnv returns an entry of lendingEntries whose upstreams would begin 8 requests more within the
// age of their loads, while the given number of requests waits at all entries.
func newLendingEnv(t *testing.T, waiting int) *queueEnv {
	t.Helper()
	e := newQueueEnv(t, okResponse("x"), okResponse("x"), okResponse("x"))
	e.view.EntryCount = lendingEntries
	e.relay.FleetDemands = &FleetDemands{}
	e.setWaiting(waiting)
	e.setLoad(8, 0)
	return e
}

// setWaiting applies new sums. They count from the next loads.
func (e *queueEnv) setWaiting(n int) {
	e.relay.FleetDemands.Apply([]Demand{{
		Service:       testService,
		WaitingByRank: []int{n},
		Entries:       lendingEntries,
	}}, e.clock.Now())
}

// Load: requests wait at other entries for all that the upstreams will begin. This entry's new request
// must not take that room because it sees it too; it gets its part once the sums count it, and goes on
// at once when nothing waits any more.
func TestRequestWaitsForItsPartOfRoom(t *testing.T) {
	e := newLendingEnv(t, 400)
	results := e.send(context.Background(), "once")
	e.awaitLength(1)
	if len(e.sent()) != 0 {
		t.Fatal("the request took room that others wait for")
	}
	e.clock.advance(250 * time.Millisecond)
	e.setWaiting(0)
	e.setLoad(8, 0)
	if r := <-results; r.refusal != nil {
		t.Errorf("got %+v, want the answer", r.refusal)
	}
	e = newLendingEnv(t, 400)
	results = e.send(context.Background(), "once")
	e.awaitLength(1)
	e.clock.advance(fleetLoadDelay)
	e.setWaiting(1) // this one
	e.setLoad(2, 0)
	if r := <-results; r.refusal != nil {
		t.Errorf("with its part: got %+v, want the answer", r.refusal)
	}
}

// Failure: the entry is cut off from the sums while it has no credits. It must act alone after a
// second, not hold its requests for ever. The same where the part is left out.
func TestLendingWithoutNews(t *testing.T) {
	e := newLendingEnv(t, 400)
	results := e.send(context.Background(), "once")
	e.awaitLength(1)
	for i := 0; len(results) == 0; i++ {
		if i > 100 {
			t.Fatal("the request is held without news")
		}
		for _, u := range e.targets {
			u.recordLoad(&persimmoncross.UpstreamLoad{
				Running: 8,
				Slots:   8,
			}, e.clock.Now())
		}
		e.step(results)
	}
	if r := <-results; r.refusal != nil {
		t.Errorf("got %+v, want the answer", r.refusal)
	}
	e = newQueueEnv(t, okResponse("x"))
	e.relay.Config.Overload.Omit = []persimmoncross.OverloadPart{persimmoncross.OverloadLending}
	e.relay.FleetDemands = &FleetDemands{}
	e.view.EntryCount = 1
	e.setWaiting(400)
	e.setLoad(8, 0)
	if r := <-e.send(context.Background(), "once"); r.refusal != nil {
		t.Errorf("part omitted: got %+v, want the answer", r.refusal)
	}
}

// The room of thousands of upstreams is added up with each load message while requests wait. It took
// 1.7 ms for 4,100 on a shared machine.
func BenchmarkDivideRoom(b *testing.B) {
	e := newTestEnv()
	var list []persimmoncross.Upstream
	for i := range 4100 {
		list = append(list, persimmoncross.Upstream{
			Name:    fmt.Sprint("u", i),
			Service: testService,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
			Version: "v1",
			Slots:   12,
		})
	}
	pool := &Pool{
		Clock: e.clock,
	}
	e.view.Targets = pool.Update(list)
	e.view.EntryCount = lendingEntries
	e.relay.Config.Overload.Mode = persimmoncross.OverloadOn
	e.relay.FleetDemands = &FleetDemands{}
	q := e.relay.queueOf(testService)
	now := e.clock.Now()
	for b.Loop() {
		now = now.Add(250 * time.Millisecond)
		e.relay.FleetDemands.Apply([]Demand{{
			Service:       testService,
			WaitingByRank: []int{400},
			Entries:       lendingEntries,
			BeginRate:     1000,
		}}, now)
		q.divideRoom(now)
	}
}
