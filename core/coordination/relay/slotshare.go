package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
	"persimmoncross/core/coordination/slotshare"
)

// maxSlotWait is how long a stream that has begun waits for a slot to continue at.
const maxSlotWait = 2 * time.Second

// maxAssumedIndex is over the number of entries of any fleet.
const maxAssumedIndex = 1 << 20

// SetPlace sets this entry's place among all entries.
func (p *Pool) SetPlace(place slotshare.Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if place == p.place {
		return
	}
	p.place = place
	p.updateSlotShares()
}

// placeOrDefault returns this entry's place, or one at random among the entries while it is not known.
// The caller holds mu.
func (p *Pool) placeOrDefault() slotshare.Place {
	if p.place.Count > 0 {
		return p.place
	}
	if p.assumedIndex == 0 {
		p.assumedIndex = 1 + rand.IntN(maxAssumedIndex)
	}
	n := p.entryCountOrDefault()
	return slotshare.Place{
		Index: p.assumedIndex % n,
		Count: n,
	}
}

// updateSlotShares tells the services this entry's place and their slots. The caller holds mu.
func (p *Pool) updateSlotShares() {
	slots, owned := map[string]int{}, map[string]bool{}
	place := p.placeOrDefault()
	for _, t := range p.byInstanceID {
		slots[t.Service] += max(t.Slots, 1)
		owned[t.Service] = owned[t.Service] || p.capacities[t.Service].ownsSlot(place, t)
	}
	for name, s := range p.capacities {
		s.setSlots(place, slots[name], !owned[name])
	}
}

// ownsSlot reports whether this entry owns a slot of the target.
func (s *serviceCapacity) ownsSlot(place slotshare.Place, t *Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.OwnSlots(place, max(t.Slots, 1), t.slotOffset()) > 0
}

func (s *serviceCapacity) setSlots(place slotshare.Place, slots int, guest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.place = place
	s.slots.Slots = slots
	s.slots.Guest = guest
}

// nameRejections records what a response said of the rejections that the service's upstreams bear.
func (s *serviceCapacity) nameRejections(rejections float64, sent, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.Name(rejections, sent, now)
}

func (s *serviceCapacity) recordSlotHold(d time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.RecordHold(d)
}

// limitsRejections reports whether the service's upstreams bear few rejections.
func (s *serviceCapacity) limitsRejections(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.Active(now)
}

// slotOffset returns a hash of the upstream, from which entries derive their slots there.
func (t *Target) slotOffset() uint64 { return xxhash.Sum64String(t.Name) }

// hasSlot reports whether this entry may use a slot of the target, see [slotshare.Share].
func (t *Target) hasSlot(now time.Time) bool {
	return t.checkSlot(now, false)
}

// acquireSlot is hasSlot, and counts the request.
func (t *Target) acquireSlot(now time.Time) bool {
	return t.checkSlot(now, true)
}

func (t *Target) checkSlot(now time.Time, acquire bool) bool {
	t.mu.Lock()
	service := t.capacity.service
	t.mu.Unlock()
	if !service.limitsRejections(now) {
		return true
	}
	l := slotshare.Load{
		Own:   int(t.inFlight.Load()),
		Slots: t.Slots,
	}
	if load, sentSince := t.latestLoad(now); load != nil {
		l.Known = true
		l.Requests = float64(load.Running + load.Waiting + sentSince)
		l.Waiting = load.Waiting
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	service.mu.Lock()
	defer service.mu.Unlock()
	if acquire {
		return t.slotShare.Acquire(&service.slots, service.place, t.slotOffset(), l, now)
	}
	return t.slotShare.CanSend(&service.slots, service.place, t.slotOffset(), l, now)
}

// withSlots returns the candidates that have a slot for this entry.
func (c *call) withSlots(candidates []*Target, now time.Time) []*Target {
	if len(candidates) == 0 || !candidates[0].serviceCapacity().limitsRejections(now) {
		return candidates
	}
	var free []*Target
	for _, t := range candidates {
		if t.hasSlot(now) {
			free = append(free, t)
		}
	}
	return free
}

func (t *Target) serviceCapacity() *serviceCapacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.capacity.service
}

// applySlotFeedback records what a response head says of the target's room. The attempt began at start.
func (c *call) applySlotFeedback(target *Target, head persimmoncross.ProxyResponseHead, start time.Time) {
	r := c.relay
	now := r.Clock.Now()
	service := target.serviceCapacity()
	if service == nil {
		return
	}
	if service.nameRejections(head.MaxRejections, start, now) {
		r.incrementCounter("rejections.named")
		r.logEvent(c.request).Str("service", c.service).Str("upstream", target.Name).Float64("rejections", head.MaxRejections).Msg("limit of rejections by upstreams changed")
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	service.mu.Lock()
	defer service.mu.Unlock()
	if head.NotRun {
		target.slotShare.Rejected(&service.slots, now)
		return
	}
	target.slotShare.Begun()
}

// awaitSlot waits a little for a slot to continue a stream at. It reports false if none came free in
// time.
func (c *call) awaitSlot(ctx context.Context) bool {
	now := c.relay.Clock.Now()
	if c.slotWaitSince.IsZero() {
		c.slotWaitSince = now
	}
	if now.Sub(c.slotWaitSince) > maxSlotWait {
		return false
	}
	c.relay.incrementCounter("rejections.awaited")
	select {
	case <-ctx.Done():
		return false
	case <-c.relay.Clock.After(retryRoundDelay):
		return true
	}
}

// Place returns this entry's place among all entries, zero while it is not known.
func (p *Pool) Place() slotshare.Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place
}
