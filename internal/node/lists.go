package node

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/packed"
	"persimmoncross/io/protocol/wire"
)

// This file sends the list of upstreams to followers: the whole list once and then deltas, both
// in parts.

// listDelta is one change of the list. A list of thousands of upstreams changes by a few at a
// time.
type listDelta struct {
	version uint64 // list version after the change
	changed []persimmoncross.Upstream
	removed []string
}

// maxRecentDeltas is the number of versions by which a follower's list may lag behind before the
// follower is sent the whole list.
const maxRecentDeltas = 32

// diffLists returns the upstreams that were added or changed between two lists, and the IDs of
// those that were removed.
func diffLists(from, to []persimmoncross.Upstream) (changed []persimmoncross.Upstream, removed []string) {
	previous := make(map[string]persimmoncross.Upstream, len(from))
	for _, u := range from {
		previous[u.InstanceID()] = u
	}
	for _, u := range to {
		id := u.InstanceID()
		if old, ok := previous[id]; !ok || !equalUpstream(old, u) {
			changed = append(changed, u)
		}
		delete(previous, id)
	}
	for id := range previous {
		removed = append(removed, id)
	}
	slices.Sort(removed)
	return changed, removed
}

// setList stores the list that was read at the time, and returns false if a list that was read
// later is stored.
func (p *publisher) setList(list []persimmoncross.Upstream, readAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if readAt.Before(p.listReadAt) {
		return false
	}
	p.listReadAt = readAt
	if !slices.EqualFunc(p.list, list, equalUpstream) {
		p.listVersion++
		changed, removed := diffLists(p.list, list)
		p.recentDeltas = append(p.recentDeltas, listDelta{
			version: p.listVersion,
			changed: changed,
			removed: removed,
		})
		if n := len(p.recentDeltas); n > maxRecentDeltas {
			p.recentDeltas = slices.Clone(p.recentDeltas[n-maxRecentDeltas:])
		}
		p.list = list
		p.fullList = nil
		p.packedSince = nil
		p.deltaSince = nil
		p.checksummed = nil
		p.listIDs = make([]string, 0, len(list))
		for _, u := range list {
			p.listIDs = append(p.listIDs, u.InstanceID())
		}
		slices.Sort(p.listIDs)
		p.listIDs = slices.Compact(p.listIDs)
		p.notify()
	}
	return true
}

func equalUpstream(a, b persimmoncross.Upstream) bool {
	return a.Name == b.Name && a.StartedAt.Equal(b.StartedAt) && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Version == b.Version && a.Slots == b.Slots && a.Draining == b.Draining && slices.Equal(a.Models, b.Models)
}

// maxUpstreamsPerUpdate and maxRemovedPerUpdate bound the part of a long list in one update: 10
// KB of upstreams, and 7 KB of removed instance IDs.
const (
	maxUpstreamsPerUpdate = 128
	maxRemovedPerUpdate   = 512
)

// addListPart moves the next part of the list into the update.
func (s *followerState) addListPart(u *wire.Update) {
	upstreamCount := min(maxUpstreamsPerUpdate, len(s.pendingList.Upstreams))
	removedCount := min(maxRemovedPerUpdate, len(s.pendingList.Gone))
	u.Listed = true
	u.Partial = s.pendingList.Partial
	u.Parts = s.pendingList.Parts
	u.Removed = s.pendingList.Removed
	u.Gone = s.pendingList.Gone[:removedCount]
	u.Upstreams = s.pendingList.Upstreams[:upstreamCount]
	if upstreamCount < len(s.pendingList.Upstreams) || removedCount < len(s.pendingList.Gone) {
		u.More = true
		s.pendingList = &wire.Update{
			Partial:   true,
			Upstreams: s.pendingList.Upstreams[upstreamCount:],
			Gone:      s.pendingList.Gone[removedCount:],
		}
		return
	}
	s.pendingList = nil
	if len(s.pendingPacked) > 0 {
		u.More = true
		return
	}
	s.listIDs = s.pendingListIDs
}

