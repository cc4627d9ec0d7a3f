package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmoncross"
)

// Thresholds and times of the evaluation.
const (
	// refuseCrashes is the number of attributed crashes at which a request is refused. The
	// operators' bound on retries counts the runs that are sent after the third crash. A
	// request is isolated one crash earlier.
	refuseCrashes  = 3
	isolateCrashes = 2
	// freeSuspicion is the suspicion at which isolation ends. It is less than isolateCrashes by one
	// completed run, so that the mere start of a run, or run time of some milliseconds, doesn't
	// end it.
	freeSuspicion          = isolateCrashes - 1
	contestedRefuseCrashes = 6 // for a request that never completed; other suspects may have run there too
	minUncontestedCrashes  = 2 // crashes without another suspect, required if one ran at any of the request's crashes
	// sameEventWindow is the time within which crashes are one event. The loss of a rack
	// ends all its upstreams within some milliseconds, and a frequent request runs on each.
	sameEventWindow = 150 * time.Millisecond
	// maxAgeSkew limits the difference between the times of one event in the reports of two
	// VMs. The ages in reports are rounded, and reports wait before they are transmitted.
	maxAgeSkew = 5 * time.Millisecond
	// maxDetectionDelay limits how much later than the first VM another one detects the same
	// crash. A request that was sent later than that did not run there.
	maxDetectionDelay = 30 * time.Millisecond
	// settleTime is how long a request is isolated before it is refused. VMs report the same
	// crash at different times, and by the first report alone the request seems to have been
	// the only one there. The settle time is longer than the interval between a VM's reports.
	settleTime = 300 * time.Millisecond
	// completedSettleTime is the settle time of a request that has completed somewhere. Other
	// requests are then the likely cause, and the last report about them may wait for the
	// interval of the reporting VM and that of the controller which it follows.
	completedSettleTime = 600 * time.Millisecond
	// dominanceFactor is the minimum ratio of a request's adjusted suspicion to that of each
	// other request at the same upstream, for the crash to be attributed to the request.
	dominanceFactor = 1.5
	// maxSpeedFactor bounds the effect of the time until a crash on the adjusted suspicion.
	// The effect only decides between requests that ran at equally many crashes.
	maxSpeedFactor = 1.4
	// survivalFactor times the mean run time until a crash is the run time without a crash
	// that counts as much in favour of a request as one completed run. A request that crashes
	// upstreams at random would run for so long without a crash in 5 of 100 runs.
	survivalFactor      = 3
	minRunTime          = 10 * time.Millisecond // assumed minimum from a run's start to its crash
	crashRetention      = 10 * time.Minute      // how long a crash counts
	refuseIdleTimeout   = crashRetention        // time without copies after which a refusal ends
	isolateIdleTimeout  = 4 * time.Second       // time without copies after which isolation ends, since only maxIsolated requests can be isolated
	recentRequestWindow = 5 * time.Second       // a trial needs another copy, so it starts only if one came lately
	// trialTimeout is how long the trial VM may wait for a copy and run it. An instance is
	// reserved for the trial during this time.
	trialTimeout   = 10 * time.Second
	maxQuarantines = 1024 // 40 KB at each VM
	maxIsolated    = 64   // isolated requests; each has a reserved instance if there are enough
)

// Thresholds for parts of prompts. Requests with a part come at all VMs and survive or crash their upstreams
// independently, so that more crashes are awaited than of one request. If fewer requests than
// minPartRequests held the part, one of them may be the cause.
const (
	refusePartCrashes = 4
	minPartRequests   = 3
	maxSuspectParts   = 64
)

// trialDelays are the delays before the trial runs of a refused request. In a trial one
// copy runs alone; if it completes, the request was refused wrongly, or the upstreams have
// been fixed. Trials are needed because a frequent request can't be distinguished from the
// requests that crash upstreams if upstreams crash faster than they start. The operators'
// bound allows three runs later than some seconds after the third crash. Up to two happen
// before a contested request is proven, so with one trial in the first ten minutes the
// bound holds for that time. The last delay also applies to all later trials.
var trialDelays = []time.Duration{30 * time.Second, 10 * time.Minute, 30 * time.Minute}

// Crash is a crash of an upstream's process while a request ran there.
type Crash struct {
	InstanceID string // of the upstream
	At         time.Time
	RunTime    time.Duration // time since the run started, or since it was sent if the start is not known
	Request    uint32        // of a part's record: tells the requests apart that held the part
	Unstarted  bool          // of a part's record: no run with the part is known to have started
	// Of a part's record: how likely a run without the part is to be ended by a crash, at all and within RunTime; 0: not known.
	CrashRate, CrashChance float64
}

