package node

import "time"

// countHold is how long a decrease of the number of entries is ignored. A new leader hears
// from all entries within presentEvery and the time that their messages take.
const countHold = presentEvery + time.Second

// entryCount is the number of entries that share retries, connections and limits. An
// increase applies at once, a decrease after countHold: with a number that is too small
// every entry would take too large a share.
type entryCount struct {
	n    int
	seen time.Time // when it was at least n last
}

// set handles a number that was received, 0 for unknown, and reports whether n changed.
func (c *entryCount) set(n int, now time.Time) (changed bool) {
	if n == 0 || n < c.n && now.Sub(c.seen) < countHold {
		return false
	}
	changed = n != c.n
	c.n = n
	c.seen = now
	return changed
}
