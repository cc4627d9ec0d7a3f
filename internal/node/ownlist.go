package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// Times of an entry that reads the list itself.
const (
	// ownListAfter is the age, as a part of the drain time, at which the list
	// that the controllers send is not trusted to be fresh any more;
	// ownListLater is that where their state is recent: then their leader is about
	// to read it, and would find the calls used up by the entries.
	ownListAfter = 0.33
	ownListLater = 0.6
	// ownListFirst to ownListMost is the pause between two readings. It doubles
	// after each that failed: all entries together share the calls allowed.
	ownListFirst = time.Second
	ownListMost  = 16 * time.Second
	ownListWait  = 800 * time.Millisecond
	// ownListPart of the calls allowed is what all entries together take where the
	// list is too long for all of them to read it in the drain time: the rest is left
	// to the controllers, whose one reading serves all.
	ownListPart = 0.25
	// ownListPage is how many upstreams a call returns; more only make the pauses
	// longer than they need to be.
	ownListPage = 50
)

// ownListPause returns the least pause between two readings of one of so many entries,
// by the calls that all may make a second. Where all of them can read the list in the
// drain time it is none: then each is as good as its own reading. Beyond, entries that
// find the list old use up the calls, the leader's reading starves, and the list gets
// older still: of 293 entries before 2,997 upstreams 268 readings in 43 s failed, each
// with up to 60 calls, and none came to its end.
func ownListPause(entries, upstreams int, rate float64, drain time.Duration) time.Duration {
	calls := float64(entries * max((upstreams+ownListPage-1)/ownListPage, 1))
	if rate <= 0 || calls <= rate*drain.Seconds() {
		return 0
	}
	return time.Duration(calls / (ownListPart * rate) * float64(time.Second))
}

// listDuty reads the list while what the controllers send is too old.
func (e *Entry) listDuty(ctx context.Context) {
	pause := ownListFirst
	for {
		// The entries of a fleet start together and must not ask together.
		pause = max(pause, e.ownListPause())
		spread := time.Duration(rand.Int64N(int64(pause)))
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(pause + spread/2):
		}
		began := e.Clock.Now()
		if !e.listIsOld(began) {
			pause = ownListFirst
			continue
		}
		if e.readList(ctx, began) {
			pause = ownListFirst
			continue
		}
		pause = min(2*pause, ownListMost)
	}
}

// ownListPause returns it for this entry, as far as it knows the fleet.
func (e *Entry) ownListPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	upstreams := 0
	for _, of := range e.targets {
		upstreams += len(of)
	}
	return ownListPause(e.entries.n, upstreams, e.Site.List.Rate, e.Site.Bounds.Drain)
}

// readList brings the platform's list into force, unless a later one is.
func (e *Entry) readList(ctx context.Context, began time.Time) bool {
	wait, cancel := context.WithTimeout(ctx, ownListWait)
	defer cancel()
	list, err := e.Lister.Upstreams(wait)
	if err != nil {
		e.Log.Warn().Err(err).Msg("the list of upstreams was not read")
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if began.After(e.listRead) {
		e.listRead = began
		e.targets = e.pool.Update(e.limitedCold(list))
		e.publish()
	}
	return true
}

// listIsOld reports whether the list in force is too old to rely on the
// controllers for it.
func (e *Entry) listIsOld(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	part := ownListAfter
	if now.Sub(e.leased) < ownListFirst {
		part = ownListLater
	}
	since := e.listRead
	if since.IsZero() {
		since = e.started
	}
	return now.Sub(since) >= time.Duration(part*float64(e.Site.Bounds.Drain))
}
