package vm

import "persimmoncross/io/transport/inbound"

const (
	// callerFraction, peerFraction and operatorFraction are the parts of the descriptors that connections from each may
	// use, in eighths. What is left of them is for connections that the VM opens itself.
	callerFraction   = 3
	peerFraction     = 2
	operatorFraction = 1
	eighths          = 8
	// bodyMemoryFraction is the part of the memory limit that bodies of one kind may take, as a divisor.
	bodyMemoryFraction = 8
	minBodyBytes       = 16 << 20
	// unlimitedBodyBytes is what they may take without such a limit.
	unlimitedBodyBytes = 64 << 20
	// largeBodyFraction is the part of what callers' bodies may take that those of more than an ordinary size may use.
	largeBodyFraction = 0.75
	// maxUnreadBytes limits what the kernel holds of a connection that is not read.
	maxUnreadBytes = 32 << 10
	// maxStreams bounds the streams of peers that are open.
	maxStreams = 4096
)

// newConnections returns the bound of a listener's connections, which may use a part of the descriptors, in eighths.
func (v *VM) newConnections(name string, part int) *inbound.Connections {
	return &inbound.Connections{
		Name:    name,
		Max:     inbound.FindDescriptors(v.Local.Descriptors).Part(part, eighths),
		Clock:   v.Clock,
		Metrics: v.metrics,
		Log:     v.Log,
	}
}

// newBodies returns a bound of bodies, of which large ones may use a part.
func (v *VM) newBodies(name string, largePart float64) *inbound.Bodies {
	limit := int64(unlimitedBodyBytes)
	if v.Local.Memory > 0 {
		limit = max(int64(v.Local.Memory)<<20/bodyMemoryFraction, minBodyBytes)
	}
	return inbound.NewBodies(name, limit, int64(largePart*float64(limit)), v.Clock, v.metrics)
}
