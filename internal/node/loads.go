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
	loadBytes   = 6 // for each upstream: silence, age, running, waiting, work, doubters
	loadUnknown = 255
	loadMost    = 254
	loadUnit    = 20 * time.Millisecond // of ages and work
	// loadAge is how long an upstream's word, or a sender's account of its work,
	// is used.
	loadAge = 1500 * time.Millisecond
	// loadRate bounds the bytes a second of loads to one follower; with thousands
	// of upstreams they are sent less often.
	loadRate = 10_000
	// loadWork is the pause for each upstream: a follower goes through all of them, a
	// percent of an entry's core with thousands.
	loadWork = 300 * time.Microsecond
)

// loadBoard adds up what the entries know of the upstreams' loads. One of many
// entries hears an upstream seldom and makes a small part of its work; together
// they know all of it. The leader's board has the whole; the others send it their
// entries' part, and pass on what it sends.
type loadBoard struct {
	clock persimmoncross.Clock

	mu    sync.Mutex // guards all below
	words map[string]boardWord
	heard map[string]boardHeard // when bytes came from an upstream
	work  map[string]senderWork // by sender
	whole map[string]partOf     // by upstream, as the leader sent it
	at    time.Time             // of whole
	told  toldLoads
}

// toldLoads are the loads as followers of one list are told of them.
type toldLoads struct {
	lives []string // the list's, shared by all who have it
	at    time.Time
	dense []byte
	known []byte
}

// toldWork is for how long followers are told the same, for each upstream: with thousands
// it takes longer to put together than to send to hundreds, and with a hundred each is
// told what is newest.
const toldWork = 30 * time.Microsecond

// tell returns the loads of the upstreams for followers that have the list, of all and
// of those of which anything is known. They are shared and never changed.
func (b *loadBoard) tell(lives []string) (dense, known []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	same := len(lives) == len(b.told.lives) && (len(lives) == 0 || &lives[0] == &b.told.lives[0])
	if !same || now.Sub(b.told.at) > toldWork*time.Duration(len(lives)) {
		dense := b.pack(lives, now)
		b.told = toldLoads{
			lives: lives,
			at:    now,
			dense: dense,
			known: sparse(dense),
		}
	}
	return b.told.dense, b.told.known
}

// boardWord is what an upstream told of itself.
type boardWord struct {
	running byte
	waiting byte
	at      time.Time
	fresh   bool // came from an entry and was not relayed yet
}

// boardHeard tells when bytes came from an upstream.
type boardHeard struct {
	at    time.Time
	fresh bool // came from an entry and was not relayed yet
}

// partOf is what one sender, or all, have to tell of an upstream.
type partOf struct {
	work     time.Duration // the reading that is awaited
	doubters int           // entries
}

