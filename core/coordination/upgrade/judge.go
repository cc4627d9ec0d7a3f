// Package upgrade decides on moving a service from one version of its software
// to another, from what all entries saw of both. It has no I/O; the leader of
// the controllers asks it.
package upgrade

import (
	"fmt"
	"math"
	"time"

	"persimmoncross/core/state/register"
)

// Count is what was seen of one version on one route.
type Count struct {
	Runs   uint64
	Failed uint64
	Timed  uint64  // answers whose time says something of the version
	Time   float64 // seconds of those together
	Square float64 // of those seconds, squared, together
}

// add adds another count.
func (c *Count) add(o Count) {
	c.Runs += o.Runs
	c.Failed += o.Failed
	c.Timed += o.Timed
	c.Time += o.Time
	c.Square += o.Square
}

// mean returns the mean time and the square of its error.
func (c Count) mean() (mean, square float64) {
	n := float64(c.Timed)
	mean = c.Time / n
	return mean, max(c.Square/n-mean*mean, 0) / n
}

// Pool is the evidence of all entries on one upgrade, by route.
type Pool struct {
	New map[string]Count
	Old map[string]Count
}

// The marks of a version that fails: so many failures, a share of the runs so far
// above the old version's, and so many times it.
const (
	failedLeast  = 4
	failedShare  = 0.12
	failedFactor = 2.5
)

// Of the doubt at the end of a trial: a route with few requests may have too few
// failures for a mark, as 2 in 6 answers of one that fails half of them.
const (
	doubtLeast  = 2
	doubtChance = 0.01 // that a good version shows as many
)

// The marks of a version that is slow: in a trial its upstreams have a small part
// of the load, so that a good version is quicker than the old one: 0.45 times its
// time between events, as measured, and one that is eight times slower is 1.8 to
// 2.2 times as slow.
const (
	slowLeast  = 8
	slowFactor = 1.25
	// slowShift is the factor after the shift, when the new version has the load
	// that the old one had before, and for all routes of a service together, whose
	// mix may differ a little between the versions.
	slowShift = 2.5
	// slowErrors is how many times its error the difference must be: the times of
	// plain answers differ much among themselves, and it is asked five times a
	// second. Where half of the answers are slow the error is large too, so that
	// for the greater factor less is asked.
	slowErrors      = 3.5
	slowShiftErrors = 2.0
)

// Of the exposure allowed. The trial takes trialPart of it, and the rest is for
// the requests between the shift and the end of the time allowed. Where the time
// is short the trial takes less, but never under trialLeast of all requests:
// without any nothing would be learnt.
const (
	trialPart  = 0.5
	trialLeast = 0.02
)

// Of the times at which the stages change.
const (
	// usedPart is the part of the exposure allowed that is used by a version that
	// shows no mark to the end: one that is bad only under a load that a trial
	// does not make must not get more either.
	usedPart = 0.8
	usedMost = 0.95 // where the time is short
	// completeMargin is left between the completion and the end of the time
	// allowed, for the operator to see it. shiftTime is the least time before it in which the old version's
	// answers go on.
	completeMargin = 650 * time.Millisecond
	shiftTime      = 400 * time.Millisecond
	// slackPart of the requests allowed beside the share are for a longer shift, up to
	// earlyMost: a service with few requests shows in a trial of a small part too few
	// answers to tell, and in a second of all of them as many as the whole trial.
	slackPart = 0.8
	earlyMost = 1500 * time.Millisecond
	// prepareTime is the time in which every entry's account of its sessions has
	// come to the leader: two steps of half a second, and some.
	prepareTime = 1500 * time.Millisecond
)

// TrialShare returns the part of a service's sessions that a trial takes.
func TrialShare(duration time.Duration, share float64) float64 {
	rest := float64(completeMargin+shiftTime) / float64(max(duration, time.Second))
	return max(min(trialPart*share, usedMost*share-rest), trialLeast)
}

// Exposure is what a version that is not proved may get of its service's requests.
type Exposure struct {
	Share float64
	Slack float64 // requests beside that
}

