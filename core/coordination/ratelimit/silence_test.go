package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against requests that were sent to a silent upstream within its limit, and reach it together when it goes on.
func TestSilentUpstreamGetsNoMoreThanItTolerates(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, silence := range []time.Duration{0, 1200 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
		for _, entries := range []int{1, 3, 8, 40} {
			for _, rate := range []float64{2.5, 12, 60} {
				random := rand.New(rand.NewPCG(1, uint64(entries)))
				limiters := make([]Limiter, entries)
				for i := range limiters {
					limiters[i].SetLimit(rate, entries, start, random.Float64())
				}
				silentFrom, silentUntil := start.Add(20*time.Second), start.Add(20*time.Second+silence)
				heard := start
				var arrivals []time.Time
				for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
					silent := now.After(silentFrom) && now.Before(silentUntil)
					if !silent {
						heard = now.Add(-responseDelay)
					}
					for i := range limiters {
						limiters[i].SetHeard(heard, now)
						if !limiters[i].TryAcquire(now) {
							continue
						}
						at := now
						if silent {
							at = silentUntil
						}
						arrivals = append(arrivals, at)
					}
				}
				if len(arrivals) == 0 || arrivals[len(arrivals)-1].Before(silentUntil.Add(10*time.Second)) {
					t.Errorf("silence %v, %d entries, limit %v: nothing is sent after the silence", silence, entries, rate)
				}
				if n, tolerated := mostWithin(arrivals, window), overshoot*rate*window.Seconds()+burst; float64(n) > tolerated {
					t.Errorf("silence %v, %d entries, limit %v: %d requests in %v, %v tolerated", silence, entries, rate, n, window, tolerated)
				}
			}
		}
	}
}

// mostWithin returns the most of the sorted times in a window of the length.
func mostWithin(times []time.Time, length time.Duration) (most int) {
	first := 0
	for last := range times {
		for times[last].Sub(times[first]) >= length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
