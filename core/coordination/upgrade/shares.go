package upgrade

import (
	"time"

	"persimmoncross/core/state/register"
)

// Limits of the shares of a trial that come from the extra requests of the exposure limit.
const (
	// trialExtraFraction is the fraction of the extra requests that the trial uses, because the
	// canary share gives too few answers on a service with few requests.
	trialExtraFraction = 0.35
	// earlyTrialDuration is the time in which the requests without a session use their part. Early
	// answers leave time for a decision before the shift, also if reports are delayed.
	earlyTrialDuration = 2500 * time.Millisecond
	maxTrialShare      = 0.5
	// reportDelay is the time from an answer until the leader knows it.
	reportDelay = 400 * time.Millisecond
)

// Shares are the fractions of a service's requests without a session, and of its sessions, that a trial
// sends to the new version.
type Shares struct {
	Requests float64
	Sessions float64
}

// SharesOf returns the shares of the upgrade's trial; exposureShare is the share of [ExposureLimit].
func SharesOf(u register.Upgrade, exposureShare float64) Shares {
	canary := CanaryShare(u.Duration, exposureShare)
	return Shares{
		Requests: max(u.Share, canary),
		Sessions: max(u.SessionShare, canary),
	}
}

// MaxSessionShare returns the largest share of the sessions that a trial may get.
func MaxSessionShare(duration time.Duration, exposureShare float64) float64 {
	return max(canaryExposureFraction*exposureShare, CanaryShare(duration, exposureShare))
}

// TrialShares returns the shares that the trial should have now. The share of the sessions stays as it
// was at the start of the trial, because a session is not moved.
func (l ExposureLimit) TrialShares(u register.Upgrade, elapsed time.Duration, evidence Evidence) Shares {
	canary := CanaryShare(u.Duration, l.Share)
	if u.Stage == register.Trial {
		s := SharesOf(u, l.Share)
		if elapsed >= prepareDuration+earlyTrialDuration+reportDelay || evidence.missing(completionRequirement) == "" {
			s.Requests = canary
		}
		return s
	}
	s := Shares{
		Requests: canary,
		Sessions: canary,
	}
	// Without known requests the rate may be anything.
	if requestsPerSecond := evidence.requestsPerSecond(elapsed); requestsPerSecond > 0 {
		trialDuration := max(l.shiftStart(u.Duration, requestsPerSecond, trialExtraFraction*l.ExtraRequests)-elapsed, earlyTrialDuration)
		extra := trialExtraFraction * l.ExtraRequests / requestsPerSecond
		s.Requests = min(canary+extra/earlyTrialDuration.Seconds(), max(maxTrialShare, canary))
		s.Sessions = min(canary+extra/trialDuration.Seconds(), MaxSessionShare(u.Duration, l.Share))
	}
	return s
}
