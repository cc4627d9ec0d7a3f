package node

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// Of the loads that controllers send to entries.
const (
	loadRecordBytes = 6 // for each upstream: silence, age, running, waiting, work, doubters
	unknownLoad     = 255
	maxLoadValue    = 254
	loadTimeUnit    = 20 * time.Millisecond // of ages and work
	// maxLoadAge is how long an upstream's word, or a sender's account of its work,
	// is used.
	maxLoadAge = 1500 * time.Millisecond
	// maxLoadBytesPerSecond bounds the bytes a second of loads to one follower; with thousands
	// of upstreams they are sent less often.
	maxLoadBytesPerSecond = 10_000
	// minLoadIntervalPerUpstream is the pause for each upstream: a follower goes through all of them, a
	// percent of an entry's core with thousands.
	minLoadIntervalPerUpstream = 300 * time.Microsecond
)

// loadAggregator adds up what the entries know of the upstreams' loads. One of many
// entries hears an upstream seldom and makes a small part of its work; together
// they know all of it. The leader's board has the whole; the others send it their
// entries' part, and pass on what it sends.
type loadAggregator struct {
	clock persimmoncross.Clock

	mu             sync.Mutex // guards all below
	reported       map[string]reportedLoad
	received       map[string]lastReceived // when bytes came from an upstream
	workByReporter map[string]reporterWork // by sender
	fleetWork      map[string]upstreamWork // by upstream, as the leader sent it
	fleetWorkAt    time.Time               // of whole
	cached         encodedLoads
}

// encodedLoads are the loads as followers of one list are told of them.
type encodedLoads struct {
	ids       []string // the list's, shared by all who have it
	encodedAt time.Time
	dense     []byte
	sparse    []byte
}

// maxEncodedAgePerUpstream is for how long followers are told the same, for each upstream: with thousands
// it takes longer to put together than to send to hundreds, and with a hundred each is
// told what is newest.
const maxEncodedAgePerUpstream = 30 * time.Microsecond

// encoded returns the loads of the upstreams for followers that have the list, of all and
// of those of which anything is known. They are shared and never changed.
func (a *loadAggregator) encoded(ids []string) (dense, sparse []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	same := len(ids) == len(a.cached.ids) && (len(ids) == 0 || &ids[0] == &a.cached.ids[0])
	if !same || now.Sub(a.cached.encodedAt) > maxEncodedAgePerUpstream*time.Duration(len(ids)) {
		dense := a.encodeDense(ids, now)
		a.cached = encodedLoads{
			ids:       ids,
			encodedAt: now,
			dense:     dense,
			sparse:    encodeSparse(dense),
		}
	}
	return a.cached.dense, a.cached.sparse
}

// reportedLoad is what an upstream told of itself.
type reportedLoad struct {
	running     byte
	waiting     byte
	reportedAt  time.Time
	unforwarded bool // came from an entry and was not relayed yet
}

// lastReceived tells when bytes came from an upstream.
type lastReceived struct {
	receivedAt  time.Time
	unforwarded bool // came from an entry and was not relayed yet
}

// upstreamWork is what one sender, or all, have to tell of an upstream.
type upstreamWork struct {
	work              time.Duration // the reading that is awaited
	suspectingEntries int           // entries
}

// reporterWork is what one sender has to tell, by upstream.
type reporterWork struct {
	byUpstream map[string]upstreamWork
	receivedAt time.Time
}

// receive keeps an account of an entry, or of another controller. It replaces the
// one before.
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
		if l.GetWork() > 0 || l.GetDoubters() > 0 {
			w.byUpstream[l.GetLife()] = upstreamWork{
				work:              time.Duration(l.GetWork()) * time.Millisecond,
				suspectingEntries: int(l.GetDoubters()),
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
				reportedAt:  now.Add(-time.Duration(l.GetAge()) * time.Millisecond),
				unforwarded: true,
			})
		}
	}
	a.workByReporter[reporter] = w
}

// updateReported takes a word that is newer than the one kept.
func (a *loadAggregator) updateReported(id string, w reportedLoad) {
	if a.reported == nil {
		a.reported = map[string]reportedLoad{}
	}
	if old, ok := a.reported[id]; !ok || w.reportedAt.After(old.reportedAt) {
		a.reported[id] = w
	}
}

// updateReceived takes a sign of life that is later than the one kept.
func (a *loadAggregator) updateReceived(id string, h lastReceived) {
	if a.received == nil {
		a.received = map[string]lastReceived{}
	}
	if h.receivedAt.After(a.received[id].receivedAt) {
		a.received[id] = h
	}
}

// applyFleetLoads takes the loads that the leader sent.
func (a *loadAggregator) applyFleetLoads(ids []string, loads []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleetWorkAt = a.clock.Now()
	a.fleetWork = make(map[string]upstreamWork, len(ids))
	for _, l := range decodeLoads(ids, loads) {
		a.fleetWork[l.InstanceID] = upstreamWork{
			work:              l.PrefillTime,
			suspectingEntries: l.SuspectingEntries,
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
				reportedAt: a.fleetWorkAt.Add(-l.ReportAge),
			})
		}
	}
}

// sumWork adds up what the senders tell, and forgets those that are silent. The
// caller holds mu.
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
			sum[id] = total
		}
	}
	return sum
}

// report returns this controller's part for the leader: what its entries tell,
// and the upstreams' words that came since the call before.
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
			l.Age = uint32(max(age, 0) / time.Millisecond)
		}
	}
	return slices.Collect(maps.Values(loads))
}

// encodeDense returns the loads of the upstreams. The caller holds mu.
func (a *loadAggregator) encodeDense(ids []string, now time.Time) []byte {
	work := a.fleetWork
	if now.Sub(a.fleetWorkAt) > maxLoadAge {
		work = a.sumWork(now) // there is no leader but this controller
	}
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

// unknownLoadRecord are the bytes of an upstream of which nothing is known.
var unknownLoadRecord = []byte{unknownLoad, unknownLoad, 0, 0, 0, 0}

// encodeSparse leaves the upstreams out of which nothing is known: of thousands most are, where
// callers are few.
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

// decodeSparse returns the loads of so many upstreams, nil if they are of another number.
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

// encodeDuration returns a duration as a byte: loadUnknown only for what is no less.
func encodeDuration(d time.Duration) byte {
	if d >= unknownLoad*loadTimeUnit {
		return unknownLoad
	}
	return byte(max(d+loadTimeUnit/2, 0) / loadTimeUnit)
}

// loadSendInterval returns the pause after so many bytes of loads of so many upstreams.
func loadSendInterval(sentBytes, upstreams int) time.Duration {
	return max(loadInterval, time.Duration(sentBytes)*time.Second/maxLoadBytesPerSecond, time.Duration(upstreams)*minLoadIntervalPerUpstream)
}

// decodeLoads returns what an update says of the upstreams.
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