// maxUpstreamsPerPackedPart bounds a packed part of a whole list: 12 KB if the upstreams are
// similar.
const maxUpstreamsPerPackedPart = 4 * maxUpstreamsPerUpdate

// packedParts returns the upstreams of a list or delta in packed parts, which take a quarter of
// the bytes or less. They are packed once for all followers with the same list version. A delta
// from checksums is packed for its follower alone. The caller holds mu.
func (p *publisher) packedParts(since uint64, u *wire.Update) [][]byte {
	if since == 0 && u.GetPartial() {
		return packUpstreams(u.GetUpstreams())
	}
	if p.packedSince[since] == nil {
		if p.packedSince == nil {
			p.packedSince = map[uint64][][]byte{}
		}
		p.packedSince[since] = packUpstreams(u.GetUpstreams())
	}
	return p.packedSince[since]
}

func packUpstreams(list []*wire.Upstream) (parts [][]byte) {
	for part := range slices.Chunk(list, maxUpstreamsPerPackedPart) {
		data, err := proto.Marshal(&wire.Update{
			Upstreams: part,
		})
		if err != nil {
			panic("node: " + err.Error()) // the fields are validated when the list is read
		}
		parts = append(parts, packed.Whole(data))
	}
	return parts
}

// setPendingPacked schedules the upstreams of the pending list to be sent as packed parts,
// after the other changes of that list.
func (s *followerState) setPendingPacked(parts [][]byte) {
	s.pendingPacked = parts
	s.pendingPackedIsPartial = s.pendingList.GetPartial()
	s.pendingList.Upstreams = nil
	if !s.pendingPackedIsPartial || len(s.pendingList.GetGone())+len(s.pendingList.GetParts())+len(s.pendingList.GetRemoved()) == 0 {
		s.pendingList = nil
	}
}

// addPackedPart moves the next packed part into the update.
func (s *followerState) addPackedPart(u *wire.Update) {
	u.Listed = true
	u.Partial = s.pendingPackedIsPartial
	u.Packed = s.pendingPacked[0]
	s.pendingPacked = s.pendingPacked[1:]
	s.pendingPackedIsPartial = true
	if u.More = len(s.pendingPacked) > 0; !u.More {
		s.listIDs = s.pendingListIDs
	}
}

// unpackUpstreams appends the packed upstreams of an update to its other upstreams.
func unpackUpstreams(u *wire.Update) error {
	if len(u.GetPacked()) == 0 {
		return nil
	}
	data, err := packed.Open(u.GetPacked(), nil)
	if err != nil {
		return err
	}
	unpacked := &wire.Update{}
	if err := proto.Unmarshal(data, unpacked); err != nil {
		return err
	}
	u.Upstreams = append(u.Upstreams, unpacked.GetUpstreams()...)
	return nil
}

// encodeRemovedBitmap replaces the removed instance IDs of the pending list by a bitmap over
// the follower's list if the bitmap is shorter: hundreds of instances are removed at once when
// a data centre is lost.
func (s *followerState) encodeRemovedBitmap() {
	removed := s.pendingList.GetGone()
	idBytes := 0
	for _, id := range removed {
		idBytes += len(id)
	}
	if !s.acceptsBitmaps || !s.pendingList.GetPartial() || 8*idBytes <= len(s.listIDs) {
		return
	}
	bitmap := make([]byte, (len(s.listIDs)+7)/8)
	for _, id := range removed {
		i, found := slices.BinarySearch(s.listIDs, id)
		if !found {
			return // the follower's list lacks this instance
		}
		bitmap[i/8] |= 1 << (i % 8)
	}
	s.pendingList.Gone = nil
	s.pendingList.Removed = bitmap
}