// shiftAt returns when all requests go to the new version, of a service with so many
// a second: so late that the whole exposure stays within what is allowed.
func (e Exposure) shiftAt(duration time.Duration, rate float64) time.Duration {
	part := (1 - usedPart*e.Share) / (1 - TrialShare(duration, e.Share))
	at := min(time.Duration(part*float64(duration)), duration-completeMargin-shiftTime)
	if rate > 0 {
		at -= min(time.Duration(slackPart*e.Slack/rate*float64(time.Second)), earlyMost)
	}
	return at
}

// Decide returns the stage that the upgrade should be in, and why.
func Decide(u register.Upgrade, elapsed time.Duration, allowed Exposure, p Pool, ready bool) (register.Stage, string) {
	if u.Stage.Ended() {
		return u.Stage, ""
	}
	if why := bad(p, u.Stage == register.Trial); why != "" {
		return register.Withdrawn, why
	}
	switch u.Stage {
	case register.Prepare:
		if elapsed >= prepareTime {
			return register.Trial, "the sessions that stay are collected"
		}
	case register.Trial:
		if elapsed >= u.Duration {
			return register.Withdrawn, "the time is over before the trial is"
		}
		rate := float64(runs(p.New)+runs(p.Old)) / max(elapsed.Seconds(), 1)
		if !ready || elapsed < allowed.shiftAt(u.Duration, rate) {
			break
		}
		if why := doubtful(p); why != "" {
			return register.Withdrawn, why
		}
		return register.Shift, fmt.Sprintf("%d answers speak for it", runs(p.New))
	case register.Shift:
		if elapsed >= u.Duration-completeMargin {
			if why := doubtful(p); why != "" {
				return register.Withdrawn, why
			}
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
func bad(p Pool, trial bool) string {
	all, old := Count{}, Count{}
	for route, c := range p.New {
		if why := fails(c, p.Old[route]); why != "" {
			return why + " on route " + route
		}
		if why := slow(c, p.Old[route], slowFactor, slowErrors); why != "" && trial {
			return why + " on route " + route
		}
		all.add(c)
	}
	for _, c := range p.Old {
		old.add(c)
	}
	if why := fails(all, old); why != "" {
		return why
	}
	return slow(all, old, slowShift, slowShiftErrors)
}

func fails(c, old Count) string {
	share := float64(c.Failed) / float64(max(c.Runs, 1))
	base := float64(old.Failed) / float64(max(old.Runs, 1))
	if c.Failed < failedLeast || share < base+failedShare || share < base*failedFactor {
		return ""
	}
	return fmt.Sprintf("%d of %d answers failed, of the old version's %d of %d", c.Failed, c.Runs, old.Failed, old.Runs)
}

// doubtful returns why a version that shows no mark at the end of its trial is not
// to get all requests, "" if it may: on a route with few answers some failed, and
// hardly any of the old version's.
func doubtful(p Pool) string {
	for route, c := range p.New {
		old := p.Old[route]
		if c.Failed < doubtLeast || c.Failed >= failedLeast {
			continue
		}
		// One more failure than was seen, so that a route without any has a share.
		base := float64(old.Failed+1) / float64(old.Runs+2)
		if atLeast(c.Failed, c.Runs, base) < doubtChance {
			return fmt.Sprintf("%d of only %d answers failed, of the old version's %d of %d on route %s", c.Failed, c.Runs, old.Failed, old.Runs, route)
		}
	}
	return ""
}

// atLeast returns the chance of so many failures or more in the runs, where each
// fails with the share.
func atLeast(failed, runs uint64, share float64) float64 {
	none := 0.0 // chance of fewer
	term := math.Pow(1-share, float64(runs))
	for k := uint64(0); k < failed; k++ {
		none += term
		term *= float64(runs-k) / float64(k+1) * share / (1 - share)
	}
	return 1 - none
}

func slow(c, old Count, factor, errors float64) string {
	if c.Timed < slowLeast || old.Timed < slowLeast {
		return ""
	}
	mean, square := c.mean()
	before, squareBefore := old.mean()
	if mean < factor*before || mean-before < errors*math.Sqrt(square+squareBefore) {
		return ""
	}
	return fmt.Sprintf("%d answers took %.3f s, the old version's %.3f s", c.Timed, mean, before)
}
