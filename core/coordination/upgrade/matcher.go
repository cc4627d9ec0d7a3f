package upgrade

import (
	"math"
	"time"
)

const (
	// matchingTime is the time constant with which the old version's answers at an entry lose weight.
	matchingTime = 2 * time.Second
	// routeAnswers is the weight, in answers, of the route's failure rate at all entries. It counts where
	// an entry has few answers of the old version, as during the shift.
	routeAnswers = 2
)

// Matcher compares both versions of an upgrade at the same entries and times. A lost path, or another
// disturbance of some entries, makes answers of both versions fail there. The zero value is empty.
type Matcher struct {
	strata   map[stratumKey]*stratum
	expected map[string]float64 // by route: failures of the new version's answers at the old version's rate
	// routeRates are the old version's failure rates at all entries, cached for one round.
	routeRates map[string]float64
	now        time.Time
}

type stratumKey struct{ reporter, route string }

// stratum is what one entry has reported for one route.
type stratum struct {
	latestNew, latestOld  AnswerStats
	oldAnswers, oldFailed float64 // of the old version, decayed
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

// Add adds the reporter's counts since its start, for one route.
func (m *Matcher) Add(reporter, route string, newStats, oldStats AnswerStats) {
	if m.strata == nil {
		m.strata = map[stratumKey]*stratum{}
		m.expected = map[string]float64{}
	}
	key := stratumKey{
		reporter: reporter,
		route:    route,
	}
	s := m.strata[key]
	if s == nil {
		s = &stratum{}
		m.strata[key] = s
	}
	s.oldAnswers += increase(oldStats.Answers, s.latestOld.Answers)
	s.oldFailed += increase(oldStats.Failed, s.latestOld.Failed)
	newAnswers := increase(newStats.Answers, s.latestNew.Answers)
	s.latestNew, s.latestOld = newStats, oldStats
	if newAnswers == 0 {
		return
	}
	routeRate := m.routeRate(route)
	m.expected[route] += newAnswers * (s.oldFailed + routeAnswers*routeRate) / (s.oldAnswers + routeAnswers)
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
			total.add(s.latestOld)
		}
	}
	rate := float64(total.Failed) / float64(max(total.Answers, 1))
	m.routeRates[route] = rate
	return rate
}

// Evidence returns the evidence of all reports.
func (m *Matcher) Evidence() Evidence {
	e := Evidence{
		New:      map[string]AnswerStats{},
		Old:      map[string]AnswerStats{},
		Expected: m.expected,
	}
	for key, s := range m.strata {
		newStats, oldStats := e.New[key.route], e.Old[key.route]
		newStats.add(s.latestNew)
		oldStats.add(s.latestOld)
		if newStats.Answers > 0 || newStats.TimedAnswers > 0 {
			e.New[key.route] = newStats
		}
		if oldStats.Answers > 0 || oldStats.TimedAnswers > 0 {
			e.Old[key.route] = oldStats
		}
	}
	return e
}
