package persimmoncross

import "slices"

// OverloadPart names a group of the decisions that an entry makes where requests compete for
// the capacity of the upstreams.
type OverloadPart string

// The overload parts. An operator may omit each of them.
const (
	OverloadQueue    OverloadPart = "queue"    // admission and order of service of what can't begin now
	OverloadLending  OverloadPart = "lending"  // free capacity divided among the entries by what waits there
	OverloadCapacity OverloadPart = "capacity" // pace, memory and hold times of each upstream
	OverloadRecall   OverloadPart = "recall"   // attempts withdrawn from an upstream's queue, answers kept as fallbacks
	OverloadShares   OverloadPart = "shares"   // fair shares of organisations in the fleet
	OverloadBuffers  OverloadPart = "buffers"  // bytes held for slow readers
)

// OverloadParts returns all overload parts.
func OverloadParts() []OverloadPart {
	return []OverloadPart{OverloadQueue, OverloadLending, OverloadCapacity, OverloadRecall, OverloadShares, OverloadBuffers}
}

// OverloadMode says where overload parts are in force.
type OverloadMode string

// The overload modes.
const (
	OverloadAuto OverloadMode = "auto" // all but lending, where the platform declares overload or upstreams report their pace
	OverloadOn   OverloadMode = "on"   // all parts, for all services
	OverloadOff  OverloadMode = "off"
)

// OverloadPolicy says which overload parts are in force for which services, and limits what an
// entry holds for them.
type OverloadPolicy struct {
	Mode     OverloadMode // "" means OverloadOff
	Declared bool         // the platform declares that load may exceed the capacity
	Omit     []OverloadPart
	// MaxQueued limits the requests of one service that wait at an entry.
	MaxQueued int
	// MaxHeldBytes limits the bytes that an entry holds for waiting requests and slow readers.
	MaxHeldBytes int64
}

// Enabled reports whether the part is in force for a service. paceReported says whether the
// service's upstreams report their pace: those that do share their machines with others, so
// that their capacity varies.
func (p OverloadPolicy) Enabled(part OverloadPart, paceReported bool) bool {
	if slices.Contains(p.Omit, part) {
		return false
	}
	switch p.Mode {
	case OverloadOn:
		return true
	case OverloadAuto:
		// Lending gains nothing where attempts are recalled from queues; it stays an operator's choice.
		return part != OverloadLending && (p.Declared || paceReported)
	}
	return false
}
