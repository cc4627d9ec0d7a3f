package node

import (
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
)

// Of the loads that controllers send to entries.
const (
	loadBytes   = 3   // for each upstream: running, waiting, work
	loadUnknown = 255 // no recent word of the upstream
	loadMost    = 254
	workUnit    = 20 * time.Millisecond // of the third byte
	// loadAge is how long an upstream's word, or a sender's account of its work,
	// is used.
	loadAge = 1500 * time.Millisecond
	// passedOn is how old a word is taken to be that another controller sent: it
	// came to that one with an account and left it with an update.
	passedOn = 600 * time.Millisecond
)

// loadBoard adds up what the entries know of the upstreams' loads. One of many
// entries hears an upstream seldom and makes a small part of its work; together
// they know all of it. The leader's board has the whole; the others send it their
// entries' part, and pass on what it sends.
type loadBoard struct {
	clock persimmoncross.Clock

	mu    sync.Mutex // guards all below
	words map[string]boardWord
	work  map[string]senderWork // by sender
	whole map[string]byte       // by upstream, as the leader sent it
	at    time.Time             // of whole
}

// boardWord is what an upstream told of itself.
type boardWord struct {
	running byte
	waiting byte
	at      time.Time
	fresh   bool // came from an entry and was not relayed yet
}

// senderWork is the reading that one sender awaits, by upstream.
type senderWork struct {
	by map[string]time.Duration
	at time.Time
}

// take keeps an account of an entry, or of another controller. It replaces the
// one before.
func (b *loadBoard) take(sender string, loads []*wire.UpstreamLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.work == nil {
		b.work = map[string]senderWork{}
	}
	w := senderWork{
		by: make(map[string]time.Duration, len(loads)),
		at: now,
	}
	for _, l := range loads {
		if l.GetWork() > 0 {
			w.by[l.GetIncarnation()] = time.Duration(l.GetWork()) * time.Millisecond
		}
		if l.GetTold() {
			b.keep(l.GetIncarnation(), boardWord{
				running: byte(min(l.GetRunning(), loadMost)),
				waiting: byte(min(l.GetWaiting(), loadMost)),
				at:      now.Add(-time.Duration(l.GetAge()) * time.Millisecond),
				fresh:   true,
			})
		}
	}
	b.work[sender] = w
}

// keep takes a word that is newer than the one kept.
func (b *loadBoard) keep(id string, w boardWord) {
	if b.words == nil {
		b.words = map[string]boardWord{}
	}
	if old, ok := b.words[id]; !ok || w.at.After(old.at) {
		b.words[id] = w
	}
}

// learn takes the loads that the leader sent.
func (b *loadBoard) learn(incarnations []string, loads []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = b.clock.Now()
	b.whole = make(map[string]byte, len(incarnations))
	for i, id := range incarnations {
		l := loads[loadBytes*i : loadBytes*(i+1)]
		b.whole[id] = l[2]
		if l[0] == loadUnknown {
			continue
		}
		b.keep(id, boardWord{
			running: l[0],
			waiting: l[1],
			at:      b.at.Add(-passedOn),
		})
	}
}

// sum adds up what the senders await, and forgets those that are silent. The
// caller holds mu.
func (b *loadBoard) sum(now time.Time) map[string]time.Duration {
	sum := map[string]time.Duration{}
	for sender, w := range b.work {
		if now.Sub(w.at) > loadAge {
			delete(b.work, sender)
			continue
		}
		for id, d := range w.by {
			sum[id] += d
		}
	}
	return sum
}

// account returns this controller's part for the leader: what its entries await,
// and the upstreams' words that came since the call before. It is not nil, for an
// account without anything replaces the one before too.
func (b *loadBoard) account() []*wire.UpstreamLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	list := []*wire.UpstreamLoad{}
	sum := b.sum(now)
	for id, w := range b.words {
		age := now.Sub(w.at)
		if age > loadAge {
			delete(b.words, id)
			continue
		}
		if !w.fresh {
			continue
		}
		w.fresh = false
		b.words[id] = w
		list = append(list, &wire.UpstreamLoad{
			Incarnation: id,
			Told:        true,
			Running:     uint32(w.running),
			Waiting:     uint32(w.waiting),
			Age:         uint32(max(age, 0) / time.Millisecond),
			Work:        uint32(sum[id] / time.Millisecond),
		})
		delete(sum, id)
	}
	for id, d := range sum {
		list = append(list, &wire.UpstreamLoad{
			Incarnation: id,
			Work:        uint32(d / time.Millisecond),
		})
	}
	return list
}

// pack returns the loads of the upstreams for followers.
func (b *loadBoard) pack(incarnations []string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	work := b.whole
	if now.Sub(b.at) > loadAge {
		work = map[string]byte{} // there is no leader but this controller
		for id, d := range b.sum(now) {
			work[id] = byte(min((d+workUnit/2)/workUnit, loadMost))
		}
	}
	packed := make([]byte, 0, loadBytes*len(incarnations))
	for _, id := range incarnations {
		w, ok := b.words[id]
		if !ok || now.Sub(w.at) > loadAge {
			w.running, w.waiting = loadUnknown, loadUnknown
		}
		packed = append(packed, w.running, w.waiting, work[id])
	}
	return packed
}

// unpack returns what an update says of the upstreams.
func unpack(incarnations []string, loads []byte) []relay.FleetLoad {
	list := make([]relay.FleetLoad, 0, len(incarnations))
	for i, id := range incarnations {
		l := loads[loadBytes*i : loadBytes*(i+1)]
		x := relay.FleetLoad{
			Incarnation: id,
			Work:        time.Duration(l[2]) * workUnit,
		}
		if l[0] != loadUnknown {
			x.Told = &persimmoncross.Load{
				Running: int(l[0]),
				Waiting: int(l[1]),
			}
		}
		list = append(list, x)
	}
	return list
}
