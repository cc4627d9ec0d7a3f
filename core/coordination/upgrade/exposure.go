package upgrade

import (
	"math"
	"time"
)

const (
	// exposureRateWindow is the time over which the rate of requests is measured. It holds several reports of
	// an entry, and a burst shows in it before the shift ends.
	exposureRateWindow = time.Second
	// minRiseErrors is the number of standard errors above the mean from which a rate has risen. Below it, the mean
	// is the better forecast.
	minRiseErrors = 1
	// maxForecastErrors is the number of standard errors that a forecast must have to spare: from a rate that has
	// risen before the shift, from the mean before a shift is taken back.
	maxForecastErrors = 2
)

// Exposure is how many requests were sent to a service during an upgrade, as far as entries have reported them. Each
// attempt counts, since the limit counts what reaches the service.
type Exposure struct {
	New      float64       // requests to the new version
	All      float64       // requests to both versions
	Rate     float64       // of All in the last exposureRateWindow, per second
	MeanRate float64       // of All since the beginning, per second
	Shifted  time.Duration // time since the shift
}

// atEnd returns how many requests the new version is expected to have had at the end of an upgrade if it gets all from
// now on, and how many it may have had.
func (l ExposureLimit) atEnd(e Exposure, remaining time.Duration) (requests, allowed float64) {
	ahead := e.Rate * max(remaining, 0).Seconds()
	requests = e.New + e.Rate*min(e.Shifted, reportDelay).Seconds() + ahead
	return requests, l.Share*(e.All+e.Rate*reportDelay.Seconds()+ahead) + l.ExtraRequests
}

// applies reports whether a limit is set and entries report what it counts.
func (l ExposureLimit) applies(e Exposure) bool { return l != (ExposureLimit{}) && e.All > 0 }

// forecastError returns the standard error of the number of requests in the remaining time: that of the measured rate,
// and the chance of their arrival.
func (e Exposure) forecastError(remaining time.Duration) float64 {
	seconds := max(remaining, 0).Seconds()
	return math.Sqrt(e.Rate * seconds * (1 + seconds/exposureRateWindow.Seconds()))
}

// hasRisen reports whether the rate is above the mean by more than chance.
func (e Exposure) hasRisen() bool {
	return e.Rate > e.MeanRate+minRiseErrors*math.Sqrt(e.MeanRate/exposureRateWindow.Seconds())
}

// allowsShift reports whether the new version stays within the limit if it gets all requests for the remaining time of
// the upgrade.
func (l ExposureLimit) allowsShift(e Exposure, remaining time.Duration) bool {
	if !l.applies(e) {
		return true
	}
	if e.hasRisen() {
		requests, allowed := l.atEnd(e, remaining)
		return requests+maxForecastErrors*e.forecastError(remaining) <= allowed
	}
	e.Rate = e.MeanRate
	requests, allowed := l.atEnd(e, remaining)
	return requests <= maxExposureFraction*allowed
}

// isExceeded reports whether the new version, which gets all requests, will have had more than the limit at the end of
// the upgrade, also if fewer requests come by chance than are expected. While the rate has not risen, the requests so far
// may be many by chance as well.
func (l ExposureLimit) isExceeded(e Exposure, remaining time.Duration) bool {
	if !l.applies(e) {
		return false
	}
	spared := 1.0
	if !e.hasRisen() {
		e.Rate = e.MeanRate
		spared = maxForecastErrors
	}
	requests, allowed := l.atEnd(e, remaining)
	chance := math.Sqrt(e.Rate * max(remaining, 0).Seconds())
	return requests-spared*chance > allowed
}

// ExposureCounter adds up the requests that entries report for one upgrade. The zero value is empty.
type ExposureCounter struct {
	reporters map[string]*reportedRequests
}

// reportedRequests are the requests of one entry since its start.
type reportedRequests struct {
	newRequests float64
	samples     []requestSample // of all requests, at most one of them older than exposureRateWindow
}

type requestSample struct {
	at  time.Time
	all float64
}

// Add sets the reporter's counts since its start.
func (c *ExposureCounter) Add(reporter string, newRequests, all float64, now time.Time) {
	if c.reporters == nil {
		c.reporters = map[string]*reportedRequests{}
	}
	r := c.reporters[reporter]
	if r == nil {
		r = &reportedRequests{}
		c.reporters[reporter] = r
	}
	r.newRequests = newRequests
	if len(r.samples) > 0 && r.latest().all == all {
		return
	}
	r.samples = append(r.samples, requestSample{
		at:  now,
		all: all,
	})
	for len(r.samples) > 1 && now.Sub(r.samples[1].at) >= exposureRateWindow {
		r.samples = r.samples[1:]
	}
}

func (r *reportedRequests) latest() requestSample { return r.samples[len(r.samples)-1] }

// rate returns the reporter's requests per second. After a time without reports it is the mean since the report before,
// since the requests of that time come in one report.
func (r *reportedRequests) rate(now time.Time) float64 {
	base := r.samples[0]
	elapsed := now.Sub(base.at)
	if elapsed <= 0 {
		return 0
	}
	return (r.latest().all - base.all) / max(elapsed, exposureRateWindow).Seconds()
}

// Exposure returns the sums of all reporters, without the time since the shift. elapsed is the time since the beginning
// of the upgrade.
func (c *ExposureCounter) Exposure(elapsed time.Duration, now time.Time) Exposure {
	e := Exposure{}
	for _, r := range c.reporters {
		e.New += r.newRequests
		e.All += r.latest().all
		e.Rate += r.rate(now)
	}
	e.MeanRate = e.All / max(elapsed-reportDelay, reportDelay).Seconds()
	return e
}
