package quarantine

import (
	"math"
	"time"
)

// Constants of the comparison of a part's runs with all others of its service.
const (
	// outcomeWindow is the time constant with which earlier runs are forgotten.
	outcomeWindow = 10 * time.Second
	// priorCrashed and priorCompleted are the runs that are assumed of a service of which nothing is known.
	priorCrashed   = 0.4 // one half before their start, one half after it
	priorCompleted = 0.6
	// minChance bounds the evidence of one crash.
	minChance = 0.02
	// falseCompletions is the assumed fraction of runs with a crashing part that complete nonetheless.
	falseCompletions = 0.05
	// minCompletionEvidence is the least evidence of a completed run, which counts also where most runs crash.
	minCompletionEvidence = 1
	// refuseEvidence is the evidence, as the logarithm of a ratio of likelihoods, at which a part is refused. A
	// sound part reaches it in about one of ten thousand series of crashes.
	refuseEvidence = 9
	// unknownCrashRate stands for the rate that an earlier release does not report.
	unknownCrashRate = 0.5
)

// outcomes are exponentially weighted counts of runs that have ended.
type outcomes struct {
	crashed   [2]float64 // ended by a crash, before and after their start
	completed float64
	seconds   float64 // in flight, of all runs
	at        time.Time
}

// decay forgets earlier runs.
func (o *outcomes) decay(now time.Time) {
	if elapsed := now.Sub(o.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / outcomeWindow.Seconds())
		o.crashed[0] *= factor
		o.crashed[1] *= factor
		o.completed *= factor
		o.seconds *= factor
		o.at = now
	}
}

// add counts a run that has ended.
func (o *outcomes) add(r *Run, now time.Time) {
	o.decay(now)
	o.seconds += max(now.Sub(r.sentAt).Seconds(), 0)
}

func (o *outcomes) addCompleted(r *Run, now time.Time) {
	o.add(r, now)
	o.completed++
}

func (o *outcomes) addCrashed(r *Run, now time.Time) {
	o.add(r, now)
	o.crashed[phase(r.startedAt.IsZero())]++
}

// phase returns the index of a run in outcomes.crashed.
func phase(unstarted bool) int {
	if unstarted {
		return 0
	}
	return 1
}

// crashChances returns how likely a run of the others, all but the own ones, is to be ended by its upstream's crash
// before its start or after it, as the given run was: at any time, and within the run time. Both are as of now.
func (o outcomes) crashChances(own outcomes, r *Run, runTime time.Duration, now time.Time) (rate, chance float64) {
	o.decay(now)
	own.decay(now)
	inPhase, crashed := 0.0, 0.0
	for i := range o.crashed {
		n := max(o.crashed[i]-own.crashed[i], 0) + priorCrashed/2
		crashed += n
		if i == phase(r.startedAt.IsZero()) {
			inPhase = n
		}
	}
	completed := max(o.completed-own.completed, 0) + priorCompleted
	seconds := max(o.seconds-own.seconds, 0)
	rate = inPhase / (crashed + completed)
	chance = rate
	if seconds > 0 {
		chance = min(rate, 1-math.Exp(-crashed/seconds*max(runTime, minRunTime).Seconds()))
	}
	return max(rate, minChance), max(chance, minChance)
}

// evidence returns the logarithm of the ratio of two likelihoods of what was observed of a part: that it crashes
// upstreams, and that it does not, and its runs were cut by crashes that others caused, as those of others
// were. Survived runs speak against it; crashes that come sooner than others', or all before the start or all after it,
// speak for it.
func (s *score) evidence(crashes []Crash) float64 {
	total, excess, rates := 0.0, 0.0, 0.0
	var inPhase [2]float64
	for _, c := range crashes {
		rate, chance := c.CrashRate, c.CrashChance
		if rate <= 0 {
			rate, chance = unknownCrashRate, unknownCrashRate
		}
		total += math.Log(1 / rate)
		excess += math.Log(rate / min(chance, rate))
		rates += rate
		inPhase[phase(c.Unstarted)]++
	}
	n := len(crashes)
	if n == 0 {
		return 0
	}
	for _, count := range inPhase {
		if count > 0 {
			total += count * math.Log(count/float64(n)) // a crashing part ends most runs in the same phase
		}
	}
	completion := max(math.Log((1-rates/float64(n))/falseCompletions), minCompletionEvidence)
	return total - logGammaTail(n, excess) - s.survivals*completion
}

// logGammaTail returns the logarithm of the probability that a sum of n exponential variables of mean 1 is more than x.
func logGammaTail(n int, x float64) float64 {
	term, sum := 1.0, 1.0
	for k := 1; k < n; k++ {
		term *= x / float64(k)
		sum += term
	}
	return math.Log(sum) - x
}
