package node

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// manualClock is a clock that moves only when now is set.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                       { return c.now }
func (c *manualClock) After(time.Duration) <-chan time.Time { return nil }

func loadWithWork(instanceID string, milliseconds uint32) *wire.UpstreamLoad {
	return &wire.UpstreamLoad{
		Life: instanceID,
		Work: milliseconds,
	}
}

// fleetLoads returns the loads that the aggregator would send to a follower, by upstream.
func fleetLoads(b *loadAggregator, order []string) map[string]relay.FleetLoad {
	loads := map[string]relay.FleetLoad{}
	for _, l := range decodeLoads(order, encodeLoads(b, order)) {
		loads[l.InstanceID] = l
	}
	return loads
}

// TestWorkIsSummedAcrossControllers checks that the leader adds up the work reported by entries
// that follow different controllers, and that the followers of each controller receive the sum.
func TestWorkIsSummedAcrossControllers(t *testing.T) {
	clock := &manualClock{
		now: time.Unix(100, 0),
	}
	order := []string{"u1", "u2"}
	newAggregator := func() *loadAggregator {
		return &loadAggregator{
			clock: clock,
		}
	}
	leader, nonLeader := newAggregator(), newAggregator()
	exchange := func() {
		leader.receive("other", nonLeader.report())
		nonLeader.applyFleetLoads(order, encodeLoads(leader, order))
	}
	leader.receive("e1", []*wire.UpstreamLoad{loadWithWork("u1", 1000)})
	nonLeader.receive("e2", []*wire.UpstreamLoad{loadWithWork("u1", 400), loadWithWork("u2", 200)})
	nonLeader.receive("e3", []*wire.UpstreamLoad{
		{
			Life:     "u2",
			Told:     true,
			Running:  7,
			Waiting:  300,
			Age:      60,
			Doubters: 1,
			Heard:    true,
			Silence:  40,
		},
	})
	leader.receive("e4", []*wire.UpstreamLoad{
		{
			Life:     "u2",
			Doubters: 1,
		},
	})
	exchange()
	for name, b := range map[string]*loadAggregator{"leader": leader, "other": nonLeader} {
		got := fleetLoads(b, order)
		if got["u1"].PrefillTime != 1400*time.Millisecond || got["u2"].PrefillTime != 200*time.Millisecond {
			t.Errorf("%s sends work %v and %v, want 1.4 s and 0.2 s", name, got["u1"].PrefillTime, got["u2"].PrefillTime)
		}
		if got["u1"].Reported != nil || got["u2"].Reported == nil || got["u2"].Reported.Running != 7 || got["u2"].Reported.Waiting != maxLoadValue || got["u2"].ReportAge != 60*time.Millisecond {
			t.Errorf("%s sends %+v and %+v", name, got["u1"].Reported, got["u2"].Reported)
		}
	}
	if got := fleetLoads(nonLeader, order); got["u1"].SuspectingEntries != 0 || got["u2"].SuspectingEntries != 2 {
		t.Errorf("suspecting entries: %+v, want 0 for u1 and 2 for u2", got)
	}
	for name, b := range map[string]*loadAggregator{"leader": leader, "other": nonLeader} {
		if got := fleetLoads(b, order); got["u1"].Received || !got["u2"].Received || got["u2"].SinceReceived != 40*time.Millisecond {
			t.Errorf("%s sends last-received times %+v, want none for u1 and 40 ms for u2", name, got)
		}
	}
	// A report replaces the one before.
	nonLeader.receive("e2", nil)
	exchange()
	if got := fleetLoads(nonLeader, order); got["u1"].PrefillTime != time.Second || got["u2"].PrefillTime != 0 {
		t.Errorf("after e2 reported no work: %v", got)
	}
	// The loads of a leader that is gone, and of entries that send no reports, expire.
	clock.now = clock.now.Add(maxLoadAge / 2)
	nonLeader.receive("e3", []*wire.UpstreamLoad{loadWithWork("u2", 100)})
	clock.now = clock.now.Add(maxLoadAge/2 + time.Millisecond)
	if got := fleetLoads(nonLeader, order); got["u1"].PrefillTime != 0 || got["u2"].PrefillTime != 100*time.Millisecond || got["u2"].Reported != nil {
		t.Errorf("without a leader: %+v", got)
	}
}

// TestLoadTransferRateIsBounded checks that loads are sent less often with thousands of upstreams,
// within maxLoadBytesPerSecond.
func TestLoadTransferRateIsBounded(t *testing.T) {
	for _, n := range []int{1, 100, 500, 4100} {
		if rate := float64(loadRecordBytes*n) / loadSendInterval(loadRecordBytes*n, n).Seconds(); rate > maxLoadBytesPerSecond {
			t.Errorf("%d upstreams take %.0f bytes a second", n, rate)
		}
		if loadSendInterval(loadRecordBytes*n, n) < loadInterval {
			t.Errorf("loads of %d upstreams are sent every %v", n, loadSendInterval(loadRecordBytes*n, n))
		}
	}
}

