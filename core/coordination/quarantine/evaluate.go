package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmoncross"
)

// Of the judgement.
const (
	// refuseCrashes ends prove a request: the operators' bound on retries counts what is
	// sent after the third. watchAt is one before it.
	refuseCrashes          = 3
	watchCrashes           = 2
	contestedRefuseCrashes = 6 // ends at which others ran too, of a request that never came to its end
	minUncontestedCrashes  = 2 // ends at which no other suspect ran, where there are some at which one did
	// sameEventWindow is the time in which ends are one event: a rack that is lost ends all
	// its upstreams within some milliseconds, and what is sent often runs on each.
	sameEventWindow = 150 * time.Millisecond
	// maxAgeSkew is by how much the ages of what two VMs tell may differ: they are rounded,
	// and wait on their way.
	maxAgeSkew = 5 * time.Millisecond
	// maxDetectionDelay is by how much later than another VM one may learn of the same end:
	// what was sent later than that did not run there.
	maxDetectionDelay = 30 * time.Millisecond
	// settleTime is for how long a request is watched before it is refused: VMs tell of the
	// same ends at different moments, and what the first told looks as if the request
	// had been alone there. It is longer than the pause between what one VM tells.
	settleTime = 300 * time.Millisecond
	// completedSettleTime is the same for one that has come to its end somewhere: what speaks
	// for it makes it likely that others ended those upstreams, of whom the last VM tells
	// after its own pause and that of the controller it follows.
	completedSettleTime = 600 * time.Millisecond
	// dominanceFactor is how many times as much must speak against a request as against
	// each other one that ran at the same upstream, for the end to count as its own.
	dominanceFactor = 1.5
	// maxSpeedFactor bounds what the time until an end makes of it: it decides between two
	// that were there as often.
	maxSpeedFactor = 1.4
	// survivalFactor is how many times as long as it took to end an upstream a request
	// must run at others, for that to count as a whole answer: a cause that strikes
	// by chance would be survived for so long in 5 of 100 runs.
	survivalFactor      = 3
	minRunTime          = 10 * time.Millisecond // an end comes no sooner after its cause, as far as can be told
	crashRetention      = 10 * time.Minute      // for which an end counts
	refuseIdleTimeout   = crashRetention        // without a copy, after which a refusal is over
	watchIdleTimeout    = 4 * time.Second       // without a copy, after which it is not watched: others need the place
	recentRequestWindow = 5 * time.Second       // a copy came lately: a trial finds another one
	// trialTimeout is how long a VM that is to run a trial may wait for a copy, and run
	// it: meanwhile an upstream is kept for it.
	trialTimeout   = 10 * time.Second
	maxQuarantines = 1024 // 40 KB at each VM
	maxWatched     = 64   // each takes an upstream for itself where there are enough
)

// trialDelays are the pauses before the trials of a refused request: one copy runs
// by itself, and if it comes to its end, the request was refused wrongly, or the
// upstreams have been mended. Where upstreams end faster than they start, nothing
// tells a request that is sent often from those that end them. The operators' bound
// allows three runs later than some seconds after the third end: up to two come before
// a contested request is found out, and with one trial in the first ten minutes the
// bound is kept for as long.
var trialDelays = []time.Duration{30 * time.Second, 10 * time.Minute, 30 * time.Minute}

// Crash is the end of an upstream's process under a request.
type Crash struct {
	InstanceID string // of the upstream
	At         time.Time
	RunTime    time.Duration // for which the request had run; where that is not known, since it was sent
}

// Record is what some VMs saw of one request.
type Record struct {
	Digest          persimmoncross.Digest
	Service         string
	Crashes         []Crash
	Completed       int           // runs that came to their end
	RunTime         time.Duration // of runs under way, and of those that neither came to their end nor met the upstream's
	LastRequested   time.Time     // when a copy came last
	LastRequestedBy string        // the VM that it came to
	ClearedAt       time.Time     // when it passed a trial: ends before it count no more
}

// TrackedQuarantine is a hold with what its keeper knows of it.
type TrackedQuarantine struct {
	persimmoncross.Quarantine
	Since time.Time // when the keeper learned of it as it is
}

// Change is a new hold, or the end of one: then its stage is Free.
type Change struct {
	persimmoncross.Quarantine
	Reason  string
	Crashes []Crash // that count against it
}

// score is what speaks for and against one request.
type score struct {
	Record
	suspicion         float64
	adjustedSuspicion float64            // against, by which it is compared with others
	rivalSuspicions   map[string]float64 // by life: the most that speaks against another one there
}

