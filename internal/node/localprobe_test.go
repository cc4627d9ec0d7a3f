package node

import (
	"fmt"
	"testing"
)

// followedPeer returns the address of the controller that the entry follows, "" for none.
func (e *Entry) followedPeer() string {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.follower.followedController
}

// TestLocalControllerIsFollowed checks that entries follow a controller of their own data centre
// although their settings don't say where the controllers are, from their start on and again after
// this controller has restarted. Meanwhile, and in a data centre without a controller, entries
// follow another one.
func TestLocalControllerIsFollowed(t *testing.T) {
	f := newFleet(t, 79)
	dataCentres := []string{"", "a", "b", "c"}
	var lastController *Controller
	for n := 1; n <= 3; n++ {
		lastController = f.startControllerIn(n, true, dataCentres[n])
	}
	f.waitForVoters(lastController, 3)
	f.declare(lastController, 1)
	localControllers := map[*Entry]string{}
	for i, dataCentre := range []string{"a", "b", "c", "c", "elsewhere"} {
		e := f.startEntryIn(4+i, dataCentre)
		localControllers[e] = ""
		for n := 1; n <= 3; n++ {
			if dataCentres[n] == dataCentre {
				localControllers[e] = f.processes[fmt.Sprint("vm", n)].controller.Site.Peer.String()
			}
		}
	}
	allReadyAnd := func(condition func(e *Entry, local string) bool) func() bool {
		return func() bool {
			for e, n := range localControllers {
				if !e.Ready() || !condition(e, n) {
					return false
				}
			}
			return true
		}
	}
	allFollowLocal := allReadyAnd(func(e *Entry, local string) bool {
		return local != "" && e.followedPeer() == local || local == "" && e.followedPeer() != ""
	})
	f.waitFor("all entries follow a local controller if there is one", allFollowLocal)
	lostPeer := localControllers[f.processes["vm6"].entry] // the controller in data centre c
	f.stop("vm3")
	f.waitFor("all entries follow a running controller", allReadyAnd(func(e *Entry, _ string) bool { return e.followedPeer() != "" && e.followedPeer() != lostPeer }))
	f.startControllerIn(3, false, "c")
	f.waitFor("the restarted controller is followed again", allFollowLocal)
}

func (f *fleet) startControllerIn(n int, founding bool, dataCentre string) *Controller {
	f.t.Helper()
	return f.startControllerWith(n, func(c *Controller) {
		c.Site.Founding = founding
		c.Site.DataCentre = dataCentre
	})
}

func (f *fleet) startEntryIn(n int, dataCentre string) *Entry {
	site := f.siteSettings(n, true)
	site.DataCentre = dataCentre
	return f.startEntryAtSite(site)
}

// TestLocalControllersAreTriedInTurn checks that with several local controllers each is probed in
// turn, because the first may be gone.
func TestLocalControllersAreTriedInTurn(t *testing.T) {
	f := &follower{
		Name:       "e",
		DataCentre: "a",
		Seeds:      func() []string { return nil },
	}
	prober := &localProber{
		follower: f,
	}
	if got := prober.nextController(); got != "" {
		t.Errorf("%s is probed although no controller is local", got)
	}
	controllers := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	f.setControllers(controllers)
	f.setDataCentres(controllers, []string{"a", "a", "b"})
	probes := map[string]int{}
	for range 4 {
		probes[prober.nextController()]++
	}
	if probes[controllers[0]] != 2 || probes[controllers[1]] != 2 {
		t.Errorf("probes by controller: %v, want 2 for each local one", probes)
	}
}
