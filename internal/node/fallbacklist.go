package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// Times of an entry that reads the list itself.
const (
	// fallbackAgeFraction is the age, as a part of the drain time, at which the list
	// that the controllers send is not trusted to be fresh any more;
	// ownListLater is that where their state is recent: then their leader is about
	// to read it, and would find the calls used up by the entries.
	fallbackAgeFraction       = 0.33
	leasedFallbackAgeFraction = 0.6
	// minFallbackInterval to ownListMost is the pause between two readings. It doubles
	// after each that failed: all entries together share the calls allowed.
	minFallbackInterval = time.Second
	maxFallbackInterval = 16 * time.Second
	fallbackReadTimeout = 800 * time.Millisecond
	// fallbackRateFraction of the calls allowed is what all entries together take where the
	// list is too long for all of them to read it in the drain time: the rest is left
	// to the controllers, whose one reading serves all.
	fallbackRateFraction = 0.25
	// listPageSize is how many upstreams a call returns; more only make the pauses
	// longer than they need to be.
	listPageSize = 50
)

// fallbackReadInterval returns the least pause between two readings of one of so many entries,
// by the calls that all may make a second. Where all of them can read the list in the
// drain time it is none: then each is as good as its own reading. Beyond, entries that
// find the list old use up the calls, the leader's reading starves, and the list gets
// older still: of 293 entries before 2,997 upstreams 268 readings in 43 s failed, each
// with up to 60 calls, and none came to its end.
func fallbackReadInterval(entries, upstreams int, rate float64, drain time.Duration) time.Duration {
	calls := float64(entries * max((upstreams+listPageSize-1)/listPageSize, 1))
	if rate <= 0 || calls <= rate*drain.Seconds() {
		return 0
	}
	return time.Duration(calls / (fallbackRateFraction * rate) * float64(time.Second))
}

// runFallbackListReader reads the list while what the controllers send is too old.
func (e *Entry) runFallbackListReader(ctx context.Context) {
	pause := minFallbackInterval
	for {
		// The entries of a fleet start together and must not ask together.
		pause = max(pause, e.fallbackReadInterval())
		spread := time.Duration(rand.Int64N(int64(pause)))
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(pause + spread/2):
		}
		startedAt := e.Clock.Now()
		if !e.isListStale(startedAt) {
			pause = minFallbackInterval
			continue
		}
		if e.readFallbackList(ctx, startedAt) {
			pause = minFallbackInterval
			continue
		}
		pause = min(2*pause, maxFallbackInterval)
	}
}

// fallbackReadInterval returns it for this entry, as far as it knows the fleet.
func (e *Entry) fallbackReadInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	upstreams := 0
	for _, targets := range e.targets {
		upstreams += len(targets)
	}
	return fallbackReadInterval(e.entries.count, upstreams, e.Site.List.Rate, e.Site.Bounds.Drain)
}

// readFallbackList brings the platform's list into force, unless a later one is.
func (e *Entry) readFallbackList(ctx context.Context, startedAt time.Time) bool {
	readCtx, cancel := context.WithTimeout(ctx, fallbackReadTimeout)
	defer cancel()
	list, err := e.Lister.ListUpstreams(readCtx)
	if err != nil {
		e.Log.Warn().Err(err).Msg("the list of upstreams was not read")
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if startedAt.After(e.listReadAt) {
		e.listReadAt = startedAt
		e.targets = e.pool.Update(e.clearUnlimitedCold(list))
		e.publishView()
	}
	return true
}

// isListStale reports whether the list in force is too old to rely on the
// controllers for it.
func (e *Entry) isListStale(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	fraction := fallbackAgeFraction
	if now.Sub(e.leasedAt) < minFallbackInterval {
		fraction = leasedFallbackAgeFraction
	}
	since := e.listReadAt
	if since.IsZero() {
		since = e.startedAt
	}
	return now.Sub(since) >= time.Duration(fraction*float64(e.Site.Bounds.Drain))
}
