package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/slowstart"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

// This file publishes the cold upstreams and the entries that may send to them. The leader
// reads the cold upstreams with the list and assigns owners to each cold instance once. The
// controllers forward them before the list that contains the instance.

// coldMargin is added to the time for which an upstream is reported as cold, because the
// reported time is rounded and delayed in transit.
const coldMargin = 100 * time.Millisecond

// coldUpstreams are the cold instances with their owners, by instance ID. A published map is
// never changed.
type coldUpstreams = map[string]slowstart.ColdUpstream

// coldTracker is what a controller records on cold upstreams beside the publisher's map.
type coldTracker struct {
	// The fields above mu are owned by the goroutine of runListReader.
	ledSince       time.Time                      // when this process became the leader; zero: it does not lead
	documentNumber uint64                         // number of the document that limits was read from
	limits         map[string]slowstart.ColdLimit // by service
	list           []persimmoncross.Upstream      // the list that the leader last read
	listReadAt     time.Time
	evacuationEnds map[string]time.Time // when an evacuation ended, by data centre

	mu                sync.Mutex // guards all below; locked by the consensus goroutine
	evacuated         map[string]register.Evacuation
	newEvacuationEnds map[string]time.Time // ends not yet moved to evacuationEnds
}

// updateState records a state. The upstreams of a data centre whose evacuation has ended are
// treated as cold.
func (t *coldTracker) updateState(s *register.State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.evacuated {
		if _, evacuated := s.Evacuations[name]; !evacuated {
			if t.newEvacuationEnds == nil {
				t.newEvacuationEnds = map[string]time.Time{}
			}
			t.newEvacuationEnds[name] = now
		}
	}
	t.evacuated = s.Evacuations
}

