package node

import "time"

// entryDecreaseDelay is how long a decrease of the number of entries is ignored. A new leader
// receives reports from all entries within keepaliveInterval plus the time that the messages
// take.
const entryDecreaseDelay = keepaliveInterval + time.Second

// entryCount is the number of entries that share retry budgets, connections and rate limits. An
// increase applies at once, a decrease after entryDecreaseDelay, because with a number that is
// too small every entry would take too large a share.
type entryCount struct {
	count  int
	seenAt time.Time // when a number of at least count was last received
}

// update applies a received number, 0 for unknown, and reports whether count changed.
func (c *entryCount) update(n int, now time.Time) (changed bool) {
	if n == 0 || n < c.count && now.Sub(c.seenAt) < entryDecreaseDelay {
		return false
	}
	changed = n != c.count
	c.count = n
	c.seenAt = now
	return changed
}
