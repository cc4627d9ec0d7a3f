package quarantine

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"persimmoncross"
)

// simulation simulates a service in steps of a few milliseconds: upstreams that crash and
// restart, entries with a recorder each, an evaluation of their delayed reports, and
// callers.
type simulation struct {
	random                *rand.Rand
	now                   time.Time
	upstreams             []*simulatedUpstream
	entries               []*Recorder
	quarantines           map[persimmoncross.Digest]TrackedQuarantine
	pendingReports        []recordReport
	received              map[string][]Record // by entry
	pendingNotices        []replacementNotice
	evaluatedAt           time.Time
	noIsolation           bool          // isolated requests run at any upstream
	evaluationPausedUntil time.Time     // no evaluation until then
	maxQueueTime          time.Duration // maximum time that a request waits at its upstream
	reportDelay           time.Duration // time until the first entry's reports are evaluated
	// stagger is the additional delay of each further entry's reports, and of its
	// notification about the replacement of an instance.
	stagger time.Duration
	// jitter is the maximum additional delay of a report. Reports contain ages, which are
	// too small by this delay on arrival.
	jitter time.Duration
	// behindProxy says that a proxy in front of the upstreams continues to accept
	// connections, so that a crash is detected only by the replacement of the instance.
	behindProxy bool

	refused     map[string]int         // refused copies, by request name
	lastRefused map[string]time.Time   // time of the latest refusal, by request name
	crasherRuns map[string][]time.Time // send times of runs that crash upstreams, by request name
	partRuns    map[string][]time.Time // the same by workload
	partCrashes map[string][]time.Time // crash times, by the workload that caused them
	sent        map[string]int         // requests that were sent, by workload
	crashes     map[string][]time.Time // crash times, by the name of the request that caused them
	completed   map[string]int         // completed runs, by workload
	failed      map[string]int         // requests without a response, by workload
	unavailable map[string]int         // requests whose reserved instance was down, by workload
}

const (
	simulationStep     = 5 * time.Millisecond
	defaultReportDelay = 600 * time.Millisecond
	restartDelay       = 1200 * time.Millisecond
	maxAttempts        = 3
)

// simulatedUpstream is an upstream. After each crash a new instance of it starts.
type simulatedUpstream struct {
	instanceID string
	restarts   int
	downUntil  time.Time // zero: up
	runs       []*simulatedRun
	// disconnectedEntries are the entries that observed a disconnect at the latest crash or
	// while the upstream was down, and therefore send no more requests to it until it is up.
	disconnectedEntries map[*Recorder]bool
}

type simulatedRun struct {
	*Run
	request     *simulatedRequest
	completesAt time.Time
	startsAt    time.Time // when the run starts and its response head is sent
	started     bool
	crashesAt   time.Time // when the run crashes its upstream; zero: never
}

// simulatedRequest is one caller's request.
type simulatedRequest struct {
	name     string
	variant  string // further part of its prompt
	entry    *Recorder
	attempts int
	workload workload
}

// workload is a series of requests.
type workload struct {
	name          string
	interval      time.Duration
	distinct      bool          // all requests differ from each other
	runTime       time.Duration // average run time
	crashAfter    time.Duration // average time after which a run crashes its upstream; 0: never
	noStartSignal bool          // the start of a run is not observed
	parts         []string      // shared parts of the prompts
	variants      int           // each prompt has one of so many further parts; 0: none
	startAfter    time.Duration
	maxRequests   int // total number of requests; 0: unlimited
}

// recordReport is a report of an entry's records that arrives at dueAt.
type recordReport struct {
	dueAt   time.Time
	entry   string
	records []Record
}

// replacementNotice notifies an entry at dueAt that an instance was replaced.
type replacementNotice struct {
	dueAt      time.Time
	entry      *Recorder
	instanceID string
}

func digestOfName(name string) persimmoncross.Digest {
	return DigestOf("o", "POST", "h", "/p", sha256.Sum256([]byte(name)))
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          time.Unix(1000, 0),
		maxQueueTime: 40 * time.Millisecond,
		reportDelay:  defaultReportDelay,
		quarantines:  map[persimmoncross.Digest]TrackedQuarantine{},
		received:     map[string][]Record{},
		refused:      map[string]int{},
		lastRefused:  map[string]time.Time{},
		crasherRuns:  map[string][]time.Time{},
		crashes:      map[string][]time.Time{},
		partRuns:     map[string][]time.Time{},
		partCrashes:  map[string][]time.Time{},
		sent:         map[string]int{},
		completed:    map[string]int{},
		failed:       map[string]int{},
		unavailable:  map[string]int{},
	}
	for i := range 12 {
		s.upstreams = append(s.upstreams, &simulatedUpstream{
			instanceID: fmt.Sprint("u", i, ".0"),
		})
	}
	s.setEntries(4)
	return s
}

