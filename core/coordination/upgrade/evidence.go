package upgrade

import (
	"fmt"
	"math"
	"time"
)

// AnswerStats counts the answers of one version on one route.
type AnswerStats struct {
	Answers             uint64
	Failed              uint64
	TimedAnswers        uint64  // answers whose time depends on the version
	TotalSeconds        float64 // sum of the times of the timed answers, in seconds
	TotalSquaredSeconds float64 // sum of the squares of those times
}

// Add adds the counts of other.
func (s *AnswerStats) Add(other AnswerStats) {
	s.Answers += other.Answers
	s.Failed += other.Failed
	s.TimedAnswers += other.TimedAnswers
	s.TotalSeconds += other.TotalSeconds
	s.TotalSquaredSeconds += other.TotalSquaredSeconds
}

// MeanSeconds returns the mean time of the timed answers in seconds, 0 without any.
func (s AnswerStats) MeanSeconds() float64 { return s.TotalSeconds / float64(max(s.TimedAnswers, 1)) }

// failureRate returns the fraction of the answers that failed.
func (s AnswerStats) failureRate() float64 { return float64(s.Failed) / float64(max(s.Answers, 1)) }

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
	// Expected, by route, is how many of New's answers would have failed on the old version at the same
	// entries and times. For a route that is missing, Old's failure rate is expected.
	Expected map[string]float64
	// Outliers are upstreams of the new version whose answers are left out, see [Matcher].
	Outliers []string
	// Incomplete is set while a leader that has just been elected may lack reports of entries.
	Incomplete bool
	// Exposure is empty if the entries do not report it.
	Exposure Exposure
	// Paces are those of the streams of both versions.
	Paces map[PaceKey]PaceCounts
}

// matchedOld returns the old version's answers on the route, with as many failures as at the failure rate
// that is expected of the new version.
func (e Evidence) matchedOld(route string) AnswerStats {
	oldStats := e.Old[route]
	if expected, ok := e.Expected[route]; ok && e.New[route].Answers > 0 {
		rate := min(expected/float64(e.New[route].Answers), 1)
		oldStats.Failed = uint64(math.Round(rate * float64(oldStats.Answers)))
	}
	return oldStats
}

// matchedOldTotal returns the sum of matchedOld over the new version's routes, weighted by its answers
// there, for the failures that are expected of all its answers.
func (e Evidence) matchedOldTotal() AnswerStats {
	total := Total(e.Old)
	if len(e.Expected) == 0 {
		return total
	}
	expected, answers := 0.0, uint64(0)
	for route, newStats := range e.New {
		answers += newStats.Answers
		if matched := e.matchedOld(route); matched.Answers > 0 {
			expected += float64(newStats.Answers) * float64(matched.Failed) / float64(matched.Answers)
		}
	}
	if answers > 0 {
		total.Failed = uint64(math.Round(expected / float64(answers) * float64(total.Answers)))
	}
	return total
}

// requestsPerSecond returns the rate of the service's requests, from the answers that were reported.
func (e Evidence) requestsPerSecond(elapsed time.Duration) float64 {
	answers := Total(e.New).Answers + Total(e.Old).Answers
	return float64(answers) / max(elapsed-reportDelay, reportDelay).Seconds()
}

// requirement is the evidence that an upgrade needs to advance. Answers without failures are evidence
// only if there are so many that a bad version would have shown more failures.
type requirement struct {
	failureRate        float64 // fraction of the requests that a bad version fails
	maxMissProbability float64 // limits the probability that such a version has as few failures as were observed
	// Of a route, a version that is bad there alone must have shown.
	routeFailureRate        float64
	maxRouteMissProbability float64
	// maxSlowdown is the factor of the old version's mean time that the new version's must be below, with
	// minTimeErrors standard errors to spare; 0: not required.
	maxSlowdown float64
	// A version that slows the fraction of its streams must have shown, on all routes together and on one route; 0:
	// not required.
	slowFraction                float64
	maxSlowMissProbability      float64
	routeSlowFraction           float64
	maxRouteSlowMissProbability float64
}

// Limits of the evidence on times that a requirement asks for.
const (
	minTimeErrors      = 1.0
	minTimesToEstimate = 3 // fewer times have no meaningful error
)

// minRouteFraction is the fraction of a service's answers from which a route by itself needs evidence.
const minRouteFraction = 0.125

