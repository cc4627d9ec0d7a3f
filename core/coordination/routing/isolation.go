package routing

import (
	"slices"
	"strconv"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// isolatedShareDivisor is one over the part of the upstreams that requests under suspicion may
// have for themselves.
const isolatedShareDivisor = 4

// isolationUpstream returns the upstream for a request under suspicion, nil if there is none.
func isolationUpstream(d persimmoncross.Digest, list []*Upstream) *Upstream {
	names := make([]string, len(list))
	for i, u := range list {
		names[i] = u.Name
	}
	if at := quarantine.RendezvousIndex(d, names); at >= 0 {
		return list[at]
	}
	return nil
}

// pickIsolated returns the upstream for the choice's own request under suspicion, nil if it
// can't take it now: no other one is to get it.
func pickIsolated(c PickInfo, list []*Upstream, now time.Time) *Upstream {
	u := isolationUpstream(c.IsolatedDigest, list)
	if u == nil || c.TriedUpstreams[u.Name] || u.backoff.remaining(now) > 0 || !u.Breaker(c.Version).Allows() {
		return nil
	}
	return u
}

// excludeIsolated leaves out the upstreams that requests under suspicion have for themselves.
func excludeIsolated(c PickInfo, list []*Upstream) []*Upstream {
	isolated := map[*Upstream]bool{}
	for _, d := range c.IsolatedDigests {
		isolated[isolationUpstream(d, list)] = true
	}
	if len(list) == 0 || isolatedShareDivisor*len(isolated) > len(list) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(u *Upstream) bool { return isolated[u] })
}

// InstanceID names the life of the upstream, as far as this VM has seen lives end.
func (u *Upstream) InstanceID() string {
	return u.Name + "~" + strconv.FormatUint(u.restarts.Load(), 10) + "." + strconv.FormatUint(u.observedExits.Load(), 10)
}

// RecordExit notes that the upstream's process was found gone.
func (u *Upstream) RecordExit() { u.observedExits.Add(1) }
