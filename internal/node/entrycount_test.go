package node

import (
	"testing"
	"time"
)

// A controller that begins to lead has heard few entries yet: each of these takes the number
// for all, and its share of retries, connections and limits for that much larger.
func TestEntriesAreCountedThroughAnElection(t *testing.T) {
	f, _, entries := serving(t, 88, 4)
	for n := 7; n <= 9; n++ {
		entries = append(entries, f.entry(n))
	}
	all := func() bool {
		for _, e := range entries {
			if v := e.view.Load(); v == nil || v.Entries != len(entries) {
				return false
			}
		}
		return true
	}
	f.await("all know their number", all)
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		if f.vms[name].controller.Leads() {
			f.stop(name)
			break
		}
	}
	least := len(entries)
	for until := time.Now().Add(2 * presentEvery); time.Now().Before(until); time.Sleep(time.Millisecond) {
		for _, e := range entries {
			least = min(least, e.view.Load().Entries)
		}
	}
	if least < len(entries) {
		t.Errorf("an entry took %d entries for all of %d", least, len(entries))
	}
}

// A number counts at once if it is larger, after a while if it is smaller.
func TestEntryCount(t *testing.T) {
	began := time.Unix(100, 0)
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
		{5, 3*time.Second + countHold - 1, 6},
		{0, 4*time.Second + countHold, 6},
		{5, 4*time.Second + countHold, 5},
	} {
		if c.set(tt.n, began.Add(tt.at)); c.n != tt.want {
			t.Errorf("step %d: %d, want %d", i, c.n, tt.want)
		}
	}
}
