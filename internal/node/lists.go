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

// listChange is what one change of the list was: a list of thousands changes by
// a few.
type listChange struct {
	listed  uint64 // the count after it
	changed []persimmoncross.Upstream
	gone    []string
}

// keptChanges bounds the changes that a follower may lag behind before it is sent
// the whole list.
const keptChanges = 32

// difference returns how a list became another.
func difference(from, to []persimmoncross.Upstream) (changed []persimmoncross.Upstream, gone []string) {
	before := make(map[string]persimmoncross.Upstream, len(from))
	for _, u := range from {
		before[u.Life()] = u
	}
	for _, u := range to {
		life := u.Life()
		if old, ok := before[life]; !ok || !sameUpstream(old, u) {
			changed = append(changed, u)
		}
		delete(before, life)
	}
	for id := range before {
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return changed, gone
}

// setList takes the list as it was at the time, unless a later one is held.
func (h *hub) setList(list []persimmoncross.Upstream, read time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if read.Before(h.read) {
		return false
	}
	h.read = read
	if !slices.EqualFunc(h.list, list, sameUpstream) {
		h.listed++
		changed, gone := difference(h.list, list)
		h.changes = append(h.changes, listChange{
			listed:  h.listed,
			changed: changed,
			gone:    gone,
		})
		if n := len(h.changes); n > keptChanges {
			h.changes = slices.Clone(h.changes[n-keptChanges:])
		}
		h.list = list
		h.whole = nil
		h.packed = nil
		h.lacks = nil
		h.summed = nil
		h.order = make([]string, 0, len(list))
		for _, u := range list {
			h.order = append(h.order, u.Life())
		}
		slices.Sort(h.order)
		h.order = slices.Compact(h.order)
		h.wake()
	}
	return true
}

func sameUpstream(a, b persimmoncross.Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Started.Equal(b.Started) && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Version == b.Version && a.Slots == b.Slots && a.Leaving == b.Leaving && slices.Equal(a.Models, b.Models)
}

// upstreamsAtOnce and goneAtOnce bound an update of a list of thousands: 10 KB
// of upstreams, and 7 KB of the lives that are over.
const (
	upstreamsAtOnce = 128
	goneAtOnce      = 512
)

// listPart moves the next part of the list into the update.
func (s *sent) listPart(u *wire.Update) {
	n := min(upstreamsAtOnce, len(s.list.Upstreams))
	g := min(goneAtOnce, len(s.list.Gone))
	u.Listed = true
	u.Partial = s.list.Partial
	u.Parts = s.list.Parts
	u.Removed = s.list.Removed
	u.Gone = s.list.Gone[:g]
	u.Upstreams = s.list.Upstreams[:n]
	if n < len(s.list.Upstreams) || g < len(s.list.Gone) {
		u.More = true
		s.list = &wire.Update{
			Partial:   true,
			Upstreams: s.list.Upstreams[n:],
			Gone:      s.list.Gone[g:],
		}
		return
	}
	s.list = nil
	if len(s.packed) > 0 {
		u.More = true
		return
	}
	s.order = s.next
}

// packedAtOnce bounds a packed part of a whole list: 12 KB of upstreams that look like
// each other.
const packedAtOnce = 4 * upstreamsAtOnce

// packedList returns the upstreams of a part of the list in packed parts, a quarter of
// the bytes or less, made once for all followers that had the same count of changes.
// One that had none has its own parts. The caller holds mu.
func (h *hub) packedList(since uint64, u *wire.Update) [][]byte {
	if since == 0 && u.GetPartial() {
		return packUpstreams(u.GetUpstreams())
	}
	if h.packed[since] == nil {
		if h.packed == nil {
			h.packed = map[uint64][][]byte{}
		}
		h.packed[since] = packUpstreams(u.GetUpstreams())
	}
	return h.packed[since]
}

func packUpstreams(list []*wire.Upstream) (parts [][]byte) {
	for part := range slices.Chunk(list, packedAtOnce) {
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

// pack lets the upstreams of the list that is to be sent go in packed parts, after what
// else there is to tell of it.
func (s *sent) pack(parts [][]byte) {
	s.packed = parts
	s.begun = s.list.GetPartial()
	s.list.Upstreams = nil
	if !s.begun || len(s.list.GetGone())+len(s.list.GetParts())+len(s.list.GetRemoved()) == 0 {
		s.list = nil
	}
}

// packedPart moves the next packed part into the update.
func (s *sent) packedPart(u *wire.Update) {
	u.Listed = true
	u.Partial = s.begun
	u.Packed = s.packed[0]
	s.packed = s.packed[1:]
	s.begun = true
	if u.More = len(s.packed) > 0; !u.More {
		s.order = s.next
	}
}

// openPacked puts the packed upstreams of an update among the others.
func openPacked(u *wire.Update) error {
	if len(u.GetPacked()) == 0 {
		return nil
	}
	data, err := packed.Open(u.GetPacked(), nil)
	if err != nil {
		return err
	}
	inner := &wire.Update{}
	if err := proto.Unmarshal(data, inner); err != nil {
		return err
	}
	u.Upstreams = append(u.Upstreams, inner.GetUpstreams()...)
	return nil
}

// encodeRemoved replaces the names of removed lives by a bitmap over the list that the
// follower holds, where that is shorter: hundreds of lives end at once when a data centre
// is lost.
func (s *sent) encodeRemoved() {
	gone := s.list.GetGone()
	bytes := 0
	for _, life := range gone {
		bytes += len(life)
	}
	if !s.bitmaps || !s.list.GetPartial() || 8*bytes <= len(s.order) {
		return
	}
	removed := make([]byte, (len(s.order)+7)/8)
	for _, life := range gone {
		i, found := slices.BinarySearch(s.order, life)
		if !found {
			return // the follower does not hold it
		}
		removed[i/8] |= 1 << (i % 8)
	}
	s.list.Gone = nil
	s.list.Removed = removed
}

// applyRemoved removes the lives of an update's bitmap from the list.
func (a *found) applyRemoved(u *wire.Update) error {
	removed := u.GetRemoved()
	if len(removed) == 0 {
		return nil
	}
	if len(removed) != (len(a.order)+7)/8 {
		return failure("follow", Unavailable, errBitmap)
	}
	for i, life := range a.order {
		if removed[i/8]&(1<<(i%8)) != 0 {
			delete(a.list, life)
		}
	}
	return nil
}

var errBitmap = errors.New("a bitmap over a list of another length")

// difference returns the list as a follower with the count lacks it: what
// changed, or all of it where that is not known any more. It is made once for all of
// them; a follower's own copy shares what it holds. The caller holds mu.
func (h *hub) difference(since uint64) *wire.Update {
	u := h.lacks[since]
	if u == nil {
		u = h.makeDifference(since)
		if h.lacks == nil {
			h.lacks = map[uint64]*wire.Update{}
		}
		h.lacks[since] = u
	}
	return &wire.Update{
		Partial:   u.GetPartial(),
		Upstreams: u.GetUpstreams(),
		Gone:      u.GetGone(),
	}
}

func (h *hub) makeDifference(since uint64) *wire.Update {
	if since == 0 || len(h.changes) == 0 || h.changes[0].listed > since+1 {
		if h.whole == nil {
			h.whole = make([]*wire.Upstream, 0, len(h.list))
			for _, x := range h.list {
				h.whole = append(h.whole, fromUpstream(x))
			}
		}
		return &wire.Update{
			Upstreams: h.whole,
		}
	}
	changed := map[string]persimmoncross.Upstream{}
	gone := map[string]bool{}
	for _, c := range h.changes {
		if c.listed <= since {
			continue
		}
		for _, x := range c.changed {
			life := x.Life()
			changed[life] = x
			delete(gone, life)
		}
		for _, id := range c.gone {
			gone[id] = true
			delete(changed, id)
		}
	}
	u := &wire.Update{
		Partial: true,
		Gone:    slices.Sorted(maps.Keys(gone)),
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		u.Upstreams = append(u.Upstreams, fromUpstream(changed[id]))
	}
	return u
}

func fromUpstream(u persimmoncross.Upstream) *wire.Upstream {
	started := int64(0)
	if !u.Started.IsZero() {
		started = u.Started.UnixMilli()
	}
	return &wire.Upstream{
		Started:     started,
		Incarnation: u.Incarnation,
		Service:     u.Service,
		Address:     u.Address.String(),
		Datacentre:  u.DataCentre,
		Version:     u.Version,
		Slots:       uint32(u.Slots),
		Leaving:     u.Leaving,
		Models:      u.Models,
	}
}

// upstreamsOf returns the list of an update; an address that can't be read is
// left out.
func upstreamsOf(m *wire.Update) []persimmoncross.Upstream {
	var list []persimmoncross.Upstream
	for _, x := range m.GetUpstreams() {
		if u, ok := toUpstream(x); ok {
			list = append(list, u)
		}
	}
	return list
}

func toUpstream(x *wire.Upstream) (u persimmoncross.Upstream, ok bool) {
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
		Leaving:     x.GetLeaving(),
		Models:      x.GetModels(),
	}
	if ms := x.GetStarted(); ms != 0 {
		u.Started = time.UnixMilli(ms)
	}
	return u, true
}
