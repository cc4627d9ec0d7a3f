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

// AnswerStats is what was seen of one version on one route.
type AnswerStats struct {
	Answers             uint64
	Failed              uint64
	TimedAnswers        uint64  // answers whose time says something of the version
	TotalSeconds        float64 // seconds of those together
	TotalSquaredSeconds float64 // of those seconds, squared, together
}

// add adds another count.
func (s *AnswerStats) add(other AnswerStats) {
	s.Answers += other.Answers
	s.Failed += other.Failed
	s.TimedAnswers += other.TimedAnswers
	s.TotalSeconds += other.TotalSeconds
	s.TotalSquaredSeconds += other.TotalSquaredSeconds
}

// meanSeconds returns the meanSeconds time and the square of its error.
func (s AnswerStats) meanSeconds() (mean, squaredError float64) {
	n := float64(s.TimedAnswers)
	mean = s.TotalSeconds / n
	return mean, max(s.TotalSquaredSeconds/n-mean*mean, 0) / n
}

// Evidence is the evidence of all entries on one upgrade, by route.
type Evidence struct {
	New map[string]AnswerStats
	Old map[string]AnswerStats
}

// The marks of a version that fails: so many failures, a share of the runs so far
// above the old version's, and so many times it.
const (
	minFailures            = 4
	minFailureRateIncrease = 0.12
	minFailureRateRatio    = 2.5
)

// Of the doubt at the end of a trial: a route with few requests may have too few
// failures for a mark, as 2 in 6 answers of one that fails half of them.
const (
	minSmallSampleFailures      = 2
	maxFalsePositiveProbability = 0.01 // that a good version shows as many
)

// The marks of a version that is slow: in a trial its upstreams have a small part
// of the load, so that a good version is quicker than the old one: 0.45 times its
// time between events, as measured, and one that is eight times slower is 1.8 to
// 2.2 times as slow.
const (
	minTimedAnswers   = 8
	minCanarySlowdown = 1.25
	// minShiftSlowdown is the factor after the shift, when the new version has the load
	// that the old one had before, and for all routes of a service together, whose
	// mix may differ a little between the versions.
	minShiftSlowdown = 2.5
	// minCanaryStandardErrors is how many times its error the difference must be: the times of
	// plain answers differ much among themselves, and it is asked five times a
	// second. Where half of the answers are slow the error is large too, so that
	// for the greater factor less is asked.
	minCanaryStandardErrors = 3.5
	minShiftStandardErrors  = 2.0
)

// Of the exposure allowed. The trial takes canaryExposureFraction of it, and the rest is for
// the requests between the shift and the end of the time allowed. Where the time
// is short the trial takes less, but never under minCanaryShare of all requests:
// without any nothing would be learnt.
const (
	canaryExposureFraction = 0.5
	minCanaryShare         = 0.02
)

// Of the times at which the stages change.
const (
	// targetExposureFraction is the part of the exposure allowed that is used by a version that
	// shows no mark to the end: one that is bad only under a load that a trial
	// does not make must not get more either.
	targetExposureFraction = 0.8
	maxExposureFraction    = 0.95 // where the time is short
	// completionMargin is left between the completion and the end of the time
	// allowed, for the operator to see it. shiftTime is the least time before it in which the old version's
	// answers go on.
	completionMargin = 650 * time.Millisecond
	minShiftDuration = 400 * time.Millisecond
	// extraRequestsFraction of the requests allowed beside the share are for a longer shift, up to
	// earlyMost: a service with few requests shows in a trial of a small part too few
	// answers to tell, and in a second of all of them as many as the whole trial.
	extraRequestsFraction = 0.8
	maxShiftAdvance       = 1500 * time.Millisecond
	// prepareDuration is the time in which every entry's account of its sessions has
	// come to the leader: two steps of half a second, and some.
	prepareDuration = 1500 * time.Millisecond
)

// CanaryShare returns the part of a service's sessions that a trial takes.
func CanaryShare(duration time.Duration, share float64) float64 {
	shiftShare := float64(completionMargin+minShiftDuration) / float64(max(duration, time.Second))
	return max(min(canaryExposureFraction*share, maxExposureFraction*share-shiftShare), minCanaryShare)
}

// ExposureLimit is what a version that is not proved may get of its service's requests.
type ExposureLimit struct {
	Share         float64
	ExtraRequests float64 // requests beside that
}

// shiftStart returns when all requests go to the new version, of a service with so many
// a second: so late that the whole exposure stays within what is allowed.
func (l ExposureLimit) shiftStart(duration time.Duration, requestsPerSecond float64) time.Duration {
	startFraction := (1 - targetExposureFraction*l.Share) / (1 - CanaryShare(duration, l.Share))
	start := min(time.Duration(startFraction*float64(duration)), duration-completionMargin-minShiftDuration)
	if requestsPerSecond > 0 {
		start -= min(time.Duration(extraRequestsFraction*l.ExtraRequests/requestsPerSecond*float64(time.Second)), maxShiftAdvance)
	}
	return start
}

