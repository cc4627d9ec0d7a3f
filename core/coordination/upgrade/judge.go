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
	Runs uint64
	Bad  uint64
}

// Pool is the evidence of all entries on one upgrade, by route.
type Pool struct {
	New map[string]Count
	Old map[string]Count
}

// The marks of a bad version. A bad one fails a large part of its requests, on
// all routes or on one; the old version's own failures are taken off.
const (
	badLeast  = 5    // bad answers, before anything is decided
	badShare  = 0.15 // of the runs on a route, beyond the old version's share
	badFactor = 2.5  // times the old version's share
)

// Parts of the time allowed at which the stages change. A shift leaves the old
// version's long answers time to end before it is stopped.
const (
	shiftPart    = 0.55
	completePart = 0.85
	// evidenceLeast is the number of answers without which a version is not
	// trusted with all requests before lateShiftPart of the time.
	evidenceLeast = 10
	lateShiftPart = 0.7
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
		if !ready || part < shiftPart {
			return u.Stage, ""
		}
		if runs(p.New) >= evidenceLeast || part >= lateShiftPart {
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
		if worse(c, p.Old[route]) {
			return fmt.Sprintf("%d of %d answers on route %s are bad, of the old version's %d of %d", c.Bad, c.Runs, route, p.Old[route].Bad, p.Old[route].Runs)
		}
		all.Runs += c.Runs
		all.Bad += c.Bad
	}
	for _, c := range p.Old {
		old.Runs += c.Runs
		old.Bad += c.Bad
	}
	if worse(all, old) {
		return fmt.Sprintf("%d of %d answers are bad, of the old version's %d of %d", all.Bad, all.Runs, old.Bad, old.Runs)
	}
	return ""
}

func worse(c, old Count) bool {
	if c.Bad < badLeast {
		return false
	}
	share := float64(c.Bad) / float64(max(c.Runs, 1))
	before := float64(old.Bad) / float64(max(old.Runs, 1))
	return share >= before+badShare && share >= before*badFactor
}
