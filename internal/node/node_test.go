package node

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// Three addresses found the fleet; the other controllers vote soon, entries
// follow, and what was acknowledged is in force on them.
func TestFleetBootstrap(t *testing.T) {
	f := newFleet(t, 71)
	var controllers []*Controller
	for n := 1; n <= 5; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	e := f.startEntry(6)
	f.declare(controllers[4], 7)
	for _, c := range controllers {
		f.waitForVoters(c, 5)
		if got := f.readDocumentNumber(c); got != 7 {
			t.Errorf("%s reads %d", c.Site.Name, got)
		}
	}
	f.waitFor("the entry has document and list", e.Ready)
	if n := e.view.Load().Catalog.Number; n != 7 {
		t.Errorf("the entry has document %d", n)
	}
	f.declare(controllers[0], 5) // acknowledged, and overtaken
	if got := f.readDocumentNumber(controllers[1]); got != 7 {
		t.Errorf("an older document is in force: %d", got)
	}
	f.declare(controllers[2], 9)
	f.waitFor("the entry has document 9", func() bool { return e.view.Load().Catalog.Number == 9 })
}

// A controller that lost its disk comes back under a new identity, and one that
// is gone for good is replaced by one at another address.
func TestControllersWithLostDisksAreReplaced(t *testing.T) {
	f := newFleet(t, 72)
	var controllers []*Controller
	for n := 1; n <= 5; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	f.declare(controllers[0], 3)
	f.waitForVoters(controllers[0], 5)
	oldMember := controllers[1].store.member
	f.stop("vm2")
	f.deleteData(2)
	restarted := f.startController(2, false)
	if restarted.store.member == oldMember {
		t.Fatal("an empty disk has the identity of its former self")
	}
	f.waitFor("the new identity votes in place of the old one", func() bool {
		set := controllers[0].group.View().Config
		return set.HasVoter(restarted.store.member) && !set.HasVoter(oldMember) && len(set.Voters) == 5
	})
	if got := f.readDocumentNumber(restarted); got != 3 {
		t.Errorf("the wiped controller reads %d", got)
	}
	lostMember := controllers[4].store.member
	f.stop("vm5")
	successor := f.startController(7, false)
	f.waitFor("the successor votes in place of the lost one", func() bool {
		set := controllers[0].group.View().Config
		return set.HasVoter(successor.store.member) && !set.HasVoter(lostMember) && len(set.Voters) == 5
	})
}

// All controllers stop at once and start again: nothing acknowledged is lost,
// and an entry that was there all the while never goes back.
func TestRestartOfAllControllers(t *testing.T) {
	f := newFleet(t, 73)
	first := f.startController(1, true)
	for n := 2; n <= 5; n++ {
		f.startController(n, true)
	}
	e := f.startEntry(6)
	f.declare(first, 3)
	f.waitForVoters(first, 5)
	f.declare(first, 8)
	f.waitFor("the entry has document 8", func() bool { v := e.view.Load(); return v != nil && v.Catalog != nil && v.Catalog.Number == 8 })
	for _, name := range []string{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		f.stop(name)
	}
	var restarted *Controller
	for n := 1; n <= 5; n++ {
		restarted = f.startController(n, false)
	}
	if got := f.readDocumentNumber(restarted); got != 8 {
		t.Errorf("read %d after the restart", got)
	}
	if got := e.view.Load().Catalog.Number; got != 8 {
		t.Errorf("the entry went back to %d", got)
	}
	f.declare(restarted, 9)
	f.waitFor("the entry has document 9", func() bool { return e.view.Load().Catalog.Number == 9 })
}

// An entry moves to another controller when its own goes, and an entry that
// starts late has the list though it does not change any more.
func TestEntriesSwitchControllers(t *testing.T) {
	f := newFleet(t, 74)
	var controllers []*Controller
	for n := 1; n <= 3; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	f.declare(controllers[0], 1)
	e := f.startEntry(6)
	f.waitFor("the entry is ready", e.Ready)
	lateEntry := f.startEntry(7)
	f.waitFor("the late entry is ready", lateEntry.Ready)
	f.stop("vm1")
	f.declare(controllers[1], 2)
	for _, entry := range []*Entry{e, lateEntry} {
		f.waitFor("document 2 is in force", func() bool { return entry.view.Load().Catalog.Number == 2 })
	}
	f.lister.setUpstreams(persimmoncross.Upstream{
		Incarnation: "u1",
		Service:     "s",
		Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		Draining:    true,
	})
	f.waitFor("the upstream leaves", func() bool { return lateEntry.view.Load().Targets["s"][0].IsDraining(time.Now()) })
}

