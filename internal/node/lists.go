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

// How the list of upstreams goes to followers: whole once, and then what changes,
// in parts.

// listDelta is what one change of the list was: a list of thousands changes by
// a few.
type listDelta struct {
	version uint64 // the count after it
	changed []persimmoncross.Upstream
	removed []string
}

// maxRecentDeltas bounds the changes that a follower may lag behind before it is sent
// the whole list.
const maxRecentDeltas = 32

// diffLists returns how a list became another.
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

// setList takes the list as it was at the time, unless a later one is held.
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
	return a.Incarnation == b.Incarnation && a.StartedAt.Equal(b.StartedAt) && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Version == b.Version && a.Slots == b.Slots && a.Draining == b.Draining && slices.Equal(a.Models, b.Models)
}

// maxUpstreamsPerUpdate and maxRemovedPerUpdate bound an update of a list of thousands: 10 KB
// of upstreams, and 7 KB of the lives that are over.
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

// maxUpstreamsPerPackedPart bounds a packed part of a whole list: 12 KB of upstreams that look like
// each other.
const maxUpstreamsPerPackedPart = 4 * maxUpstreamsPerUpdate

// packedParts returns the upstreams of a part of the list in packed parts, a quarter of
// the bytes or less, made once for all followers that had the same count of changes.
// One that had none has its own parts. The caller holds mu.
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
			panic("node: " + err.Error()) // the fields are checked when they are read
		}
		parts = append(parts, packed.Whole(data))
	}
	return parts
}

// setPendingPacked lets the upstreams of the list that is to be sent go in packed parts, after what
// else there is to tell of it.
func (s *followerState) setPendingPacked(parts [][]byte) {
	s.pendingPacked = parts
	s.listStarted = s.pendingList.GetPartial()
	s.pendingList.Upstreams = nil
	if !s.listStarted || len(s.pendingList.GetGone())+len(s.pendingList.GetParts())+len(s.pendingList.GetRemoved()) == 0 {
		s.pendingList = nil
	}
}

// addPackedPart moves the next packed part into the update.
func (s *followerState) addPackedPart(u *wire.Update) {
	u.Listed = true
	u.Partial = s.listStarted
	u.Packed = s.pendingPacked[0]
	s.pendingPacked = s.pendingPacked[1:]
	s.listStarted = true
	if u.More = len(s.pendingPacked) > 0; !u.More {
		s.listIDs = s.pendingListIDs
	}
}

// unpackUpstreams puts the packed upstreams of an update among the others.
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

// encodeRemovedBitmap replaces the names of removed lives by a bitmap over the list that the
// follower holds, where that is shorter: hundreds of lives end at once when a data centre
// is lost.
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
			return // the follower does not hold it
		}
		bitmap[i/8] |= 1 << (i % 8)
	}
	s.pendingList.Gone = nil
	s.pendingList.Removed = bitmap
}

// applyRemovedBitmap removes the lives of an update's bitmap from the list.
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

var errBitmapLength = errors.New("a bitmap over a list of another length")

// listDeltaSince returns the list as a follower with the count lacks it: what
// changed, or all of it where that is not known any more. It is made once for all of
// them; a follower's own copy shares what it holds. The caller holds mu.
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
		Incarnation: u.Incarnation,
		Service:     u.Service,
		Address:     u.Address.String(),
		Datacentre:  u.DataCentre,
		Version:     u.Version,
		Slots:       uint32(u.Slots),
		Leaving:     u.Draining,
		Models:      u.Models,
	}
}

// upstreamsOf returns the list of an update; an address that can't be read is
// left out.
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
		Incarnation: x.GetIncarnation(),
		Service:     x.GetService(),
		Address:     address,
		DataCentre:  x.GetDatacentre(),
		Version:     x.GetVersion(),
		Slots:       int(x.GetSlots()),
		Draining:    x.GetLeaving(),
		Models:      x.GetModels(),
	}
	if ms := x.GetStarted(); ms != 0 {
		u.StartedAt = time.UnixMilli(ms)
	}
	return u, true
}
