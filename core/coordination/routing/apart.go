package routing

import (
	"slices"
	"strconv"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// apartMost is one over the part of the upstreams that requests under suspicion may
// have for themselves.
const apartMost = 4

// home returns the upstream for a request under suspicion, nil if there is none.
func home(d persimmoncross.Digest, list []*Upstream) *Upstream {
	names := make([]string, len(list))
	for i, u := range list {
		names[i] = u.Name
	}
	if at := quarantine.Home(d, names); at >= 0 {
		return list[at]
	}
	return nil
}

// alone returns the upstream for the choice's own request under suspicion, nil if it
// can't take it now: no other one is to get it.
func alone(c Choice, list []*Upstream, now time.Time) *Upstream {
	u := home(c.Alone, list)
	if u == nil || c.Tried[u.Name] || u.backoff.remaining(now) > 0 || !u.Breaker(c.Version).Allows() {
		return nil
	}
	return u
}

// spare leaves out the upstreams that requests under suspicion have for themselves.
func spare(c Choice, list []*Upstream) []*Upstream {
	taken := map[*Upstream]bool{}
	for _, d := range c.Apart {
		taken[home(d, list)] = true
	}
	if len(list) == 0 || apartMost*len(taken) > len(list) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(u *Upstream) bool { return taken[u] })
}

// Life names the life of the upstream, as far as this VM has seen lives end.
func (u *Upstream) Life() string {
	return u.Name + "~" + strconv.FormatUint(u.lives.Load(), 10) + "." + strconv.FormatUint(u.ended.Load(), 10)
}

// Ended notes that the upstream's process was found gone.
func (u *Upstream) Ended() { u.ended.Add(1) }
