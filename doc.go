// Package persimmoncross defines the domain types and every interface that has
// more than one implementation.
//
// The layers that build on it are, from the callers inward:
//
//	io/transport      connections: callers, operators, peers, engines, disk
//	io/protocol       messages and codecs
//	core/coordination decisions: consensus, routing, retries, roll-outs, limits
//	core/state        settings tree, durable formats, ledger
//
// A lower layer never imports a higher one. Code that makes decisions takes typed
// events and the time, and returns typed actions; the transports execute the
// actions.
package persimmoncross