// The shift can be taken back, and gives answers faster than the trial. The completion is final,
// because the old version's upstreams stop.
var (
	shiftRequirement = requirement{
		failureRate:             0.5,
		maxMissProbability:      0.1,
		routeFailureRate:        0.5,
		maxRouteMissProbability: 1,

		slowFraction:           0.9,
		maxSlowMissProbability: 0.1,
	}
	completionRequirement = requirement{
		failureRate:             0.3,
		maxMissProbability:      0.03,
		routeFailureRate:        0.5,
		maxRouteMissProbability: 0.15,
		maxSlowdown:             minShiftSlowdown,

		slowFraction:                0.5,
		maxSlowMissProbability:      0.1,
		routeSlowFraction:           0.9,
		maxRouteSlowMissProbability: 0.5,
	}
)

// missing returns what the evidence lacks to meet the requirement, "" if it meets it.
func (e Evidence) missing(r requirement) string {
	newTotal, oldTotal := Total(e.New), e.matchedOldTotal()
	if reason := missingAnswers(newTotal, oldTotal, r.failureRate, r.maxMissProbability); reason != "" {
		return reason
	}
	for route := range e.Old {
		oldStats := e.matchedOld(route)
		if float64(oldStats.Answers) < minRouteFraction*float64(oldTotal.Answers) {
			continue
		}
		if reason := missingAnswers(e.New[route], oldStats, r.routeFailureRate, r.maxRouteMissProbability); reason != "" {
			return reason + " on route " + route
		}
	}
	if reason := e.missingPaces(r); reason != "" {
		return reason
	}
	// Times of streams are known once they have ended, from the quick ones first.
	if r.maxSlowdown > 0 && !e.hasOldPaces() {
		return missingTimes(newTotal, Total(e.Old), r.maxSlowdown)
	}
	return ""
}

// missingTimes returns why the times of the answers don't exclude that the new version is slower than the
// old one by the factor, "" if they do. Without times of the old version there is nothing to compare with.
func missingTimes(newStats, oldStats AnswerStats, maxSlowdown float64) string {
	if oldStats.TimedAnswers < minTimesToEstimate {
		return ""
	}
	if newStats.TimedAnswers < minTimesToEstimate {
		return fmt.Sprintf("times of %d answers tell too little; %d would be enough", newStats.TimedAnswers, minTimesToEstimate)
	}
	newMean, newSquaredError := newStats.meanSeconds()
	oldMean, _ := oldStats.meanSeconds()
	newError := math.Sqrt(newSquaredError)
	if newMean+minTimeErrors*newError < maxSlowdown*oldMean {
		return ""
	}
	return fmt.Sprintf("%d answers took %.3f s with an error of %.3f s, the old version's %.3f s; under %.3f s in all would be enough", newStats.TimedAnswers, newMean, newError, oldMean, maxSlowdown*oldMean)
}

const (
	// maxComparableRate is the failure rate of the old version above which answers of the new one say nothing.
	maxComparableRate = 0.9
	// maxMissingAnswers bounds the search for the number of answers that would be enough.
	maxMissingAnswers = 1000
)

// missingAnswers returns how many answers are missing for a version that fails the fraction of the requests
// to show, "" if there are enough.
func missingAnswers(newStats, oldStats AnswerStats, failureRate, maxMissProbability float64) string {
	oldRate := oldStats.failureRate()
	if oldRate > maxComparableRate {
		return "nearly all of the old version's answers failed, and nothing can be compared with it"
	}
	badRate := oldRate + (1-oldRate)*failureRate
	enough := newStats.Answers
	for binomialCDF(newStats.Failed, enough, badRate) > maxMissProbability && enough < newStats.Answers+maxMissingAnswers {
		enough++
	}
	if enough == newStats.Answers {
		return ""
	}
	return fmt.Sprintf("%d answers, of which %d failed, tell too little; %d with no more failures would be enough", newStats.Answers, newStats.Failed, enough)
}