// Evaluate returns how the holds change by what all VMs saw: a case for each digest
// (see [Merge]).
func Evaluate(records []Record, quarantines map[persimmoncross.Digest]TrackedQuarantine, now time.Time) []Change {
	scores := scoreRecords(records, quarantines, now)
	var changes []Change
	watched := 0
	for _, h := range quarantines {
		if h.Stage == persimmoncross.QuarantineIsolate {
			watched++
		}
	}
	for _, s := range scores {
		h, ok := quarantines[s.Digest]
		attributed := s.attributedCrashes()
		proven := len(attributed) >= refuseCrashes && s.isProven(attributed)
		settled := ok && now.Sub(h.Since) >= s.settleTime()
		watchable := !ok && watched < maxWatched // else it is refused as soon as it is proved
		switch {
		case h.Stage == persimmoncross.QuarantineRefuse:
			if c, ok := s.updateTrial(h, now); ok {
				changes = append(changes, c)
			}
		case proven && (settled || !ok && !watchable && len(quarantines)+len(changes) < maxQuarantines):
			changes = append(changes, s.newChange(persimmoncross.QuarantineRefuse, "upstreams end wherever it runs", attributed))
		case watchable && (proven || s.suspicion >= watchCrashes && now.Sub(s.LastRequested) < watchIdleTimeout):
			watched++
			changes = append(changes, s.newChange(persimmoncross.QuarantineIsolate, "upstreams ended where it ran", s.Crashes))
		}
	}
	return append(changes, expired(scores, quarantines, now)...)
}

// updateTrial returns how a refused request is tried, or its refusal ends.
func (s *score) updateTrial(h TrackedQuarantine, now time.Time) (Change, bool) {
	c := Change{
		Quarantine: h.Quarantine,
		Crashes:    s.Crashes,
	}
	delay := trialDelays[min(h.TrialCount, len(trialDelays)-1)]
	requestedLately := now.Sub(s.LastRequested) < recentRequestWindow
	crashedInTrial := slices.ContainsFunc(s.Crashes, func(crash Crash) bool { return crash.At.After(h.Since) })
	switch {
	case s.ClearedAt.After(h.Since):
		c.Stage, c.TrialVM, c.Reason = persimmoncross.QuarantineNone, "", "it came to its end by itself"
	case h.TrialVM != "" && crashedInTrial:
		c.TrialVM, c.Reason = "", "an upstream ended under its trial"
	case h.TrialVM == "" && requestedLately && now.Sub(h.Since) >= delay:
		c.TrialVM, c.TrialCount, c.Reason = s.LastRequestedBy, h.TrialCount+1, "it is tried once"
	case h.TrialVM != "" && now.Sub(h.Since) >= trialTimeout:
		c.TrialVM, c.TrialCount, c.Reason = "", h.TrialCount-1, "its trial told nothing"
	default:
		return c, false
	}
	return c, true
}

