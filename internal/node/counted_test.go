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
