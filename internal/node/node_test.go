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

// TestFleetBootstrap checks that three initial voters form the fleet, that the other controllers
// become voters, that entries follow, and that acknowledged documents are in force on all.
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
			t.Errorf("%s reads document %d, want 7", c.Site.Name, got)
		}
	}
	f.waitFor("the entry has the document and the list", e.Ready)
	if n := e.view.Load().Catalog.Number; n != 7 {
		t.Errorf("the entry has document %d, want 7", n)
	}
	f.declare(controllers[0], 5) // acknowledged, but older than document 7
	if got := f.readDocumentNumber(controllers[1]); got != 7 {
		t.Errorf("an older document is in force: %d", got)
	}
	f.declare(controllers[2], 9)
	f.waitFor("the entry has document 9", func() bool { return e.view.Load().Catalog.Number == 9 })
}

// TestControllersWithLostDisksAreReplaced checks that a controller which lost its disk rejoins as a
// new member, and that a controller which is lost for good is replaced by one at another address.
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
		t.Fatal("the controller has the same member ID after the loss of its disk")
	}
	f.waitFor("the new member has replaced the old one as a voter", func() bool {
		set := controllers[0].group.View().Config
		return set.HasVoter(restarted.store.member) && !set.HasVoter(oldMember) && len(set.Voters) == 5
	})
	if got := f.readDocumentNumber(restarted); got != 3 {
		t.Errorf("the controller that lost its disk reads %d, want 3", got)
	}
	lostMember := controllers[4].store.member
	f.stop("vm5")
	successor := f.startController(7, false)
	f.waitFor("the successor has replaced the lost controller as a voter", func() bool {
		set := controllers[0].group.View().Config
		return set.HasVoter(successor.store.member) && !set.HasVoter(lostMember) && len(set.Voters) == 5
	})
}

// TestControllerWithGapInLogRejoins guards against a controller whose log has a gap ending at each start.
func TestControllerWithGapInLogRejoins(t *testing.T) {
	f := newFleet(t, 119)
	var controllers []*Controller
	for n := 1; n <= 5; n++ {
		controllers = append(controllers, f.startController(n, true))
	}
	f.declare(controllers[0], 3)
	f.waitForVoters(controllers[0], 5)
	oldMember := controllers[1].store.member
	f.stop("vm2")
	f.cutLog(2)
	restarted := f.startController(2, true)
	if restarted.store.member == oldMember {
		t.Fatal("the controller has the member ID that its votes were given under")
	}
	f.waitFor("the new member has replaced the old one as a voter", func() bool {
		set := controllers[0].group.View().Config
		return set.HasVoter(restarted.store.member) && !set.HasVoter(oldMember) && len(set.Voters) == 5
	})
	if got := f.readDocumentNumber(restarted); got != 3 {
		t.Errorf("the controller reads document %d, want 3", got)
	}
}

// TestRestartOfAllControllers checks that no acknowledged document is lost when all controllers
// stop at once and restart, and that an entry which runs meanwhile never returns to an older
// document.
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
		t.Errorf("read document %d after the restart, want 8", got)
	}
	if got := e.view.Load().Catalog.Number; got != 8 {
		t.Errorf("the entry has document %d after the restart, want 8", got)
	}
	f.declare(restarted, 9)
	f.waitFor("the entry has document 9", func() bool { return e.view.Load().Catalog.Number == 9 })
}

// TestEntriesSwitchControllers checks that an entry switches to another controller when the one it
// follows stops, and that an entry which starts late receives the list although the list does not
// change any more.
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
		Name:     "u1",
		Service:  "s",
		Address:  netip.MustParseAddrPort("127.0.0.1:1"),
		Draining: true,
	})
	f.waitFor("the upstream is draining", func() bool { return lateEntry.view.Load().Targets["s"][0].IsDraining(time.Now()) })
}