// NextStage returns the stage that the upgrade should be in, and why.
func NextStage(u register.Upgrade, elapsed time.Duration, limit ExposureLimit, evidence Evidence, ready bool) (register.Stage, string) {
	if u.Stage.Ended() {
		return u.Stage, ""
	}
	if reason := withdrawalReason(evidence, u.Stage == register.Trial); reason != "" {
		return register.Withdrawn, reason
	}
	switch u.Stage {
	case register.Prepare:
		if elapsed >= prepareDuration {
			return register.Trial, "the sessions that stay are collected"
		}
	case register.Trial:
		if elapsed >= u.Duration {
			return register.Withdrawn, "the time is over before the trial is"
		}
		requestsPerSecond := float64(totalAnswers(evidence.New)+totalAnswers(evidence.Old)) / max(elapsed.Seconds(), 1)
		if !ready || elapsed < limit.shiftStart(u.Duration, requestsPerSecond) {
			break
		}
		if reason := smallSampleFailureReason(evidence); reason != "" {
			return register.Withdrawn, reason
		}
		return register.Shift, fmt.Sprintf("%d answers speak for it", totalAnswers(evidence.New))
	case register.Shift:
		if elapsed >= u.Duration-completionMargin {
			if reason := smallSampleFailureReason(evidence); reason != "" {
				return register.Withdrawn, reason
			}
			return register.Completed, "all requests run on it"
		}
	}
	return u.Stage, ""
}

func totalAnswers(byRoute map[string]AnswerStats) uint64 {
	sum := uint64(0)
	for _, c := range byRoute {
		sum += c.Answers
	}
	return sum
}

// withdrawalReason returns why the version is withdrawalReason, "" if the evidence does not say so.
func withdrawalReason(evidence Evidence, inCanary bool) string {
	newTotal, oldTotal := AnswerStats{}, AnswerStats{}
	for route, c := range evidence.New {
		if reason := failureReason(c, evidence.Old[route]); reason != "" {
			return reason + " on route " + route
		}
		if reason := slownessReason(c, evidence.Old[route], minCanarySlowdown, minCanaryStandardErrors); reason != "" && inCanary {
			return reason + " on route " + route
		}
		newTotal.add(c)
	}
	for _, c := range evidence.Old {
		oldTotal.add(c)
	}
	if reason := failureReason(newTotal, oldTotal); reason != "" {
		return reason
	}
	return slownessReason(newTotal, oldTotal, minShiftSlowdown, minShiftStandardErrors)
}

func failureReason(newStats, oldStats AnswerStats) string {
	newRate := float64(newStats.Failed) / float64(max(newStats.Answers, 1))
	oldRate := float64(oldStats.Failed) / float64(max(oldStats.Answers, 1))
	if newStats.Failed < minFailures || newRate < oldRate+minFailureRateIncrease || newRate < oldRate*minFailureRateRatio {
		return ""
	}
	return fmt.Sprintf("%d of %d answers failed, of the old version's %d of %d", newStats.Failed, newStats.Answers, oldStats.Failed, oldStats.Answers)
}

// smallSampleFailureReason returns why a version that shows no mark at the end of its trial is not
// to get all requests, "" if it may: on a route with few answers some failed, and
// hardly any of the old version's.
func smallSampleFailureReason(evidence Evidence) string {
	for route, newStats := range evidence.New {
		oldStats := evidence.Old[route]
		if newStats.Failed < minSmallSampleFailures || newStats.Failed >= minFailures {
			continue
		}
		// One more failure than was seen, so that a route without any has a share.
		oldRate := float64(oldStats.Failed+1) / float64(oldStats.Answers+2)
		if binomialTail(newStats.Failed, newStats.Answers, oldRate) < maxFalsePositiveProbability {
			return fmt.Sprintf("%d of only %d answers failed, of the old version's %d of %d on route %s", newStats.Failed, newStats.Answers, oldStats.Failed, oldStats.Answers, route)
		}
	}
	return ""
}

// binomialTail returns the chance of so many failures or more in the runs, where each
// fails with the share.
func binomialTail(failed, answers uint64, failureRate float64) float64 {
	fewer := 0.0 // chance of fewer
	term := math.Pow(1-failureRate, float64(answers))
	for k := uint64(0); k < failed; k++ {
		fewer += term
		term *= float64(answers-k) / float64(k+1) * failureRate / (1 - failureRate)
	}
	return 1 - fewer
}

func slownessReason(newStats, oldStats AnswerStats, minRatio, minStandardErrors float64) string {
	if newStats.TimedAnswers < minTimedAnswers || oldStats.TimedAnswers < minTimedAnswers {
		return ""
	}
	mean, squaredError := newStats.meanSeconds()
	oldMean, oldSquaredError := oldStats.meanSeconds()
	if mean < minRatio*oldMean || mean-oldMean < minStandardErrors*math.Sqrt(squaredError+oldSquaredError) {
		return ""
	}
	return fmt.Sprintf("%d answers took %.3f s, the old version's %.3f s", newStats.TimedAnswers, mean, oldMean)
}
