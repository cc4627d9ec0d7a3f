package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"persimmoncross"
)

// Keeper keeps the holds of a VM where no leader judges for all: each VM adds up what
// all tell, and comes to the same. The zero value holds nothing.
type Keeper struct {
	mu           sync.Mutex // guards all below
	quarantines  map[persimmoncross.Digest]Held
	bootstrapped bool // others' holds were taken
}

// Judge takes what all VMs saw, and returns how the holds change here.
func (k *Keeper) Judge(records []Case, now time.Time) []Change {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes := Judge(records, k.quarantines, now)
	for _, c := range changes {
		k.apply(c.Hold, now)
	}
	return changes
}

// apply brings a hold into force. The caller holds mu.
func (k *Keeper) apply(h persimmoncross.Hold, now time.Time) {
	if k.quarantines == nil {
		k.quarantines = map[persimmoncross.Digest]Held{}
	}
	if h.Stage == persimmoncross.HoldFree {
		delete(k.quarantines, h.Digest)
		return
	}
	k.quarantines[h.Digest] = Held{
		Hold:  h,
		Since: now,
	}
}

// Learn takes the holds of others, once: a VM that has just started knows none of the
// ends that VMs saw which are gone.
func (k *Keeper) Learn(holds []persimmoncross.Hold, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.bootstrapped {
		return
	}
	k.bootstrapped = true
	for _, h := range holds {
		if _, ok := k.quarantines[h.Digest]; !ok && len(k.quarantines) < maxQuarantines {
			k.apply(h, now)
		}
	}
}

// Hold returns the hold on a request.
func (k *Keeper) Hold(d persimmoncross.Digest) persimmoncross.Hold {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quarantines[d].Hold
}

// Holds returns all holds, in the order of their digests.
func (k *Keeper) Holds() []persimmoncross.Hold {
	k.mu.Lock()
	defer k.mu.Unlock()
	quarantines := make([]persimmoncross.Hold, 0, len(k.quarantines))
	for h := range maps.Values(k.quarantines) {
		quarantines = append(quarantines, h.Hold)
	}
	slices.SortFunc(quarantines, func(a, b persimmoncross.Hold) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return quarantines
}

// Apart returns the requests to the service that run at upstreams of their own.
func (k *Keeper) Apart(service string) []persimmoncross.Digest {
	k.mu.Lock()
	defer k.mu.Unlock()
	var digests []persimmoncross.Digest
	for d, h := range k.quarantines {
		if h.Service == service && h.Apart() {
			digests = append(digests, d)
		}
	}
	return digests
}