// TestOlderListIsDeferred checks that a list which is older than the one in force is not applied,
// but is kept until it is recent enough, because the controller sends it only once.
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
		t.Fatal("a list older than the one in force was applied")
	}
	a.handleUpdate(f, &wire.Update{}) // the list was read again just now, unchanged
	if len(e.targets["s"]) != 1 {
		t.Error("the list was lost")
	}
	if a.listUnapplied {
		t.Error("a list that was applied is still marked as unapplied")
	}
}

// stoppedEntry returns an entry that does not run.
func (f *fleet) stoppedEntry() *Entry {
	e := f.startEntry(6)
	f.stop("vm6")
	return e
}

// TestOlderStateIsIgnored checks that an older state, from a controller that lags, is ignored.
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
	sendUpdate(12, 3) // a newer index with an older document, from a fleet that lost its data
	if got := e.view.Load().Catalog.Number; got != 5 {
		t.Errorf("document %d is in force, want the newest", got)
	}
	sendUpdate(13, 6)
	if got := e.view.Load().Catalog.Number; got != 6 {
		t.Errorf("document %d is in force, want the newest", got)
	}
}

// TestFollowerCandidates checks that followers are spread over the controllers, and that the controller
// that was followed last is tried last.
func TestFollowerCandidates(t *testing.T) {
	controllers := []string{"a", "b", "c"}
	firstCandidateCounts := map[string]int{}
	for i := range 300 {
		f := &follower{
			Name:        "entry" + string(rune('a'+i%26)) + string(rune('a'+i/26)),
			Seeds:       func() []string { return []string{"c", "d"} },
			controllers: controllers,
		}
		candidates := f.candidates()
		if len(candidates) != 4 {
			t.Fatalf("candidates %v, want 4", candidates)
		}
		firstCandidateCounts[candidates[0]]++
		f.setLastFollowed(candidates[0])
		if retried := f.candidates(); retried[3] != candidates[0] || !slices.Equal(retried[:3], candidates[1:]) {
			t.Fatalf("candidates %v, after the first failed %v", candidates, retried)
		}
	}
	for name, n := range firstCandidateCounts {
		if n < 30 {
			t.Errorf("%s is the first candidate of %d followers out of 300, want at least 30", name, n)
		}
	}
}

