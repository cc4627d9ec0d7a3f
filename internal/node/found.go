package node

import (
	"context"
	"maps"
	"slices"

	"persimmoncross"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// found is a controller that answered.
type found struct {
	target string
	stream *peer.Stream
	leased bool
	end    context.CancelFunc
	list   map[string]*wire.Upstream // by life, as this stream has told it
	order  []string                  // the lives of list, sorted, once it is whole
	part   bool                      // the rest of a list that has begun is still to come
	waits  bool                      // list was not taken yet
	draft  draft
	holds  map[persimmoncross.Digest]persimmoncross.Hold // as this stream has told them
}

// take hands on an update. The controller sends its list once and then what
// changes; one that was too old to be taken is handed on again as it was read
// later.
func (a *found) take(f *follower, u *wire.Update) error {
	f.learn(u.GetControllers())
	f.learnPlaces(u.GetControllers(), u.GetDatacentres())
	if u.GetListed() {
		err := openPacked(u)
		if err == nil {
			err = a.applyRemoved(u)
		}
		if err != nil {
			f.count("follow.list.damaged")
			return err
		}
		a.apply(u)
	}
	if !a.part && (u.GetListed() || a.waits) {
		u.Listed = true
		u.Partial = false
		u.Upstreams = nil
		for _, life := range a.order {
			u.Upstreams = append(u.Upstreams, a.list[life])
		}
		a.waits = true
	} else {
		u.Listed = false
	}
	if f.Take(u) && !a.part {
		if a.waits {
			f.keepList(a.list)
		}
		a.waits = false
	}
	loads := u.GetLoads()
	if len(u.GetKnown()) > 0 {
		loads = dense(u.GetKnown(), len(a.order))
	}
	if len(loads) == loadBytes*len(a.order) && len(a.order) > 0 && !a.part {
		f.TakeLoads(a.order, loads)
	}
	if holds := a.takeHolds(u); holds != nil && f.TakeHolds != nil {
		f.TakeHolds(u.GetHeld(), holds)
	}
	if p := u.GetPart(); p != nil && f.TakeDocument != nil {
		return f.takePart(&a.draft, p)
	}
	return nil
}

// takePart takes a part of a document. One that can't be made out asks for the
// whole the next time.
func (f *follower) takePart(d *draft, p *wire.Part) error {
	source, err := d.add(p, func(number uint64) []byte {
		if held := f.Held(); held.number == number {
			return held.source
		}
		return nil
	})
	if err != nil {
		f.count("follow.document.damaged")
	}
	f.mu.Lock()
	f.anew = err != nil
	f.mu.Unlock()
	if source != nil {
		f.TakeDocument(p.GetNumber(), source)
	}
	return err
}

// held returns the document that what is sent may be packed against.
func (f *follower) held() document {
	f.mu.Lock()
	anew := f.anew
	f.mu.Unlock()
	if f.Held == nil || anew {
		return document{}
	}
	return f.Held()
}

// apply brings the stream's list up to date.
func (a *found) apply(u *wire.Update) {
	if !u.GetPartial() || a.list == nil {
		a.list = map[string]*wire.Upstream{}
	}
	dropParts(a.list, u.GetParts())
	for _, x := range u.GetUpstreams() {
		if u, ok := toUpstream(x); ok {
			a.list[u.Life()] = x
		}
	}
	for _, life := range u.GetGone() {
		delete(a.list, life)
	}
	a.part = u.GetMore()
	if !a.part {
		a.order = slices.Sorted(maps.Keys(a.list))
	}
}
