// Package upgrade decides how a service moves from one version of its software to another, from
// the canary statistics of all entries for both versions. It has no I/O; the leader of the
// controllers calls it.
package upgrade

import (
	"fmt"
	"math"
	"time"

	"persimmoncross/core/state/register"
)

// AnswerStats counts the answers of one version on one route.
type AnswerStats struct {
	Answers             uint64
	Failed              uint64
	TimedAnswers        uint64  // answers whose time depends on the version
	TotalSeconds        float64 // sum of the times of the timed answers, in seconds
	TotalSquaredSeconds float64 // sum of the squares of those times
}

// add adds the counts of other.
func (s *AnswerStats) add(other AnswerStats) {
	s.Answers += other.Answers
	s.Failed += other.Failed
	s.TimedAnswers += other.TimedAnswers
	s.TotalSeconds += other.TotalSeconds
	s.TotalSquaredSeconds += other.TotalSquaredSeconds
}

// meanSeconds returns the mean time of the timed answers in seconds, and the square of its
// standard error.
func (s AnswerStats) meanSeconds() (mean, squaredError float64) {
	n := float64(s.TimedAnswers)
	mean = s.TotalSeconds / n
	return mean, max(s.TotalSquaredSeconds/n-mean*mean, 0) / n
}

// Evidence holds the statistics of all entries for both versions of one upgrade, by route.
type Evidence struct {
	New map[string]AnswerStats
	Old map[string]AnswerStats
}

// Thresholds of the failure criterion. A version fails if it has at least minFailures failures,
// and its failure rate is at least minFailureRateIncrease above the old version's and at least
// minFailureRateRatio times as high.
const (
	minFailures            = 4
	minFailureRateIncrease = 0.12
	minFailureRateRatio    = 2.5
)

// Thresholds of the criterion for small samples at the end of a trial and of the shift. A route
// with few requests may have too few failures for the failure criterion, for example 2 in 6
// answers of a version that fails half of them.
const (
	minSmallSampleFailures = 2
	// maxFalsePositiveProbability limits the probability that a good version has as many
	// failures.
	maxFalsePositiveProbability = 0.01
)

// Thresholds of the slowness criterion. During a trial the upstreams of the new version have a
// small part of the load, so that a good version is faster than the old one. Measured times
// between events were 0.45 times the old version's for a good version, and 1.8 to 2.2 times for
// a version that is eight times slower.
const (
	minTimedAnswers  = 8
	minTrialSlowdown = 1.25
	// minShiftSlowdown is the factor after the shift, when the new version has the load that
	// the old one had before. It is also the factor for all routes of a service together, whose
	// mix may differ a little between the versions.
	minShiftSlowdown = 2.5
	// minTrialStandardErrors is the minimum difference of the means in standard errors. It is
	// high because the times of normal answers vary much, and the criterion is checked five
	// times per second. If half of the answers are slow the standard error is large too, so
	// that minShiftStandardErrors, which goes with the larger factor, is lower.
	minTrialStandardErrors = 3.5
	minShiftStandardErrors = 2.0
)

// Limits of the canary share. The trial uses canaryExposureFraction of the exposure limit, and
// the rest is for the requests between the shift and the end of the upgrade's duration. If the
// duration is short the trial uses less, but at least minCanaryShare of all requests, because
// without any there would be no evidence.
const (
	canaryExposureFraction = 0.5
	minCanaryShare         = 0.02
)

// Limits and durations that determine when the stages change.
const (
	// targetExposureFraction is the fraction of the exposure limit that is used by a version
	// that meets no criterion until the end. The rest is kept back because a version that fails
	// only under more load than a trial produces must stay within the limit too.
	targetExposureFraction = 0.8
	maxExposureFraction    = 0.95 // limits the exposure of the trial and the shift together if the duration is short
	// completionMargin is the time between the completion and the end of the upgrade's
	// duration, in which the operator can observe the completion.
	completionMargin = 650 * time.Millisecond
	// minShiftDuration is the minimum time between the shift and the completion, in which the
	// old version's answers continue.
	minShiftDuration = 400 * time.Millisecond
	// extraRequestsFraction is the fraction of the extra requests of the exposure limit that is
	// used to start the shift earlier, by up to maxShiftAdvance. The small share of a trial
	// gives too few answers for a decision on a service with few requests, while one second
	// with all requests gives as many as the whole trial.
	extraRequestsFraction = 0.8
	maxShiftAdvance       = 1500 * time.Millisecond
	// prepareDuration is the time after which the sessions reported by all entries have reached
	// the leader. It allows two intervals of half a second and a margin.
	prepareDuration = 1500 * time.Millisecond
)

