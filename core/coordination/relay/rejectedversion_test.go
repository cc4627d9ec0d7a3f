package relay

import (
	"fmt"
	"testing"

	"persimmoncross/core/state/register"
)

// Guards against requests, and sessions of the old version, that go to a version which was withdrawn, because
// the next upgrade knows only its own target.
func TestWithdrawnVersionGetsNothingDuringNextUpgrade(t *testing.T) {
	for _, stage := range []register.Stage{register.Prepare, register.Trial, register.Shift, register.Completed, register.Withdrawn} {
		for _, stale := range []bool{false, true} {
			for _, left := range [][]string{{"v1", "v2", "v3", "v2"}, {"v2", "v2", "v2", "v2"}} {
				e := newTestEnv()
				for i, target := range e.targets {
					target.Version = left[i]
				}
				e.view.UpgradesStale = stale
				e.view.Upgrades[testService] = register.Upgrade{
					Service:      testService,
					Target:       "v3",
					Stage:        stage,
					Share:        0.5,
					SessionShare: 0.5,
					Rejected:     []string{"v2"},
				}
				for n := range 20 {
					e.serve(t, "safe", nil)
					c := &call{
						relay:   e.relay,
						service: testService,
						route:   e.view.Catalog.Route("h", "/safe/x"),
					}
					c.versionFilter = e.relay.Sessions.chooseVersions(e.view.Upgrades[testService], fmt.Sprint("session", n), "", equalShares(0.5), false, e.clock.Now())
					if got := c.sendableTargets(e.targets); len(got) == 0 && left[0] == "v1" {
						t.Errorf("stage %s, stale %v: no upstream is left for a session", stage, stale)
					} else if len(got) > 0 && got[0].Version == "v2" {
						t.Errorf("stage %s, stale %v: a session may run on the withdrawn version", stage, stale)
					}
				}
				for _, a := range e.forwarder.attempts {
					if a.Upstream.Version == "v2" {
						t.Errorf("stage %s, stale %v, upstreams %v: a request ran on the withdrawn version", stage, stale, left)
						break
					}
				}
			}
		}
	}
}