// A list that is older than the one in force is not taken, and is not lost:
// the controller sends it once only.
func TestOlderListIsDeferred(t *testing.T) {
	e := newFleet(t, 75).stoppedEntry()
	e.listReadAt = e.Clock.Now().Add(-time.Minute)
	f := &follower{
		ApplyUpdate: e.applyUpdate,
	}
	a := &controllerStream{}
	list := []*wire.Upstream{
		{
			Incarnation: "u1",
			Service:     "s",
			Address:     "127.0.0.1:1",
		},
	}
	a.handleUpdate(f, &wire.Update{
		Listed:    true,
		Upstreams: list,
		Age:       int64(time.Hour),
	})
	if e.targets != nil {
		t.Fatal("a list was taken that is older than the one in force")
	}
	a.handleUpdate(f, &wire.Update{}) // read again just now, and unchanged
	if len(e.targets["s"]) != 1 {
		t.Error("the list was lost")
	}
	if a.listUnapplied {
		t.Error("a list that was taken is handed on again")
	}
}

// stoppedEntry returns an entry that does not run.
func (f *fleet) stoppedEntry() *Entry {
	e := f.startEntry(6)
	f.stop("vm6")
	return e
}

// A state from a controller that lags changes nothing.
func TestOlderStateIsIgnored(t *testing.T) {
	e := newFleet(t, 76).stoppedEntry()
	sendUpdate := func(index, number uint64) {
		e.applyUpdate(&wire.Update{
			Index: index,
			State: register.EncodeHead(&register.State{
				Index:  index,
				Number: number,
			}),
			Age: -1,
		})
		e.applyDocument(number, []byte{byte('0' + number)})
	}
	sendUpdate(10, 5)
	sendUpdate(9, 4)
	sendUpdate(12, 3) // of a fleet that lost what it had
	if got := e.view.Load().Catalog.Number; got != 5 {
		t.Errorf("document %d is in force", got)
	}
	sendUpdate(13, 6)
	if got := e.view.Load().Catalog.Number; got != 6 {
		t.Errorf("document %d is in force", got)
	}
}

// Followers spread over the controllers, and the one that failed comes last.
func TestFollowerTargets(t *testing.T) {
	controllers := []string{"a", "b", "c"}
	firstTargetCounts := map[string]int{}
	for i := range 300 {
		f := &follower{
			Name:        "entry" + string(rune('a'+i%26)) + string(rune('a'+i/26)),
			Seeds:       func() []string { return []string{"c", "d"} },
			controllers: controllers,
		}
		targets := f.candidates()
		if len(targets) != 4 {
			t.Fatalf("targets %v", targets)
		}
		firstTargetCounts[targets[0]]++
		f.setFailed(targets[0])
		if retried := f.candidates(); retried[3] != targets[0] || !slices.Equal(retried[:3], targets[1:]) {
			t.Fatalf("targets %v, after the first failed %v", targets, retried)
		}
	}
	for name, n := range firstTargetCounts {
		if n < 30 {
			t.Errorf("%s is followed first by %d of 300", name, n)
		}
	}
}

// The evidence of an entry that is gone still counts, and its presence does not.
func TestRecentAccounts(t *testing.T) {
	h := newPublisher(persimmoncross.SystemClock{})
	h.receiveReport(&wire.Account{
		Vm:    "a",
		Entry: true,
		Trials: []*wire.Trial{
			{
				Service: "s",
				Version: "v2",
				Route:   "r",
				Order:   4,
				Runs:    10,
				Failed:  6,
			},
		},
	})
	h.receiveReport(&wire.Account{
		Vm:    "b",
		Entry: true,
	})
	now := h.clock.Now()
	if _, n := h.currentReports(now); n != 2 {
		t.Errorf("%d entries, want 2", n)
	}
	accounts, n := h.currentReports(now.Add(2 * presenceTimeout))
	if n != 0 {
		t.Errorf("%d entries, want none", n)
	}
	p := sumCanaryStats(register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   4,
	}, accounts)
	if c := p.New["r"]; c.Answers != 10 || c.Failed != 6 {
		t.Errorf("counted: %+v", c)
	}
	if accounts, _ := h.currentReports(now.Add(2 * canaryStatsRetention)); len(accounts) != 0 {
		t.Error("counts are kept for ever")
	}
}