// expired returns the holds that end.
func expired(scores []*score, quarantines map[persimmoncross.Digest]TrackedQuarantine, now time.Time) []Change {
	byDigest := make(map[persimmoncross.Digest]*score, len(scores))
	for _, s := range scores {
		byDigest[s.Digest] = s
	}
	var changes []Change
	for d, h := range quarantines {
		s := byDigest[d]
		if s == nil {
			s = &score{}
		}
		lastActive := h.Since
		if s.LastRequested.After(lastActive) {
			lastActive = s.LastRequested
		}
		reason := ""
		switch idle := now.Sub(lastActive); {
		case h.Stage == persimmoncross.QuarantineRefuse && idle >= refuseIdleTimeout, h.Stage == persimmoncross.QuarantineIsolate && idle >= watchIdleTimeout:
			reason = "no copy came"
		case h.Stage == persimmoncross.QuarantineIsolate && s.suspicion < watchCrashes && len(s.attributedCrashes()) < refuseCrashes:
			reason = "it came to its end"
		}
		if reason != "" {
			h.Stage = persimmoncross.QuarantineNone
			changes = append(changes, Change{
				Quarantine: h.Quarantine,
				Reason:     reason,
			})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return changes
}

func (s *score) newChange(stage persimmoncross.QuarantineStage, reason string, crashes []Crash) Change {
	return Change{
		Quarantine: persimmoncross.Quarantine{
			Digest:  s.Digest,
			Service: s.Service,
			Stage:   stage,
		},
		Reason:  reason,
		Crashes: crashes,
	}
}

// scoreRecords counts for each request what speaks against it, the most suspect first. An
// end where a request ran that is refused already is explained, unless that one was
// sent there after it.
func scoreRecords(records []Record, quarantines map[persimmoncross.Digest]TrackedQuarantine, now time.Time) []*score {
	isRefused := func(r Record) bool { return quarantines[r.Digest].Stage == persimmoncross.QuarantineRefuse }
	crashedAt := firstCrashTimes(records)
	startedLate := func(c Crash) bool { return c.startedAt().Sub(crashedAt[c.InstanceID]) > maxDetectionDelay }
	explained := map[string]bool{}
	for _, r := range records {
		for _, c := range r.Crashes {
			if isRefused(r) && !startedLate(c) {
				explained[c.InstanceID] = true
			}
		}
	}
	scores := make([]*score, 0, len(records))
	var totalRunTime time.Duration
	crashCount := 0
	type two struct{ first, second float64 } // the most against any there
	topSuspicions := map[string]two{}
	for _, r := range records {
		r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool {
			return now.Sub(c.At) > crashRetention || !c.At.After(r.ClearedAt) || explained[c.InstanceID] && !isRefused(r) || startedLate(c)
		})
		s := &score{
			Record: r,
		}
		scores = append(scores, s)
		for _, c := range r.Crashes {
			totalRunTime += c.RunTime
			crashCount++
		}
	}
	for _, s := range scores {
		s.suspicion = s.computeSuspicion()
		s.adjustedSuspicion = s.suspicion * s.speedFactor(totalRunTime/time.Duration(max(crashCount, 1)))
		for _, c := range s.Crashes {
			top := topSuspicions[c.InstanceID]
			switch {
			case s.adjustedSuspicion > top.first:
				top.first, top.second = s.adjustedSuspicion, top.first
			case s.adjustedSuspicion > top.second:
				top.second = s.adjustedSuspicion
			}
			topSuspicions[c.InstanceID] = top
		}
	}
	for _, s := range scores {
		s.rivalSuspicions = make(map[string]float64, len(s.Crashes))
		for _, c := range s.Crashes {
			top := topSuspicions[c.InstanceID]
			s.rivalSuspicions[c.InstanceID] = top.first
			if top.first == s.adjustedSuspicion {
				s.rivalSuspicions[c.InstanceID] = top.second // itself, or another with as much
			}
		}
	}
	slices.SortFunc(scores, func(a, b *score) int {
		return cmp.Or(cmp.Compare(b.suspicion, a.suspicion), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return scores
}

// firstCrashTimes returns when each life ended, as whoever learned of it first saw it.
func firstCrashTimes(records []Record) map[string]time.Time {
	crashedAt := map[string]time.Time{}
	for _, r := range records {
		for _, c := range r.Crashes {
			if first, ok := crashedAt[c.InstanceID]; !ok || c.At.Before(first) {
				crashedAt[c.InstanceID] = c.At
			}
		}
	}
	return crashedAt
}

// startedAt returns when the run began, or was startedAt.
func (c Crash) startedAt() time.Time { return c.At.Add(-c.RunTime) }

// computeSuspicion is the number of ends less what speaks for the request: whole answers,
// and time for which upstreams survived it.
func (s *score) computeSuspicion() float64 {
	n := len(distinctCrashes(s.Crashes))
	if n == 0 {
		return 0
	}
	return float64(n) - float64(s.Completed) - float64(s.RunTime)/float64(survivalFactor*s.meanRunTime())
}

// settleTime returns for how long the request is watched before it is refused.
func (s *score) settleTime() time.Duration {
	if s.Completed > 0 {
		return completedSettleTime
	}
	return settleTime
}

// meanRunTime returns for how long the request had run when upstreams ended.
func (s *score) meanRunTime() time.Duration {
	total := time.Duration(0)
	for _, c := range s.Crashes {
		total += c.RunTime
	}
	return max(minRunTime, total/time.Duration(max(len(s.Crashes), 1)))
}

// speedFactor weighs how soon upstreams end under the request, against how soon they do
// under all: what merely ran beside the cause had run for any time.
func (s *score) speedFactor(overallMean time.Duration) float64 {
	return min(max(math.Sqrt(float64(max(overallMean, minRunTime))/float64(s.meanRunTime())), 1/maxSpeedFactor), maxSpeedFactor)
}

// isProven reports whether the ends that are a request's own are enough: where another
// suspect ran at some of them, it takes others at which none did. Upstreams with long
// queues always have one: there a request that never came to its end is isProven by many.
func (s *score) isProven(attributed []Crash) bool {
	if s.Completed == 0 && len(attributed) >= contestedRefuseCrashes {
		return true
	}
	isContested := func(c Crash) bool { return s.rivalSuspicions[c.InstanceID] >= watchCrashes }
	if !slices.ContainsFunc(s.Crashes, isContested) {
		return true
	}
	return len(slices.DeleteFunc(slices.Clone(attributed), isContested)) >= minUncontestedCrashes
}

// attributedCrashes returns one end of each event that nothing else explains as well.
func (s *score) attributedCrashes() []Crash {
	if s.suspicion < refuseCrashes {
		return nil
	}
	var attributed []Crash
	for _, c := range s.Crashes {
		if s.adjustedSuspicion >= dominanceFactor*s.rivalSuspicions[c.InstanceID] {
			attributed = append(attributed, c)
		}
	}
	return distinctCrashes(attributed)
}

// distinctCrashes returns the first end of each event. What began only after the event before
// is another one, however soon it comes.
func distinctCrashes(crashes []Crash) []Crash {
	crashes = slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	var distinct []Crash
	for _, c := range crashes {
		if n := len(distinct); n > 0 {
			previous := distinct[n-1].At
			if c.At.Sub(previous) <= sameEventWindow && c.At.Add(-c.RunTime).Before(previous.Add(-maxAgeSkew)) {
				continue
			}
		}
		distinct = append(distinct, c)
	}
	return distinct
}
