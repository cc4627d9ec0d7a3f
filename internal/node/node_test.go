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
func TestFleetFindsItself(t *testing.T) {
	f := newFleet(t, 71)
	var all []*Controller
	for n := 1; n <= 5; n++ {
		all = append(all, f.controller(n, true))
	}
	e := f.entry(6)
	f.declare(all[4], 7)
	for _, c := range all {
		f.voters(c, 5)
		if got := f.read(c); got != 7 {
			t.Errorf("%s reads %d", c.Site.Name, got)
		}
	}
	f.await("the entry has document and list", e.Ready)
	if n := e.view.Load().Catalog.Number; n != 7 {
		t.Errorf("the entry has document %d", n)
	}
	f.declare(all[0], 5) // acknowledged, and overtaken
	if got := f.read(all[1]); got != 7 {
		t.Errorf("an older document is in force: %d", got)
	}
	f.declare(all[2], 9)
	f.await("the entry has document 9", func() bool { return e.view.Load().Catalog.Number == 9 })
}

// A controller that lost its disk comes back under a new identity, and one that
// is gone for good is replaced by one at another address.
func TestLostDisksAreReplaced(t *testing.T) {
	f := newFleet(t, 72)
	var all []*Controller
	for n := 1; n <= 5; n++ {
		all = append(all, f.controller(n, true))
	}
	f.declare(all[0], 3)
	f.voters(all[0], 5)
	old := all[1].store.member
	f.stop("vm2")
	f.wipe(2)
	back := f.controller(2, false)
	if back.store.member == old {
		t.Fatal("an empty disk has the identity of its former self")
	}
	f.await("the new identity votes in place of the old one", func() bool {
		set := all[0].group.View().Set
		return set.Has(back.store.member) && !set.Has(old) && len(set.Voters) == 5
	})
	if got := f.read(back); got != 3 {
		t.Errorf("the wiped controller reads %d", got)
	}
	gone := all[4].store.member
	f.stop("vm5")
	other := f.controller(7, false)
	f.await("the successor votes in place of the lost one", func() bool {
		set := all[0].group.View().Set
		return set.Has(other.store.member) && !set.Has(gone) && len(set.Voters) == 5
	})
}

// All controllers stop at once and start again: nothing acknowledged is lost,
// and an entry that was there all the while never goes back.
func TestRestartOfAll(t *testing.T) {
	f := newFleet(t, 73)
	first := f.controller(1, true)
	for n := 2; n <= 5; n++ {
		f.controller(n, true)
	}
	e := f.entry(6)
	f.declare(first, 3)
	f.voters(first, 5)
	f.declare(first, 8)
	f.await("the entry has document 8", func() bool { v := e.view.Load(); return v != nil && v.Catalog != nil && v.Catalog.Number == 8 })
	for _, name := range []string{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		f.stop(name)
	}
	var again *Controller
	for n := 1; n <= 5; n++ {
		again = f.controller(n, false)
	}
	if got := f.read(again); got != 8 {
		t.Errorf("read %d after the restart", got)
	}
	if got := e.view.Load().Catalog.Number; got != 8 {
		t.Errorf("the entry went back to %d", got)
	}
	f.declare(again, 9)
	f.await("the entry has document 9", func() bool { return e.view.Load().Catalog.Number == 9 })
}

// An entry moves to another controller when its own goes, and an entry that
// starts late has the list though it does not change any more.
func TestEntriesFollowAnother(t *testing.T) {
	f := newFleet(t, 74)
	var all []*Controller
	for n := 1; n <= 3; n++ {
		all = append(all, f.controller(n, true))
	}
	f.declare(all[0], 1)
	e := f.entry(6)
	f.await("the entry is ready", e.Ready)
	late := f.entry(7)
	f.await("the late entry is ready", late.Ready)
	f.stop("vm1")
	f.declare(all[1], 2)
	for _, x := range []*Entry{e, late} {
		f.await("document 2 is in force", func() bool { return x.view.Load().Catalog.Number == 2 })
	}
	f.list.set(persimmoncross.Upstream{
		Incarnation: "u1",
		Service:     "s",
		Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		Leaving:     true,
	})
	f.await("the upstream leaves", func() bool { return late.view.Load().Targets["s"][0].Leaves(time.Now()) })
}

// A list that is older than the one in force is not taken, and is not lost:
// the controller sends it once only.
func TestOldListIsKept(t *testing.T) {
	e := newFleet(t, 75).entryAlone()
	e.listRead = e.Clock.Now().Add(-time.Minute)
	f := &follower{
		Take: e.take,
	}
	a := &found{}
	list := []*wire.Upstream{
		{
			Incarnation: "u1",
			Service:     "s",
			Address:     "127.0.0.1:1",
		},
	}
	a.take(f, &wire.Update{
		Listed:    true,
		Upstreams: list,
		Age:       int64(time.Hour),
	})
	if e.targets != nil {
		t.Fatal("a list was taken that is older than the one in force")
	}
	a.take(f, &wire.Update{}) // read again just now, and unchanged
	if len(e.targets["s"]) != 1 {
		t.Error("the list was lost")
	}
	if a.waits {
		t.Error("a list that was taken is handed on again")
	}
}