// A jump of the time of day does not move an upgrade that this process saw
// begin; after a gap the time of day is all there is.
func TestUpgradeElapsedTime(t *testing.T) {
	now := time.Now()
	u := register.Upgrade{
		Order:    3,
		Duration: 20 * time.Second,
		Began:    now.Add(-7 * time.Second).UnixMilli(), // by a clock that was set back
	}
	watchedFromStart := &upgradeTracker{
		hasFollowedLog: true,
	}
	if got := watchedFromStart.elapsed(u, now); got != 0 {
		t.Errorf("%v have passed of an upgrade that has just begun", got)
	}
	if got := watchedFromStart.elapsed(u, now.Add(4*time.Second)); got != 4*time.Second {
		t.Errorf("%v have passed, want 4 s", got)
	}
	u.Order = 5
	u.Began = now.Add(-150 * time.Millisecond).UnixMilli()
	if got := watchedFromStart.elapsed(u, now); got < 149*time.Millisecond || got > 151*time.Millisecond {
		t.Errorf("%v have passed at the first look at an order of 150 ms before", got)
	}
	u.Order = 3
	u.Began = now.Add(-7 * time.Second).UnixMilli()
	watchedLate := &upgradeTracker{}
	if got := watchedLate.elapsed(u, now); got < 6*time.Second || got > 8*time.Second {
		t.Errorf("%v have passed of an upgrade that was found after a start", got)
	}
	u.Order = 4
	u.Began = now.Add(time.Hour).UnixMilli()
	if got := watchedLate.elapsed(u, now); got != 0 {
		t.Errorf("%v have passed by a clock that makes no sense", got)
	}
}

// A follower that has the list is sent only what changed, and ends up with the
// same list; one that lags too far behind is sent all of it.
func TestListDeltas(t *testing.T) {
	h := newPublisher(persimmoncross.SystemClock{})
	newUpstream := func(id string, leaving bool) persimmoncross.Upstream {
		return persimmoncross.Upstream{
			Incarnation: id,
			Service:     "s",
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
			Draining:    leaving,
		}
	}
	var got []persimmoncross.Upstream
	f := &follower{
		ApplyUpdate: func(u *wire.Update) bool {
			if u.GetListed() {
				got = upstreamsOf(u)
			}
			return true
		},
	}
	a := &controllerStream{}
	s := &followerState{}
	var update *wire.Update
	sendUpdate := func() {
		update, _ = h.nextUpdate(s, true, nil)
		a.handleUpdate(f, update)
	}
	list := []persimmoncross.Upstream{newUpstream("a", false), newUpstream("b", false), newUpstream("c", false)}
	h.setList(list, time.Now())
	sendUpdate()
	for _, next := range [][]persimmoncross.Upstream{
		{newUpstream("a", true), newUpstream("b", false), newUpstream("c", false)},
		{newUpstream("b", false), newUpstream("c", false), newUpstream("d", false)},
		{newUpstream("a", false), newUpstream("d", true)},
	} {
		h.setList(next, time.Now())
		u, _ := h.nextUpdate(s, true, nil)
		if !u.GetPartial() || len(u.GetUpstreams()) >= 3 {
			t.Errorf("the whole list was sent: %v", u)
		}
		a.handleUpdate(f, u)
		if !slices.EqualFunc(got, next, equalUpstream) {
			t.Fatalf("the follower has %v, want %v", got, next)
		}
	}
	h.setList([]persimmoncross.Upstream{newUpstream("a", false), newUpstream("e", false)}, time.Now())
	h.setList([]persimmoncross.Upstream{newUpstream("a", true), newUpstream("f", false)}, time.Now())
	h.setList([]persimmoncross.Upstream{newUpstream("a", true), newUpstream("e", true)}, time.Now())
	h.setList([]persimmoncross.Upstream{newUpstream("a", true), newUpstream("f", false)}, time.Now())
	sendUpdate() // several changes at once, of one that comes, goes and comes again
	if !slices.EqualFunc(got, []persimmoncross.Upstream{newUpstream("a", true), newUpstream("f", false)}, equalUpstream) {
		t.Fatalf("after two changes the follower has %v", got)
	}
	for i := range 2 * maxRecentDeltas {
		h.setList([]persimmoncross.Upstream{newUpstream("a", i%2 == 0), newUpstream("g", false)}, time.Now())
	}
	u, _ := h.nextUpdate(s, true, nil)
	if u.GetPartial() {
		t.Error("changes were sent that are not kept any more")
	}
	a.handleUpdate(f, u)
	if !slices.EqualFunc(got, []persimmoncross.Upstream{newUpstream("a", false), newUpstream("g", false)}, equalUpstream) {
		t.Fatalf("after the whole list the follower has %v", got)
	}
}

