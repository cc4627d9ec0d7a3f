package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what is remembered of one upstream's prompts.
const (
	blockSize       = 256  // bytes hashed together
	maxPromptBlocks = 64   // blocks of one prompt that are looked at
	maxCachedBlocks = 4096 // blocks of one upstream
	maxPrefixAge    = 5 * time.Minute
	affinityBlocks  = 4 // the beginning by which a prompt has its home
)

// prefixCache remembers, for one upstream, which beginnings of prompts this entry
// sent there: what its prompt cache probably holds.
type prefixCache struct {
	lastSent       map[uint64]time.Time
	insertionOrder []uint64 // oldest first, with those added again
}

// cachedBytes returns how many bytes of the prompt are believed to be cached.
func (p *prefixCache) cachedBytes(hashes []uint64, now time.Time) int {
	matched := 0
	for _, hash := range hashes {
		at, ok := p.lastSent[hash]
		if !ok || now.Sub(at) > maxPrefixAge {
			break
		}
		matched += blockSize
	}
	return matched
}

func (p *prefixCache) add(hashes []uint64, now time.Time) {
	if p.lastSent == nil {
		p.lastSent = map[uint64]time.Time{}
	}
	for _, hash := range hashes {
		if _, ok := p.lastSent[hash]; !ok {
			p.insertionOrder = append(p.insertionOrder, hash)
		}
		p.lastSent[hash] = now
	}
	for len(p.insertionOrder) > maxCachedBlocks {
		delete(p.lastSent, p.insertionOrder[0])
		p.insertionOrder = p.insertionOrder[1:]
	}
}

// prefixHashes returns the hash of each beginning of the prompt, block by block.
func prefixHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, min(len(prompt)/blockSize, maxPromptBlocks))
	d := xxhash.New()
	for i := range cap(hashes) {
		d.Write(prompt[i*blockSize : (i+1)*blockSize])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// affinityUpstream returns the upstream that all entries take for the home of prompts
// with this beginning: the highest of a hash over both (rendezvous hashing).
// Entries don't tell each other where they sent a prompt; without a home each
// would fill another engine's cache with it. Short prompts have none.
func affinityUpstream(list []*Upstream, hashes []uint64) *Upstream {
	if len(hashes) < affinityBlocks {
		return nil
	}
	prefixHash := hashes[affinityBlocks-1]
	var affinity *Upstream
	var highest uint64
	for _, u := range list {
		if h := mixBits(prefixHash ^ u.hash); affinity == nil || h > highest {
			affinity, highest = u, h
		}
	}
	return affinity
}

// mixBits spreads a hash's bits (the finalizer of SplitMix64).
func mixBits(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
