package cascade

import "time"

// EscalationPolicy decides with which model of a route to start, and whether to escalate to
// the largest model, from the confidence that a model reports in the head of its answer.
type EscalationPolicy struct {
	StartModel int   // index of the first model, smallest first; an index past the end means the largest
	Thresholds []int // minimum confidence of an answer, 0 to 100, by model; none for the largest
}

// Limits by which load lowers the confidence thresholds. The load is the time for which the
// request waits and delays others, as a fraction of the time left of the objective. It is the
// time in the queue of the largest model plus the prefill time of the prompt. The prefill
// counts in proportion to the slot utilization, because other requests at the upstream stall
// during a prefill. Up to a load of minReliefLoad the thresholds apply in full. From there they
// fall linearly, to minThresholdFactor of their value at a load of 1.
//
// The prefill of a long prompt on idle upstreams is no load. If it always counted in full, the
// longest prompts would be answered in time but badly. If it never counted, crowded upstreams
// would stall for seconds.
const (
	minReliefLoad      = 0.2
	minThresholdFactor = 0.4
	// fullSlotUtilization is the slot utilization from which a prefill counts in full.
	fullSlotUtilization = 0.5
)

// maxLatePrefillFraction limits the prefill time of an escalation whose answer would begin after
// the objective, as a fraction of the objective, because other requests at the upstream stall
// during the prefill. The limit is for sites whose largest model takes twice the objective to
// prefill the longest prompts.
const maxLatePrefillFraction = 0.5

// maxDeadlineFraction is the fraction of the time to the deadline within which the largest
// model's answer must begin. The rest of the time is for the events of the answer. A
// low-confidence answer is better than none.
const maxDeadlineFraction = 0.6

// Limits of escalation by the fraction of the retry budget that is left.
//
// At or below reservedRetryFraction no answer is escalated, so that the rest of the budget is
// kept for failures. With 74 entries, the budget of one entry is about 36 retries per window, and
// up to 10 of its streams run on upstreams that end together, for example at the completion of an
// upgrade.
//
// From scarceRetryFraction down to reservedRetryFraction the thresholds fall to zero, so that
// the last retries go to the answers with the lowest confidence.
//
// From ampleRetryFraction up a retry has no cost. About this fraction is left in normal
// operation if each request adds 0.86 of a retry to the budget and two of five answers have low
// confidence.
const (
	reservedRetryFraction = 0.25
	scarceRetryFraction   = 0.4
	ampleRetryFraction    = 0.5
)

// maxRetryCost is the cost of a retry when only the reserved retries are left. It is the prefill
// time that a retry is worth, as a fraction of the objective.
const maxRetryCost = 0.08

// maxLowConfidenceRate caps the low-confidence rate, so that long prompts still start with the
// smaller model, and an improvement of its confidence is observed.
const maxLowConfidenceRate = 0.8

// StartConditions holds the inputs of [EscalationPolicy.FirstModel], before the first attempt of
// a request.
type StartConditions struct {
	LowConfidenceRate float64       // fraction of the smaller model's answers with low confidence
	TimeToFirstToken  time.Duration // time in which the largest model would begin an answer now
	PrefillTime       time.Duration // part of TimeToFirstToken that is the prefill of this prompt; 0 if unknown
	SlotUtilization   float64       // fraction of the upstreams' slots in use
	Objective         time.Duration // objective of the route for the time until an answer begins
	RetryBudgetLeft   float64       // fraction of the window's retry budget that is left
}

// loadHeadroom returns 1 without load on the largest model, and falls to 0 at minReliefLoad, from
// which load lowers the thresholds. A fleet that is short of upstreams has no prefill time to
// spare.
func (c StartConditions) loadHeadroom() float64 {
	return 1 - min(relativeLoad(c.TimeToFirstToken, c.PrefillTime, c.SlotUtilization, c.Objective)/minReliefLoad, 1)
}

// EscalationConditions holds the inputs of [EscalationPolicy.Escalate], when the head of an
// answer has arrived.
type EscalationConditions struct {
	Model            int           // index of the model that answers
	Confidence       int           // confidence of the answer, 0 to 100; negative if not reported
	TimeToFirstToken time.Duration // time in which the largest model would begin an answer now
	PrefillTime      time.Duration // part of TimeToFirstToken that is the prefill of this prompt
	SlotUtilization  float64       // fraction of the upstreams' slots in use
	ObjectiveLeft    time.Duration // time left of the objective; negative if it has passed
	Objective        time.Duration // objective of the route for the time until an answer begins
	TimeToDeadline   time.Duration // time left until the deadline of the request
	RetryBudgetLeft  float64       // fraction of the window's retry budget that is left
}

