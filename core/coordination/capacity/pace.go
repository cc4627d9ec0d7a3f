// Package capacity estimates what an upstream can do now: its pace, for how long a request holds
// one of its slots, and how many tokens of its memory requests hold. It has no I/O, no locks and
// no clock.
//
// A pace is the time that work takes, as a multiple of the usual time. Upstreams report it with
// their answers. It changes many times a second while neighbours use the same machine, for
// seconds while the upstream is slow, and differs lastingly between machines. Single placements
// follow the brief pace. The homes of shared prefixes follow the lasting pace, because a home
// that moves costs the prefill of its prefixes again.
package capacity

import (
	"math"
	"time"
)

// Time constants of the means of reported paces.
const (
	// briefTimeConstant is how fast the last report loses its weight against recentTimeConstant's
	// mean. Neighbours use a machine for tenths of a second.
	briefTimeConstant = 500 * time.Millisecond
	// recentTimeConstant is of the mean that a lasting pace changes to.
	recentTimeConstant = 2 * time.Second
	// lastingTimeConstant is of the mean that decides whether a lasting pace changes. An upstream
	// that is slow for two or three seconds keeps its homes.
	lastingTimeConstant = 10 * time.Second
	// staleTimeConstant is how fast a brief pace returns to the usual without reports, so that an
	// upstream that was slow gets requests again and reports.
	staleTimeConstant = 5 * time.Second
	// maxSampleInterval limits the weight of one report after a time without any.
	maxSampleInterval = time.Second
)

// Classes of lasting paces. Most entries weigh an upstream's homes alike although each observes a
// slightly different mean, because classes are far apart.
const (
	classesPerOctave = 2.0 // a class is 1.41 times as slow as the next
	// maxClassDeviation is by how many classes the mean may differ before the class changes. It is
	// four standard deviations of the mean where a neighbour uses a seventh of the time, and half a
	// class more because a class is rounded.
	maxClassDeviation = 1.0
	minClassReports   = 4 // reports before the first class
	// minClassTime is the time that the reports before the first class cover. A neighbour does not
	// use a machine that long.
	minClassTime = 700 * time.Millisecond
)

// minReportInterval is the least time between two reports that count, since the report of one
// response reaches an entry directly and by way of controllers, which round its age.
const minReportInterval = 50 * time.Millisecond

// Pace is the pace of one instance of an upstream. The zero value has no reports.
type Pace struct {
	reports  int
	firstAt  time.Time
	lastAt   time.Time
	latest   float64 // the last report, in octaves above the usual
	recent   float64 // mean over recentTimeConstant, in octaves
	lasting  float64 // mean over lastingTimeConstant, in octaves
	class    float64
	hasClass bool
}

// Change is a change of an upstream's lasting pace.
type Change struct {
	Was float64 // as a multiple of the usual, 0 if it was not known
	Now float64
}

// Record records a pace that was reported at the given time, as a multiple of the usual. It
// returns the change of the lasting pace and true if there is one. A report that is not newer
// than the last one is ignored.
func (p *Pace) Record(pace float64, at time.Time) (Change, bool) {
	if pace <= 0 || p.reports > 0 && at.Sub(p.lastAt) < minReportInterval {
		return Change{}, false
	}
	octaves := math.Log2(pace)
	interval := min(at.Sub(p.lastAt), maxSampleInterval)
	p.reports++
	if p.reports == 1 {
		p.firstAt = at
		interval = maxSampleInterval
	}
	p.latest = octaves
	p.recent += weight(interval, recentTimeConstant, p.reports) * (octaves - p.recent)
	p.lasting += weight(interval, lastingTimeConstant, p.reports) * (octaves - p.lasting)
	p.lastAt = at
	return p.updateClass(at)
}

// updateClass changes the class if the lasting mean has left it. The new class is that of the
// recent mean, so that a lasting change moves homes once and not class by class.
func (p *Pace) updateClass(now time.Time) (Change, bool) {
	if !p.hasClass {
		if p.reports < minClassReports || now.Sub(p.firstAt) < minClassTime {
			return Change{}, false
		}
		p.hasClass = true
		p.class = math.Round(p.lasting * classesPerOctave)
		return Change{
			Now: p.Lasting(),
		}, true
	}
	left := math.Abs(p.lasting*classesPerOctave-p.class) > maxClassDeviation
	next := math.Round(p.recent * classesPerOctave)
	if !left || next == p.class {
		return Change{}, false
	}
	was := p.Lasting()
	p.class = next
	p.lasting = p.recent
	return Change{
		Was: was,
		Now: p.Lasting(),
	}, true
}

// Lasting returns the lasting pace as a multiple of the usual, 0 if it is not known yet.
func (p *Pace) Lasting() float64 {
	if !p.hasClass {
		return 0
	}
	return math.Exp2(p.class / classesPerOctave)
}

// Brief returns the pace now, as a multiple of the usual, 0 if none was reported. Without new
// reports it goes from the last one to the recent mean, and then to usual, which is the mean
// pace of the service's upstreams.
func (p *Pace) Brief(usual float64, now time.Time) float64 {
	if p.reports == 0 {
		return 0
	}
	age := max(now.Sub(p.lastAt), 0)
	octaves := p.recent + decay(age, briefTimeConstant)*(p.latest-p.recent)
	if usual > 0 {
		octaves = math.Log2(usual) + decay(age, staleTimeConstant)*(octaves-math.Log2(usual))
	}
	return math.Exp2(octaves)
}

// weight returns the weight of a sample after an interval. The first samples weigh alike.
func weight(interval, timeConstant time.Duration, samples int) float64 {
	return max(1-decay(interval, timeConstant), 1/float64(samples))
}

func decay(interval, timeConstant time.Duration) float64 {
	return math.Exp(-interval.Seconds() / timeConstant.Seconds())
}
