package node

import (
	"testing"
	"time"
)

// A controller that begins to lead has heard few entries yet: each of these takes the number
// for all, and its share of retries, connections and limits for that much larger.
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
	f.waitFor("all know their number", allKnowCount)
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
		t.Errorf("an entry took %d entries for all of %d", lowest, len(entries))
	}
}

// A number counts at once if it is larger, after a while if it is smaller.
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
			t.Errorf("step %d: %d, want %d", i, c.count, tt.want)
		}
	}
}