// IsLowConfidence reports whether the confidence is below the model's threshold, whatever the
// load.
func (p EscalationPolicy) IsLowConfidence(models []string, model, confidence int) bool {
	return model < len(models)-1 && model < len(p.Thresholds) && confidence >= 0 && confidence < p.Thresholds[model]
}

// FirstModel returns the index of the model to start with. This is StartModel, or the largest
// model if the retry budget runs short and the largest model has headroom. Starting with a
// smaller model saves the prefill of the largest model for each accepted answer, and costs a
// retry for each low-confidence answer. FirstModel compares the two.
func (p EscalationPolicy) FirstModel(models []string, conditions StartConditions) int {
	last := len(models) - 1
	first := max(min(p.StartModel, last), 0)
	cost := retryCost(conditions.RetryBudgetLeft) * conditions.loadHeadroom()
	if first >= last || conditions.PrefillTime <= 0 || cost <= 0 {
		return first
	}
	lowConfidenceRate := min(conditions.LowConfidenceRate, maxLowConfidenceRate)
	if (1-lowConfidenceRate)*conditions.PrefillTime.Seconds() <= lowConfidenceRate*cost*conditions.Objective.Seconds() {
		return last
	}
	return first
}

// Escalate returns the index of the model to ask instead of the one that answered, or false if
// the answer is accepted. It always escalates to the largest model, because a request that is
// hard for one model is seldom easy for the next, and each step costs a prefill.
func (p EscalationPolicy) Escalate(models []string, conditions EscalationConditions) (int, bool) {
	last := len(models) - 1
	if conditions.Model >= last || conditions.Confidence < 0 || conditions.Model >= len(p.Thresholds) || float64(conditions.TimeToFirstToken) > maxDeadlineFraction*float64(conditions.TimeToDeadline) {
		return conditions.Model, false
	}
	if !conditions.meetsObjective() && float64(conditions.PrefillTime) > maxLatePrefillFraction*float64(conditions.Objective) {
		return conditions.Model, false
	}
	if float64(conditions.Confidence) >= float64(p.Thresholds[conditions.Model])*conditions.loadThresholdFactor()*retryThresholdFactor(conditions.RetryBudgetLeft) {
		return conditions.Model, false
	}
	return last, true
}

// retryThresholdFactor returns the factor, 0 to 1, by which a short retry budget lowers the
// thresholds.
func retryThresholdFactor(budgetLeft float64) float64 {
	return min(max((budgetLeft-reservedRetryFraction)/(scarceRetryFraction-reservedRetryFraction), 0), 1)
}

// retryCost returns the cost of a retry as a fraction of the objective.
func retryCost(budgetLeft float64) float64 {
	return maxRetryCost * min(max((ampleRetryFraction-budgetLeft)/(ampleRetryFraction-reservedRetryFraction), 0), 1)
}

// meetsObjective reports whether the largest model is expected to begin its answer within the
// time left of the objective.
func (c EscalationConditions) meetsObjective() bool { return c.TimeToFirstToken <= c.ObjectiveLeft }

// loadThresholdFactor returns the factor, minThresholdFactor to 1, by which load lowers the
// thresholds.
func (c EscalationConditions) loadThresholdFactor() float64 {
	if c.TimeToFirstToken <= 0 {
		return 1
	}
	if !c.meetsObjective() {
		return minThresholdFactor
	}
	load := relativeLoad(c.TimeToFirstToken, c.PrefillTime, c.SlotUtilization, c.ObjectiveLeft)
	return 1 - (1-minThresholdFactor)*min(max((load-minReliefLoad)/(1-minReliefLoad), 0), 1)
}

// relativeLoad returns the time for which a request waits for the largest model and delays
// others, as a fraction of the time left of the objective.
func relativeLoad(timeToFirstToken, prefillTime time.Duration, slotUtilization float64, objectiveLeft time.Duration) float64 {
	queue := max(float64(timeToFirstToken-prefillTime)/float64(objectiveLeft), 0)
	return queue + float64(prefillTime)/float64(objectiveLeft)*min(slotUtilization/fullSlotUtilization, 1)
}