// TestSparseLoads checks that the sparse encoding takes a record only for each upstream with a
// known load, and that it decodes to the same loads.
func TestSparseLoads(t *testing.T) {
	for _, tt := range []struct{ upstreams, known, maxBytes int }{
		{0, 0, 0},
		{1, 0, 1},
		{9, 9, 9*loadRecordBytes + 2},
		{3000, 0, 375},
		{3000, 100, 375 + 100*loadRecordBytes},
	} {
		loads := bytes.Repeat(unknownLoadRecord, tt.upstreams)
		for i := range tt.known {
			loads[loadRecordBytes*(i*tt.upstreams/tt.known)+i%loadRecordBytes] = 7
		}
		encoded := encodeSparse(loads)
		if len(encoded) > tt.maxBytes {
			t.Errorf("%d of %d known: %d bytes encoded", tt.known, tt.upstreams, len(encoded))
		}
		if got := decodeSparse(encoded, tt.upstreams); !bytes.Equal(got, loads) {
			t.Errorf("%d of %d known: the decoded loads differ", tt.known, tt.upstreams)
		}
		for _, damaged := range [][]byte{append(slices.Clone(encoded), 1), encoded[:len(encoded)/2], {0xff}} {
			if got := decodeSparse(damaged, tt.upstreams); got != nil && len(got) != loadRecordBytes*tt.upstreams {
				t.Errorf("damaged loads were decoded to %d bytes", len(got))
			}
		}
	}
}

func instanceIDOf(t *testing.T, x *wire.Upstream) string {
	t.Helper()
	u, ok := fromWireUpstream(x)
	if !ok {
		t.Fatalf("%v is not a valid upstream", x)
	}
	return u.InstanceID()
}

// TestLoadsUseListOrder checks that the loads of a stream are decoded in the order of the sorted
// instance IDs of the list received on this stream.
func TestLoadsUseListOrder(t *testing.T) {
	var got map[string]time.Duration
	f := &follower{
		ApplyUpdate: func(*wire.Update) bool { return true },
		ApplyLoads: func(order []string, loads []byte) {
			got = map[string]time.Duration{}
			for _, l := range decodeLoads(order, loads) {
				name, _, _ := strings.Cut(l.InstanceID, "~")
				got[name] = l.PrefillTime
			}
		},
	}
	a := &controllerStream{}
	newUpstreams := func(ids ...string) (list []*wire.Upstream) {
		for _, id := range ids {
			list = append(list, &wire.Upstream{
				Incarnation: id,
				Address:     "127.0.0.1:1",
			})
		}
		return list
	}
	a.handleUpdate(f, &wire.Update{
		Listed:    true,
		Upstreams: newUpstreams("c", "a"),
		Loads:     []byte{unknownLoad, unknownLoad, 0, 0, 1, 0, unknownLoad, unknownLoad, 0, 0, 3, 0},
	})
	if got["a"] != loadTimeUnit || got["c"] != 3*loadTimeUnit {
		t.Errorf("loads: %v", got)
	}
	a.handleUpdate(f, &wire.Update{
		Listed:    true,
		Partial:   true,
		Upstreams: newUpstreams("b"),
		Gone:      []string{instanceIDOf(t, newUpstreams("a")[0])},
		Loads:     []byte{0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 3, 0},
	})
	if len(got) != 2 || got["b"] != 2*loadTimeUnit || got["c"] != 3*loadTimeUnit {
		t.Errorf("loads after a change of the list: %v", got)
	}
	got = nil
	a.handleUpdate(f, &wire.Update{
		Loads: []byte{1, 2, 3},
	})
	if got != nil {
		t.Errorf("loads of another list were applied: %v", got)
	}
}

func encodeLoads(b *loadAggregator, order []string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.encodeDense(order, b.clock.Now())
}

// TestEncodedLoadsAreCached checks that followers with the same list are sent loads that were
// encoded once and are cached for a short time. Encoding 3,000 upstreams for each of 75
// followers, four times a second, took a controller a tenth of a core.
func TestEncodedLoadsAreCached(t *testing.T) {
	clock := &manualNowClock{
		now: time.Unix(1000, 0),
	}
	b := &loadAggregator{
		clock: clock,
	}
	shortList, longList := []string{"a", "b"}, []string{"a", "b", "c"}
	first, _ := b.encoded(shortList)
	if again, known := b.encoded(shortList); &again[0] != &first[0] || len(known) != 1 {
		t.Error("the loads of the same list are encoded again at once")
	}
	if other, _ := b.encoded(longList); len(other) != loadRecordBytes*len(longList) {
		t.Errorf("another list gets %d bytes of loads", len(other))
	}
	first, _ = b.encoded(shortList)
	b.receive("e", []*wire.UpstreamLoad{
		{Life: "b", Work: 1000},
	})
	clock.now = clock.now.Add(time.Millisecond)
	if later, known := b.encoded(shortList); bytes.Equal(later, first) || len(known) != 1+loadRecordBytes {
		t.Error("changed loads are not sent")
	}
	if none, known := b.encoded(nil); len(none)+len(known) != 0 {
		t.Error("loads are sent without a list")
	}
}

type manualNowClock struct {
	persimmoncross.SystemClock
	now time.Time
}

func (c *manualNowClock) Now() time.Time { return c.now }