// entryAlone returns an entry that does not run.
func (f *fleet) entryAlone() *Entry {
	e := f.entry(6)
	f.stop("vm6")
	return e
}

// A state from a controller that lags changes nothing.
func TestStatesNeverGoBack(t *testing.T) {
	e := newFleet(t, 76).entryAlone()
	update := func(index, number uint64) {
		e.take(&wire.Update{
			Index: index,
			State: register.EncodeHead(&register.State{
				Index:  index,
				Number: number,
			}),
			Age: -1,
		})
		e.takeDocument(number, []byte{byte('0' + number)})
	}
	update(10, 5)
	update(9, 4)
	update(12, 3) // of a fleet that lost what it had
	if got := e.view.Load().Catalog.Number; got != 5 {
		t.Errorf("document %d is in force", got)
	}
	update(13, 6)
	if got := e.view.Load().Catalog.Number; got != 6 {
		t.Errorf("document %d is in force", got)
	}
}

// Followers spread over the controllers, and the one that failed comes last.
func TestTargets(t *testing.T) {
	controllers := []string{"a", "b", "c"}
	firsts := map[string]int{}
	for i := range 300 {
		f := &follower{
			Name:        "entry" + string(rune('a'+i%26)) + string(rune('a'+i/26)),
			Seeds:       func() []string { return []string{"c", "d"} },
			controllers: controllers,
		}
		names := f.targets()
		if len(names) != 4 {
			t.Fatalf("targets %v", names)
		}
		firsts[names[0]]++
		f.blame(names[0])
		if again := f.targets(); again[3] != names[0] || !slices.Equal(again[:3], names[1:]) {
			t.Fatalf("targets %v, after the first failed %v", names, again)
		}
	}
	for name, n := range firsts {
		if n < 30 {
			t.Errorf("%s is followed first by %d of 300", name, n)
		}
	}
}

