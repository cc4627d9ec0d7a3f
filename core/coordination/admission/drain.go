package admission

import "time"

// Parameters of a DrainEstimator.
const (
	drainWeight = 0.05 // weight of one answer in the means
	// minAhead is the least queue, as a multiple of the running requests, whose delay is counted.
	// Before that, the noise of the time to the head is larger than the delay.
	minAhead = 0.1
)

// DrainEstimator learns how fast upstreams work through what waits there, from the time to the
// heads of answers. It does not depend on what limits an upstream: slots, memory or prefill. The
// zero value has no data.
type DrainEstimator struct {
	base  float64 // mean time to the head where nothing waited, in seconds
	delay float64 // mean time to the head beyond base where something waited, in seconds
	ahead float64 // mean queue there, as a multiple of the running requests
}

// Record records an answer whose head took the given time. ahead is the number of requests that
// waited at the upstream when the request was sent, as a multiple of those that ran. If the attempt
// ended without a head, it counts only if it took longer than expected.
func (e *DrainEstimator) Record(ahead float64, took time.Duration, headReceived bool) {
	if !headReceived && took <= time.Duration(e.base*float64(time.Second))+time.Duration(ahead*float64(e.HoldTime())) {
		return
	}
	if ahead <= 0 {
		e.base = mean(e.base, took.Seconds(), drainWeight)
		return
	}
	if ahead < minAhead {
		return
	}
	e.delay = mean(e.delay, max(took.Seconds()-e.base, 0), drainWeight)
	e.ahead = mean(e.ahead, ahead, drainWeight)
}

// HoldTime returns the time for which a request holds its place, as far as those that wait for it
// can tell: an upstream with as many waiting as running requests begins a new one after that time.
// It returns 0 without data.
func (e *DrainEstimator) HoldTime() time.Duration {
	if e.ahead == 0 {
		return 0
	}
	return time.Duration(e.delay / e.ahead * float64(time.Second))
}

// mean returns the moving average after a value; the first value starts it.
func mean(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}
