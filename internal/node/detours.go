package node

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
	"persimmoncross/core/coordination/detour"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/io/protocol/wire"
	detourio "persimmoncross/io/transport/detour"
	"persimmoncross/io/transport/forward"
	"persimmoncross/io/transport/peer"
	"persimmoncross/io/transport/socket"
)

// An entry that loses its paths to upstreams connects to them through other entries. Which ones it
// may use is told to it before: the entries report their peer addresses, the leader sends all of
// them to the other controllers, and each controller sends its followers some. No leader is needed
// to use them, and an entry that loses its controllers keeps those that it knows.

const (
	// maxLocalDetours and maxRemoteDetours limit the entries that one entry is told of, in its own
	// and in other data centres: a data centre may lose its paths as a whole. Each entry is told of
	// others, so that many entries without paths spread over many with paths.
	maxLocalDetours  = 3
	maxRemoteDetours = 6
	// detourRetention is how long after its last report an entry is used for detours, and
	// placeRetention how long its place is kept for it.
	detourRetention = 15 * time.Second
	placeRetention  = time.Minute
	// detourUpdateInterval is how long the sorted set is reused while no entry comes.
	detourUpdateInterval = 500 * time.Millisecond
	// detourInterval is the interval at which controllers are sent all entries again.
	detourInterval = 5 * time.Second
)

// detourEntry is an entry through which others may connect to upstreams.
type detourEntry struct {
	peer       string
	dataCentre string
}

// detourRegistry holds the entries that a controller knows. The leader also gives each entry a place
// among all of them, which it keeps over restarts, so that entries can divide what they share without
// further messages.
type detourRegistry struct {
	clock persimmoncross.Clock
	// isLeader reports whether this controller leads; nil: it does not.
	isLeader func() bool

	mu       sync.Mutex // guards all below
	entries  map[detourEntry]*registeredEntry
	peerByVM map[string]string // peer address by the name of an own follower
	version  uint64            // number of changes of the set and the places
	sorted   []detourEntry     // of sortedAt and sortedVersion
	sortedAt time.Time
	// sortedVersion is the version that sorted has.
	sortedVersion uint64
}

// registeredEntry is what is known of an entry.
type registeredEntry struct {
	seenAt time.Time
	place  int // from 1; 0: none yet
}

// report records an entry's own report.
func (r *detourRegistry) report(a *wire.Account) {
	if !a.GetEntry() || a.GetPeer() == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peerByVM == nil {
		r.peerByVM = map[string]string{}
	}
	r.peerByVM[a.GetVm()] = a.GetPeer()
	r.see(detourEntry{
		peer:       a.GetPeer(),
		dataCentre: a.GetDatacentre(),
	})
}

// merge records the entries that the leader sent, with their places.
func (r *detourRegistry) merge(list []*wire.Vm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range list {
		e := r.see(detourEntry{
			peer:       x.GetPeer(),
			dataCentre: x.GetDatacentre(),
		})
		if place := int(x.GetPlace()); place > 0 && place != e.place {
			r.release(place)
			e.place = place
			r.version++
		}
	}
}

// release takes the place from the entry that has it. The caller holds mu.
func (r *detourRegistry) release(place int) {
	for _, e := range r.entries {
		if e.place == place {
			e.place = 0
		}
	}
}

// see records that an entry is present. The caller holds mu.
func (r *detourRegistry) see(entry detourEntry) *registeredEntry {
	if r.entries == nil {
		r.entries = map[detourEntry]*registeredEntry{}
	}
	e := r.entries[entry]
	if e == nil {
		e = &registeredEntry{}
		r.entries[entry] = e
		r.version++
	}
	e.seenAt = r.clock.Now()
	return e
}

// update drops the entries that have not been seen for long, and gives places to those without one if
// this controller leads. The caller holds mu.
func (r *detourRegistry) update() {
	now := r.clock.Now()
	peers := map[string]bool{}
	for entry, e := range r.entries {
		if now.Sub(e.seenAt) > placeRetention {
			delete(r.entries, entry)
			r.version++
			continue
		}
		peers[entry.peer] = true
	}
	if r.isLeader != nil && r.isLeader() {
		r.assignPlaces()
	}
	for vm, peer := range r.peerByVM {
		if !peers[peer] {
			delete(r.peerByVM, vm)
		}
	}
	r.sorted = slices.SortedFunc(maps.Keys(r.entries), func(a, b detourEntry) int { return cmp.Compare(a.peer, b.peer) })
	r.sorted = slices.DeleteFunc(r.sorted, func(e detourEntry) bool { return now.Sub(r.entries[e].seenAt) > detourRetention })
}

// assignPlaces gives the lowest free places to the entries without one. The caller holds mu.
func (r *detourRegistry) assignPlaces() {
	taken := map[int]bool{}
	for _, e := range r.entries {
		taken[e.place] = true
	}
	next := 1
	for _, entry := range slices.SortedFunc(maps.Keys(r.entries), func(a, b detourEntry) int { return cmp.Compare(a.peer, b.peer) }) {
		e := r.entries[entry]
		if e.place > 0 {
			continue
		}
		for taken[next] {
			next++
		}
		e.place = next
		taken[next] = true
		r.version++
	}
}

// place returns the place of an own follower among all entries, from 1, and how many places there are;
// 0 if it has none.
func (r *detourRegistry) place(vm string) (place, places int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry, e := range r.entries {
		places = max(places, e.place)
		if entry.peer == r.peerByVM[vm] {
			place = e.place
		}
	}
	return place, places
}