// senderWork is what one sender has to tell, by upstream.
type senderWork struct {
	by map[string]partOf
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
		by: make(map[string]partOf, len(loads)),
		at: now,
	}
	for _, l := range loads {
		if l.GetWork() > 0 || l.GetDoubters() > 0 {
			w.by[l.GetLife()] = partOf{
				work:     time.Duration(l.GetWork()) * time.Millisecond,
				doubters: int(l.GetDoubters()),
			}
		}
		if l.GetHeard() {
			b.hear(l.GetLife(), boardHeard{
				at:    now.Add(-time.Duration(l.GetSilence()) * time.Millisecond),
				fresh: true,
			})
		}
		if l.GetTold() {
			b.keep(l.GetLife(), boardWord{
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

// hear takes a sign of life that is later than the one kept.
func (b *loadBoard) hear(id string, h boardHeard) {
	if b.heard == nil {
		b.heard = map[string]boardHeard{}
	}
	if h.at.After(b.heard[id].at) {
		b.heard[id] = h
	}
}

// learn takes the loads that the leader sent.
func (b *loadBoard) learn(lives []string, loads []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = b.clock.Now()
	b.whole = make(map[string]partOf, len(lives))
	for _, l := range unpack(lives, loads) {
		b.whole[l.Life] = partOf{
			work:     l.Work,
			doubters: l.Doubters,
		}
		if l.Heard {
			b.hear(l.Life, boardHeard{
				at: b.at.Add(-l.Silence),
			})
		}
		if l.Told != nil {
			b.keep(l.Life, boardWord{
				running: byte(l.Told.Running),
				waiting: byte(l.Told.Waiting),
				at:      b.at.Add(-l.Age),
			})
		}
	}
}

// sum adds up what the senders tell, and forgets those that are silent. The
// caller holds mu.
func (b *loadBoard) sum(now time.Time) map[string]partOf {
	sum := map[string]partOf{}
	for sender, w := range b.work {
		if now.Sub(w.at) > loadAge {
			delete(b.work, sender)
			continue
		}
		for id, p := range w.by {
			all := sum[id]
			all.work += p.work
			all.doubters += p.doubters
			sum[id] = all
		}
	}
	return sum
}

// account returns this controller's part for the leader: what its entries tell,
// and the upstreams' words that came since the call before.
func (b *loadBoard) account() []*wire.UpstreamLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	list := map[string]*wire.UpstreamLoad{}
	of := func(id string) *wire.UpstreamLoad {
		if list[id] == nil {
			list[id] = &wire.UpstreamLoad{
				Life: id,
			}
		}
		return list[id]
	}
	for id, p := range b.sum(now) {
		l := of(id)
		l.Work = uint32(p.work / time.Millisecond)
		l.Doubters = uint32(p.doubters)
	}
	for id, h := range b.heard {
		silence := now.Sub(h.at)
		switch {
		case silence > loadAge:
			delete(b.heard, id)
		case h.fresh:
			h.fresh = false
			b.heard[id] = h
			l := of(id)
			l.Heard = true
			l.Silence = uint32(max(silence, 0) / time.Millisecond)
		}
	}
	for id, w := range b.words {
		age := now.Sub(w.at)
		switch {
		case age > loadAge:
			delete(b.words, id)
		case w.fresh:
			w.fresh = false
			b.words[id] = w
			l := of(id)
			l.Told = true
			l.Running = uint32(w.running)
			l.Waiting = uint32(w.waiting)
			l.Age = uint32(max(age, 0) / time.Millisecond)
		}
	}
	return slices.Collect(maps.Values(list))
}

// pack returns the loads of the upstreams. The caller holds mu.
func (b *loadBoard) pack(lives []string, now time.Time) []byte {
	parts := b.whole
	if now.Sub(b.at) > loadAge {
		parts = b.sum(now) // there is no leader but this controller
	}
	packed := make([]byte, 0, loadBytes*len(lives))
	for _, id := range lives {
		w, ok := b.words[id]
		age := now.Sub(w.at)
		if !ok || age > loadAge {
			w.running, w.waiting, age = 0, 0, loadUnknown*loadUnit
		}
		silence := time.Duration(loadUnknown * loadUnit)
		if h, ok := b.heard[id]; ok && now.Sub(h.at) <= loadAge {
			silence = now.Sub(h.at)
		}
		p := parts[id]
		packed = append(packed, units(silence), units(age), w.running, w.waiting, units(p.work), byte(min(p.doubters, loadMost)))
	}
	return packed
}

// nothingKnown are the bytes of an upstream of which nothing is known.
var nothingKnown = []byte{loadUnknown, loadUnknown, 0, 0, 0, 0}

// sparse leaves the upstreams out of which nothing is known: of thousands most are, where
// callers are few.
func sparse(loads []byte) []byte {
	n := len(loads) / loadBytes
	known := make([]byte, (n+7)/8, (n+7)/8+len(loads))
	for i := range n {
		l := loads[loadBytes*i : loadBytes*(i+1)]
		if !bytes.Equal(l, nothingKnown) {
			known[i/8] |= 1 << (i % 8)
			known = append(known, l...)
		}
	}
	return known
}

// dense returns the loads of so many upstreams, nil if they are of another number.
func dense(known []byte, n int) []byte {
	head := (n + 7) / 8
	if n == 0 || len(known) < head {
		return nil
	}
	rest := known[head:]
	loads := make([]byte, 0, loadBytes*n)
	for i := range n {
		if known[i/8]&(1<<(i%8)) == 0 {
			loads = append(loads, nothingKnown...)
			continue
		}
		if len(rest) < loadBytes {
			return nil
		}
		loads = append(loads, rest[:loadBytes]...)
		rest = rest[loadBytes:]
	}
	if len(rest) > 0 {
		return nil
	}
	return loads
}

// units returns a duration as a byte: loadUnknown only for what is no less.
func units(d time.Duration) byte {
	if d >= loadUnknown*loadUnit {
		return loadUnknown
	}
	return byte(max(d+loadUnit/2, 0) / loadUnit)
}

// loadPause returns the pause after so many bytes of loads of so many upstreams.
func loadPause(sent, upstreams int) time.Duration {
	return max(loadEvery, time.Duration(sent)*time.Second/loadRate, time.Duration(upstreams)*loadWork)
}

// unpack returns what an update says of the upstreams.
func unpack(lives []string, loads []byte) []relay.FleetLoad {
	list := make([]relay.FleetLoad, 0, len(lives))
	for i, id := range lives {
		l := loads[loadBytes*i : loadBytes*(i+1)]
		x := relay.FleetLoad{
			Life:     id,
			Heard:    l[0] != loadUnknown,
			Silence:  time.Duration(l[0]) * loadUnit,
			Work:     time.Duration(l[4]) * loadUnit,
			Doubters: int(l[5]),
		}
		if l[1] != loadUnknown {
			x.Age = time.Duration(l[1]) * loadUnit
			x.Told = &persimmoncross.Load{
				Running: int(l[2]),
				Waiting: int(l[3]),
			}
		}
		list = append(list, x)
	}
	return list
}
