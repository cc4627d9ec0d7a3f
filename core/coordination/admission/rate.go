package admission

import "time"

// rateWindow is the time over which dispatches are counted. Callers wait for seconds, and capacity
// changes within seconds.
const rateWindow = 4 * time.Second

// dispatchRate counts the dispatches of the last rateWindow, while something waits. An empty queue
// says nothing about the capacity, so the count restarts when the next request is queued.
type dispatchRate struct {
	since      time.Time // when the queue was last empty; zero while it is
	dispatches []time.Time
}

func (d *dispatchRate) start(now time.Time) { d.since = now }

func (d *dispatchRate) stop() {
	d.since = time.Time{}
	d.dispatches = d.dispatches[:0]
}

func (d *dispatchRate) record(now time.Time) {
	d.prune(now)
	d.dispatches = append(d.dispatches, now)
}

func (d *dispatchRate) prune(now time.Time) {
	old := 0
	for old < len(d.dispatches) && now.Sub(d.dispatches[old]) > rateWindow {
		old++
	}
	d.dispatches = append(d.dispatches[:0], d.dispatches[old:]...)
}

// perSecond returns the rate of dispatches, 0 if it is not known.
func (d *dispatchRate) perSecond(now time.Time) float64 {
	d.prune(now)
	period := min(now.Sub(d.since), rateWindow).Seconds()
	if d.since.IsZero() || period <= 0 {
		return 0
	}
	return float64(len(d.dispatches)) / period
}
