package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// Plays of many kinds and seeds: a request that ends upstreams runs three times at
// most later than 3 s after the third end, and others are refused as good as never:
// none where nothing ends upstreams but they themselves.
func TestSimulation(t *testing.T) {
	others := workload{
		name:     "other",
		interval: 5 * ms,
		distinct: true,
		runTime:  400 * ms,
	}
	hot := func(runTime time.Duration) workload {
		return workload{
			name:     "hot",
			interval: 60 * ms,
			runTime:  runTime,
		}
	}
	crashing := func(name string, interval, crashAfter time.Duration) workload {
		return workload{
			name:       name,
			interval:   interval,
			runTime:    100 * ms,
			crashAfter: crashAfter,
			startAfter: 500 * ms,
		}
	}
	withoutStartSignal := func(w workload) workload {
		w.noStartSignal = true
		return w
	}
	crashUpstreams := func(count int, interval time.Duration) func(*simulation, time.Duration) {
		return func(s *simulation, elapsed time.Duration) {
			if elapsed > 0 && elapsed%interval == 0 {
				first := s.random.IntN(len(s.upstreams))
				for i := range count {
					s.crash(s.upstreams[(first+i)%len(s.upstreams)])
				}
			}
		}
	}
	var crashers []workload
	for i := range 6 {
		w := crashing(fmt.Sprint("killer ", i), 700*ms, 40*ms)
		w.startAfter = time.Duration(i) * 2500 * ms
		w.maxRequests = 8
		crashers = append(crashers, w)
	}
	tests := []struct {
		name             string
		workloads        []workload
		injectFault      func(*simulation, time.Duration)
		maxWrongRefusals int // requests refused wrongly in all seeds, at most
	}{
		{"a slow one", []workload{others, crashing("a", 3*time.Second, 60*ms)}, nil, 0},
		{"a slow one that works for a second", []workload{others, crashing("a", 3*time.Second, time.Second)}, nil, 0},
		{"a fast one", []workload{others, crashing("a", 120*ms, 60*ms)}, nil, 0},
		{"a fast plain one", []workload{withoutStartSignal(others), withoutStartSignal(crashing("a", 120*ms, 30*ms))}, nil, 0},
		{"two fast ones and a hot one", []workload{others, hot(time.Second), crashing("a", 120*ms, 60*ms), crashing("b", 120*ms, 60*ms)}, nil, 0},
		{"two fast ones and a hot one, plain", []workload{withoutStartSignal(others), withoutStartSignal(hot(50 * ms)), withoutStartSignal(crashing("a", 120*ms, 30*ms)), withoutStartSignal(crashing("b", 120*ms, 30*ms))}, nil, 0},
		{"one and a hot one that takes long", []workload{others, hot(6 * time.Second), crashing("a", 300*ms, 60*ms)}, nil, 0},
		{"one and a hot one, while upstreams end by themselves", []workload{others, hot(time.Second), crashing("a", 200*ms, 60*ms)}, crashUpstreams(2, 1500*ms), 0},
		{"many one after the other", append([]workload{others, hot(time.Second)}, crashers...), nil, 0},
		{"a hot one, and upstreams end by themselves", []workload{others, hot(time.Second)}, crashUpstreams(2, 1500*ms), 0},
		{"a hot one that takes long, and upstreams end by themselves", []workload{others, hot(8 * time.Second)}, crashUpstreams(2, 1500*ms), 0},
		{"a hot plain one, and upstreams end by themselves", []workload{withoutStartSignal(others), withoutStartSignal(hot(50 * ms))}, crashUpstreams(2, 500*ms), 0},
		{"a hot one, and racks are lost", []workload{others, hot(4 * time.Second)}, crashUpstreams(6, 2500*ms), 0},
		{"a hot one, and all is lost again and again", []workload{others, hot(time.Second)}, crashUpstreams(12, 2500*ms), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			overruns, maxLateRuns, wrongRefusals, completed, failed, unavailable := 0, 0, 0, 0, 0, 0
			for seed := range uint64(3) {
				s := newSimulation(seed)
				s.run(15*time.Second, tt.workloads, tt.injectFault)
				for name := range s.crasherRuns {
					lateRuns := s.runsAfterDeadline(name)
					maxLateRuns = max(maxLateRuns, lateRuns)
					if lateRuns > 3 {
						overruns++
					}
				}
				wrongRefusals += s.wrongRefusals()
				completed += s.completed["other"] + s.completed["hot"]
				failed += s.failed["other"] + s.failed["hot"]
				unavailable += s.unavailable["other"] + s.unavailable["hot"]
			}
			t.Logf("late %d (most %d), wronged %d, whole %d, cut %d, turned away %d", overruns, maxLateRuns, wrongRefusals, completed, failed, unavailable)
			if overruns > 0 {
				t.Errorf("%d requests that end upstreams ran on, up to %d times", overruns, maxLateRuns)
			}
			if wrongRefusals > tt.maxWrongRefusals {
				t.Errorf("%d copies of requests that end nothing were refused", wrongRefusals)
			}
		})
	}
}

// Where forty requests end upstreams faster than these start, one that is sent often
// is cut as often as they, and can't be told from them. Whatever it was taken for, it
// is served again soon after the storm is over: it passes its trial.
func TestHarmlessRequestServedAfterCrashStorm(t *testing.T) {
	workloads := []workload{
		{
			name:     "other",
			interval: 5 * ms,
			distinct: true,
			runTime:  400 * ms,
		},
		{
			name:     "hot",
			interval: 60 * ms,
			runTime:  time.Second,
		},
	}
	for i := range 40 {
		workloads = append(workloads, workload{
			name:        fmt.Sprint("killer ", i),
			interval:    700 * ms,
			runTime:     100 * ms,
			crashAfter:  40 * ms,
			startAfter:  time.Duration(i) * 200 * ms,
			maxRequests: 8,
		})
	}
	wrongRefusals := 0
	for seed := range uint64(2) {
		s := newSimulation(seed)
		s.run(55*time.Second, workloads, nil)
		wrongRefusals += s.refused["hot"]
		if lastRefused := s.lastRefused["hot"]; !lastRefused.IsZero() && s.now.Sub(lastRefused) < 10*time.Second {
			t.Errorf("seed %d: it was still refused %v before the end", seed, s.now.Sub(lastRefused))
		}
	}
	t.Logf("%d copies of it were refused", wrongRefusals)
}
