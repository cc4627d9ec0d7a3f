package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmoncross/io/protocol/wire"
)

// Promise to callers: while entries reach no upstream, from lossSettleTime after the loss began
// their requests are served at the first attempt at least minServedRatio times as often as those
// at the other entries, unless at most maxFailedBase and maxFailedFraction of them fail.
const (
	lossSettleTime    = 3 * time.Second
	minServedRatio    = 2.0 / 3
	maxFailedBase     = 10
	maxFailedFraction = 0.02
)

// attemptCounts counts the first attempts at some entries.
type attemptCounts struct{ sent, served int }

// sendDuring sends requests to all entries in turn for the duration, and counts those that were
// sent after lossSettleTime, at the entries that have lost their paths and at the others. Each
// request is sent on a route of its own kind in turn.
func sendDuring(duration time.Duration, interval time.Duration, entries []*Entry, lost map[*Entry]bool) (without, with attemptCounts) {
	routes := []string{"stream", "safe", "once"}
	var group sync.WaitGroup
	var mu sync.Mutex // guards without and with
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		e, counted := entries[i%len(entries)], time.Since(start) >= lossSettleTime
		group.Go(func() {
			recorder, refusal := sendRequest(e, routes[(i/len(entries))%len(routes)], fmt.Sprint("x", i))
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			counts := &with
			if lost[e] {
				counts = &without
			}
			counts.sent++
			if refusal == nil && recorder.status == 200 {
				counts.served++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return without, with
}

func (c attemptCounts) failed() int { return c.sent - c.served }

// checkServed checks the promise to callers.
func checkServed(t *testing.T, without, with attemptCounts) {
	t.Helper()
	if without.sent == 0 || with.sent > 0 && with.served == 0 {
		t.Fatalf("nothing to compare: %+v, others %+v", without, with)
	}
	share, others := float64(without.served)/float64(without.sent), 1.0
	if with.sent > 0 {
		others = float64(with.served) / float64(with.sent)
	}
	if share < minServedRatio*others && float64(without.failed()) > maxFailedBase+maxFailedFraction*float64(without.sent) {
		t.Errorf("entries that reach no upstream served %d of %d first attempts, the others %d of %d", without.served, without.sent, with.served, with.sent)
	}
}

// startEntryWithPaths starts an entry in the data centre, with paths to upstreams that a test can
// take away.
func (f *fleet) startEntryWithPaths(n int, dataCentre string) (*Entry, *lossyPaths) {
	paths := &lossyPaths{}
	site := f.siteSettings(n, true)
	site.DataCentre = dataCentre
	return f.startEntryWith(site, func(e *Entry) { e.DialUpstream = paths.dial }), paths
}

// lostPathsFleet is a running fleet of three controllers and six entries, three in each of two
// data centres.
type lostPathsFleet struct {
	*fleet
	upstreams *fakeUpstreamSet
	entries   []*Entry
	paths     map[*Entry]*lossyPaths
}

func newLostPathsFleet(t *testing.T, subnet int) *lostPathsFleet {
	t.Helper()
	f := &lostPathsFleet{
		fleet: newFleet(t, subnet),
		paths: map[*Entry]*lossyPaths{},
	}
	f.upstreams = newFakeUpstreams(t, f.lister, 6)
	var lastController *Controller
	for n := 1; n <= 3; n++ {
		lastController = f.startController(n, true)
	}
	for n := 4; n <= 9; n++ {
		e, paths := f.startEntryWithPaths(n, []string{"a", "b"}[(n-4)/3])
		f.entries = append(f.entries, e)
		f.paths[e] = paths
	}
	f.waitForVoters(lastController, 3)
	f.declare(lastController, 1)
	f.waitFor("entries are ready", func() bool {
		for _, e := range f.entries {
			if v := e.view.Load(); !e.Ready() || len(v.Targets["s"]) != 6 || v.EntryCount != 6 {
				return false
			}
		}
		return true
	})
	return f
}

// take takes away the paths of the entries with the indexes.
func (f *lostPathsFleet) take(loss pathLoss, indexes ...int) map[*Entry]bool {
	lost := map[*Entry]bool{}
	for _, i := range indexes {
		f.paths[f.entries[i]].take(loss)
		lost[f.entries[i]] = true
	}
	return lost
}

var pathLosses = []struct {
	name    string
	loss    pathLoss
	entries []int
}{
	{"new refused, open live on", pathLoss{}, []int{0, 1, 3, 5}},
	{"new refused, open reset", pathLoss{open: openReset}, []int{0, 1, 3, 5}},
	{"new hang, open hang", pathLoss{hang: true, open: openHang}, []int{0, 1, 3, 5}},
	{"new hang, open reset, all of a data centre", pathLoss{hang: true, open: openReset}, []int{0, 1, 2}},
	{"new hang, open hang, all of a data centre", pathLoss{hang: true, open: openHang}, []int{3, 4, 5}},
}

// TestEntriesWithoutPathsServeCallers guards against entries that refuse callers while other
// entries reach the upstreams.
func TestEntriesWithoutPathsServeCallers(t *testing.T) {
	for i, tt := range pathLosses {
		t.Run(tt.name, func(t *testing.T) {
			f := newLostPathsFleet(t, 150+i)
			sendDuring(time.Second, 10*time.Millisecond, f.entries, nil)
			lost := f.take(tt.loss, tt.entries...)
			without, with := sendDuring(lossSettleTime+3*time.Second, 3*time.Millisecond, f.entries, lost)
			t.Logf("entries without paths %+v, others %+v", without, with)
			checkServed(t, without, with)
		})
	}
}

// TestRestoredPathsAreUsedAgain guards against entries that go on connecting through others after
// their own paths are back.
func TestRestoredPathsAreUsedAgain(t *testing.T) {
	f := newLostPathsFleet(t, 155)
	f.take(pathLoss{hang: true, open: openReset}, 0)
	e := f.entries[0]
	f.waitFor("the paths count as lost", func() bool {
		sendRequest(e, "safe", "x")
		return e.paths.HasLostAll()
	})
	f.paths[e].restore()
	f.waitFor("the paths are restored", func() bool { return !e.paths.HasLostAll() })
	asked := metrics.GetOrRegisterCounter("detour.asked", e.Metrics)
	f.waitFor("connections are direct", func() bool {
		before := asked.Count()
		for i := range 20 {
			if _, refusal := sendRequest(e, "safe", fmt.Sprint("y", i)); refusal != nil {
				t.Fatal(refusal)
			}
		}
		return asked.Count() == before
	})
}

// TestNewEntryWithoutPathsServes guards against an entry that has started without paths and serves
// no caller, because it never had a connection that could be lost.
func TestNewEntryWithoutPathsServes(t *testing.T) {
	f := newLostPathsFleet(t, 156)
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		if f.processes[name].controller.IsLeader() {
			f.stop(name)
			break
		}
	}
	e, paths := f.startEntryWithPaths(10, "a")
	paths.take(pathLoss{hang: true})
	f.waitFor("the new entry is ready", e.Ready)
	f.waitFor("the new entry serves", func() bool {
		_, refusal := sendRequest(e, "once", "x")
		return refusal == nil
	})
}

// TestLostPathsDuringOtherFaults guards against entries that can't use others while the leader
// changes, other entries restart and the load is high, because a controller would have to tell them
// then.
func TestLostPathsDuringOtherFaults(t *testing.T) {
	f := newLostPathsFleet(t, 158)
	sendDuring(time.Second, 10*time.Millisecond, f.entries, nil)
	lost := f.take(pathLoss{hang: true, open: openReset}, 0, 1, 2)
	for _, name := range []string{"vm1", "vm2", "vm3"} {
		if f.processes[name].controller.IsLeader() {
			f.stop(name)
			break
		}
	}
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		f.stop("vm9")
	}()
	without, with := sendDuring(lossSettleTime+3*time.Second, 2*time.Millisecond, f.entries[:5], lost)
	<-restarted
	t.Logf("entries without paths %+v, others %+v", without, with)
	checkServed(t, without, with)
}

// TestDetoursSpread guards against a few entries that carry the connections of a whole data centre: at
// 68 and 380 entries in 4 and 8 data centres, of which one loses its paths.
func TestDetoursSpread(t *testing.T) {
	for _, tt := range []struct{ entries, dataCentres int }{{6, 2}, {68, 4}, {380, 8}} {
		var all []detourEntry
		for i := range tt.entries {
			all = append(all, detourEntry{
				peer:       fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
				dataCentre: fmt.Sprint(i % tt.dataCentres),
			})
		}
		carried := map[detourEntry]float64{}
		lost := 0
		for i, e := range all {
			if e.dataCentre != "0" {
				continue
			}
			lost++
			var remote []detourEntry
			for _, d := range detoursFor(fmt.Sprint("vm", i), e.dataCentre, all) {
				if d.dataCentre != e.dataCentre {
					remote = append(remote, d)
				}
			}
			if len(remote) < min(maxRemoteDetours, tt.entries/2) {
				t.Errorf("%+v: %d entries of other data centres", tt, len(remote))
			}
			for _, d := range remote {
				carried[d] += 1 / float64(len(remote))
			}
		}
		mean := float64(lost) / float64(tt.entries-lost)
		for d, n := range carried {
			if n > 2*mean+1 {
				t.Errorf("%+v: %s carries the connections of %.1f entries, %.1f on average", tt, d.peer, n, mean)
			}
		}
	}
}

// TestPlacesAreStable guards against entries that all get other slots when one of them restarts or is
// lost, or when another controller leads.
func TestPlacesAreStable(t *testing.T) {
	clock := &settableClock{now: time.Unix(1000, 0)}
	leader := detourRegistry{clock: clock, isLeader: func() bool { return true }}
	other := detourRegistry{clock: clock}
	report := func(r *detourRegistry, n int) {
		r.report(&wire.Account{Vm: fmt.Sprint("vm", n), Entry: true, Peer: fmt.Sprintf("10.0.0.%d:1", n), Datacentre: "a"})
	}
	for n := range 68 {
		report(&leader, n)
	}
	leader.current()
	places := map[int]int{}
	for n := range 68 {
		place, count := leader.place(fmt.Sprint("vm", n))
		if place == 0 || count != 68 || places[place] > 0 {
			t.Fatalf("vm%d has place %d of %d", n, place, count)
		}
		places[place] = n + 1
	}
	u := &wire.Update{}
	leader.addDetours(u, &followerState{}, clock.now)
	other.merge(u.GetDetours())
	report(&other, 7)
	other.isLeader = func() bool { return true }
	report(&other, 99) // a new entry at the next leader
	other.current()
	if place, _ := other.place("vm7"); places[place] != 8 {
		t.Errorf("vm7 has place %d at the next leader", place)
	}
	if place, count := other.place("vm99"); place != 69 || count != 69 {
		t.Errorf("the new entry has place %d of %d", place, count)
	}
	clock.now = clock.now.Add(placeRetention / 2)
	for n := 1; n < 68; n++ {
		report(&leader, n) // vm0 is away for a while
	}
	list, _ := leader.current()
	if place, count := leader.place("vm3"); places[place] != 4 || count != 68 || len(list) != 67 {
		t.Errorf("after the loss of an entry vm3 has place %d of %d, %d entries are used for detours", place, count, len(list))
	}
}
