package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits and intervals of an entry that reads the list of upstreams itself.
const (
	// fallbackAgeFraction is the age of the list, as a fraction of the drain time, from which
	// an entry no longer relies on the controllers for a fresh list. leasedFallbackAgeFraction
	// is the fraction while the controller has a lease: the leader is then about to read the
	// list, and entries that read it too would use up the calls allowed.
	fallbackAgeFraction       = 0.33
	leasedFallbackAgeFraction = 0.6
	// minFallbackInterval and maxFallbackInterval bound the backoff between two reads, which
	// doubles after each failed read, because all entries together share the calls allowed.
	// fallbackReadInterval and jitter may lengthen the interval.
	minFallbackInterval = time.Second
	maxFallbackInterval = 16 * time.Second
	fallbackReadTimeout = 800 * time.Millisecond
	// fallbackRateFraction is the fraction of the calls allowed that all entries together use
	// if the list is too long for every entry to read it within the drain time. The rest is
	// left to the controllers, whose single read serves the whole fleet.
	fallbackRateFraction = 0.25
	// listPageSize is the assumed number of upstreams that a call returns. If a call returns
	// more, the intervals are only longer than necessary.
	listPageSize = 50
)

// fallbackReadInterval returns the minimum interval between two reads of the list by one entry,
// given the rate of calls that all VMs may make together. It is 0 if all entries can read the
// list within the drain time. Otherwise entries with an old list would use up the calls, the
// leader's reads would starve, and the list would get older still: with 293 entries and 2,997
// upstreams, 268 reads in 43 s failed, each after up to 60 calls, and none completed.
func fallbackReadInterval(entries, upstreams int, rate float64, drain time.Duration) time.Duration {
	calls := float64(entries * max((upstreams+listPageSize-1)/listPageSize, 1))
	if rate <= 0 || calls <= rate*drain.Seconds() {
		return 0
	}
	return time.Duration(calls / (fallbackRateFraction * rate) * float64(time.Second))
}

// runFallbackListReader reads the list from the platform while the one from the controllers is
// too old.
func (e *Entry) runFallbackListReader(ctx context.Context) {
	interval := minFallbackInterval
	for {
		// The entries of a fleet may start together; random jitter spreads their reads.
		interval = max(interval, e.fallbackReadInterval())
		jitter := time.Duration(rand.Int64N(int64(interval)))
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(interval + jitter/2):
		}
		startedAt := e.Clock.Now()
		if !e.isListStale(startedAt) {
			interval = minFallbackInterval
			continue
		}
		if e.readFallbackList(ctx, startedAt) {
			interval = minFallbackInterval
			continue
		}
		interval = min(2*interval, maxFallbackInterval)
	}
}

// fallbackReadInterval returns the minimum interval between two reads by this entry, from the
// number of entries and upstreams that it has received.
func (e *Entry) fallbackReadInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	upstreams := 0
	for _, targets := range e.targets {
		upstreams += len(targets)
	}
	return fallbackReadInterval(e.entries.count, upstreams, e.Site.List.Rate, e.Site.Bounds.Drain)
}

// readFallbackList reads the platform's list and brings it into force, unless a list that was
// read later is in force. It reports whether the read succeeded.
func (e *Entry) readFallbackList(ctx context.Context, startedAt time.Time) bool {
	readCtx, cancel := context.WithTimeout(ctx, fallbackReadTimeout)
	defer cancel()
	list, err := e.Lister.ListUpstreams(readCtx)
	if err != nil {
		e.Log.Warn().Err(err).Msg("failed to read the list of upstreams")
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

// isListStale reports whether the list in force is too old to keep relying on the controllers
// for it.
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
