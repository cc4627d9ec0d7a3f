package vm

import (
	"net/netip"

	"persimmoncross/core/coordination/detour"
	detourio "persimmoncross/io/transport/detour"
	"persimmoncross/io/transport/engine"
)

// prepareDetours creates the components that connect to upstreams through other VMs, and connect other
// VMs to upstreams.
func (v *VM) prepareDetours() {
	direct := v.DialUpstream
	if direct == nil {
		direct = engine.DialDirect
	}
	v.paths = &detour.Paths{}
	var peers []detour.Peer
	for _, name := range v.vmNames() {
		if name != v.Local.Name {
			peers = append(peers, detour.Peer{
				Name: name,
			})
		}
	}
	v.paths.SetPeers(peers)
	v.dialer = &detourio.Dialer{
		Paths:      v.paths,
		Direct:     direct,
		Node:       v.node,
		DataCentre: v.Local.DataCentre,
		OnLost:     func(netip.AddrPort) { v.client.CloseIdle() },
		OnLostAll:  v.client.CloseIdle,
		Clock:      v.Clock,
		Metrics:    v.metrics,
		Log:        v.Log,
	}
	v.detours = &detourio.Server{
		Paths:   v.paths,
		Direct:  direct,
		Known:   v.isUpstream,
		Clock:   v.Clock,
		Metrics: v.metrics,
	}
	v.client.Dial = v.dialer.Dial
	v.client.Down = v.dialer.IsDown
	v.client.Accepting = v.dialer.Accepts
}

// isUpstream reports whether the settings name an upstream or the rater at the address.
func (v *VM) isUpstream(address netip.AddrPort) bool {
	if rater, ok := v.raterAddress(); ok && rater == address {
		return true
	}
	for _, u := range v.state.Current().File.Upstreams {
		if u.Address == address {
			return true
		}
	}
	return false
}
