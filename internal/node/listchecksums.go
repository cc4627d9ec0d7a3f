package node

import (
	"maps"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"persimmoncross/io/protocol/wire"
)

// This file sends the list to a follower that already holds one from another controller. The
// follower sends a checksum of each partition of its list, and receives only the partitions
// that differ. Without the checksums, each follower that changes to another controller would
// receive thousands of upstreams that it already has.

// listPartitionCount is the number of partitions that instance IDs are hashed into: 47
// upstreams in each for a list of 3,000.
const listPartitionCount = 64

// listPartition returns the partition of the list that an instance ID belongs to.
func listPartition(id string) uint32 { return uint32(xxhash.Sum64String(id) % listPartitionCount) }

// partitionChecksums returns the checksums of a list's partitions, nil for an empty list.
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

// upstreamChecksum returns a hash of an upstream's ID and listed fields.
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

// checksummedList is the list by instance ID with the checksums of its partitions. It is
// computed once for all followers that connect, and never changes.
type checksummedList struct {
	byID      map[string]*wire.Upstream
	checksums []uint64
}

// listWithChecksums returns the current list with its checksums. The caller holds mu.
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

// listDeltaFromChecksums returns the partitions of the list that differ from those of a
// follower with the checksums, or the whole list if the checksums can't be used. The caller
// holds mu.
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

// removePartitions removes partitions that are about to be replaced from a list.
func removePartitions(list map[string]*wire.Upstream, partitions []uint32) {
	if len(partitions) == 0 {
		return
	}
	removed := map[uint32]bool{}
	for _, p := range partitions {
		removed[p] = true
	}
	maps.DeleteFunc(list, func(life string, _ *wire.Upstream) bool { return removed[listPartition(life)] })
}
