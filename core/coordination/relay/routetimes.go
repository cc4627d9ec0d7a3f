package relay

import (
	"sync"
	"time"
)

// routeTimeWindow is the length of one of the two windows in which the times of requests are kept.
const routeTimeWindow = 30 * time.Second

// routeTimes keeps how long the requests of each route took at most in the last one to two windows.
type routeTimes struct {
	mu       sync.Mutex // guards all below
	begun    time.Time  // of the present window
	present  map[string]time.Duration
	previous map[string]time.Duration
}

// record records that a request of the route took the given time until now.
func (t *routeTimes) record(route string, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	t.present[route] = max(t.present[route], took)
}

// longest returns how long a request of the route took at most, and whether any is known.
func (t *routeTimes) longest(route string, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	present, known := t.present[route]
	previous, knownBefore := t.previous[route]
	return max(present, previous), known || knownBefore
}

func (t *routeTimes) rotate(now time.Time) {
	switch age := now.Sub(t.begun); {
	case t.present == nil || age >= 2*routeTimeWindow:
		t.previous = nil
	case age >= routeTimeWindow:
		t.previous = t.present
	default:
		return
	}
	t.present = map[string]time.Duration{}
	t.begun = now
}
