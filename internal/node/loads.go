package node

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// Encoding and limits of the loads that controllers send to entries.
const (
	loadRecordBytes = 6 // per upstream: silence, report age, running, waiting, prefill time, suspecting entries
	unknownLoad     = 255
	maxLoadValue    = 254
	loadTimeUnit    = 20 * time.Millisecond // unit of durations in a record
	// maxLoadAge is how long the loads that upstreams reported, the times at which bytes last
	// arrived from them, and a reporter's prefill times are used.
	maxLoadAge = 1500 * time.Millisecond
	// maxLoadBytesPerSecond limits the bytes of loads sent to one follower; with thousands of
	// upstreams the loads are sent less often.
	maxLoadBytesPerSecond = 10_000
	// minLoadIntervalPerUpstream is the minimum interval between two transfers of the loads, per
	// upstream in the list. A follower processes every record, which takes one percent of an
	// entry's core with thousands of upstreams.
	minLoadIntervalPerUpstream = 300 * time.Microsecond
)

// loadAggregator merges the upstream loads that the entries report. One of many entries rarely
// receives a response from a given upstream and causes a small part of its load, so only the
// reports of all entries together give its load. The leader's aggregator combines all reports.
// The other controllers send the leader their entries' part, and forward the leader's result.
type loadAggregator struct {
	clock persimmoncross.Clock

	mu             sync.Mutex // guards all below
	reported       map[string]reportedLoad
	received       map[string]lastReceived // when bytes last arrived from an upstream, by instance ID
	workByReporter map[string]reporterWork // by entry or controller
	fleetWork      map[string]upstreamWork // by instance ID, as received from the leader
	fleetWorkAt    time.Time               // when fleetWork arrived
	fleetTokens    map[string]uint64       // held tokens by instance ID, as received from the leader for the next fleetWork
	fleetPaces     map[string]uint16       // paces by instance ID, like fleetTokens
	cached         encodedLoads
}

// encodedLoads are the loads encoded for the followers that have the same list.
type encodedLoads struct {
	ids       []string // instance IDs of the list, shared by those followers
	encodedAt time.Time
	dense     []byte
	sparse    []byte
	// capacities are of the upstreams that sparse has; nil if none is known.
	capacities []byte
}

// maxEncodedAgePerUpstream is how long encoded loads are reused, per upstream in the list. With
// thousands of upstreams, encoding the loads takes longer than sending them to hundreds of
// followers; with a hundred upstreams, each follower gets the newest loads.
const maxEncodedAgePerUpstream = 30 * time.Microsecond

// encoded returns the loads for followers that have the list, as records of all upstreams and
// as records of only those with a known load. The results are shared and read-only.
func (a *loadAggregator) encoded(ids []string) (dense, sparse []byte) {
	e := a.encodedLoads(ids)
	return e.dense, e.sparse
}

// encodedLoads returns the loads and capacities for followers that have the list.
func (a *loadAggregator) encodedLoads(ids []string) encodedLoads {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	same := len(ids) == len(a.cached.ids) && (len(ids) == 0 || &ids[0] == &a.cached.ids[0])
	if !same || now.Sub(a.cached.encodedAt) > maxEncodedAgePerUpstream*time.Duration(len(ids)) {
		work := a.currentWork(now)
		dense := a.encodeWork(ids, work, now)
		a.cached = encodedLoads{
			ids:       ids,
			encodedAt: now,
			dense:     dense,
			sparse:    encodeSparse(dense),
		}
		a.cached.capacities = a.encodeCapacities(ids, a.cached.sparse, work, now)
	}
	return a.cached
}

// reportedLoad is the load that an upstream reported.
type reportedLoad struct {
	running     byte
	waiting     byte
	pace        uint16 // in percent of the usual, 0: not reported
	reportedAt  time.Time
	unforwarded bool // reported by a follower and not forwarded to the leader yet
}

// lastReceived is when bytes last arrived from an upstream.
type lastReceived struct {
	receivedAt  time.Time
	unforwarded bool // reported by a follower and not forwarded to the leader yet
}

// upstreamWork is the load of an upstream caused by one reporter or by all reporters.
type upstreamWork struct {
	work              time.Duration // prefill time of prompts without a first token yet
	suspectingEntries int           // entries that suspect the upstream
	tokens            uint64        // tokens that requests hold
}

// reporterWork is what one entry or controller reported, by instance ID.
type reporterWork struct {
	byUpstream map[string]upstreamWork
	receivedAt time.Time
}

