package node

import (
	"context"
	"maps"
	"slices"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// controllerStream is a stream of updates from a controller that answered.
type controllerStream struct {
	controller      string
	stream          *peer.Stream
	leased          bool
	cancel          context.CancelFunc
	upstreams       map[string]*wire.Upstream // the follower's list, by instance ID; at first the one from the previous stream
	listIDs         []string                  // sorted instance IDs of upstreams, once the list is complete
	listIncomplete  bool                      // the rest of a list is still to come
	listUnapplied   bool                      // the complete list was not accepted by ApplyUpdate yet
	partialDocument partialDocument
	quarantines     map[persimmoncross.Digest]persimmoncross.Quarantine // quarantines received on this stream
}

// handleUpdate applies an update. The controller sends its whole list once and then only
// changes. A list that was too old to be accepted is passed again with the next update, whose
// read time may be later.
func (c *controllerStream) handleUpdate(f *follower, u *wire.Update) error {
	f.setControllers(u.GetControllers())
	f.setDataCentres(u.GetControllers(), u.GetDatacentres())
	if u.GetListed() {
		err := unpackUpstreams(u)
		if err == nil {
			err = c.applyRemovedBitmap(u)
		}
		if err != nil {
			f.incrementCounter("follow.list.damaged")
			return err
		}
		c.applyList(u)
	}
	if !c.listIncomplete && (u.GetListed() || c.listUnapplied) {
		u.Listed = true
		u.Partial = false
		u.Upstreams = nil
		for _, id := range c.listIDs {
			u.Upstreams = append(u.Upstreams, c.upstreams[id])
		}
		c.listUnapplied = true
	} else {
		u.Listed = false
	}
	if f.ApplyUpdate(u) && !c.listIncomplete {
		if c.listUnapplied {
			f.setReceivedList(c.upstreams)
		}
		c.listUnapplied = false
	}
	loads := u.GetLoads()
	if len(u.GetKnown()) > 0 {
		loads = decodeSparse(u.GetKnown(), len(c.listIDs))
	}
	if len(loads) == loadRecordBytes*len(c.listIDs) && len(c.listIDs) > 0 && !c.listIncomplete {
		if f.ApplyCapacities != nil {
			f.ApplyCapacities(decodeCapacities(c.listIDs, u.GetKnown(), loads, u.GetCapacities()))
		}
		f.ApplyLoads(c.listIDs, loads)
	}
	if len(u.GetDemands()) > 0 && f.ApplyDemands != nil {
		f.ApplyDemands(u.GetDemands())
	}
	if u.GetEpoch() != 0 && f.ApplyRequestCounts != nil {
		f.countedBy.Store(c.stream)
		f.ApplyRequestCounts(u.GetRequests(), u.GetEpoch())
	}
	if holds := c.applyQuarantines(u); holds != nil && f.ApplyQuarantines != nil {
		f.ApplyQuarantines(u.GetHeld(), holds)
	}
	if p := u.GetPart(); p != nil && f.ApplyDocument != nil {
		return f.handleDocumentPart(&c.partialDocument, p)
	}
	return nil
}

// handleDocumentPart adds a part to a document, and applies the document once it is complete.
// After a part that can't be decoded, the next document is requested whole.
func (f *follower) handleDocumentPart(d *partialDocument, p *wire.Part) error {
	source, err := d.addPart(p, func(number uint64) []byte {
		if held := f.HeldDocument(); held.number == number {
			return held.source
		}
		return nil
	})
	if err != nil {
		f.incrementCounter("follow.document.damaged")
	}
	f.mu.Lock()
	f.needsWholeDocument = err != nil
	f.mu.Unlock()
	if source != nil {
		f.ApplyDocument(p.GetNumber(), source)
	}
	return err
}

// baseDocument returns the document that the controller may use as the base of a delta.
func (f *follower) baseDocument() document {
	f.mu.Lock()
	whole := f.needsWholeDocument
	f.mu.Unlock()
	if f.HeldDocument == nil || whole {
		return document{}
	}
	return f.HeldDocument()
}

// applyList applies an update to the list of the stream.
func (c *controllerStream) applyList(u *wire.Update) {
	if !u.GetPartial() || c.upstreams == nil {
		c.upstreams = map[string]*wire.Upstream{}
	}
	removePartitions(c.upstreams, u.GetParts())
	for _, x := range u.GetUpstreams() {
		if u, ok := fromWireUpstream(x); ok {
			c.upstreams[u.InstanceID()] = x
		}
	}
	for _, id := range u.GetGone() {
		delete(c.upstreams, id)
	}
	c.listIncomplete = u.GetMore()
	if !c.listIncomplete {
		c.listIDs = slices.Sorted(maps.Keys(c.upstreams))
	}
}
