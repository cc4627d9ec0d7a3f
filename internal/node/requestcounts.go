package node

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// maxRequestCountGap is the longest time between two counts of one source whose difference is the requests that came
// lately. After a longer time that difference would be counted in a window to which the requests don't belong.
const maxRequestCountGap = time.Second

// requestCountInterval is the interval between two counts. Four of them pass at most until all entries have been told
// what one has counted: from the entry to its controller, to the leader, to the other controllers and to their entries.
const requestCountInterval = 100 * time.Millisecond

// requestTotals returns the differences between successive counts of one source.
type requestTotals struct {
	byService  map[string]relay.RetryCount
	receivedAt time.Time
}

// advance returns what was counted by service since the last counts, nothing after a gap or where a count begins anew, and
// the retries that are reserved now.
func (t *requestTotals) advance(counts []*wire.RequestCount, now time.Time) map[string]relay.RetryCount {
	since := make(map[string]relay.RetryCount, len(counts))
	follows := now.Sub(t.receivedAt) <= maxRequestCountGap
	totals := make(map[string]relay.RetryCount, len(counts))
	for _, c := range counts {
		total := relay.RetryCount{
			Requests: c.GetTotal(),
			Retries:  c.GetRetries(),
			Reserved: c.GetReserved(),
		}
		totals[c.GetService()] = total
		d := relay.RetryCount{
			Reserved: c.GetReserved(),
		}
		if last, known := t.byService[c.GetService()]; known && follows && total.Requests >= last.Requests && total.Retries >= last.Retries {
			d.Requests = total.Requests - last.Requests
			d.Retries = total.Retries - last.Retries
		}
		since[c.GetService()] = d
	}
	t.byService = totals
	t.receivedAt = now
	return since
}

// requestAggregator adds up the requests and retries of all entries by service: the leader's aggregator adds up what entries
// and other controllers report; these report their entries' part and forward the leader's sums. After a gap or a change of
// the leader, a part is missing in a sum; nothing is counted twice.
type requestAggregator struct {
	clock persimmoncross.Clock

	mu         sync.Mutex // guards all below
	epoch      uint64     // of total, chosen at the first use
	total      map[string]relay.RetryCount
	reserved   map[*requestTotals]map[string]uint32 // by reporter and service
	fleet      []*wire.RequestCount                 // as received from the leader; read-only
	fleetEpoch uint64
	fleetAt    time.Time
}

// receive adds what a reporter reports to its totals.
func (a *requestAggregator) receive(reporter *requestTotals, counts []*wire.RequestCount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total == nil {
		a.total = map[string]relay.RetryCount{}
		a.reserved = map[*requestTotals]map[string]uint32{}
	}
	reserved := make(map[string]uint32, len(counts))
	for service, d := range reporter.advance(counts, a.clock.Now()) {
		sum := a.total[service]
		sum.Requests += d.Requests
		sum.Retries += d.Retries
		a.total[service] = sum
		reserved[service] = d.Reserved
	}
	a.reserved[reporter] = reserved
}

// remove forgets what a reporter that is gone has reserved.
func (a *requestAggregator) remove(reporter *requestTotals) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.reserved, reporter)
}

// report returns what was reported to this controller, for the leader.
func (a *requestAggregator) report() []*wire.RequestCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sums()
}

// apply stores the sums that the leader sent.
func (a *requestAggregator) apply(counts []*wire.RequestCount, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = counts
	a.fleetEpoch = epoch
	a.fleetAt = a.clock.Now()
}

// addTo adds the sums over all entries to an update: the leader's, or those of this controller if it leads or there is
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
	u.Requests = a.sums()
	u.Epoch = a.epoch
}

// sums returns the totals with the retries that are reserved now. The caller holds mu.
func (a *requestAggregator) sums() []*wire.RequestCount {
	sums := maps.Clone(a.total)
	for _, byService := range a.reserved {
		for service, n := range byService {
			sum := sums[service]
			sum.Reserved += n
			sums[service] = sum
		}
	}
	return toWireRequestCounts(sums)
}

// toWireRequestCounts encodes counts by service.
func toWireRequestCounts(byService map[string]relay.RetryCount) []*wire.RequestCount {
	counts := make([]*wire.RequestCount, 0, len(byService))
	for service, c := range byService {
		counts = append(counts, &wire.RequestCount{
			Service:  service,
			Total:    c.Requests,
			Retries:  c.Retries,
			Reserved: c.Reserved,
		})
	}
	return counts
}

// fleetRequests are the sums that an entry receives. The zero value has received none.
type fleetRequests struct {
	mu     sync.Mutex // guards all below
	totals requestTotals
	epoch  uint64
}

// advance returns what all entries have counted by service since the last sums.
func (f *fleetRequests) advance(counts []*wire.RequestCount, epoch uint64, now time.Time) map[string]relay.RetryCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		f.epoch = epoch
		f.totals = requestTotals{}
	}
	return f.totals.advance(counts, now)
}

// applyRequestCounts records what all entries have counted.
func (e *Entry) applyRequestCounts(counts []*wire.RequestCount, epoch uint64) {
	for service, c := range e.fleetRequests.advance(counts, epoch, e.Clock.Now()) {
		e.relay.RecordFleetRetries(service, c)
	}
}

// requestReport returns what this entry has counted by service, for the controllers.
func (e *Entry) requestReport() []*wire.RequestCount {
	return toWireRequestCounts(e.relay.RetryCounts())
}