// Record is what one or more VMs observed of one request, or of all requests with one part.
type Record struct {
	Digest          persimmoncross.Digest
	Part            bool // Digest is that of a part of prompts
	Service         string
	Crashes         []Crash
	Completed       int             // number of completed runs
	RunTime         time.Duration   // of runs that neither completed nor crashed; of a part also of those that others of it outlasted
	InFlight        []time.Duration // run times of started runs in flight, the longest at each instance
	LastRequested   time.Time       // when the latest copy arrived
	LastRequestedBy string          // the VM at which it arrived
	TriedAt         time.Time       // when the latest trial was sent that an upstream may have run
	ClearedAt       time.Time       // when a trial completed; earlier crashes no longer count
}

// TrackedQuarantine is a quarantine with the time since which it is in its present state.
type TrackedQuarantine struct {
	persimmoncross.Quarantine
	Since time.Time // when the quarantine was last set or changed
}

// Change is a new or changed quarantine, or the end of one (its stage is then
// [persimmoncross.QuarantineNone]).
type Change struct {
	persimmoncross.Quarantine
	Reason    string
	Crashes   []Crash       // that count against the request
	Completed int           // completed runs
	RunTime   time.Duration // see [Record]
}

// score is the evidence for and against one request.
type score struct {
	Record
	knownCrashes      int                // crashes in the record, also those that don't count
	survivals         float64            // see computeSurvivals
	suspicion         float64            // distinct crashes, less the survivals
	adjustedSuspicion float64            // for comparison with others: of requests with the speed factor, of parts the evidence
	rivalSuspicions   map[string]float64 // by InstanceID: highest adjusted suspicion of another request there
}

// Evaluate returns the changes of quarantines that follow from the records of all VMs, one
// record for each digest (see [Merge]).
func Evaluate(records []Record, quarantines map[persimmoncross.Digest]TrackedQuarantine, now time.Time) []Change {
	scores := scoreRecords(records, quarantines, now)
	var changes []Change
	isolatedCount, suspectParts := 0, 0
	for _, quarantine := range quarantines {
		switch {
		case quarantine.Stage != persimmoncross.QuarantineIsolate:
		case quarantine.Part:
			suspectParts++
		default:
			isolatedCount++
		}
	}
	for _, s := range scores {
		existing, ok := quarantines[s.Digest]
		attributed := s.attributedCrashes()
		proven := len(attributed) >= s.refuseCrashes() && s.isProven(attributed)
		settled := ok && now.Sub(existing.Since) >= s.settleTime()
		// If too many requests are isolated already, a request without a quarantine is refused
		// as soon as it is proven.
		canIsolate := !ok && isolatedCount < maxIsolated
		if s.Part {
			canIsolate = !ok && suspectParts < maxSuspectParts
		}
		switch {
		case existing.Stage == persimmoncross.QuarantineRefuse:
			if c, ok := s.updateTrial(existing, now); ok {
				changes = append(changes, c)
			}
		case proven && (settled || !ok && !canIsolate && len(quarantines)+len(changes) < maxQuarantines):
			changes = append(changes, s.newChange(persimmoncross.QuarantineRefuse, "upstreams end wherever it runs", attributed))
		case canIsolate && (proven || s.suspicion >= isolateCrashes && now.Sub(s.LastRequested) < isolateIdleTimeout):
			if s.Part {
				suspectParts++
			} else {
				isolatedCount++
			}
			changes = append(changes, s.newChange(persimmoncross.QuarantineIsolate, "upstreams ended where it ran", s.Crashes))
		}
	}
	return append(changes, expired(scores, quarantines, now)...)
}

// updateTrial returns the change of a refused request that starts or ends a trial, or ends
// the refusal, and false if nothing changes.
func (s *score) updateTrial(quarantine TrackedQuarantine, now time.Time) (Change, bool) {
	c := Change{
		Quarantine: quarantine.Quarantine,
		Crashes:    s.Crashes,
		Completed:  s.Completed,
		RunTime:    s.RunTime,
	}
	delay := trialDelays[min(quarantine.TrialCount, len(trialDelays)-1)]
	requestedLately := now.Sub(s.LastRequested) < recentRequestWindow
	crashedInTrial := slices.ContainsFunc(s.Crashes, func(crash Crash) bool { return crash.At.After(quarantine.Since) })
	switch {
	case s.ClearedAt.After(quarantine.Since):
		c.Stage, c.TrialVM, c.Reason = persimmoncross.QuarantineNone, "", "it came to its end by itself"
	case quarantine.TrialVM != "" && crashedInTrial:
		c.TrialVM, c.Reason = "", "an upstream ended under its trial"
	case quarantine.TrialVM == "" && requestedLately && now.Sub(quarantine.Since) >= delay:
		c.TrialVM, c.TrialCount, c.Reason = s.LastRequestedBy, quarantine.TrialCount+1, "it is tried once"
	case quarantine.TrialVM == "" || now.Sub(quarantine.Since) < trialTimeout:
		return c, false
	case s.TriedAt.After(quarantine.Since):
		c.TrialVM, c.Reason = "", "its trial told nothing" // it counts, because it may have crashed an upstream
	default:
		c.TrialVM, c.TrialCount, c.Reason = "", quarantine.TrialCount-1, "no copy came for its trial"
	}
	return c, true
}