// setEntries replaces the entries by count new ones.
func (s *simulation) setEntries(count int) {
	s.entries = nil
	for i := range count {
		s.entries = append(s.entries, &Recorder{
			VM: fmt.Sprint("e", i),
		})
	}
}

// run runs the simulation for the duration. injectFault, if set, is called at each step and
// may crash upstreams.
func (s *simulation) run(duration time.Duration, workloads []workload, injectFault func(s *simulation, elapsed time.Duration)) {
	start := s.now
	next := make([]time.Duration, len(workloads))
	sent := make([]int, len(workloads))
	for elapsed := time.Duration(0); elapsed < duration; elapsed += simulationStep {
		s.now = start.Add(elapsed)
		s.step()
		if injectFault != nil {
			injectFault(s, elapsed)
		}
		for i, w := range workloads {
			for next[i] = max(next[i], w.startAfter); next[i] <= elapsed && (w.maxRequests == 0 || sent[i] < w.maxRequests); {
				next[i] += w.interval/2 + time.Duration(s.random.Int64N(int64(w.interval)))
				sent[i]++
				name := w.name
				if w.distinct {
					name = fmt.Sprint(w.name, " ", sent[i])
				}
				s.sent[w.name]++
				s.send(&simulatedRequest{
					name:     name,
					variant:  s.variant(w),
					entry:    s.entries[s.random.IntN(len(s.entries))],
					workload: w,
				})
			}
		}
		s.evaluate()
	}
}

// step delivers notices, restarts upstreams, and lets runs start, complete and crash their
// upstreams.
func (s *simulation) step() {
	s.pendingNotices = slices.DeleteFunc(s.pendingNotices, func(notice replacementNotice) bool {
		due := !s.now.Before(notice.dueAt)
		if due {
			notice.entry.InstanceReplaced(notice.instanceID, s.now)
		}
		return due
	})
	for _, u := range s.upstreams {
		if !u.downUntil.IsZero() && !s.now.Before(u.downUntil) {
			for i, rec := range s.entries {
				s.pendingNotices = append(s.pendingNotices, replacementNotice{
					dueAt:      s.now.Add(time.Duration(i) * s.stagger),
					entry:      rec,
					instanceID: u.instanceID,
				})
			}
			u.downUntil = time.Time{}
			u.restarts++
			u.instanceID = fmt.Sprint(u.instanceID[:len(u.instanceID)-1], u.restarts)
		}
		for _, r := range slices.Clone(u.runs) {
			if !r.started && !s.now.Before(r.startsAt) && !r.request.workload.noStartSignal {
				r.started = true
				r.MarkStarted(s.now)
			}
			if !r.crashesAt.IsZero() && !s.now.Before(r.crashesAt) {
				s.crashes[r.request.name] = append(s.crashes[r.request.name], s.now)
				s.partCrashes[r.request.workload.name] = append(s.partCrashes[r.request.workload.name], s.now)
				s.crash(u)
				break
			}
			if !s.now.Before(r.completesAt) {
				u.runs = slices.DeleteFunc(u.runs, func(x *simulatedRun) bool { return x == r })
				r.MarkCompleted(s.now)
				s.completed[r.request.workload.name]++
			}
		}
	}
}

// crash crashes an upstream and disconnects its runs. Their requests are sent again.
func (s *simulation) crash(u *simulatedUpstream) {
	if !u.downUntil.IsZero() {
		return
	}
	u.downUntil = s.now.Add(restartDelay)
	runs := u.runs
	u.runs = nil
	u.disconnectedEntries = map[*Recorder]bool{}
	for _, r := range runs {
		r.MarkDisconnected(s.now)
		u.disconnectedEntries[r.request.entry] = true
	}
	for _, rec := range s.entries {
		if s.behindProxy {
			rec.InstanceListening(u.instanceID)
		} else {
			rec.InstanceExited(u.instanceID, s.now)
		}
	}
	for _, r := range runs {
		s.send(r.request)
	}
}

