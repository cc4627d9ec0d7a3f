// Package slotshare divides the slots of upstreams among the entries, for upstreams that must not
// reject many requests: one that rejects more than it bears in a second fails, and with it what it
// runs. Entries learn of each other's requests too late to keep within the slots by loads alone, so
// each has slots of its own at each upstream, by its place among the entries, and needs no message for
// it. Where a service has fewer slots than there are entries, each entry sends at its share of a rate
// that fills part of the slots. The package has no I/O, no locks and no clock.
package slotshare

import (
	"math"
	"time"
)

// Parameters of the shares.
const (
	// pacedFraction is the fraction of the slots that is used where entries send at a rate. Requests
	// of many entries then arrive at random, and rarely more at a time than there are slots.
	pacedFraction = 1.0 / 3
	// defaultHold is assumed as the time for which a request holds a slot until one was measured.
	defaultHold = 100 * time.Millisecond
	holdWeight  = 0.05 // weight of one measurement
	// openFraction is the fraction of the time between two requests at a rate for which the next
	// one may be sent. Otherwise all entries would send at once when the load rises.
	openFraction = 0.25
	// guestSlots is the multiple of the slots of which entries own one that own none at any upstream,
	// while at most guestFraction of the slots are in use.
	guestSlots    = 4
	guestFraction = 0.5
	// initialPause and maxPause bound how long an entry sends nothing to an upstream that has
	// rejected a request; the pause doubles with each rejection in succession.
	initialPause = 500 * time.Millisecond
	maxPause     = 8 * time.Second
	// retention is how long an upstream counts as one that must not reject many requests after
	// its last response that said so.
	retention = 15 * time.Second
)

// Service is what an entry knows of the rejections that a service's upstreams bear. In the zero
// value nothing is known, and nothing is limited.
type Service struct {
	Slots      int           // of all its upstreams
	Share      float64       // part of the slots that this entry may use; 0: those of its place
	Guest      bool          // this entry owns none of them
	hold       time.Duration // mean time for which a request holds a slot; 0: not measured
	rejections float64       // per second and upstream
	namedAt    time.Time     // when a response last named them
}

// Name records the rejections per second that a response named, 0 for none. The response belongs to a
// request that was sent at the given time. Name reports whether what is in force changed. A response
// without them ends them only if its request was sent after the last response that named them.
func (s *Service) Name(rejections float64, sent, now time.Time) (changed bool) {
	before := s.Active(now)
	switch {
	case rejections > 0:
		changed = !before || rejections != s.rejections
		s.rejections = rejections
		s.namedAt = now
	case before && sent.After(s.namedAt):
		s.rejections = 0
		changed = true
	}
	return changed
}

// Active reports whether the service's upstreams must not reject many requests.
func (s *Service) Active(now time.Time) bool {
	return s.rejections > 0 && now.Sub(s.namedAt) <= retention
}

// RecordHold records for how long a request held a slot.
func (s *Service) RecordHold(d time.Duration) {
	if s.hold == 0 {
		s.hold = d
		return
	}
	s.hold += time.Duration(holdWeight * float64(d-s.hold))
}

// interval returns the time between two requests of an entry to an upstream, where entries send at a
// rate; 0 if they have slots of their own.
func (s *Service) interval(place Place, slots int) time.Duration {
	if s.Slots >= place.Count {
		return 0
	}
	hold := s.hold
	if hold == 0 {
		hold = defaultHold
	}
	share := s.Share
	if share == 0 {
		share = 1 / float64(place.Count)
	}
	return time.Duration(float64(hold) / (share * pacedFraction * float64(slots)))
}

// OwnSlots returns how many of so many slots of an upstream this entry may use. offset is a hash of the upstream.
func (s *Service) OwnSlots(place Place, slots int, offset uint64) int {
	if s.Share == 0 {
		return place.slots(slots, offset)
	}
	// A fraction of a slot is a slot at that fraction of the upstreams.
	return int(s.Share*float64(slots) + place.phase(offset))
}

// Place is the position of an entry among all entries, from 0.
type Place struct {
	Index, Count int
}

// slots returns how many of so many slots of an upstream are this entry's own. offset is a hash of the
// upstream, so that the slots that are left over after an even division are spread over all entries.
func (p Place) slots(slots int, offset uint64) int {
	n := max(p.Count, 1)
	behind := (p.Index%n - int(offset%uint64(n)) + n) % n
	own := slots / n
	if behind < slots%n {
		own++
	}
	return own
}

// phase returns the entry's phase where entries send at a rate, from 0 to 1. Those of successive places
// are spread evenly.
func (p Place) phase(offset uint64) float64 {
	_, fraction := math.Modf(math.Phi * float64(uint64(p.Index)+offset%1024))
	return fraction
}

// Load is the load of an upstream as an entry knows it.
type Load struct {
	Known    bool    // the upstream has reported its load lately
	Requests float64 // reported to be running and waiting there, and sent by this entry since
	Waiting  int     // reported to be waiting there; 0 if not known
	Own      int     // requests of this entry in flight
	Slots    int
}

// Share is an entry's share of one upstream's slots. The zero value is ready for use.
type Share struct {
	nextSend    time.Time // where entries send at a rate; zero: not drawn yet
	pause       time.Duration
	pausedUntil time.Time
}

// CanSend reports whether the entry may send the upstream a request.
func (s *Share) CanSend(service *Service, place Place, offset uint64, l Load, now time.Time) bool {
	if !service.Active(now) {
		return true
	}
	if now.Before(s.pausedUntil) || l.Waiting > 0 {
		return false
	}
	slots := max(l.Slots, 1)
	interval := service.interval(place, slots)
	if interval == 0 && service.Guest {
		return l.Known && l.Requests+1 <= guestFraction*float64(slots) && l.Own < min(place.slots(guestSlots*slots, offset), 1)
	}
	if interval == 0 {
		return l.Own < service.OwnSlots(place, slots, offset)
	}
	if s.nextSend.IsZero() || s.nextSend.After(now.Add(2*interval)) {
		s.nextSend = now.Add(time.Duration(place.phase(offset) * float64(interval)))
	}
	for now.Sub(s.nextSend) >= interval {
		s.nextSend = s.nextSend.Add(now.Sub(s.nextSend) / interval * interval)
	}
	return !now.Before(s.nextSend) && now.Sub(s.nextSend) < time.Duration(openFraction*float64(interval))
}

// Acquire is CanSend, and counts the request.
func (s *Share) Acquire(service *Service, place Place, offset uint64, l Load, now time.Time) bool {
	if !s.CanSend(service, place, offset, l, now) {
		return false
	}
	if service.Active(now) {
		s.nextSend = s.nextSend.Add(service.interval(place, max(l.Slots, 1)))
	}
	return true
}

// Begun records that the upstream has begun a request of this entry.
func (s *Share) Begun() { s.pause = 0 }

// Rejected records that the upstream had no room for a request of this entry.
func (s *Share) Rejected(service *Service, now time.Time) {
	if !service.Active(now) {
		return
	}
	s.pause = min(max(2*s.pause, initialPause), maxPause)
	s.pausedUntil = now.Add(s.pause)
}
