package upgrade

import (
	"math"
	"slices"
	"time"
)

const (
	// matchingTime is the time constant with which the old version's answers at an entry lose weight.
	matchingTime = 2 * time.Second
	// routeAnswers is the weight, in answers, of the route's failure rate at all entries. It counts where
	// an entry has few answers of the old version, as during the shift.
	routeAnswers = 2
)

// Conditions under which an upstream's failures are its own. A bad version fails at all its upstreams.
const (
	minOutlierFailures    = 2
	maxOutlierProbability = 0.01 // of so many failures at the rate of the version's other upstreams
	upstreamsPerOutlier   = 3    // of so many upstreams one may be left out
)

// Matcher compares both versions of an upgrade at the same entries and times. A lost path, or another
// disturbance of some entries, makes answers of both versions fail there. It leaves out upstreams of the new
// version that fail much more often than its others. The zero value is empty.
type Matcher struct {
	strata map[stratumKey]*stratum
	// routeRates are the old version's failure rates at all entries, cached for one round.
	routeRates map[string]float64
	now        time.Time
	paces      map[string][]PaceReport // by reporter
}

type stratumKey struct{ reporter, route string }

// stratum is what one entry has reported for one route.
type stratum struct {
	latestOld             AnswerStats
	oldAnswers, oldFailed float64 // of the old version, decayed
	byUpstream            map[string]*matchedStats
}

// matchedStats are the new version's answers at one upstream, and how many of them would have failed on the old
// version.
type matchedStats struct {
	AnswerStats
	expected float64
}

func (s *matchedStats) add(other matchedStats) {
	s.Add(other.AnswerStats)
	s.expected += other.expected
}

// Begin begins a round of reports.
func (m *Matcher) Begin(now time.Time) {
	decay := 1.0
	if !m.now.IsZero() {
		decay = math.Exp(-float64(now.Sub(m.now)) / float64(matchingTime))
	}
	m.now = now
	m.routeRates = map[string]float64{}
	for _, s := range m.strata {
		s.oldAnswers *= decay
		s.oldFailed *= decay
	}
}

// Add adds the reporter's counts since its start for one route: those of the new version by upstream, and those of
// the old version.
func (m *Matcher) Add(reporter, route string, newByUpstream map[string]AnswerStats, oldStats AnswerStats) {
	if m.strata == nil {
		m.strata = map[stratumKey]*stratum{}
	}
	key := stratumKey{
		reporter: reporter,
		route:    route,
	}
	s := m.strata[key]
	if s == nil {
		s = &stratum{
			byUpstream: map[string]*matchedStats{},
		}
		m.strata[key] = s
	}
	s.oldAnswers += increase(oldStats.Answers, s.latestOld.Answers)
	s.oldFailed += increase(oldStats.Failed, s.latestOld.Failed)
	s.latestOld = oldStats
	for upstream, stats := range newByUpstream {
		matched := s.byUpstream[upstream]
		if matched == nil {
			matched = &matchedStats{}
			s.byUpstream[upstream] = matched
		}
		if answers := increase(stats.Answers, matched.Answers); answers > 0 {
			matched.expected += answers * (s.oldFailed + routeAnswers*m.routeRate(route)) / (s.oldAnswers + routeAnswers)
		}
		matched.AnswerStats = stats
	}
}

func increase(current, previous uint64) float64 { return float64(current - min(current, previous)) }

// routeRate returns the old version's failure rate on the route at all entries.
func (m *Matcher) routeRate(route string) float64 {
	if rate, ok := m.routeRates[route]; ok {
		return rate
	}
	total := AnswerStats{}
	for key, s := range m.strata {
		if key.route == route {
			total.Add(s.latestOld)
		}
	}
	rate := total.failureRate()
	m.routeRates[route] = rate
	return rate
}

// Evidence returns the evidence of all reports.
func (m *Matcher) Evidence() Evidence {
	e := Evidence{
		New:      map[string]AnswerStats{},
		Old:      map[string]AnswerStats{},
		Expected: map[string]float64{},
		Outliers: m.outliers(),
		Paces:    m.mergePaces(),
	}
	for key, s := range m.strata {
		if s.latestOld != (AnswerStats{}) {
			total := e.Old[key.route]
			total.Add(s.latestOld)
			e.Old[key.route] = total
		}
		for upstream, stats := range s.byUpstream {
			if stats.AnswerStats == (AnswerStats{}) || slices.Contains(e.Outliers, upstream) {
				continue
			}
			total := e.New[key.route]
			total.Add(stats.AnswerStats)
			e.New[key.route] = total
			e.Expected[key.route] += stats.expected
		}
	}
	return e
}

// outliers returns the upstreams of the new version whose failures are their own, the worst first.
func (m *Matcher) outliers() []string {
	rest := matchedStats{}
	byUpstream := map[string]*matchedStats{}
	for _, s := range m.strata {
		for upstream, stats := range s.byUpstream {
			if byUpstream[upstream] == nil {
				byUpstream[upstream] = &matchedStats{}
			}
			byUpstream[upstream].add(*stats)
			rest.add(*stats)
		}
	}
	most := len(byUpstream) / upstreamsPerOutlier
	var outliers []string
	for len(outliers) < most {
		worst := ""
		for upstream, stats := range byUpstream {
			if worst == "" || stats.excess() > byUpstream[worst].excess() || stats.excess() == byUpstream[worst].excess() && upstream < worst {
				worst = upstream
			}
		}
		stats := byUpstream[worst]
		others := AnswerStats{
			Answers: rest.Answers - stats.Answers,
			Failed:  rest.Failed - stats.Failed,
		}
		othersRate := float64(others.Failed+1) / float64(others.Answers+2)
		if stats.Failed < minOutlierFailures || binomialTail(stats.Failed, stats.Answers, othersRate) > maxOutlierProbability {
			break
		}
		outliers = append(outliers, worst)
		delete(byUpstream, worst)
		rest.AnswerStats = others
	}
	return outliers
}

// excess returns how many more answers failed than were expected to.
func (s *matchedStats) excess() float64 { return float64(s.Failed) - s.expected }