// send handles the next attempt of a request.
func (s *simulation) send(request *simulatedRequest) {
	d := digestOfName(request.name)
	if s.refusesPart(request) {
		return
	}
	quarantine := s.quarantines[d]
	stage := quarantine.Stage
	isTrial := stage == persimmoncross.QuarantineRefuse && request.attempts == 0 && quarantine.TrialVM == request.entry.VM && request.entry.ClaimTrial(d, quarantine.TrialCount)
	if isTrial {
		stage = persimmoncross.QuarantineIsolate
	}
	if stage == persimmoncross.QuarantineRefuse {
		s.refused[request.name]++
		s.lastRefused[request.name] = s.now
		request.entry.MarkRequested(d, "s", s.now)
		return
	}
	reserved := map[*simulatedUpstream]bool{}
	for d, tracked := range s.quarantines {
		if (tracked.Stage == persimmoncross.QuarantineIsolate || tracked.TrialVM != "") && !s.noIsolation {
			reserved[s.isolatedUpstream(d, s.upstreams)] = true
		}
	}
	var candidates, unreserved []*simulatedUpstream
	for _, u := range s.upstreams {
		if u.downUntil.IsZero() || s.behindProxy && !u.disconnectedEntries[request.entry] {
			candidates = append(candidates, u)
			if !reserved[u] {
				unreserved = append(unreserved, u)
			}
		}
	}
	if len(candidates) == 0 || request.attempts >= maxAttempts {
		s.failed[request.workload.name]++
		return
	}
	u := candidates[s.random.IntN(len(candidates))]
	switch {
	case stage == persimmoncross.QuarantineIsolate && !s.noIsolation:
		request.entry.MarkRequested(d, "s", s.now)
		if u = s.isolatedUpstream(d, s.upstreams); !u.downUntil.IsZero() {
			s.unavailable[request.workload.name]++
			if isTrial {
				request.entry.ReleaseTrial(d)
			}
			return
		}
	case 4*len(unreserved) >= 3*len(candidates):
		u = unreserved[s.random.IntN(len(unreserved))]
	}
	request.attempts++
	r := &simulatedRun{
		Run:      request.entry.BeginRun(d, "s", u.instanceID, s.now, request.parts()...),
		request:  request,
		startsAt: s.now.Add(time.Duration(s.random.Int64N(int64(s.maxQueueTime)))),
	}
	if isTrial {
		r.MarkTrial(d)
	}
	if !u.downUntil.IsZero() {
		r.MarkDisconnected(s.now) // by the proxy in front of the upstream
		u.disconnectedEntries[request.entry] = true
		s.send(request)
		return
	}
	r.completesAt = r.startsAt.Add(request.workload.runTime/2 + time.Duration(s.random.Int64N(int64(request.workload.runTime))))
	if mean := request.workload.crashAfter; mean > 0 {
		r.crashesAt = r.startsAt.Add(mean/2 + time.Duration(s.random.Int64N(int64(mean))))
		r.completesAt = s.now.Add(time.Hour)
		s.crasherRuns[request.name] = append(s.crasherRuns[request.name], s.now)
		s.partRuns[request.workload.name] = append(s.partRuns[request.workload.name], s.now)
	}
	u.runs = append(u.runs, r)
}

func (s *simulation) isolatedUpstream(d persimmoncross.Digest, upstreams []*simulatedUpstream) *simulatedUpstream {
	var names []string
	for _, u := range upstreams {
		names = append(names, u.instanceID)
	}
	return upstreams[RendezvousIndex(d, names)]
}

// evaluate sends the reports of all entries, evaluates those that have arrived, and applies
// the changes of quarantines.
func (s *simulation) evaluate() {
	if s.now.Sub(s.evaluatedAt) < 100*time.Millisecond {
		return
	}
	s.evaluatedAt = s.now
	for i, rec := range s.entries {
		records, _ := rec.Records(0, s.now)
		jitter := time.Duration(s.random.Int64N(int64(s.jitter) + 1))
		for _, r := range records {
			for i := range r.Crashes {
				r.Crashes[i].At = r.Crashes[i].At.Add(jitter)
			}
		}
		s.pendingReports = append(s.pendingReports, recordReport{
			dueAt:   s.now.Add(s.reportDelay + time.Duration(i)*s.stagger + jitter),
			entry:   rec.VM,
			records: records,
		})
	}
	if s.now.Before(s.evaluationPausedUntil) {
		return
	}
	s.pendingReports = slices.DeleteFunc(s.pendingReports, func(report recordReport) bool {
		due := !s.now.Before(report.dueAt)
		if due {
			s.received[report.entry] = report.records
		}
		return due
	})
	for _, c := range Evaluate(Merge(slices.Collect(maps.Values(s.received)), 4096), s.quarantines, s.now) {
		if s.quarantines[c.Digest].Quarantine != c.Quarantine {
			s.quarantines[c.Digest] = TrackedQuarantine{
				Quarantine: c.Quarantine,
				Since:      s.now,
			}
		}
		if c.Stage == persimmoncross.QuarantineNone {
			delete(s.quarantines, c.Digest)
		}
	}
}

// runsAfterDeadline returns how often a request ran later than 3 s after its third crash.
func (s *simulation) runsAfterDeadline(name string) (n int) {
	if len(s.crashes[name]) < 3 {
		return 0
	}
	for _, at := range s.crasherRuns[name] {
		if at.Sub(s.crashes[name][2]) > 3*time.Second {
			n++
		}
	}
	return n
}

// wrongRefusals returns the number of refused copies of requests that crash no upstream.
func (s *simulation) wrongRefusals() (n int) {
	for name, count := range s.refused {
		if len(s.crasherRuns[name]) == 0 {
			n += count
		}
	}
	return n
}