// receive stores a load report of an entry or of another controller. It replaces the reporter's
// previous one.
func (a *loadAggregator) receive(reporter string, loads []*wire.UpstreamLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.workByReporter == nil {
		a.workByReporter = map[string]reporterWork{}
	}
	w := reporterWork{
		byUpstream: make(map[string]upstreamWork, len(loads)),
		receivedAt: now,
	}
	for _, l := range loads {
		if l.GetWork() > 0 || l.GetDoubters() > 0 || l.GetTokens() > 0 {
			w.byUpstream[l.GetLife()] = upstreamWork{
				work:              time.Duration(l.GetWork()) * time.Millisecond,
				suspectingEntries: int(l.GetDoubters()),
				tokens:            uint64(l.GetTokens()),
			}
		}
		if l.GetHeard() {
			a.updateReceived(l.GetLife(), lastReceived{
				receivedAt:  now.Add(-time.Duration(l.GetSilence()) * time.Millisecond),
				unforwarded: true,
			})
		}
		if l.GetTold() {
			a.updateReported(l.GetLife(), reportedLoad{
				running:     byte(min(l.GetRunning(), maxLoadValue)),
				waiting:     byte(min(l.GetWaiting(), maxLoadValue)),
				pace:        uint16(min(l.GetPace(), maxReportedPace)),
				reportedAt:  now.Add(-time.Duration(l.GetAge()) * time.Millisecond),
				unforwarded: true,
			})
		}
	}
	a.workByReporter[reporter] = w
}

// updateReported stores a reported load if it is newer than the stored one. A report without a
// pace keeps the pace of the one before.
func (a *loadAggregator) updateReported(id string, w reportedLoad) {
	if a.reported == nil {
		a.reported = map[string]reportedLoad{}
	}
	if old, ok := a.reported[id]; !ok || w.reportedAt.After(old.reportedAt) {
		if w.pace == 0 {
			w.pace = old.pace
		}
		a.reported[id] = w
	}
}

// updateReceived stores the time of received bytes if it is later than the stored one.
func (a *loadAggregator) updateReceived(id string, h lastReceived) {
	if a.received == nil {
		a.received = map[string]lastReceived{}
	}
	if h.receivedAt.After(a.received[id].receivedAt) {
		a.received[id] = h
	}
}

// applyFleetLoads stores the loads that the leader sent.
func (a *loadAggregator) applyFleetLoads(ids []string, loads []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleetWorkAt = a.clock.Now()
	a.fleetWork = make(map[string]upstreamWork, len(ids))
	for _, l := range decodeLoads(ids, loads) {
		a.fleetWork[l.InstanceID] = upstreamWork{
			work:              l.PrefillTime,
			suspectingEntries: l.SuspectingEntries,
			tokens:            a.fleetTokens[l.InstanceID],
		}
		if l.Received {
			a.updateReceived(l.InstanceID, lastReceived{
				receivedAt: a.fleetWorkAt.Add(-l.SinceReceived),
			})
		}
		if l.Reported != nil {
			a.updateReported(l.InstanceID, reportedLoad{
				running:    byte(l.Reported.Running),
				waiting:    byte(l.Reported.Waiting),
				pace:       a.fleetPaces[l.InstanceID],
				reportedAt: a.fleetWorkAt.Add(-l.ReportAge),
			})
		}
	}
}

// sumWork adds up the reporters' work by instance ID, and removes reporters that no longer
// report. The caller holds mu.
func (a *loadAggregator) sumWork(now time.Time) map[string]upstreamWork {
	sum := map[string]upstreamWork{}
	for reporter, w := range a.workByReporter {
		if now.Sub(w.receivedAt) > maxLoadAge {
			delete(a.workByReporter, reporter)
			continue
		}
		for id, part := range w.byUpstream {
			total := sum[id]
			total.work += part.work
			total.suspectingEntries += part.suspectingEntries
			total.tokens += part.tokens
			sum[id] = total
		}
	}
	return sum
}

// report returns this controller's part of the loads for the leader: the sum over its entries,
// and the loads that upstreams reported since the previous call.
func (a *loadAggregator) report() []*wire.UpstreamLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	loads := map[string]*wire.UpstreamLoad{}
	loadOf := func(id string) *wire.UpstreamLoad {
		if loads[id] == nil {
			loads[id] = &wire.UpstreamLoad{
				Life: id,
			}
		}
		return loads[id]
	}
	for id, p := range a.sumWork(now) {
		l := loadOf(id)
		l.Work = uint32(p.work / time.Millisecond)
		l.Doubters = uint32(p.suspectingEntries)
		l.Tokens = uint32(min(p.tokens, math.MaxUint32))
	}
	for id, h := range a.received {
		silence := now.Sub(h.receivedAt)
		switch {
		case silence > maxLoadAge:
			delete(a.received, id)
		case h.unforwarded:
			h.unforwarded = false
			a.received[id] = h
			l := loadOf(id)
			l.Heard = true
			l.Silence = uint32(max(silence, 0) / time.Millisecond)
		}
	}
	for id, w := range a.reported {
		age := now.Sub(w.reportedAt)
		switch {
		case age > maxLoadAge:
			delete(a.reported, id)
		case w.unforwarded:
			w.unforwarded = false
			a.reported[id] = w
			l := loadOf(id)
			l.Told = true
			l.Running = uint32(w.running)
			l.Waiting = uint32(w.waiting)
			l.Pace = uint32(w.pace)
			l.Age = uint32(max(age, 0) / time.Millisecond)
		}
	}
	return slices.Collect(maps.Values(loads))
}