// expired returns the changes that end quarantines, because no copies came or the request
// is no longer suspected.
func expired(scores []*score, quarantines map[persimmoncross.Digest]TrackedQuarantine, now time.Time) []Change {
	byDigest := make(map[persimmoncross.Digest]*score, len(scores))
	for _, s := range scores {
		byDigest[s.Digest] = s
	}
	var changes []Change
	for d, quarantine := range quarantines {
		s := byDigest[d]
		if s == nil {
			s = &score{}
		}
		lastActive := quarantine.Since
		if s.LastRequested.After(lastActive) {
			lastActive = s.LastRequested
		}
		reason := ""
		switch idle := now.Sub(lastActive); {
		case quarantine.Stage == persimmoncross.QuarantineRefuse && idle >= refuseIdleTimeout, quarantine.Stage == persimmoncross.QuarantineIsolate && idle >= isolateIdleTimeout:
			reason = "no copy came"
		case quarantine.Stage == persimmoncross.QuarantineIsolate && s.isCleared():
			reason = "it came to its end"
		}
		if reason != "" {
			quarantine.Stage = persimmoncross.QuarantineNone
			changes = append(changes, Change{
				Quarantine: quarantine.Quarantine,
				Reason:     reason,
				Crashes:    s.Crashes,
				Completed:  s.Completed,
				RunTime:    s.RunTime,
			})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return changes
}

// isCleared reports whether what is known speaks for an isolated request. A leader that has just been
// elected lacks the reports of some entries, and crashes that it does not know speak for nobody.
func (s *score) isCleared() bool {
	if s.suspicion > freeSuspicion || len(s.attributedCrashes()) >= s.refuseCrashes() {
		return false
	}
	return s.knownCrashes >= isolateCrashes || s.Completed > 0 || s.RunTime > 0 || len(s.InFlight) > 0
}

func (s *score) newChange(stage persimmoncross.QuarantineStage, reason string, crashes []Crash) Change {
	return Change{
		Quarantine: persimmoncross.Quarantine{
			Digest:  s.Digest,
			Part:    s.Part,
			Service: s.Service,
			Stage:   stage,
		},
		Reason:    reason,
		Crashes:   crashes,
		Completed: s.Completed,
		RunTime:   s.RunTime,
	}
}

// scoreRecords returns the score of each request, in descending order of suspicion. A crash
// at which a refused request ran does not count against others, unless the refused request
// was sent there after the crash. A refused part explains crashes for requests and parts, a refused
// request only for requests: its parts may be the cause.
func scoreRecords(records []Record, quarantines map[persimmoncross.Digest]TrackedQuarantine, now time.Time) []*score {
	isRefused := func(r Record) bool { return quarantines[r.Digest].Stage == persimmoncross.QuarantineRefuse }
	crashedAt := firstCrashTimes(records)
	startedAfterCrash := func(c Crash) bool { return c.startedAt().Sub(crashedAt[c.InstanceID]) > maxDetectionDelay }
	explained, explainedForParts := map[string]bool{}, map[string]bool{}
	for _, r := range records {
		for _, c := range r.Crashes {
			if isRefused(r) && !startedAfterCrash(c) {
				explained[c.InstanceID] = true
				explainedForParts[c.InstanceID] = explainedForParts[c.InstanceID] || r.Part
			}
		}
	}
	scores := make([]*score, 0, len(records))
	var totalRunTime time.Duration
	crashCount := 0
	for _, r := range records {
		knownCrashes := len(r.Crashes)
		explained := explained
		if r.Part {
			explained = explainedForParts
		}
		r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool {
			return now.Sub(c.At) > crashRetention || !c.At.After(r.ClearedAt) || explained[c.InstanceID] && !isRefused(r) || startedAfterCrash(c)
		})
		s := &score{
			Record:       r,
			knownCrashes: knownCrashes,
		}
		scores = append(scores, s)
		for _, c := range r.Crashes {
			totalRunTime += c.RunTime
			crashCount++
		}
	}
	for _, s := range scores {
		distinct := distinctCrashes(s.Crashes)
		s.survivals = s.computeSurvivals()
		if len(distinct) > 0 {
			s.suspicion = float64(len(distinct)) - s.survivals
		}
		s.adjustedSuspicion = s.suspicion * s.speedFactor(totalRunTime/time.Duration(max(crashCount, 1)))
		if s.Part {
			s.adjustedSuspicion = s.evidence(distinct)
		}
	}
	setRivals(scores)
	slices.SortFunc(scores, func(a, b *score) int {
		return cmp.Or(cmp.Compare(b.suspicion, a.suspicion), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return scores
}

// refuseCrashes returns the number of attributed crashes at which a request, or a part, is refused.
func (s *score) refuseCrashes() int {
	if s.Part {
		return refusePartCrashes
	}
	return refuseCrashes
}

// firstCrashTimes returns the crash time of each instance, as observed by the VM that
// detected the crash first.
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

// startedAt returns when the run started, or was sent if its start is not known.
func (c Crash) startedAt() time.Time { return c.At.Add(-c.RunTime) }

// computeSurvivals returns the completed runs and the run time that upstreams survived, in units of survivalFactor times
// the mean run time. A run in flight counts at most as much as a completed one, because on a slow VM it may take many
// times the mean until it crashes its upstream.
func (s *score) computeSurvivals() float64 {
	unit := survivalFactor * s.meanRunTime()
	survivals := float64(s.Completed) + float64(s.RunTime)/float64(unit)
	for _, d := range s.InFlight {
		survivals += min(float64(d)/float64(unit), 1)
	}
	return survivals
}

// settleTime returns how long the request is isolated before it is refused.
func (s *score) settleTime() time.Duration {
	if s.Completed > 0 {
		return completedSettleTime
	}
	return settleTime
}

// meanRunTime returns the mean run time of the request until a crash. Runs that may have waited count only if there
// are no others.
func (r Record) meanRunTime() time.Duration {
	total, count := time.Duration(0), 0
	unstarted := !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !c.Unstarted })
	for _, c := range r.Crashes {
		if c.Unstarted == unstarted {
			total += c.RunTime
			count++
		}
	}
	return max(minRunTime, total/time.Duration(max(count, 1)))
}

// speedFactor returns a factor above 1 if upstreams crash sooner after the start of this
// request than after that of the average one. A request that merely ran at the same
// upstream as the cause had run for an arbitrary time.
func (s *score) speedFactor(overallMean time.Duration) float64 {
	return min(max(math.Sqrt(float64(max(overallMean, minRunTime))/float64(s.meanRunTime())), 1/maxSpeedFactor), maxSpeedFactor)
}

// isProven reports whether the attributed crashes suffice to refuse the request or the part. A part needs
// minPartRequests different requests and an evidence of refuseEvidence. If another suspect ran at any of a request's
// crashes, at least minUncontestedCrashes at which no other suspect ran are required. At upstreams with long queues
// there always is another suspect, so contestedRefuseCrashes crashes also suffice if the request never completed.
func (s *score) isProven(attributed []Crash) bool {
	if s.Part {
		return distinctRequests(attributed) >= minPartRequests && s.evidence(attributed) >= refuseEvidence
	}
	if s.Completed == 0 && len(attributed) >= contestedRefuseCrashes {
		return true
	}
	isContested := func(c Crash) bool { return s.rivalSuspicions[c.InstanceID] >= isolateCrashes }
	if !slices.ContainsFunc(s.Crashes, isContested) {
		return true
	}
	return len(slices.DeleteFunc(slices.Clone(attributed), isContested)) >= minUncontestedCrashes
}

// attributedCrashes returns one crash of each event for which no other request is a
// comparably likely cause. Of several parts the most likely is refused first, and then explains what it has in
// common with the others.
func (s *score) attributedCrashes() []Crash {
	if s.suspicion < float64(s.refuseCrashes()) {
		return nil
	}
	factor := dominanceFactor
	if s.Part {
		factor = 1
	}
	var attributed []Crash
	for _, c := range s.Crashes {
		if s.adjustedSuspicion >= factor*s.rivalSuspicions[c.InstanceID] {
			attributed = append(attributed, c)
		}
	}
	return distinctCrashes(attributed)
}

// distinctCrashes returns the first crash of each event. A crash of a run that started only
// after the previous event is another event, however soon it follows, unless the run had no time to start: the
// upstreams of a rack crash one after the other, also under what is sent again.
func distinctCrashes(crashes []Crash) []Crash {
	crashes = slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	var distinct []Crash
	for _, c := range crashes {
		if n := len(distinct); n > 0 {
			previous := distinct[n-1].At
			startedBefore := c.startedAt().Before(previous.Add(-maxAgeSkew)) || c.Unstarted && c.RunTime < minRunTime
			if c.At.Sub(previous) <= sameEventWindow && startedBefore {
				continue
			}
		}
		distinct = append(distinct, c)
	}
	return distinct
}