// current returns the entries that are present, sorted, and the version of the set.
func (r *detourRegistry) current() ([]detourEntry, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.version == r.sortedVersion && now.Sub(r.sortedAt) < detourUpdateInterval {
		return r.sorted, r.version
	}
	before := len(r.sorted)
	r.update()
	if len(r.sorted) != before {
		r.version++
	}
	r.sortedAt, r.sortedVersion = now, r.version
	return r.sorted, r.version
}

// placeOf returns the entry's place, 0 for none.
func (r *detourRegistry) placeOf(entry detourEntry) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[entry]; e != nil {
		return e.place
	}
	return 0
}

// sentDetours is what was sent of the entries to one follower.
type sentDetours struct {
	version uint64
	list    []detourEntry
	sentAt  time.Time
}

// addDetours adds the entries to an update for a follower, if they changed.
func (r *detourRegistry) addDetours(u *wire.Update, s *followerState, now time.Time) {
	entries, version := r.current()
	repeat := !s.entry && now.Sub(s.detours.sentAt) >= detourInterval
	if version == s.detours.version && !repeat {
		return
	}
	s.detours.version = version
	if s.entry {
		place, places := r.place(s.vm)
		u.Place, u.Places = uint32(place), uint32(places)
		entries = detoursFor(s.vm, s.dataCentre, entries)
		if slices.Equal(entries, s.detours.list) {
			return
		}
	}
	s.detours.list, s.detours.sentAt = entries, now
	for _, e := range entries {
		u.Detours = append(u.Detours, &wire.Vm{
			Peer:       e.peer,
			Datacentre: e.dataCentre,
			Place:      uint32(r.placeOf(e)),
		})
	}
}

// detoursFor returns the entries that one entry is told of. They are chosen by rendezvous hashing,
// so that few change when entries come and go.
func detoursFor(name, dataCentre string, entries []detourEntry) []detourEntry {
	ranked := slices.Clone(entries)
	weight := map[detourEntry]uint64{}
	for _, e := range ranked {
		weight[e] = xxhash.Sum64String(name + "\x00" + e.peer)
	}
	slices.SortFunc(ranked, func(a, b detourEntry) int { return cmp.Compare(weight[a], weight[b]) })
	var chosen []detourEntry
	local, remote := 0, 0
	for _, e := range ranked {
		count, limit := &remote, maxRemoteDetours
		if e.dataCentre == dataCentre {
			count, limit = &local, maxLocalDetours
		}
		if *count < limit {
			*count++
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// applyDetours replaces the entries through which this one may connect to upstreams.
func (e *Entry) applyDetours(list []*wire.Vm) {
	var peers []detour.Peer
	for _, x := range list {
		if x.GetPeer() != e.Site.Peer.String() {
			peers = append(peers, detour.Peer{
				Name:       x.GetPeer(),
				DataCentre: x.GetDatacentre(),
			})
		}
	}
	if len(peers) > 0 {
		e.paths.SetPeers(peers)
	}
}

// prepareDetours creates the components that connect to upstreams through other entries, and connect
// other entries to upstreams.
func (e *Entry) prepareDetours() {
	direct := e.DialUpstream
	if direct == nil {
		direct = e.dialUpstream
	}
	direct = e.gate.measureDials(direct)
	e.paths = &detour.Paths{}
	e.dialer = &detourio.Dialer{
		Paths:      e.paths,
		Direct:     direct,
		Node:       e.node,
		DataCentre: e.Site.DataCentre,
		OnLost: func(lost netip.AddrPort) {
			e.client.CloseDirect(func(a netip.AddrPort) bool { return a == lost })
		},
		OnLostAll: func() {
			e.client.CloseDirect(func(netip.AddrPort) bool { return true })
		},
		Clock:   e.Clock,
		Metrics: e.Metrics,
		Log:     e.Log,
	}
	e.detours = &detourio.Server{
		Paths:   e.paths,
		Direct:  direct,
		Known:   e.isUpstream,
		Clock:   e.Clock,
		Metrics: e.Metrics,
	}
}

// dialUpstream opens a direct TCP connection to an upstream, by its gateway if the site file names one.
func (e *Entry) dialUpstream(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if via, ok := e.Site.UpstreamVia[address.Addr().String()]; ok {
		address = netip.AddrPortFrom(via, address.Port())
	}
	return forward.DialDirect(ctx, address)
}

// isUpstream reports whether an upstream on this entry's list is at the address.
func (e *Entry) isUpstream(address netip.AddrPort) bool {
	v := e.view.Load()
	if v == nil {
		return false
	}
	for _, targets := range v.Targets {
		if slices.ContainsFunc(targets, func(t *relay.Target) bool { return t.Address == address }) {
			return true
		}
	}
	return false
}

// entryHandler handles calls from other entries. It implements [peer.Handler].
type entryHandler struct {
	entry *Entry
}

// Receive implements [peer.Handler]. Entries take no part in consensus.
func (h *entryHandler) Receive(persimmoncross.Message) {}

// Call implements [peer.Handler].
func (h *entryHandler) Call(ctx context.Context, call *wire.Call, s *peer.Stream) {
	if d := call.GetDetour(); d != nil {
		h.entry.detours.Serve(ctx, d, s)
	}
}

// listenForPeers returns the listener for other entries. An entry without one still serves callers.
func (e *Entry) listenForPeers(ctx context.Context) net.Listener {
	l, err := socket.Listen().Listen(ctx, "tcp", e.Site.Peer.String())
	if err != nil {
		e.Log.Error().Err(err).Str("peer", e.Site.Peer.String()).Msg("other entries can't connect to upstreams through this one")
		return nil
	}
	return l
}
