package node

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// Guards against requests that are counted twice, or in a window in which they were not sent.
func TestRequestTotals(t *testing.T) {
	now := time.Unix(100, 0)
	f := &fleetRequests{}
	for _, step := range []struct {
		name  string
		after time.Duration
		epoch uint64
		total uint64
		want  uint64
		// Of retries, twice as many as requests and 1,000 lately: those of before are known only where nothing was.
		retries uint64
	}{
		{"first counts", 0, 1, 100, 0, 1000},
		{"more", loadInterval, 1, 107, 7, 14},
		{"the same", loadInterval, 1, 107, 0, 0},
		{"after a gap", maxRequestCountGap + 1, 1, 207, 0, 1000},
		{"after that", loadInterval, 1, 208, 1, 2},
		{"another source", loadInterval, 2, 500, 0, 0},
		{"more of it", loadInterval, 2, 503, 3, 6},
		{"counted anew", loadInterval, 2, 2, 0, 0},
		{"more after that", loadInterval, 2, 3, 1, 2},
	} {
		now = now.Add(step.after)
		got := f.advance([]*wire.RequestCount{
			{
				Service: "s",
				Total:   step.total,
				Retries: 2 * step.total,
				Recent:  1000,
			},
		}, step.epoch, now)
		if got["s"].Requests != step.want {
			t.Errorf("%s: %d requests, want %d", step.name, got["s"].Requests, step.want)
		}
		if got["s"].Retries != step.retries {
			t.Errorf("%s: %d retries, want %d", step.name, got["s"].Retries, step.retries)
		}
	}
}

// Guards against entries that don't know the requests of others, or count them more than once, also over a change of the
// leader.
func TestEntriesKnowRequestsOfAll(t *testing.T) {
	f := newFleet(t, 168)
	entries := f.startWithPlaces(3, func(n int) *Entry { return f.startEntry(n) })
	sent := int64(0)
	send := func(last time.Duration) {
		for end := time.Now().Add(last); time.Now().Before(end); sent++ {
			sendRequest(entries[0], "once", "x")
			time.Sleep(5 * time.Millisecond)
		}
	}
	known := func(e *Entry) int64 { return metrics.GetOrRegisterCounter("relay.fleet-requests.s", e.Metrics).Count() }
	// All but those before a source's first counts, and at a change of the leader, are known within maxRequestCountGap.
	check := func(step string, before []int64, sentBefore int64) {
		t.Helper()
		time.Sleep(maxRequestCountGap)
		for n, e := range entries {
			got, want := known(e)-before[n], sent-sentBefore
			if got > want || got < want/2 {
				t.Errorf("%s: entry %d knows %d of %d requests", step, n, got, want)
			}
		}
	}
	send(3 * time.Second)
	check("started", make([]int64, len(entries)), 0)
	for name, p := range f.processes {
		if p.controller != nil && p.controller.IsLeader() {
			f.stop(name)
			break
		}
	}
	time.Sleep(5 * time.Second)
	var before []int64
	for _, e := range entries {
		before = append(before, known(e))
	}
	sentBefore := sent
	send(3 * time.Second)
	check("another leader", before, sentBefore)
}

// Guards against reports of requests to a controller of an earlier release, which takes them for loads and forgets these.
func TestRequestsAreReportedWhereTheyAreCounted(t *testing.T) {
	applied := 0
	f := &follower{
		ApplyUpdate:        func(*wire.Update) bool { return true },
		ApplyRequestCounts: func([]*wire.RequestCount, uint64) { applied++ },
	}
	c := &controllerStream{
		stream: &peer.Stream{},
	}
	for _, tt := range []struct {
		name  string
		epoch uint64
		want  bool
	}{
		{"an earlier release", 0, false},
		{"one that counts", 7, true},
	} {
		if err := c.handleUpdate(f, &wire.Update{
			Epoch: tt.epoch,
		}); err != nil {
			t.Fatal(err)
		}
		if got := f.countedBy.Load() == c.stream; got != tt.want || (applied > 0) != tt.want {
			t.Errorf("%s: requests are reported: %v, want %v", tt.name, got, tt.want)
		}
	}
}
