package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
)

// maxRequestCountGap is the longest time between two counts of one source whose difference is the requests that came
// lately. After a longer time that difference would be counted in a window to which the requests don't belong.
const maxRequestCountGap = time.Second

// requestTotals returns the differences between successive counts of one source.
type requestTotals struct {
	byService  map[string]uint64
	receivedAt time.Time
}

// advance returns the requests by service since the last counts: none after a gap, or where a count begins anew.
func (t *requestTotals) advance(counts []*wire.RequestCount, now time.Time) map[string]uint64 {
	since := map[string]uint64{}
	follows := now.Sub(t.receivedAt) <= maxRequestCountGap
	totals := make(map[string]uint64, len(counts))
	for _, c := range counts {
		totals[c.GetService()] = c.GetTotal()
		if last, known := t.byService[c.GetService()]; known && follows && c.GetTotal() > last {
			since[c.GetService()] = c.GetTotal() - last
		}
	}
	t.byService = totals
	t.receivedAt = now
	return since
}

// requestAggregator counts the requests of all entries by service: the leader's aggregator adds up what entries and
// other controllers report; these report their entries' requests and forward the leader's counts. A count may be too
// low, after a gap or a change of the leader, never too high.
type requestAggregator struct {
	clock persimmoncross.Clock

	mu         sync.Mutex // guards all below
	epoch      uint64     // of total, chosen at the first use
	total      map[string]uint64
	fleet      []*wire.RequestCount // as received from the leader; read-only
	fleetEpoch uint64
	fleetAt    time.Time
}

// add counts requests that a reporter has reported since its last report.
func (a *requestAggregator) add(since map[string]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total == nil {
		a.total = map[string]uint64{}
	}
	for service, n := range since {
		a.total[service] += n
	}
}

// report returns the requests that were reported to this controller, for the leader.
func (a *requestAggregator) report() []*wire.RequestCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	return toWireRequestCounts(a.total)
}

// apply stores the counts that the leader sent.
func (a *requestAggregator) apply(counts []*wire.RequestCount, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = counts
	a.fleetEpoch = epoch
	a.fleetAt = a.clock.Now()
}

// addTo adds the counts of all entries to an update: the leader's, or those of this controller if it leads or there is
// no leader.
func (a *requestAggregator) addTo(u *wire.Update) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fleetAt.IsZero() && a.clock.Now().Sub(a.fleetAt) <= maxRequestCountGap {
		u.Requests = a.fleet
		u.Epoch = a.fleetEpoch
		return
	}
	if a.epoch == 0 {
		a.epoch = rand.Uint64()
	}
	u.Requests = toWireRequestCounts(a.total)
	u.Epoch = a.epoch
}

// toWireRequestCounts encodes counts by service.
func toWireRequestCounts(total map[string]uint64) []*wire.RequestCount {
	counts := make([]*wire.RequestCount, 0, len(total))
	for service, n := range total {
		counts = append(counts, &wire.RequestCount{
			Service: service,
			Total:   n,
		})
	}
	return counts
}

// fleetRequests are the counts that an entry receives. The zero value has received none.
type fleetRequests struct {
	mu     sync.Mutex // guards all below
	totals requestTotals
	epoch  uint64
}

// advance returns the requests to all entries by service since the last counts.
func (f *fleetRequests) advance(counts []*wire.RequestCount, epoch uint64, now time.Time) map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		f.epoch = epoch
		f.totals = requestTotals{}
	}
	return f.totals.advance(counts, now)
}

// applyRequestCounts records the requests that all entries received.
func (e *Entry) applyRequestCounts(counts []*wire.RequestCount, epoch uint64) {
	for service, n := range e.fleetRequests.advance(counts, epoch, e.Clock.Now()) {
		e.relay.RecordFleetRequests(service, n)
	}
}

// requestReport returns how many requests this entry has received by service, for the controllers.
func (e *Entry) requestReport() []*wire.RequestCount {
	return toWireRequestCounts(e.relay.RequestTotals())
}
