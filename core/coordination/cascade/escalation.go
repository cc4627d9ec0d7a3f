package cascade

import "time"

// EscalationPolicy decides with which model of a route to begin and whether an answer
// is good enough, from the model's own opinion in the head of its answer.
type EscalationPolicy struct {
	StartModel int   // index among the route's models, smallest first; past the end: the largest
	Thresholds []int // by model: least confidence, 0 to 100, that an answer needs; none for the largest
}

// Of the relief of the thresholds under load. Its measure is the part of the time
// left that the request waits, and makes others wait: the queue before the larger
// model begins, and the reading of this prompt as far as the upstreams are
// crowded, since whoever is there stands meanwhile. Up to minReliefLoad the thresholds
// hold in full; from there they fall to minThresholdFactor of themselves where it is all
// of the time. With nobody there a long prompt is no load: counted whatever the crowd,
// its reading would have the longest prompts answered in time and badly; not counted
// at all, crowded upstreams would stand for seconds.
const (
	minReliefLoad      = 0.2
	minThresholdFactor = 0.4
	// fullSlotUtilization is the part of the slots taken from which a reading counts in full.
	fullSlotUtilization = 0.5
)

// maxLatePrefillFraction of the objective is the longest reading of a prompt whose answer would
// be late: whoever is at the upstream stands for that time. It answers sites whose
// largest model reads the longest prompts for twice the objective. What is late is what
// begins past the time left.
const maxLatePrefillFraction = 0.5

// maxDeadlineFraction is the part of the time to the deadline in which the largest model's
// answer must begin; what is left is for its events. An answer that is there and
// doubtful is better than none.
const maxDeadlineFraction = 0.6

// Of the retries that a window allows, a larger model is asked for a doubtful answer
// with no fewer left than reservedRetryFraction: they are for failures. Of 74 entries one has about
// 36 in its window, and up to 10 streams on upstreams that end together, as at the
// completion of an upgrade.
//
// From scarceRetryFraction down to that the thresholds fall to nothing, so that the last
// retries go to the answers that are doubted most.
//
// With ampleRetryFraction left a retry has no price: about that is left in calm where a
// request brings 0.86 of a retry and two of five answers are doubted.
const (
	reservedRetryFraction = 0.25
	scarceRetryFraction   = 0.4
	ampleRetryFraction    = 0.5
)

// maxRetryCost is the part of the objective that a retry is worth, in reading time of
// upstreams, where only those for failures are left.
const maxRetryCost = 0.08

// maxLowConfidenceRate bounds what is taken for doubted, so that long prompts go on asking the
// smaller model, and it is seen when it answers better.
const maxLowConfidenceRate = 0.8

// StartConditions is what is known before a request's first attempt.
type StartConditions struct {
	LowConfidenceRate float64       // part of the smaller model's answers that the larger one was to make
	TimeToFirstToken  time.Duration // that the largest model takes to begin an answer now
	PrefillTime       time.Duration // of that, to read this prompt; 0: not known
	SlotUtilization   float64       // part of the upstreams' slots that are taken
	Objective         time.Duration // in which the route's answers should begin
	RetryBudgetLeft   float64       // part of those that a window allows that are left
}

// loadHeadroom is 1 where nobody waits for the largest model, 0 from where thresholds are
// relieved for the load: a fleet short of upstreams has no reading to spare.
func (c StartConditions) loadHeadroom() float64 {
	return 1 - min(relativeLoad(c.TimeToFirstToken, c.PrefillTime, c.SlotUtilization, c.Objective)/minReliefLoad, 1)
}

// EscalationConditions is what is known when an answer's head has come.
type EscalationConditions struct {
	Model            int           // index of the one that answers
	Confidence       int           // 0 to 100, negative if not told
	TimeToFirstToken time.Duration // that the largest model takes to begin an answer now
	PrefillTime      time.Duration // of that, to read this prompt
	SlotUtilization  float64       // part of the upstreams' slots that are taken
	ObjectiveLeft    time.Duration // in which it should begin
	Objective        time.Duration // that the route has for that
	TimeToDeadline   time.Duration // to the deadline
	RetryBudgetLeft  float64       // part of those that a window allows that are left
}

// IsLowConfidence reports whether the model's answer falls short of what operators ask of
// it, whatever the load.
func (p EscalationPolicy) IsLowConfidence(models []string, model, confidence int) bool {
	return model < len(models)-1 && model < len(p.Thresholds) && confidence >= 0 && confidence < p.Thresholds[model]
}

// FirstModel returns the model to begin with: the smallest that operators allow, or the
// largest where retries run short and it has room. Beginning small saves the largest
// model's reading for the answers that are taken, and costs a retry for each that is
// not; the reading that is saved is held against the retries.
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

// Escalate returns the model to ask in place of the one that answers, or false if
// its answer is taken. It is the largest that is asked: a request that one model
// finds hard is seldom easy for the next, and each step costs a prefill.
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

// retryThresholdFactor is the factor of the thresholds where retries run short.
func retryThresholdFactor(budgetLeft float64) float64 {
	return min(max((budgetLeft-reservedRetryFraction)/(scarceRetryFraction-reservedRetryFraction), 0), 1)
}

// retryCost is the part of the objective that a retry is worth.
func retryCost(budgetLeft float64) float64 {
	return maxRetryCost * min(max((ampleRetryFraction-budgetLeft)/(ampleRetryFraction-reservedRetryFraction), 0), 1)
}

// meetsObjective reports whether the larger model is expected to begin in time.
func (c EscalationConditions) meetsObjective() bool { return c.TimeToFirstToken <= c.ObjectiveLeft }

// loadThresholdFactor is the factor of the thresholds.
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

// relativeLoad is the part of the time left that a request waits for the largest model, and
// makes others wait.
func relativeLoad(timeToFirstToken, prefillTime time.Duration, slotUtilization float64, objectiveLeft time.Duration) float64 {
	queue := max(float64(timeToFirstToken-prefillTime)/float64(objectiveLeft), 0)
	return queue + float64(prefillTime)/float64(objectiveLeft)*min(slotUtilization/fullSlotUtilization, 1)
}
