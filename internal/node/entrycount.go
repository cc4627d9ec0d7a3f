package node

import "time"

// entryDecreaseDelay is how long a decrease of the number of entries is ignored. A new leader hears
// from all entries within presentEvery and the time that their messages take.
const entryDecreaseDelay = keepaliveInterval + time.Second

// entryCount is the number of entries that share retries, connections and limits. An
// increase applies at once, a decrease after countHold: with a number that is too small
// every entry would take too large a share.
type entryCount struct {
	count  int
	seenAt time.Time // when it was at least n last
}

// update handles a number that was received, 0 for unknown, and reports whether n changed.
func (c *entryCount) update(n int, now time.Time) (changed bool) {
	if n == 0 || n < c.count && now.Sub(c.seenAt) < entryDecreaseDelay {
		return false
	}
	changed = n != c.count
	c.count = n
	c.seenAt = now
	return changed
}