// Thresholds of the failure criterion. A version fails if it has at least minFailures failures, its
// failure rate is at least minFailureRateIncrease above the expected one, and a good version has so
// many failures with at most maxFailureProbability. That is low because the criterion is checked five times
// per second.
const (
	minFailures            = 4
	minFailureRateIncrease = 0.12
	maxFailureProbability  = 0.005
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
	minTimedAnswers = 8
	// minSlowdownSeconds is above what the paths to the upstreams of both versions may differ by.
	minSlowdownSeconds = 0.005
	minTrialSlowdown   = 1.25
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

// Total returns the sum of the statistics of all routes.
func Total(byRoute map[string]AnswerStats) AnswerStats {
	total := AnswerStats{}
	for _, stats := range byRoute {
		total.Add(stats)
	}
	return total
}

// withdrawalReason returns why the new version must be withdrawn, or "" if it meets neither the
// failure nor the slowness criterion.
func withdrawalReason(evidence Evidence, inTrial bool) string {
	for route, c := range evidence.New {
		if reason := failureReason(c, evidence.matchedOld(route)); reason != "" {
			return reason + " on route " + route
		}
		if reason := slownessReason(c, evidence.Old[route], minTrialSlowdown, minTrialStandardErrors); reason != "" && inTrial {
			return reason + " on route " + route
		}
	}
	newTotal, oldTotal := Total(evidence.New), Total(evidence.Old)
	if reason := failureReason(newTotal, evidence.matchedOldTotal()); reason != "" {
		return reason
	}
	if reason := evidence.slownessOfStreamsReason(); reason != "" {
		return reason
	}
	return slownessReason(newTotal, oldTotal, minShiftSlowdown, minShiftStandardErrors)
}

func failureReason(newStats, oldStats AnswerStats) string {
	if newStats.Failed < minFailures || newStats.failureRate() < oldStats.failureRate()+minFailureRateIncrease {
		return ""
	}
	// Two answers with the failure rate that is expected of a version without answers are added.
	expectedRate := (float64(oldStats.Failed) + 2*defaultFailureRate) / float64(oldStats.Answers+2)
	if binomialTail(newStats.Failed, newStats.Answers, expectedRate) > maxFailureProbability {
		return ""
	}
	return fmt.Sprintf("%d of %d answers failed, of the old version's %d of %d", newStats.Failed, newStats.Answers, oldStats.Failed, oldStats.Answers)
}

// defaultFailureRate is the failure rate that is expected of a version of which nothing is known.
const defaultFailureRate = 0.03

// smallSampleFailureReason returns why a version must be withdrawn although it does not meet the
// failure criterion, or "" if it need not be. This applies if a route has at least
// minSmallSampleFailures failures, and so many are improbable at the old version's failure rate.
func smallSampleFailureReason(evidence Evidence) string {
	for route, newStats := range evidence.New {
		oldStats := evidence.matchedOld(route)
		if newStats.Failed < minSmallSampleFailures {
			continue
		}
		// A small difference becomes improbable too if there are many answers.
		if newStats.Failed >= minFailures && newStats.failureRate() < oldStats.failureRate()+minFailureRateIncrease {
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

// binomialCDF returns the probability of at most failed failures in answers independent answers, each
// of which fails with probability failureRate.
func binomialCDF(failed, answers uint64, failureRate float64) float64 {
	if failed >= answers {
		return 1
	}
	return 1 - binomialTail(failed+1, answers, failureRate)
}

// binomialTail returns the probability of at least failed failures in answers independent
// answers, each of which fails with probability failureRate. It adds logarithms, because the probability of no
// failure in thousands of answers is less than a float can be.
func binomialTail(failed, answers uint64, failureRate float64) float64 {
	fewer := 0.0 // probability of fewer failures
	odds := math.Log(failureRate) - math.Log1p(-failureRate)
	logTerm := float64(answers) * math.Log1p(-failureRate)
	for k := uint64(0); k < min(failed, answers+1); k++ {
		fewer += math.Exp(logTerm)
		logTerm += math.Log(float64(answers-k)) - math.Log(float64(k+1)) + odds
	}
	return max(1-fewer, 0)
}

func slownessReason(newStats, oldStats AnswerStats, minRatio, minStandardErrors float64) string {
	if newStats.TimedAnswers < minTimedAnswers || oldStats.TimedAnswers < minTimedAnswers {
		return ""
	}
	newMean, newSquaredError := newStats.meanSeconds()
	oldMean, oldSquaredError := oldStats.meanSeconds()
	if newMean < oldMean+minSlowdownSeconds || newMean < minRatio*oldMean || newMean-oldMean < minStandardErrors*math.Sqrt(newSquaredError+oldSquaredError) {
		return ""
	}
	return fmt.Sprintf("%d answers took %.3f s, the old version's %.3f s", newStats.TimedAnswers, newMean, oldMean)
}
