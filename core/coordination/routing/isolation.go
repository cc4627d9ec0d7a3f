package routing

import (
	"slices"
	"strconv"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// isolatedShareDivisor is the inverse of the largest share of the upstreams that may be
// reserved for isolated requests.
const isolatedShareDivisor = 4

// reservedUpstream returns the upstream in the list that is reserved for an isolated
// request, nil if the list is empty.
func reservedUpstream(d persimmoncross.Digest, list []*Upstream) *Upstream {
	names := make([]string, len(list))
	for i, u := range list {
		names[i] = u.Name
	}
	if i := quarantine.RendezvousIndex(d, names); i >= 0 {
		return list[i]
	}
	return nil
}

// pickIsolated returns the upstream reserved for an isolated request. It returns nil if that
// upstream cannot take the request now, because the request must not run at any other
// upstream.
func pickIsolated(info PickInfo, list []*Upstream, now time.Time) *Upstream {
	u := reservedUpstream(info.IsolatedDigest, list)
	if u == nil || info.TriedUpstreams[u.Name] || u.backoff.remaining(now) > 0 || !u.Breaker(info.Version).Allows() {
		return nil
	}
	return u
}

// excludeIsolated removes the upstreams reserved for isolated requests from the list, unless
// they exceed the share that isolatedShareDivisor allows.
func excludeIsolated(info PickInfo, list []*Upstream) []*Upstream {
	isolated := map[*Upstream]bool{}
	for _, d := range info.IsolatedDigests {
		isolated[reservedUpstream(d, list)] = true
	}
	if len(list) == 0 || isolatedShareDivisor*len(isolated) > len(list) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(u *Upstream) bool { return isolated[u] })
}

// InstanceID identifies the current run of the upstream's process, as far as this VM has
// observed restarts and exits.
func (u *Upstream) InstanceID() string {
	return u.Name + "~" + strconv.FormatUint(u.restarts.Load(), 10) + "." + strconv.FormatUint(u.observedExits.Load(), 10)
}

// RecordExit counts an exit of the upstream's process.
func (u *Upstream) RecordExit() { u.observedExits.Add(1) }
