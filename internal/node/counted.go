package node

import "time"

// countHold is how long a smaller number of entries is not believed: a controller that begins
// to lead hears of all within presentEvery and the way there. Those who pass the number on
// hold it each.
const countHold = presentEvery + time.Second

// counted is how many entries share what is shared. More count at once, fewer after countHold:
// a number that is too small lets each take too much.
type counted struct {
	n    int
	seen time.Time // when it was at least n last
}

// take takes a number that was told, 0 for unknown, and reports whether another one counts
// now.
func (c *counted) take(n int, now time.Time) (changed bool) {
	if n == 0 || n < c.n && now.Sub(c.seen) < countHold {
		return false
	}
	changed = n != c.n
	c.n = n
	c.seen = now
	return changed
}