// CanaryShare returns the fraction of a service's sessions that a trial sends to the new
// version, for an upgrade of the given duration and exposure share.
func CanaryShare(duration time.Duration, share float64) float64 {
	shiftShare := float64(completionMargin+minShiftDuration) / float64(max(duration, time.Second))
	return max(min(canaryExposureFraction*share, maxExposureFraction*share-shiftShare), minCanaryShare)
}

// ExposureLimit limits the requests of a service that a new version may get before its upgrade
// is completed.
type ExposureLimit struct {
	Share         float64 // fraction of the service's requests during the upgrade
	ExtraRequests float64 // number of requests allowed in addition to Share
}

// shiftStart returns the time since the start of the upgrade at which all requests go to the
// new version. It is late enough for the total exposure of a service with the given request
// rate to stay within the limit.
func (l ExposureLimit) shiftStart(duration time.Duration, requestsPerSecond float64) time.Duration {
	startFraction := (1 - targetExposureFraction*l.Share) / (1 - CanaryShare(duration, l.Share))
	start := min(time.Duration(startFraction*float64(duration)), duration-completionMargin-minShiftDuration)
	if requestsPerSecond > 0 {
		start -= min(time.Duration(extraRequestsFraction*l.ExtraRequests/requestsPerSecond*float64(time.Second)), maxShiftAdvance)
	}
	return start
}

// NextStage returns the stage that the upgrade should be in, and the reason if the stage
// changes. elapsed is the time since the start of the upgrade, and ready reports whether the new
// version has enough upstreams to take all requests.
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
		requestsPerSecond := float64(Total(evidence.New).Answers+Total(evidence.Old).Answers) / max(elapsed.Seconds(), 1)
		if !ready || elapsed < limit.shiftStart(u.Duration, requestsPerSecond) {
			break
		}
		if reason := smallSampleFailureReason(evidence); reason != "" {
			return register.Withdrawn, reason
		}
		return register.Shift, fmt.Sprintf("%d answers speak for it", Total(evidence.New).Answers)
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

// Total returns the sum of the statistics of all routes.
func Total(byRoute map[string]AnswerStats) AnswerStats {
	total := AnswerStats{}
	for _, stats := range byRoute {
		total.add(stats)
	}
	return total
}

// withdrawalReason returns why the new version must be withdrawn, or "" if it meets neither the
// failure nor the slowness criterion.
func withdrawalReason(evidence Evidence, inTrial bool) string {
	for route, c := range evidence.New {
		if reason := failureReason(c, evidence.Old[route]); reason != "" {
			return reason + " on route " + route
		}
		if reason := slownessReason(c, evidence.Old[route], minTrialSlowdown, minTrialStandardErrors); reason != "" && inTrial {
			return reason + " on route " + route
		}
	}
	newTotal, oldTotal := Total(evidence.New), Total(evidence.Old)
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

// smallSampleFailureReason returns why a version must be withdrawn although it does not meet the
// failure criterion, or "" if it need not be. This applies if a route has at least
// minSmallSampleFailures but fewer than minFailures failures, and so many are improbable at the
// old version's failure rate.
func smallSampleFailureReason(evidence Evidence) string {
	for route, newStats := range evidence.New {
		oldStats := evidence.Old[route]
		if newStats.Failed < minSmallSampleFailures || newStats.Failed >= minFailures {
			continue
		}
		// One failure and two answers are added, so that the rate is above zero on a route without failures.
		oldRate := float64(oldStats.Failed+1) / float64(oldStats.Answers+2)
		if binomialTail(newStats.Failed, newStats.Answers, oldRate) < maxFalsePositiveProbability {
			return fmt.Sprintf("%d of only %d answers failed, of the old version's %d of %d on route %s", newStats.Failed, newStats.Answers, oldStats.Failed, oldStats.Answers, route)
		}
	}
	return ""
}

// binomialTail returns the probability of at least failed failures in answers independent
// answers, each of which fails with probability failureRate.
func binomialTail(failed, answers uint64, failureRate float64) float64 {
	fewer := 0.0 // probability of fewer failures
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
	newMean, newSquaredError := newStats.meanSeconds()
	oldMean, oldSquaredError := oldStats.meanSeconds()
	if newMean < minRatio*oldMean || newMean-oldMean < minStandardErrors*math.Sqrt(newSquaredError+oldSquaredError) {
		return ""
	}
	return fmt.Sprintf("%d answers took %.3f s, the old version's %.3f s", newStats.TimedAnswers, newMean, oldMean)
}
