package node

import (
	"fmt"
	"testing"
)

// followed returns the controller that the entry follows, "" for none.
func (e *Entry) followedPeer() string {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.follower.followedController
}

// Entries follow a controller of their own data centre, though they are told of none:
// from the start, and again after it was away. Meanwhile, and where there is none, they
// follow another.
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
	allEntries := func(condition func(e *Entry, local string) bool) func() bool {
		return func() bool {
			for e, n := range localControllers {
				if !e.Ready() || !condition(e, n) {
					return false
				}
			}
			return true
		}
	}
	allFollowLocal := allEntries(func(e *Entry, local string) bool {
		return local != "" && e.followedPeer() == local || local == "" && e.followedPeer() != ""
	})
	f.waitFor("all follow one nearby", allFollowLocal)
	lostPeer := localControllers[f.processes["vm6"].entry] // of c
	f.stop("vm3")
	f.waitFor("all follow another", allEntries(func(e *Entry, _ string) bool { return e.followedPeer() != "" && e.followedPeer() != lostPeer }))
	f.startControllerIn(3, false, "c")
	f.waitFor("it is followed again", allFollowLocal)
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

// With several near controllers each is asked in its turn: the first may be gone.
func TestLocalControllersAreTriedInTurn(t *testing.T) {
	f := &follower{
		Name:       "e",
		DataCentre: "a",
		Seeds:      func() []string { return nil },
	}
	search := &localProber{
		follower: f,
	}
	if got := search.nextController(); got != "" {
		t.Errorf("nobody is near, and %s is asked", got)
	}
	controllers := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	f.setControllers(controllers)
	f.setDataCentres(controllers, []string{"a", "a", "b"})
	tries := map[string]int{}
	for range 4 {
		tries[search.nextController()]++
	}
	if tries[controllers[0]] != 2 || tries[controllers[1]] != 2 {
		t.Errorf("asked: %v", tries)
	}
}
