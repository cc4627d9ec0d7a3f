package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the prefixes kept for one upstream.
const (
	blockSize       = 256  // bytes of prompt per block; each block extends the hash of the prefix
	maxPromptBlocks = 64   // blocks of one prompt that are hashed
	maxCachedBlocks = 4096 // blocks kept for one upstream
	maxPrefixAge    = 5 * time.Minute
	affinityBlocks  = 4 // length of the prefix that determines a prompt's affinity upstream
)

// prefixCache holds, for one upstream, the hashes of the prompt prefixes that this entry has
// sent there, as an estimate of the content of the upstream's prompt cache.
type prefixCache struct {
	lastSent       map[uint64]time.Time
	insertionOrder []uint64 // oldest first; a hash that is added again keeps its place
}

// cachedBytes returns the estimated number of bytes of the prompt in the upstream's cache.
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

// prefixHashes returns the hash of each prefix of the prompt, in steps of blockSize bytes.
func prefixHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, min(len(prompt)/blockSize, maxPromptBlocks))
	d := xxhash.New()
	for i := range cap(hashes) {
		d.Write(prompt[i*blockSize : (i+1)*blockSize])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// affinityUpstream returns the upstream that all entries prefer for prompts with the same
// prefix: the one with the highest hash of prefix and upstream (rendezvous hashing). The
// entries do not exchange where they send prompts; without a common preferred upstream each
// entry would fill another engine's cache with the same prefix. A prompt shorter than
// affinityBlocks has no preferred upstream, and the result is nil.
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

// mixBits spreads the bits of a hash (the finalizer of SplitMix64).
func mixBits(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
