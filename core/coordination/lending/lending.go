// Package lending divides the room of a service's upstreams among the entries that compete for it.
// Each entry computes its own part from sums that all entries have, for a short interval. Nothing is
// granted, so nothing is lost with an entry, and no room is promised twice for longer than the age of
// the sums. It has no network, no locks and no clock.
package lending

import "time"

// Parameters of an Account.
const (
	// minInterval is the shortest time between two divisions. Loads that arrive twice, as from two
	// controllers, say nothing new.
	minInterval = 100 * time.Millisecond
	// maxAge is how long a division holds. It covers a few lost messages; after that the entry acts
	// alone.
	maxAge = time.Second
)

// Upstream is the load of an upstream as its last report and this entry's requests since show it.
type Upstream struct {
	Slots    int
	Requests float64 // running and waiting
	Running  int     // as reported; 0 if no load is known
	Waiting  int     // as reported, with those sent since
	HoldTime time.Duration
}

// Room returns how many requests more the upstream begins, within the age of its load, than it had
// when it reported. It is negative if the upstream has more than it will begin.
func (u Upstream) Room(loadAge time.Duration) float64 {
	slots := float64(max(u.Slots, 1))
	if u.HoldTime <= 0 {
		return slots - u.Requests
	}
	ended := loadAge.Seconds() / u.HoldTime.Seconds() // of each request that runs
	room := slots*(1+ended) - u.Requests
	if u.Waiting > 0 && u.Running > 0 {
		// Requests wait while slots are free if memory or prefill is the limit.
		room = min(room, float64(u.Running)*ended-float64(u.Waiting))
	}
	return room
}

// Demand is what competes for the room.
type Demand struct {
	Room      float64       // sum over the upstreams that have room
	LoadAge   time.Duration // age of the loads, and of the fleet's sums
	Waiting   []int         // requests that wait at the entries of the sum, by rank
	Own       []int         // requests that wait at this entry, by rank
	BeginRate float64       // requests that the entries of the sum begin per second
	Summed    int           // entries in the sum
	Entries   int           // entries that share the upstreams
}

// Account is an entry's part of the room. The zero value is inactive.
type Account struct {
	credits   float64
	uses      []use // expected sends of all entries that the loads don't show yet
	active    bool
	dividedAt time.Time
}

// use is the number of requests that all entries are expected to have sent by one division.
type use struct {
	at time.Time
	n  float64
}

// Divide begins a new interval with this entry's part of the room: what waits is served by rank, and
// within a rank each entry gets what waits there of all that waits. What nobody waits for is divided
// evenly. random is a number from 0 to 1 that rounds the part, so that the parts of all entries add up
// to the room on average. If nothing waits anywhere, the account becomes inactive.
func (a *Account) Divide(d Demand, now time.Time, random float64) {
	if a.active && sum(d.Waiting) > 0 && now.Sub(a.dividedAt) < minInterval {
		return
	}
	a.prune(now, d.LoadAge)
	interval := min(now.Sub(a.dividedAt), maxAge)
	a.dividedAt = now
	a.active = sum(d.Waiting) > 0 && d.Summed > 0
	if !a.active {
		a.credits = 0
		a.uses = nil
		return
	}
	// Entries that the sum lacks act alone on their part of the room.
	left := d.Room * min(float64(d.Summed)/float64(max(d.Entries, 1)), 1)
	for _, u := range a.uses {
		left -= u.n
	}
	left = max(left, 0)
	part, claimed := 0.0, 0.0
	for rank, waiting := range d.Waiting {
		own := 0
		if rank < len(d.Own) {
			own = d.Own[rank]
		}
		n := float64(max(waiting, own))
		if n == 0 {
			continue
		}
		given := min(left, n)
		part += given * float64(own) / n
		claimed += given
		left -= given
	}
	part += left / float64(d.Summed)
	a.credits = float64(int(part + random))
	a.uses = append(a.uses, use{
		at: now,
		n:  claimed + min(left, d.BeginRate*interval.Seconds()),
	})
}

// prune forgets the sends that the loads show.
func (a *Account) prune(now time.Time, loadAge time.Duration) {
	old := 0
	for old < len(a.uses) && now.Sub(a.uses[old].at) >= loadAge {
		old++
	}
	a.uses = append(a.uses[:0], a.uses[old:]...)
}

// IsActive reports whether the account limits what the entry sends. Without recent news it does not.
func (a *Account) IsActive(now time.Time) bool {
	return a.active && now.Sub(a.dividedAt) <= maxAge
}

// MaySend reports whether the entry may send another request.
func (a *Account) MaySend(now time.Time) bool { return !a.IsActive(now) || a.credits >= 1 }

// Send counts a request that the entry sends, also one that may not wait.
func (a *Account) Send() {
	if a.active {
		a.credits--
	}
}

// Credits returns how many requests the entry may still send in this interval.
func (a *Account) Credits() int { return int(max(a.credits, 0)) }

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
