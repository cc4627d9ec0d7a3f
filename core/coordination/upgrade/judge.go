// Package upgrade decides on moving a service from one version of its software
// to another, from what all entries saw of both. It has no I/O; the leader of
// the controllers asks it.
package upgrade

import (
	"fmt"
	"time"

	"persimmoncross/core/state/register"
)

// Count is what was seen of one version on one route.
type Count struct {
	Runs   uint64
	Failed uint64
	Slow   uint64
}

// add adds another count.
func (c *Count) add(o Count) {
	c.Runs += o.Runs
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// Pool is the evidence of all entries on one upgrade, by route.
type Pool struct {
	New map[string]Count
	Old map[string]Count
}

// mark is what makes a version bad: so many answers of a kind, a share of the
// runs so far above the old version's, and so many times it. Failures are rare
// on a good version, and slow answers are not: prompts differ by a factor of a
// hundred.
type mark struct {
	what   string
	least  uint64
	share  float64
	factor float64
	of     func(c Count) uint64
}

var marks = []mark{
	{
		what:   "failed",
		least:  4,
		share:  0.12,
		factor: 2.5,
		of:     func(c Count) uint64 { return c.Failed },
	},
	{
		what:   "slow",
		least:  8,
		share:  0.25,
		factor: 1.8,
		of:     func(c Count) uint64 { return c.Slow },
	},
}

// Parts of the time allowed at which the stages change.
const (
	// bothPart ends the trial: from there both versions' upstreams carry the load
	// together, and a version that turns bad late is found soon. It is past the
	// half, before which a session must not move to the new version.
	bothPart = 0.52
	// shiftPart leaves the old version's long answers time to end before it is
	// stopped at completePart.
	shiftPart    = 0.7
	completePart = 0.9
	// evidenceLeast is the number of answers without which a version is not
	// trusted with new sessions before lateBothPart of the time.
	evidenceLeast = 30
	lateBothPart  = 0.6
)

// Decide returns the stage that the upgrade should be in, and why.
func Decide(u register.Upgrade, elapsed time.Duration, p Pool, ready bool) (register.Stage, string) {
	if u.Stage.Ended() {
		return u.Stage, ""
	}
	if why := bad(p); why != "" {
		return register.Withdrawn, why
	}
	part := elapsed.Seconds() / max(u.Duration.Seconds(), 1)
	switch u.Stage {
	case register.Trial:
		if part >= 1 {
			return register.Withdrawn, "the time is over before the trial is"
		}
		if !ready || part < bothPart {
			return u.Stage, ""
		}
		if runs(p.New) >= evidenceLeast || part >= lateBothPart {
			return register.Both, fmt.Sprintf("%d answers speak for it", runs(p.New))
		}
	case register.Both:
		if part >= shiftPart {
			return register.Shift, fmt.Sprintf("%d answers speak for it", runs(p.New))
		}
	case register.Shift:
		if part >= completePart {
			return register.Completed, "all requests run on it"
		}
	}
	return u.Stage, ""
}

func runs(by map[string]Count) uint64 {
	sum := uint64(0)
	for _, c := range by {
		sum += c.Runs
	}
	return sum
}

// bad returns why the version is bad, "" if the evidence does not say so.
func bad(p Pool) string {
	all, old := Count{}, Count{}
	for route, c := range p.New {
		if why := worse(c, p.Old[route]); why != "" {
			return why + " on route " + route
		}
		all.add(c)
	}
	for _, c := range p.Old {
		old.add(c)
	}
	return worse(all, old)
}

func worse(c, old Count) string {
	for _, m := range marks {
		n, before := m.of(c), m.of(old)
		share := float64(n) / float64(max(c.Runs, 1))
		base := float64(before) / float64(max(old.Runs, 1))
		if n >= m.least && share >= base+m.share && share >= base*m.factor {
			return fmt.Sprintf("%d of %d answers %s, of the old version's %d of %d", n, c.Runs, m.what, before, old.Runs)
		}
	}
	return ""
}