// The evidence of an entry that is gone still counts, and its presence does not.
func TestAccounts(t *testing.T) {
	h := newHub(persimmoncross.SystemClock{})
	h.take(&wire.Account{
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
	h.take(&wire.Account{
		Vm:    "b",
		Entry: true,
	})
	now := h.clock.Now()
	if _, n := h.recent(now); n != 2 {
		t.Errorf("%d entries, want 2", n)
	}
	accounts, n := h.recent(now.Add(2 * accountAge))
	if n != 0 {
		t.Errorf("%d entries, want none", n)
	}
	p := pool(register.Upgrade{
		Service: "s",
		Target:  "v2",
		Order:   4,
	}, accounts)
	if c := p.New["r"]; c.Runs != 10 || c.Failed != 6 {
		t.Errorf("counted: %+v", c)
	}
	if accounts, _ := h.recent(now.Add(2 * trialAge)); len(accounts) != 0 {
		t.Error("counts are kept for ever")
	}
}

// A jump of the time of day does not move an upgrade that this process saw
// begin; after a gap the time of day is all there is.
func TestElapsedOfUpgrades(t *testing.T) {
	now := time.Now()
	u := register.Upgrade{
		Order:    3,
		Duration: 20 * time.Second,
		Began:    now.Add(-7 * time.Second).UnixMilli(), // by a clock that was set back
	}
	live := &upgradeWatch{
		current: true,
	}
	if got := live.elapsed(u, now); got != 0 {
		t.Errorf("%v have passed of an upgrade that has just begun", got)
	}
	if got := live.elapsed(u, now.Add(4*time.Second)); got != 4*time.Second {
		t.Errorf("%v have passed, want 4 s", got)
	}
	u.Order = 5
	u.Began = now.Add(-150 * time.Millisecond).UnixMilli()
	if got := live.elapsed(u, now); got < 149*time.Millisecond || got > 151*time.Millisecond {
		t.Errorf("%v have passed at the first look at an order of 150 ms before", got)
	}
	u.Order = 3
	u.Began = now.Add(-7 * time.Second).UnixMilli()
	late := &upgradeWatch{}
	if got := late.elapsed(u, now); got < 6*time.Second || got > 8*time.Second {
		t.Errorf("%v have passed of an upgrade that was found after a start", got)
	}
	u.Order = 4
	u.Began = now.Add(time.Hour).UnixMilli()
	if got := late.elapsed(u, now); got != 0 {
		t.Errorf("%v have passed by a clock that makes no sense", got)
	}
}

// A follower that has the list is sent only what changed, and ends up with the
// same list; one that lags too far behind is sent all of it.
func TestListChanges(t *testing.T) {
	h := newHub(persimmoncross.SystemClock{})
	upstream := func(id string, leaving bool) persimmoncross.Upstream {
		return persimmoncross.Upstream{
			Incarnation: id,
			Service:     "s",
			Address:     netip.MustParseAddrPort("127.0.0.1:1"),
			Leaving:     leaving,
		}
	}
	var got []persimmoncross.Upstream
	f := &follower{
		Take: func(u *wire.Update) bool {
			if u.GetListed() {
				got = upstreamsOf(u)
			}
			return true
		},
	}
	a := &found{}
	s := &sent{}
	var last *wire.Update
	tell := func() {
		last, _ = h.next(s, true, nil)
		a.take(f, last)
	}
	list := []persimmoncross.Upstream{upstream("a", false), upstream("b", false), upstream("c", false)}
	h.setList(list, time.Now())
	tell()
	for _, next := range [][]persimmoncross.Upstream{
		{upstream("a", true), upstream("b", false), upstream("c", false)},
		{upstream("b", false), upstream("c", false), upstream("d", false)},
		{upstream("a", false), upstream("d", true)},
	} {
		h.setList(next, time.Now())
		u, _ := h.next(s, true, nil)
		if !u.GetPartial() || len(u.GetUpstreams()) >= 3 {
			t.Errorf("the whole list was sent: %v", u)
		}
		a.take(f, u)
		if !slices.EqualFunc(got, next, sameUpstream) {
			t.Fatalf("the follower has %v, want %v", got, next)
		}
	}
	h.setList([]persimmoncross.Upstream{upstream("a", false), upstream("e", false)}, time.Now())
	h.setList([]persimmoncross.Upstream{upstream("a", true), upstream("f", false)}, time.Now())
	h.setList([]persimmoncross.Upstream{upstream("a", true), upstream("e", true)}, time.Now())
	h.setList([]persimmoncross.Upstream{upstream("a", true), upstream("f", false)}, time.Now())
	tell() // several changes at once, of one that comes, goes and comes again
	if !slices.EqualFunc(got, []persimmoncross.Upstream{upstream("a", true), upstream("f", false)}, sameUpstream) {
		t.Fatalf("after two changes the follower has %v", got)
	}
	for i := range 2 * keptChanges {
		h.setList([]persimmoncross.Upstream{upstream("a", i%2 == 0), upstream("g", false)}, time.Now())
	}
	u, _ := h.next(s, true, nil)
	if u.GetPartial() {
		t.Error("changes were sent that are not kept any more")
	}
	a.take(f, u)
	if !slices.EqualFunc(got, []persimmoncross.Upstream{upstream("a", false), upstream("g", false)}, sameUpstream) {
		t.Fatalf("after the whole list the follower has %v", got)
	}
}

// An entry reads the list itself soon where no controller's state is recent, and
// later where one is: the leader is about to.
func TestOwnListIsLastResort(t *testing.T) {
	e := newFleet(t, 78).entryAlone()
	now := e.Clock.Now()
	e.started = now
	e.listRead = time.Time{}
	drain := e.Site.Bounds.Drain
	if e.listIsOld(now.Add(drain / 4)) {
		t.Error("the list is read at once after a start")
	}
	if !e.listIsOld(now.Add(drain / 2)) {
		t.Error("without controllers the list is not read")
	}
	e.leased = now.Add(drain / 2)
	if e.listIsOld(now.Add(drain / 2)) {
		t.Error("the list is read though a controller is about to send it")
	}
	e.leased = now.Add(drain * 3 / 4)
	if !e.listIsOld(now.Add(drain * 3 / 4)) {
		t.Error("the list is not read though the controllers do not")
	}
	e.listRead = now.Add(drain * 3 / 4)
	if e.listIsOld(now.Add(drain)) {
		t.Error("a fresh list is read")
	}
}

// Where there is nobody to ask yet, the search ends at once, so that the next
// one finds a leader as soon as it is elected.
func TestSearchWithoutTargets(t *testing.T) {
	f := &follower{
		Clock: noWaits{
			t: t,
		},
		Only: func() string { return "" },
	}
	if got := f.find(t.Context()); got != nil {
		t.Errorf("found %v", got)
	}
}

// noWaits is a clock on which nobody may wait.
type noWaits struct{ t *testing.T }

func (c noWaits) Now() time.Time { return time.Unix(0, 0) }

func (c noWaits) After(d time.Duration) <-chan time.Time {
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
func TestEntriesLeaveCallsToTheLeader(t *testing.T) {
	const drain = 4 * time.Second
	for _, tt := range []struct {
		entries, upstreams int
		rate               float64
		none               bool
	}{
		{entries: 8, upstreams: 16, rate: 44, none: true},
		{entries: 74, upstreams: 116, rate: 310, none: true},
		{entries: 195, upstreams: 123, rate: 680, none: true},
		{entries: 293, upstreams: 2997, rate: 680},
		{entries: 380, upstreams: 4100, rate: 680},
		{entries: 380, upstreams: 0, rate: 44}, // not known yet
		{entries: 0, upstreams: 0, rate: 44, none: true},
		{entries: 8, upstreams: 16, rate: 0, none: true}, // no bound is told
	} {
		pause := ownListPause(tt.entries, tt.upstreams, tt.rate, drain)
		if (pause == 0) != tt.none {
			t.Errorf("%+v: %v", tt, pause)
		}
		if tt.none {
			continue
		}
		calls := float64(tt.entries*max((tt.upstreams+ownListPage-1)/ownListPage, 1)) / pause.Seconds()
		if calls > ownListPart*tt.rate+1 {
			t.Errorf("%+v: %.0f calls a second", tt, calls)
		}
	}
}
