package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
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
