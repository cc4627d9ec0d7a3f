package node

import (
	"fmt"
	"testing"
)

// followed returns the controller that the entry follows, "" for none.
func (e *Entry) followedNow() string {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.follower.followed
}

// Entries follow a controller of their own data centre, though they are told of none:
// from the start, and again after it was away. Meanwhile, and where there is none, they
// follow another.
func TestNearControllerIsFollowed(t *testing.T) {
	f := newFleet(t, 79)
	places := []string{"", "a", "b", "c"}
	var first *Controller
	for n := 1; n <= 3; n++ {
		first = f.controllerIn(n, true, places[n])
	}
	f.voters(first, 3)
	f.declare(first, 1)
	near := map[*Entry]string{}
	for i, place := range []string{"a", "b", "c", "c", "elsewhere"} {
		e := f.entryIn(4+i, place)
		near[e] = ""
		for n := 1; n <= 3; n++ {
			if places[n] == place {
				near[e] = f.vms[fmt.Sprint("vm", n)].controller.Site.Peer.String()
			}
		}
	}
	all := func(holds func(e *Entry, near string) bool) func() bool {
		return func() bool {
			for e, n := range near {
				if !e.Ready() || !holds(e, n) {
					return false
				}
			}
			return true
		}
	}
	atHome := all(func(e *Entry, near string) bool {
		return near != "" && e.followedNow() == near || near == "" && e.followedNow() != ""
	})
	f.await("all follow one nearby", atHome)
	lost := near[f.vms["vm6"].entry] // of c
	f.stop("vm3")
	f.await("all follow another", all(func(e *Entry, _ string) bool { return e.followedNow() != "" && e.followedNow() != lost }))
	f.controllerIn(3, false, "c")
	f.await("it is followed again", atHome)
}

func (f *fleet) controllerIn(n int, founding bool, dataCentre string) *Controller {
	f.t.Helper()
	return f.controllerWith(n, func(c *Controller) {
		c.Site.Founding = founding
		c.Site.DataCentre = dataCentre
	})
}

func (f *fleet) entryIn(n int, dataCentre string) *Entry {
	site := f.site(n, true)
	site.DataCentre = dataCentre
	return f.runEntry(site)
}

// With several near controllers each is asked in its turn: the first may be gone.
func TestNearOnesInTurn(t *testing.T) {
	f := &follower{
		Name:       "e",
		DataCentre: "a",
		Seeds:      func() []string { return nil },
	}
	n := &nearer{
		follower: f,
	}
	if got := n.next(); got != "" {
		t.Errorf("nobody is near, and %s is asked", got)
	}
	controllers := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	f.learn(controllers)
	f.learnPlaces(controllers, []string{"a", "a", "b"})
	asked := map[string]int{}
	for range 4 {
		asked[n.next()]++
	}
	if asked[controllers[0]] != 2 || asked[controllers[1]] != 2 {
		t.Errorf("asked: %v", asked)
	}
}
