package node

import (
	"testing"
	"time"
)

// TestEntryCountDuringElection checks that a new leader, which has received reports from only a
// few entries, does not publish their number as the entry count. With a count that is too small
// each entry takes too large a share of retries, connections and limits.
func TestEntryCountDuringElection(t *testing.T) {
	f, _, entries := newRunningFleet(t, 88, 4)
	for n := 7; n <= 9; n++ {
		entries = append(entries, f.startEntry(n))
	}
	allKnowCount := func() bool {
		for _, e := range entries {
			if v := e.view.Load(); v == nil || v.EntryCount != len(entries) {
				return false
			}
		}
		return true
	}
	f.waitFor("all entries have the full entry count", allKnowCount)
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		if f.processes[name].controller.IsLeader() {
			f.stop(name)
			break
		}
	}
	lowest := len(entries)
	for deadline := time.Now().Add(2 * keepaliveInterval); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, e := range entries {
			lowest = min(lowest, e.view.Load().EntryCount)
		}
	}
	if lowest < len(entries) {
		t.Errorf("an entry had an entry count of %d, want %d", lowest, len(entries))
	}
}

// TestEntryCount checks that an increase applies at once, and a decrease after
// entryDecreaseDelay.
func TestEntryCount(t *testing.T) {
	start := time.Unix(100, 0)
	c := &entryCount{}
	for i, tt := range []struct {
		n    int
		at   time.Duration
		want int
	}{
		{0, 0, 0},
		{3, 0, 3},
		{6, time.Second, 6},
		{2, 2 * time.Second, 6},
		{6, 3 * time.Second, 6},
		{5, 3*time.Second + entryDecreaseDelay - 1, 6},
		{0, 4*time.Second + entryDecreaseDelay, 6},
		{5, 4*time.Second + entryDecreaseDelay, 5},
	} {
		if c.update(tt.n, start.Add(tt.at)); c.count != tt.want {
			t.Errorf("step %d: entry count %d, want %d", i, c.count, tt.want)
		}
	}
}