// An entry reads the list itself soon where no controller's state is recent, and
// later where one is: the leader is about to.
func TestOwnListIsReadAsLastResort(t *testing.T) {
	e := newFleet(t, 78).stoppedEntry()
	now := e.Clock.Now()
	e.startedAt = now
	e.listReadAt = time.Time{}
	drain := e.Site.Bounds.Drain
	if e.isListStale(now.Add(drain / 4)) {
		t.Error("the list is read at once after a start")
	}
	if !e.isListStale(now.Add(drain / 2)) {
		t.Error("without controllers the list is not read")
	}
	e.leasedAt = now.Add(drain / 2)
	if e.isListStale(now.Add(drain / 2)) {
		t.Error("the list is read though a controller is about to send it")
	}
	e.leasedAt = now.Add(drain * 3 / 4)
	if !e.isListStale(now.Add(drain * 3 / 4)) {
		t.Error("the list is not read though the controllers do not")
	}
	e.listReadAt = now.Add(drain * 3 / 4)
	if e.isListStale(now.Add(drain)) {
		t.Error("a fresh list is read")
	}
}

// Where there is nobody to ask yet, the search ends at once, so that the next
// one finds a leader as soon as it is elected.
func TestSearchWithoutTargets(t *testing.T) {
	f := &follower{
		Clock: noWaitClock{
			t: t,
		},
		OnlyController: func() string { return "" },
	}
	if got := f.findController(t.Context()); got != nil {
		t.Errorf("found %v", got)
	}
}

// noWaitClock is a clock on which nobody may wait.
type noWaitClock struct{ t *testing.T }

func (c noWaitClock) Now() time.Time { return time.Unix(0, 0) }

func (c noWaitClock) After(d time.Duration) <-chan time.Time {
	c.t.Errorf("waits for %v", d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// What was seen: after a loss of all a fleet of 298 VMs before 2,997 upstreams took 8 to
// 30 s until it served again, and its entries logged readings of the list that came to no
// end, also in calm seconds. An entry reads the list itself where what controllers send
// is old. One reading of that list is 60 calls; all entries together may make 680 a second,
// and 293 entries asked for them at once: nobody's reading came to its end, the leader's
// neither, so that the list was old for all.
//
// However large the fleet, its entries leave most of the calls to the leader; where all
// can read the list in time, nothing is changed.
func TestOwnListReadsAreRateLimited(t *testing.T) {
	const drain = 4 * time.Second
	for _, tt := range []struct {
		entries, upstreams int
		maxCallsPerSecond  float64
		unlimited          bool
	}{
		{entries: 8, upstreams: 16, maxCallsPerSecond: 44, unlimited: true},
		{entries: 74, upstreams: 116, maxCallsPerSecond: 310, unlimited: true},
		{entries: 195, upstreams: 123, maxCallsPerSecond: 680, unlimited: true},
		{entries: 293, upstreams: 2997, maxCallsPerSecond: 680},
		{entries: 380, upstreams: 4100, maxCallsPerSecond: 680},
		{entries: 380, upstreams: 0, maxCallsPerSecond: 44}, // not known yet
		{entries: 0, upstreams: 0, maxCallsPerSecond: 44, unlimited: true},
		{entries: 8, upstreams: 16, maxCallsPerSecond: 0, unlimited: true}, // no bound is told
	} {
		pause := fallbackReadInterval(tt.entries, tt.upstreams, tt.maxCallsPerSecond, drain)
		if (pause == 0) != tt.unlimited {
			t.Errorf("%+v: %v", tt, pause)
		}
		if tt.unlimited {
			continue
		}
		callsPerSecond := float64(tt.entries*max((tt.upstreams+listPageSize-1)/listPageSize, 1)) / pause.Seconds()
		if callsPerSecond > fallbackRateFraction*tt.maxCallsPerSecond+1 {
			t.Errorf("%+v: %.0f calls a second", tt, callsPerSecond)
		}
	}
}