// encodeDense returns the records of all upstreams. The caller holds mu.
func (a *loadAggregator) encodeDense(ids []string, now time.Time) []byte {
	return a.encodeWork(ids, a.currentWork(now), now)
}

// currentWork returns the work of all reporters by instance ID. The caller holds mu.
func (a *loadAggregator) currentWork(now time.Time) map[string]upstreamWork {
	if now.Sub(a.fleetWorkAt) > maxLoadAge {
		return a.sumWork(now) // this controller leads, or the leader's loads are too old
	}
	return a.fleetWork
}

// encodeWork returns the records of all upstreams with the given work. The caller holds mu.
func (a *loadAggregator) encodeWork(ids []string, work map[string]upstreamWork, now time.Time) []byte {
	encoded := make([]byte, 0, loadRecordBytes*len(ids))
	for _, id := range ids {
		w, ok := a.reported[id]
		age := now.Sub(w.reportedAt)
		if !ok || age > maxLoadAge {
			w.running, w.waiting, age = 0, 0, unknownLoad*loadTimeUnit
		}
		silence := time.Duration(unknownLoad * loadTimeUnit)
		if h, ok := a.received[id]; ok && now.Sub(h.receivedAt) <= maxLoadAge {
			silence = now.Sub(h.receivedAt)
		}
		p := work[id]
		encoded = append(encoded, encodeDuration(silence), encodeDuration(age), w.running, w.waiting, encodeDuration(p.work), byte(min(p.suspectingEntries, maxLoadValue)))
	}
	return encoded
}

// unknownLoadRecord is the record of an upstream without a known load.
var unknownLoadRecord = []byte{unknownLoad, unknownLoad, 0, 0, 0, 0}

// encodeSparse leaves out the records of upstreams without a known load: with thousands of
// upstreams and few callers, these are most of the records.
func encodeSparse(loads []byte) []byte {
	n := len(loads) / loadRecordBytes
	encoded := make([]byte, (n+7)/8, (n+7)/8+len(loads))
	for i := range n {
		l := loads[loadRecordBytes*i : loadRecordBytes*(i+1)]
		if !bytes.Equal(l, unknownLoadRecord) {
			encoded[i/8] |= 1 << (i % 8)
			encoded = append(encoded, l...)
		}
	}
	return encoded
}

// decodeSparse returns the records of n upstreams, or nil if the encoding does not match that
// number.
func decodeSparse(encoded []byte, n int) []byte {
	bitmapSize := (n + 7) / 8
	if n == 0 || len(encoded) < bitmapSize {
		return nil
	}
	records := encoded[bitmapSize:]
	loads := make([]byte, 0, loadRecordBytes*n)
	for i := range n {
		if encoded[i/8]&(1<<(i%8)) == 0 {
			loads = append(loads, unknownLoadRecord...)
			continue
		}
		if len(records) < loadRecordBytes {
			return nil
		}
		loads = append(loads, records[:loadRecordBytes]...)
		records = records[loadRecordBytes:]
	}
	if len(records) > 0 {
		return nil
	}
	return loads
}

// encodeDuration returns a duration in units of loadTimeUnit, rounded to the nearest. Durations
// that round to at least unknownLoad units are encoded as unknownLoad.
func encodeDuration(d time.Duration) byte {
	if d >= unknownLoad*loadTimeUnit {
		return unknownLoad
	}
	return byte(max(d+loadTimeUnit/2, 0) / loadTimeUnit)
}

// loadSendInterval returns the interval until the next loads, after sending that many bytes of
// loads of that many upstreams.
func loadSendInterval(sentBytes, upstreams int) time.Duration {
	return max(loadInterval, time.Duration(sentBytes)*time.Second/maxLoadBytesPerSecond, time.Duration(upstreams)*minLoadIntervalPerUpstream)
}

// decodeLoads decodes the records of the instance IDs.
func decodeLoads(ids []string, loads []byte) []relay.FleetLoad {
	list := make([]relay.FleetLoad, 0, len(ids))
	for i, id := range ids {
		l := loads[loadRecordBytes*i : loadRecordBytes*(i+1)]
		x := relay.FleetLoad{
			InstanceID:        id,
			Received:          l[0] != unknownLoad,
			SinceReceived:     time.Duration(l[0]) * loadTimeUnit,
			PrefillTime:       time.Duration(l[4]) * loadTimeUnit,
			SuspectingEntries: int(l[5]),
		}
		if l[1] != unknownLoad {
			x.ReportAge = time.Duration(l[1]) * loadTimeUnit
			x.Reported = &persimmoncross.UpstreamLoad{
				Running: int(l[2]),
				Waiting: int(l[3]),
			}
		}
		list = append(list, x)
	}
	return list
}
