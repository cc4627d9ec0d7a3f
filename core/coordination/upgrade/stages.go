// Package upgrade decides how a service moves from one version of its software to another, from
// the canary statistics of all entries for both versions. It has no I/O; the leader of the
// controllers calls it.
package upgrade

import (
	"fmt"
	"time"

	"persimmoncross/core/state/register"
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
	// lastCompletionMargin is that of a completion whose evidence is late. After it, the operator
	// would not observe a completion in time, and all requests run on the unproven version.
	lastCompletionMargin = 300 * time.Millisecond
	// minShiftDuration is the minimum time between the shift and the completion, in which the
	// old version's answers continue.
	minShiftDuration = 400 * time.Millisecond
	// extraRequestsFraction is the fraction of the extra requests of the exposure limit that is
	// used to start the shift earlier, by up to maxShiftAdvance, as far as the trial has left them. The
	// shift gives as many answers in a second as the whole trial on a service with few requests.
	extraRequestsFraction = 0.55
	maxShiftAdvance       = 1500 * time.Millisecond
	// prepareDuration is the time after which the sessions reported by all entries have reached
	// the leader. It allows two intervals of half a second and a margin.
	prepareDuration = 1500 * time.Millisecond
)

// CanaryShare returns the fraction of a service's requests that a trial may send to the new version all
// the time, for an upgrade of the given duration and exposure share.
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
// rate to stay within the limit. usedExtra is how many extra requests the trial has used.
func (l ExposureLimit) shiftStart(duration time.Duration, requestsPerSecond, usedExtra float64) time.Duration {
	startFraction := (1 - targetExposureFraction*l.Share) / (1 - CanaryShare(duration, l.Share))
	start := min(time.Duration(startFraction*float64(duration)), duration-completionMargin-minShiftDuration)
	if requestsPerSecond > 0 {
		extra := max(min(extraRequestsFraction*l.ExtraRequests, l.ExtraRequests-usedExtra), 0)
		start -= min(time.Duration(extra/requestsPerSecond*float64(time.Second)), maxShiftAdvance)
	}
	return start
}

// usedExtra returns how many of the extra requests the trial has used: the answers of the new version
// beyond the canary share.
func (l ExposureLimit) usedExtra(u register.Upgrade, requestsPerSecond float64, elapsed time.Duration, evidence Evidence) float64 {
	canaryRequests := CanaryShare(u.Duration, l.Share) * requestsPerSecond * max(elapsed-prepareDuration, 0).Seconds()
	unreported := SharesOf(u, l.Share).Requests * requestsPerSecond * reportDelay.Seconds()
	return max(float64(Total(evidence.New).Answers)+unreported-canaryRequests, 0)
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
		missing := evidence.missing(shiftRequirement)
		withinLimit := limit.allowsShift(evidence.Exposure, u.Duration-elapsed)
		if missing == "" && !withinLimit {
			missing = "the requests that are left exceed the exposure limit"
		}
		if elapsed >= u.Duration {
			return withdrawUndecided(u.Stage, evidence, missing, "the time is over before the trial is")
		}
		requestsPerSecond := evidence.requestsPerSecond(elapsed)
		if !ready || elapsed < limit.shiftStart(u.Duration, requestsPerSecond, limit.usedExtra(u, requestsPerSecond, elapsed, evidence)) {
			break
		}
		if reason := smallSampleFailureReason(evidence); reason != "" {
			return register.Withdrawn, reason
		}
		if missing == "" {
			return register.Shift, fmt.Sprintf("%d answers speak for it", Total(evidence.New).Answers)
		}
	case register.Shift:
		if !evidence.Incomplete && limit.isExceeded(evidence.Exposure, u.Duration-elapsed) {
			return register.Withdrawn, "more requests come than the exposure limit allows"
		}
		if elapsed < u.Duration-completionMargin {
			break
		}
		if reason := smallSampleFailureReason(evidence); reason != "" {
			return register.Withdrawn, reason
		}
		missing := evidence.missing(completionRequirement)
		if missing == "" {
			return register.Completed, fmt.Sprintf("all requests run on it, %d answers speak for it", Total(evidence.New).Answers)
		}
		if elapsed >= u.Duration-lastCompletionMargin {
			return withdrawUndecided(u.Stage, evidence, missing, "the time is over")
		}
	}
	return u.Stage, ""
}

// RunningVersionStage returns the stage that an upgrade to the version that the service runs already should be in. There is
// no version to compare with or to go back to: all requests run on the target, and the upgrade is completed at its end,
// when the upstreams that were started for it have had their time.
func RunningVersionStage(u register.Upgrade, elapsed time.Duration) register.Stage {
	if elapsed >= u.Duration-completionMargin {
		return register.Completed
	}
	return register.Shift
}

// withdrawUndecided withdraws a version whose time is over although nothing speaks against it. It stays
// in its stage while reports of its answers may be missing.
func withdrawUndecided(stage register.Stage, evidence Evidence, missing, reason string) (register.Stage, string) {
	if evidence.Incomplete {
		return stage, ""
	}
	if missing != "" {
		reason += ": " + missing
	}
	return register.Withdrawn, reason
}