// TestCurrentReports checks that the canary statistics of an entry that is gone still count, and
// that the entry does not count as present.
func TestCurrentReports(t *testing.T) {
	pub := newPublisher(persimmoncross.SystemClock{})
	pub.receiveReport(&wire.Account{
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
	pub.receiveReport(&wire.Account{
		Vm:    "b",
		Entry: true,
	})
	now := pub.clock.Now()
	if _, n := pub.currentReports(now); n != 2 {
		t.Errorf("%d entries, want 2", n)
	}
	reports, n := pub.currentReports(now.Add(2 * presenceTimeout))
	if n != 0 {
		t.Errorf("%d entries, want none", n)
	}
	evidence := canaryEvidence(register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   4,
	}, reports)
	if c := evidence.New["r"]; c.Answers != 10 || c.Failed != 6 {
		t.Errorf("canary statistics %+v, want 10 answers, 6 failed", c)
	}
	if remainingReports, _ := pub.currentReports(now.Add(2 * canaryStatsRetention)); len(remainingReports) != 0 {
		t.Error("canary statistics are kept after canaryStatsRetention")
	}
}

// TestUpgradeElapsedTime checks that a jump of the wall clock does not change the elapsed time of an
// upgrade whose start this process observed. After a start of the process or a gap in the log
// only the wall clock is available.
func TestUpgradeElapsedTime(t *testing.T) {
	now := time.Now()
	u := register.Upgrade{
		Order:    3,
		Duration: 20 * time.Second,
		Began:    now.Add(-7 * time.Second).UnixMilli(), // written by a clock that had been set back
	}
	trackerFromStart := &upgradeTracker{
		hasFollowedLog: true,
	}
	if got := trackerFromStart.elapsed(u, now); got != 0 {
		t.Errorf("elapsed %v for an upgrade that has just begun, want 0", got)
	}
	if got := trackerFromStart.elapsed(u, now.Add(4*time.Second)); got != 4*time.Second {
		t.Errorf("elapsed %v, want 4 s", got)
	}
	u.Order = 5
	u.Began = now.Add(-150 * time.Millisecond).UnixMilli()
	if got := trackerFromStart.elapsed(u, now); got < 149*time.Millisecond || got > 151*time.Millisecond {
		t.Errorf("elapsed %v when an upgrade that began 150 ms ago is first seen", got)
	}
	u.Order = 3
	u.Began = now.Add(-7 * time.Second).UnixMilli()
	lateTracker := &upgradeTracker{}
	if got := lateTracker.elapsed(u, now); got < 6*time.Second || got > 8*time.Second {
		t.Errorf("elapsed %v for an upgrade found after a start of the process, want about 7 s", got)
	}
	u.Order = 4
	u.Began = now.Add(time.Hour).UnixMilli()
	if got := lateTracker.elapsed(u, now); got != 0 {
		t.Errorf("elapsed %v for an upgrade that begins in the future, want 0", got)
	}
}

// TestListDeltas checks that a follower which has the list is sent only the changes and ends up with
// the same list, and that a follower which lags too far behind is sent the whole list.
func TestListDeltas(t *testing.T) {
	pub := newPublisher(persimmoncross.SystemClock{})
	newUpstream := func(id string, leaving bool) persimmoncross.Upstream {
		return persimmoncross.Upstream{
			Name:     id,
			Service:  "s",
			Address:  netip.MustParseAddrPort("127.0.0.1:1"),
			Draining: leaving,
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
		update, _ = pub.nextUpdate(s, true, nil)
		a.handleUpdate(f, update)
	}
	list := []persimmoncross.Upstream{newUpstream("a", false), newUpstream("b", false), newUpstream("c", false)}
	pub.setList(list, time.Now())
	sendUpdate()
	for _, next := range [][]persimmoncross.Upstream{
		{newUpstream("a", true), newUpstream("b", false), newUpstream("c", false)},
		{newUpstream("b", false), newUpstream("c", false), newUpstream("d", false)},
		{newUpstream("a", false), newUpstream("d", true)},
	} {
		pub.setList(next, time.Now())
		u, _ := pub.nextUpdate(s, true, nil)
		if !u.GetPartial() || len(u.GetUpstreams()) >= 3 {
			t.Errorf("the whole list was sent: %v", u)
		}
		a.handleUpdate(f, u)
		if !slices.EqualFunc(got, next, equalUpstream) {
			t.Fatalf("the follower has %v, want %v", got, next)
		}
	}
	pub.setList([]persimmoncross.Upstream{newUpstream("a", false), newUpstream("e", false)}, time.Now())
	pub.setList([]persimmoncross.Upstream{newUpstream("a", true), newUpstream("f", false)}, time.Now())
	pub.setList([]persimmoncross.Upstream{newUpstream("a", true), newUpstream("e", true)}, time.Now())
	pub.setList([]persimmoncross.Upstream{newUpstream("a", true), newUpstream("f", false)}, time.Now())
	sendUpdate() // several changes at once, with an upstream that is added, removed and added again
	if !slices.EqualFunc(got, []persimmoncross.Upstream{newUpstream("a", true), newUpstream("f", false)}, equalUpstream) {
		t.Fatalf("after several changes at once the follower has %v", got)
	}
	for i := range 2 * maxRecentDeltas {
		pub.setList([]persimmoncross.Upstream{newUpstream("a", i%2 == 0), newUpstream("g", false)}, time.Now())
	}
	u, _ := pub.nextUpdate(s, true, nil)
	if u.GetPartial() {
		t.Error("a partial list was sent for changes that are not kept any more")
	}
	a.handleUpdate(f, u)
	if !slices.EqualFunc(got, []persimmoncross.Upstream{newUpstream("a", false), newUpstream("g", false)}, equalUpstream) {
		t.Fatalf("after the whole list the follower has %v", got)
	}
}

// TestFallbackListIsReadAsLastResort checks that an entry reads the list itself early if it follows no
// controller with a recent state, and later if it does, because the leader is about to read the
// list then.
func TestFallbackListIsReadAsLastResort(t *testing.T) {
	e := newFleet(t, 78).stoppedEntry()
	now := e.Clock.Now()
	e.startedAt = now
	e.listReadAt = time.Time{}
	drain := e.Site.Bounds.Drain
	if e.isListStale(now.Add(drain / 4)) {
		t.Error("the list is read immediately after a start")
	}
	if !e.isListStale(now.Add(drain / 2)) {
		t.Error("without controllers the list is not read")
	}
	e.leasedAt = now.Add(drain / 2)
	if e.isListStale(now.Add(drain / 2)) {
		t.Error("the list is read although a controller is about to send it")
	}
	e.leasedAt = now.Add(drain * 3 / 4)
	if !e.isListStale(now.Add(drain * 3 / 4)) {
		t.Error("the list is not read although the controllers don't send it")
	}
	e.listReadAt = now.Add(drain * 3 / 4)
	if e.isListStale(now.Add(drain)) {
		t.Error("a fresh list is read")
	}
}

// TestSearchWithoutCandidates checks that a search without candidates ends at once, so that the next
// search finds a leader as soon as it is elected.
func TestSearchWithoutCandidates(t *testing.T) {
	f := &follower{
		Clock: noWaitClock{
			t: t,
		},
		OnlyController: func() string { return "" },
	}
	if got := f.findController(t.Context()); got != nil {
		t.Errorf("found %v without candidates", got)
	}
}

// noWaitClock is a clock that fails the test if something waits on it.
type noWaitClock struct{ t *testing.T }

func (c noWaitClock) Now() time.Time { return time.Unix(0, 0) }

func (c noWaitClock) After(d time.Duration) <-chan time.Time {
	c.t.Errorf("the search waits for %v", d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// TestFallbackListReadsAreRateLimited guards against entries that read the list themselves and use up
// the allowed calls. After the loss of all VMs, a fleet of 298 VMs with 2,997 upstreams took 8 to
// 30 s until it served again, and its entries logged reads of the list that did not complete, also
// in periods without faults. An entry reads the list itself when the list from the controllers is
// old. A read of that list takes 60 calls, and all entries together may make 680 calls a second.
// With 293 entries reading at once no read completed, nor did the leader's, so the list was old
// at all entries.
//
// Therefore the entries of a fleet of any size leave most of the calls to the leader. If all
// entries can read the list in time, their reads are not limited.
func TestFallbackListReadsAreRateLimited(t *testing.T) {
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
		{entries: 380, upstreams: 0, maxCallsPerSecond: 44}, // the number of upstreams is not known yet
		{entries: 0, upstreams: 0, maxCallsPerSecond: 44, unlimited: true},
		{entries: 8, upstreams: 16, maxCallsPerSecond: 0, unlimited: true}, // no limit of calls is configured
	} {
		interval := fallbackReadInterval(tt.entries, tt.upstreams, tt.maxCallsPerSecond, drain)
		if (interval == 0) != tt.unlimited {
			t.Errorf("%+v: interval %v", tt, interval)
		}
		if tt.unlimited {
			continue
		}
		callsPerSecond := float64(tt.entries*max((tt.upstreams+listPageSize-1)/listPageSize, 1)) / interval.Seconds()
		if callsPerSecond > fallbackRateFraction*tt.maxCallsPerSecond+1 {
			t.Errorf("%+v: %.0f calls a second", tt, callsPerSecond)
		}
	}
}