// applyRemovedBitmap removes the instances in an update's bitmap from the list.
func (c *controllerStream) applyRemovedBitmap(u *wire.Update) error {
	bitmap := u.GetRemoved()
	if len(bitmap) == 0 {
		return nil
	}
	if len(bitmap) != (len(c.listIDs)+7)/8 {
		return newError("follow", Unavailable, errBitmapLength)
	}
	for i, id := range c.listIDs {
		if bitmap[i/8]&(1<<(i%8)) != 0 {
			delete(c.upstreams, id)
		}
	}
	return nil
}

var errBitmapLength = errors.New("the length of the bitmap of removed upstreams does not match the list")

// listDeltaSince returns the changes of the list since the version, or the whole list if those
// changes are no longer kept. The result is computed once for all followers with that version;
// each gets its own message that shares the slices. The caller holds mu.
func (p *publisher) listDeltaSince(since uint64) *wire.Update {
	u := p.deltaSince[since]
	if u == nil {
		u = p.buildListDelta(since)
		if p.deltaSince == nil {
			p.deltaSince = map[uint64]*wire.Update{}
		}
		p.deltaSince[since] = u
	}
	return &wire.Update{
		Partial:   u.GetPartial(),
		Upstreams: u.GetUpstreams(),
		Gone:      u.GetGone(),
	}
}

func (p *publisher) buildListDelta(since uint64) *wire.Update {
	if since == 0 || len(p.recentDeltas) == 0 || p.recentDeltas[0].version > since+1 {
		if p.fullList == nil {
			p.fullList = make([]*wire.Upstream, 0, len(p.list))
			for _, x := range p.list {
				p.fullList = append(p.fullList, toWireUpstream(x))
			}
		}
		return &wire.Update{
			Upstreams: p.fullList,
		}
	}
	changed := map[string]persimmoncross.Upstream{}
	removed := map[string]bool{}
	for _, c := range p.recentDeltas {
		if c.version <= since {
			continue
		}
		for _, x := range c.changed {
			id := x.InstanceID()
			changed[id] = x
			delete(removed, id)
		}
		for _, id := range c.removed {
			removed[id] = true
			delete(changed, id)
		}
	}
	u := &wire.Update{
		Partial: true,
		Gone:    slices.Sorted(maps.Keys(removed)),
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		u.Upstreams = append(u.Upstreams, toWireUpstream(changed[id]))
	}
	return u
}

func toWireUpstream(u persimmoncross.Upstream) *wire.Upstream {
	started := int64(0)
	if !u.StartedAt.IsZero() {
		started = u.StartedAt.UnixMilli()
	}
	return &wire.Upstream{
		Started:     started,
		Incarnation: u.Name,
		Service:     u.Service,
		Address:     u.Address.String(),
		Datacentre:  u.DataCentre,
		Version:     u.Version,
		Slots:       uint32(u.Slots),
		Leaving:     u.Draining,
		Models:      u.Models,
	}
}

// upstreamsOf returns the list of an update, without upstreams whose address can't be parsed.
func upstreamsOf(m *wire.Update) []persimmoncross.Upstream {
	var list []persimmoncross.Upstream
	for _, x := range m.GetUpstreams() {
		if u, ok := fromWireUpstream(x); ok {
			list = append(list, u)
		}
	}
	return list
}

func fromWireUpstream(x *wire.Upstream) (u persimmoncross.Upstream, ok bool) {
	address, err := netip.ParseAddrPort(x.GetAddress())
	if err != nil {
		return u, false
	}
	u = persimmoncross.Upstream{
		Name:       x.GetIncarnation(),
		Service:    x.GetService(),
		Address:    address,
		DataCentre: x.GetDatacentre(),
		Version:    x.GetVersion(),
		Slots:      int(x.GetSlots()),
		Draining:   x.GetLeaving(),
		Models:     x.GetModels(),
	}
	if ms := x.GetStarted(); ms != 0 {
		u.StartedAt = time.UnixMilli(ms)
	}
	return u, true
}