// refresh collects the ends of evacuations since the previous call and records whether this
// process leads. It reports whether the cold upstreams must be updated.
func (t *coldTracker) refresh(isLeader bool, now time.Time) (needsUpdate bool) {
	switch {
	case !isLeader:
		t.ledSince = time.Time{}
		t.list = nil
	case t.ledSince.IsZero():
		t.ledSince = now
		needsUpdate = true
	}
	for name, at := range t.evacuationEnds {
		if now.Sub(at) > evacuationEndRetention {
			delete(t.evacuationEnds, name)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuationEnds == nil {
		t.evacuationEnds = map[string]time.Time{}
	}
	maps.Copy(t.evacuationEnds, t.newEvacuationEnds)
	needsUpdate = needsUpdate || len(t.newEvacuationEnds) > 0
	t.newEvacuationEnds = nil
	return needsUpdate
}

// coldLimits returns the limits of cold upstreams by service; services without a cold period
// are left out.
func (c *Controller) coldLimits() map[string]slowstart.ColdLimit {
	tracker := &c.coldTracker
	s := c.register.Current()
	if c.Decode == nil || len(s.Document) == 0 || s.Number == tracker.documentNumber {
		return tracker.limits
	}
	tracker.documentNumber = s.Number
	c.WithDecodeLock(func() {
		declared, err := c.Decode(s.Document)
		if err != nil {
			c.Log.Error().Err(err).Uint64("number", s.Number).Msg("a stored document could not be decoded")
			return
		}
		tracker.limits = c.coldLimitsOf(declared)
	})
	return tracker.limits
}

// coldLimitsOf returns the limits of cold upstreams that a document declares.
func (c *Controller) coldLimitsOf(declared *catalog.Catalog) map[string]slowstart.ColdLimit {
	limits := map[string]slowstart.ColdLimit{}
	for name, x := range declared.Services {
		if x.ColdFor > 0 {
			limits[name] = slowstart.ColdLimit{
				Rate:         x.ColdRate,
				MaxPerSecond: x.ColdRate*max(c.Site.Bounds.ColdOvershoot, 1) + c.Site.Bounds.ColdSlack,
				Duration:     x.ColdFor,
			}
		}
	}
	return limits
}

// updateColdUpstreams publishes which upstreams are cold according to the list that was read
// last, before the list itself is published.
func (c *Controller) updateColdUpstreams(now time.Time) {
	tracker := &c.coldTracker
	list, readAt := tracker.list, tracker.listReadAt
	if list == nil {
		list, readAt = c.publisher.upstreams()
	}
	var observations []slowstart.ColdObservation
	for _, u := range list {
		endedAt, reinstated := tracker.evacuationEnds[u.DataCentre]
		if u.SlowStartRemaining <= 0 && !reinstated {
			continue
		}
		limit, limited := c.coldLimits()[u.Service]
		if !limited {
			continue
		}
		until := time.Time{}
		if u.SlowStartRemaining > 0 {
			until = readAt.Add(u.SlowStartRemaining + coldMargin)
		}
		if at := endedAt.Add(limit.Duration); reinstated && at.After(until) {
			until = at
		}
		observations = append(observations, slowstart.ColdObservation{
			InstanceID: u.InstanceID(),
			ColdUntil:  until,
			Limit:      limit,
		})
	}
	entries := c.publisher.presentEntries(now)
	// The previous leader may have assigned owners also to instances that became cold after this
	// process became the leader, but no later than the list's lag after that.
	soleSince := tracker.ledSince.Add(c.Site.List.Lag + coldMargin)
	next, added := slowstart.Update(c.publisher.currentCold(), observations, entries, soleSince, now)
	if added > 0 {
		c.Log.Info().Int("upstreams", len(next)).Int("fresh", added).Int("entries", len(entries)).Msg("upstreams are cold")
		c.incrementCounter("cold.assigned")
	}
	c.publisher.setColdUpstreams(next)
}

// evacuationEndRetention is how long the end of an evacuation is kept. It should be longer than any
// upstream is cold, but the cold periods of a document are not checked against it.
const evacuationEndRetention = time.Minute

// setColdUpstreams replaces the published cold upstreams.
func (p *publisher) setColdUpstreams(next coldUpstreams) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maps.EqualFunc(p.cold, next, equalCold) {
		return
	}
	p.coldVersion++
	changedAt := make(map[string]uint64, len(next))
	hasChanged := false
	for id, c := range next {
		changedAt[id] = p.coldChangedAt[id]
		if old, known := p.cold[id]; !known || !equalCold(old, c) {
			changedAt[id] = p.coldVersion
			hasChanged = true
		}
	}
	p.cold = next
	p.coldChangedAt = changedAt
	if hasChanged {
		p.notify()
	}
}

// mergeColdUpstreams adds cold upstreams received from the leader to those received before that
// are still cold.
func (p *publisher) mergeColdUpstreams(received coldUpstreams, now time.Time) {
	next := coldUpstreams{}
	for id, c := range p.currentCold() {
		if c.ColdUntil.After(now) {
			next[id] = c
		}
	}
	maps.Copy(next, received)
	p.setColdUpstreams(next)
}

func equalCold(a, b slowstart.ColdUpstream) bool {
	return a.ColdUntil.Equal(b.ColdUntil) && a.Interval == b.Interval && slices.Equal(a.Owners, b.Owners)
}

func (p *publisher) currentCold() coldUpstreams {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold
}

// presentEntries returns the names of the entries that are present, sorted.
func (p *publisher) presentEntries(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, a := range p.reports {
		if a.message.GetEntry() && now.Sub(a.receivedAt) <= presenceTimeout {
			names = append(names, a.message.GetVm())
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// addColdUpstreams adds the upstreams that became cold to an update for a follower. An entry
// receives no owners, and the interval and weight only if it is an owner itself. The end of a
// cold period is not sent, because the update carries the remaining time. The caller holds mu.
func (p *publisher) addColdUpstreams(u *wire.Update, s *followerState) {
	if p.coldVersion == s.coldVersion {
		return
	}
	now := p.clock.Now()
	for id, c := range p.cold {
		if p.coldChangedAt[id] <= s.coldVersion || !c.ColdUntil.After(now) {
			continue
		}
		x := &wire.Cold{
			Life:   id,
			Left:   uint32(c.ColdUntil.Sub(now) / time.Millisecond),
			Owners: c.Owners,
		}
		if s.entry {
			x.Owners = nil
		}
		if !s.entry || slices.Contains(c.Owners, s.vm) {
			x.Pause = uint32(c.Interval / time.Millisecond)
			x.Weight = float32(c.Weight)
		}
		u.Colds = append(u.Colds, x)
	}
	s.coldVersion = p.coldVersion
}

// coldUpstreamsOf returns the cold upstreams of an update, or nil if there are none.
func coldUpstreamsOf(u *wire.Update, now time.Time) coldUpstreams {
	if len(u.GetColds()) == 0 {
		return nil
	}
	cold := coldUpstreams{}
	for _, x := range u.GetColds() {
		cold[x.GetLife()] = slowstart.ColdUpstream{
			ColdUntil: now.Add(time.Duration(x.GetLeft()) * time.Millisecond),
			Owners:    x.GetOwners(),
			Interval:  time.Duration(x.GetPause()) * time.Millisecond,
			Weight:    float64(x.GetWeight()),
		}
	}
	return cold
}
