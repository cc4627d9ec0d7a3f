package node

import (
	"maps"
	"math"
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

// advance returns what was counted by service since the last counts, and the retries that are reserved now. At first and
// after a gap these are the recent retries alone, where a count begins anew nothing.
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
		} else if !follows {
			d.Retries = uint64(c.GetRecent())
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
	told       requestTotals             // by the leader
	recent     map[string]*recentRetries // of all entries, by service
}

// recentRetries counts the retries of the last recentSeconds.
type recentRetries struct {
	began    time.Time
	second   int64 // of the newest count, since began
	bySecond [recentSeconds]uint64
}

// recentSeconds covers the longest window in which retries are judged, and the time in which they are told.
const recentSeconds = 12

// add counts retries.
func (r *recentRetries) add(n uint64, now time.Time) {
	r.advance(now)
	r.bySecond[r.second%recentSeconds] += n
}

// sum returns the number of retries.
func (r *recentRetries) sum(now time.Time) (n uint64) {
	r.advance(now)
	for _, m := range r.bySecond {
		n += m
	}
	return n
}

func (r *recentRetries) advance(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	second := int64(now.Sub(r.began) / time.Second)
	for since := min(second-r.second, recentSeconds); since > 0; since-- {
		r.bySecond[(second-since+1)%recentSeconds] = 0
	}
	r.second = max(r.second, second)
}

// addRecent counts retries of all entries. The caller holds mu.
func (a *requestAggregator) addRecent(service string, n uint64, now time.Time) {
	if n == 0 {
		return
	}
	if a.recent == nil {
		a.recent = map[string]*recentRetries{}
	}
	r := a.recent[service]
	if r == nil {
		r = &recentRetries{}
		a.recent[service] = r
	}
	r.add(n, now)
}

// isTold reports whether the leader's sums are in use. The caller holds mu.
func (a *requestAggregator) isTold(now time.Time) bool {
	return !a.fleetAt.IsZero() && now.Sub(a.fleetAt) <= maxRequestCountGap
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
	now := a.clock.Now()
	for service, d := range reporter.advance(counts, now) {
		if !a.isTold(now) {
			a.addRecent(service, d.Retries, now)
		}
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
	now := a.clock.Now()
	if epoch != a.fleetEpoch {
		a.told.byService = nil
	}
	for service, d := range a.told.advance(counts, now) {
		a.addRecent(service, d.Retries, now)
	}
	a.fleet = counts
	a.fleetEpoch = epoch
	a.fleetAt = now
}

// addTo adds the sums over all entries to an update: the leader's, or those of this controller if it leads. A controller
// that does neither knows a part only.
func (a *requestAggregator) addTo(u *wire.Update, leads bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.isTold(now) {
		u.Requests = a.withRecent(a.fleet, now)
		u.Epoch = a.fleetEpoch
		return
	}
	if !leads {
		return
	}
	if a.epoch == 0 {
		a.epoch = rand.Uint64()
	}
	u.Requests = a.withRecent(a.sums(), now)
	u.Epoch = a.epoch
}

// withRecent returns copies of the counts with the retries that this controller knows of lately. The caller holds mu.
func (a *requestAggregator) withRecent(counts []*wire.RequestCount, now time.Time) []*wire.RequestCount {
	list := make([]*wire.RequestCount, 0, len(counts))
	for _, c := range counts {
		n := uint64(0)
		if r := a.recent[c.GetService()]; r != nil {
			n = r.sum(now)
		}
		list = append(list, &wire.RequestCount{
			Service:  c.GetService(),
			Total:    c.GetTotal(),
			Retries:  c.GetRetries(),
			Reserved: c.GetReserved(),
			Recent:   uint32(min(n, math.MaxUint32)),
		})
	}
	return list
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
		f.totals.byService = nil
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
