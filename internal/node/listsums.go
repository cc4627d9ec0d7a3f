package node

import (
	"maps"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"persimmoncross/io/protocol/wire"
)

// How a follower that holds a list gets another controller's: it tells sums of the
// parts of its own, and is sent the parts that differ. Without it each follower that
// goes to another controller is sent a list of thousands, which is the same.

// listParts is into how many parts lives fall: 47 upstreams each of 3,000.
const listParts = 64

// listPartOf returns the part of the list that a life falls into.
func listPartOf(life string) uint32 { return uint32(xxhash.Sum64String(life) % listParts) }

// listSums returns the sums of a list's parts, nil for none.
func listSums(list map[string]*wire.Upstream) []uint64 {
	if len(list) == 0 {
		return nil
	}
	sums := make([]uint64, listParts)
	for life, x := range list {
		sums[listPartOf(life)] += upstreamSum(life, x)
	}
	return sums
}

// upstreamSum tells facts of an upstream apart.
func upstreamSum(life string, x *wire.Upstream) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		life,
		x.GetService(),
		x.GetAddress(),
		x.GetDatacentre(),
		x.GetVersion(),
		strconv.FormatUint(uint64(x.GetSlots()), 10),
		strconv.FormatBool(x.GetLeaving()),
		strings.Join(x.GetModels(), ","),
	}, "\x00"))
}

// summed is the list by life with the sums of its parts, made once for all followers
// that come. It never changes.
type summed struct {
	byLife map[string]*wire.Upstream
	sums   []uint64
}

// summary returns it. The caller holds mu.
func (h *hub) summary() *summed {
	if h.summed == nil {
		list := make(map[string]*wire.Upstream, len(h.list))
		for _, u := range h.list {
			list[u.Life()] = fromUpstream(u)
		}
		h.summed = &summed{
			byLife: list,
			sums:   listSums(list),
		}
	}
	return h.summed
}

// lacking returns what of the list a follower lacks that holds one with the sums. The
// caller holds mu.
func (h *hub) lacking(sums []uint64) *wire.Update {
	if len(sums) != listParts || len(h.list) == 0 {
		return h.difference(0)
	}
	own := h.summary()
	u := &wire.Update{
		Partial: true,
	}
	for i := range sums {
		if own.sums[i] != sums[i] {
			u.Parts = append(u.Parts, uint32(i))
		}
	}
	for life, x := range own.byLife {
		if i := listPartOf(life); own.sums[i] != sums[i] {
			u.Upstreams = append(u.Upstreams, x)
		}
	}
	return u
}

// dropParts takes parts out of a list that are about to be replaced.
func dropParts(list map[string]*wire.Upstream, parts []uint32) {
	if len(parts) == 0 {
		return
	}
	drop := map[uint32]bool{}
	for _, p := range parts {
		drop[p] = true
	}
	maps.DeleteFunc(list, func(life string, _ *wire.Upstream) bool { return drop[listPartOf(life)] })
}
