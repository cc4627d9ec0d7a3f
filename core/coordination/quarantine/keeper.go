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
	mu      sync.Mutex // guards all below
	held    map[persimmoncross.Digest]Held
	learned bool // others' holds were taken
}

// Judge takes what all VMs saw, and returns how the holds change here.
func (k *Keeper) Judge(cases []Case, now time.Time) []Change {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes := Judge(cases, k.held, now)
	for _, c := range changes {
		k.set(c.Hold, now)
	}
	return changes
}

// set brings a hold into force. The caller holds mu.
func (k *Keeper) set(h persimmoncross.Hold, now time.Time) {
	if k.held == nil {
		k.held = map[persimmoncross.Digest]Held{}
	}
	if h.Stage == persimmoncross.HoldFree {
		delete(k.held, h.Digest)
		return
	}
	k.held[h.Digest] = Held{
		Hold:  h,
		Since: now,
	}
}

// Learn takes the holds of others, once: a VM that has just started knows none of the
// ends that VMs saw which are gone.
func (k *Keeper) Learn(holds []persimmoncross.Hold, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.learned {
		return
	}
	k.learned = true
	for _, h := range holds {
		if _, ok := k.held[h.Digest]; !ok && len(k.held) < mostHolds {
			k.set(h, now)
		}
	}
}

// Hold returns the hold on a request.
func (k *Keeper) Hold(d persimmoncross.Digest) persimmoncross.Hold {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[d].Hold
}

// Holds returns all holds, in the order of their digests.
func (k *Keeper) Holds() []persimmoncross.Hold {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]persimmoncross.Hold, 0, len(k.held))
	for h := range maps.Values(k.held) {
		list = append(list, h.Hold)
	}
	slices.SortFunc(list, func(a, b persimmoncross.Hold) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return list
}

// Apart returns the requests to the service that run at upstreams of their own.
func (k *Keeper) Apart(service string) []persimmoncross.Digest {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []persimmoncross.Digest
	for d, h := range k.held {
		if h.Service == service && h.Apart() {
			list = append(list, d)
		}
	}
	return list
}
