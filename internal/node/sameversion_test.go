package node

import (
	"context"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// Guards against a service that gets no requests until the end of an order to upgrade it to the version
// that it runs already: no upstream of another version is there to get them.
func TestUpgradeToRunningVersionKeepsServiceRunning(t *testing.T) {
	f, _, entries := newRunningFleet(t, 165, 4)
	c := f.processes["vm2"].controller
	f.waitFor("the controller has the list", func() bool {
		list, _ := c.publisher.upstreams()
		return len(list) > 0
	})
	reaches := func(stage register.Stage) func() bool {
		return func() bool {
			for _, e := range entries {
				if e.view.Load().Upgrades["s"].Stage != stage {
					return false
				}
			}
			return true
		}
	}
	checkServed := func(when string) {
		t.Helper()
		for i, e := range entries {
			if _, refusal := sendRequest(e, "safe", "x"); refusal != nil {
				t.Errorf("%s, entry %d: %v", when, i, refusal)
			}
		}
	}
	f.retryUntilAcknowledged("the order", func() error { return c.BeginUpgrade(context.Background(), "s", "v1", 4*time.Second) })
	f.waitFor("all requests run on the target", reaches(register.Shift))
	checkServed("during the order")
	f.waitFor("the upgrade is completed", reaches(register.Completed))
	checkServed("after the order")
}

// Guards against an upgrade that sends all requests to an unproven version since the old version's upstreams are
// gone for a moment, or the list was not read yet.
func TestUpgradeIsShiftedAtOnceOnlyWithoutOtherVersions(t *testing.T) {
	listOf := func(versions ...string) (list []persimmoncross.Upstream) {
		for _, version := range versions {
			list = append(list, persimmoncross.Upstream{
				Service: "s",
				Version: version,
			})
		}
		return append(list, persimmoncross.Upstream{
			Service: "other",
			Version: "v1",
		})
	}
	u := register.Upgrade{
		Service: "s",
		Target:  "v2",
	}
	for _, tt := range []struct {
		what  string
		lists [][]persimmoncross.Upstream
		want  bool
	}{
		{"only the target", [][]persimmoncross.Upstream{listOf("v2", "v2")}, true},
		{"both", [][]persimmoncross.Upstream{listOf("v2", "v1")}, false},
		{"only the old version", [][]persimmoncross.Upstream{listOf("v1")}, false},
		{"none", [][]persimmoncross.Upstream{listOf()}, false},
		{"the list is read later", [][]persimmoncross.Upstream{nil, listOf("v2")}, true},
		{"the old version's are gone", [][]persimmoncross.Upstream{listOf("v1", "v2"), listOf("v2")}, false},
	} {
		w := &upgradeTracker{}
		w.elapsed(u, time.Unix(1000, 0))
		got := false
		for _, list := range tt.lists {
			got = w.runsAlready(u, list)
		}
		if got != tt.want {
			t.Errorf("%s: %v, want %v", tt.what, got, tt.want)
		}
	}
}
