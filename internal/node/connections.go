package node

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/packed"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/transport/inbound"
	"persimmoncross/io/transport/peer"
)

const (
	// connectionBytes is what a caller's connection takes at most before it has a request in work: its head and the
	// buffers that read it, and what the kernel holds unread. All together may take half of the memory.
	connectionBytes    = 64 << 10
	connectionFraction = 2
)

// descriptorPart is the part of a process's descriptors that a listener may use. What is left of them is for
// connections that the process opens itself.
type descriptorPart struct {
	name                   string
	numerator, denominator int
}

var (
	callerPart   = descriptorPart{"callers", 3, 8}
	readyPart    = descriptorPart{"ready", 1, 64}
	operatorPart = descriptorPart{"operators", 1, 8}
	// All VMs follow a controller or search for one; an entry's peers open connections to pass on others'.
	controllerPeerPart = descriptorPart{"peers", 1, 2}
	entryPeerPart      = descriptorPart{"peers", 1, 8}
	metricsPart        = descriptorPart{"metrics", 1, 64}
)

// newConnections returns the bound of a listener's connections.
func newConnections(part descriptorPart, site *settings.Site, clock persimmoncross.Clock, registry metrics.Registry, log zerolog.Logger) *inbound.Connections {
	return &inbound.Connections{
		Name:    part.name,
		Max:     inbound.FindDescriptors(site.Descriptors).Part(part.numerator, part.denominator),
		Clock:   clock,
		Metrics: registry,
		Log:     log,
	}
}

// messageFraction is the part of the memory that messages of peers may take while they arrive, as a divisor. One of the
// largest size has room in any case.
const messageFraction = 8

// newMessages returns the bound of the messages of peers.
func newMessages(site *settings.Site, clock persimmoncross.Clock, registry metrics.Registry) *inbound.Bodies {
	limit := max(int64(site.Memory)<<20/messageFraction, peer.MaxMessage)
	return inbound.NewBodies("messages", limit, limit, clock, registry)
}

// documentFraction is the part of the memory that operators' documents may take until they are acknowledged, as a
// divisor. Eight of 4 MB have room on a controller of 280 MB, and one of the largest size in any case.
const documentFraction = 8

// NewDocuments returns the bound of the documents that operators send.
func (c *Controller) NewDocuments() *inbound.Bodies {
	limit := max(int64(c.Site.Memory)<<20/documentFraction, packed.Limit)
	return inbound.NewBodies("documents", limit, limit, c.Clock, c.Metrics)
}

// largeBodyFraction is the part of what bodies may take that those of more than an ordinary size may use.
const largeBodyFraction = 0.75

// NewBodies returns the bound of callers' bodies.
func (e *Entry) NewBodies() *inbound.Bodies {
	limit := e.Overload.MaxHeldBytes
	return inbound.NewBodies("bodies", limit, int64(largeBodyFraction*float64(limit)), e.Clock, e.Metrics)
}

const (
	// streamBytes is what a stream of a peer takes, with its goroutine and buffers. All together may take a quarter of the memory.
	streamBytes    = 32 << 10
	streamFraction = 4
	// unlimitedStreams is how many there may be where the memory is not limited.
	unlimitedStreams = 4096
)

// maxStreams returns how many streams of peers may be open.
func maxStreams(site *settings.Site) int {
	if site.Memory <= 0 {
		return unlimitedStreams
	}
	return site.Memory << 20 / streamFraction / streamBytes
}

// newCallerConnections returns the bound of callers' connections.
func (e *Entry) newCallerConnections() *inbound.Connections {
	l := newConnections(callerPart, e.Site, e.Clock, e.Metrics, e.Log)
	if e.Site.Memory > 0 {
		l.Max = min(l.Max, e.Site.Memory<<20/connectionFraction/connectionBytes)
	}
	return l
}
