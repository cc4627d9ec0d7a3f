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

// listPartitionCount is into how many parts lives fall: 47 upstreams each of 3,000.
const listPartitionCount = 64

// listPartition returns the part of the list that a life falls into.
func listPartition(id string) uint32 { return uint32(xxhash.Sum64String(id) % listPartitionCount) }

// partitionChecksums returns the sums of a list's parts, nil for none.
func partitionChecksums(list map[string]*wire.Upstream) []uint64 {
	if len(list) == 0 {
		return nil
	}
	checksums := make([]uint64, listPartitionCount)
	for id, x := range list {
		checksums[listPartition(id)] += upstreamChecksum(id, x)
	}
	return checksums
}

// upstreamChecksum tells facts of an upstream apart.
func upstreamChecksum(id string, x *wire.Upstream) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		id,
		x.GetService(),
		x.GetAddress(),
		x.GetDatacentre(),
		x.GetVersion(),
		strconv.FormatUint(uint64(x.GetSlots()), 10),
		strconv.FormatBool(x.GetLeaving()),
		strings.Join(x.GetModels(), ","),
	}, "\x00"))
}

// checksummedList is the list by life with the sums of its parts, made once for all followers
// that come. It never changes.
type checksummedList struct {
	byID      map[string]*wire.Upstream
	checksums []uint64
}

// listWithChecksums returns it. The caller holds mu.
func (p *publisher) listWithChecksums() *checksummedList {
	if p.checksummed == nil {
		list := make(map[string]*wire.Upstream, len(p.list))
		for _, u := range p.list {
			list[u.InstanceID()] = toWireUpstream(u)
		}
		p.checksummed = &checksummedList{
			byID:      list,
			checksums: partitionChecksums(list),
		}
	}
	return p.checksummed
}

// listDeltaFromChecksums returns what of the list a follower lacks that holds one with the sums. The
// caller holds mu.
func (p *publisher) listDeltaFromChecksums(checksums []uint64) *wire.Update {
	if len(checksums) != listPartitionCount || len(p.list) == 0 {
		return p.listDeltaSince(0)
	}
	current := p.listWithChecksums()
	u := &wire.Update{
		Partial: true,
	}
	for i := range checksums {
		if current.checksums[i] != checksums[i] {
			u.Parts = append(u.Parts, uint32(i))
		}
	}
	for id, x := range current.byID {
		if i := listPartition(id); current.checksums[i] != checksums[i] {
			u.Upstreams = append(u.Upstreams, x)
		}
	}
	return u
}

// removePartitions takes parts out of a list that are about to be replaced.
func removePartitions(list map[string]*wire.Upstream, partitions []uint32) {
	if len(partitions) == 0 {
		return
	}
	dropped := map[uint32]bool{}
	for _, p := range partitions {
		dropped[p] = true
	}
	maps.DeleteFunc(list, func(life string, _ *wire.Upstream) bool { return dropped[listPartition(life)] })
}
