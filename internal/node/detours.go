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
	// detourRetention is how long after its last report an entry is kept.
	detourRetention = 20 * time.Second
	// detourInterval is the interval at which controllers are sent all entries again.
	detourInterval = 5 * time.Second
)

// detourEntry is an entry through which others may connect to upstreams.
type detourEntry struct {
	peer       string
	dataCentre string
}

// detourRegistry holds the entries that a controller knows.
type detourRegistry struct {
	clock persimmoncross.Clock

	mu      sync.Mutex // guards all below
	seenAt  map[detourEntry]time.Time
	version uint64 // number of changes of the set
	sorted  []detourEntry
}

// report records an entry's own report.
func (r *detourRegistry) report(a *wire.Account) {
	if a.GetEntry() && a.GetPeer() != "" {
		r.add([]detourEntry{{
			peer:       a.GetPeer(),
			dataCentre: a.GetDatacentre(),
		}})
	}
}

// merge records the entries that the leader sent.
func (r *detourRegistry) merge(list []*wire.Vm) {
	entries := make([]detourEntry, 0, len(list))
	for _, x := range list {
		entries = append(entries, detourEntry{
			peer:       x.GetPeer(),
			dataCentre: x.GetDatacentre(),
		})
	}
	r.add(entries)
}

func (r *detourRegistry) add(entries []detourEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seenAt == nil {
		r.seenAt = map[detourEntry]time.Time{}
	}
	now := r.clock.Now()
	for _, e := range entries {
		if _, known := r.seenAt[e]; !known {
			r.version++
		}
		r.seenAt[e] = now
	}
}

// current returns the entries, sorted, and the version of the set.
func (r *detourRegistry) current() ([]detourEntry, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for e, at := range r.seenAt {
		if now.Sub(at) > detourRetention {
			delete(r.seenAt, e)
			r.version++
		}
	}
	if len(r.sorted) != len(r.seenAt) || !r.isSorted() {
		r.sorted = slices.SortedFunc(maps.Keys(r.seenAt), func(a, b detourEntry) int { return cmp.Compare(a.peer, b.peer) })
	}
	return r.sorted, r.version
}

// isSorted reports whether sorted holds the current set. The caller holds mu.
func (r *detourRegistry) isSorted() bool {
	for _, e := range r.sorted {
		if _, known := r.seenAt[e]; !known {
			return false
		}
	}
	return true
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
		direct = forward.DialDirect
	}
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
