package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// Simulations with various workloads and seeds: a request that crashes upstreams runs at
// most three times later than 3 s after its third crash, and harmless requests are not
// refused (at most maxWrongRefusals copies in all seeds).
func TestSimulation(t *testing.T) {
	t.Parallel()
	others := workload{
		name:     "other",
		interval: 5 * ms,
		distinct: true,
		runTime:  400 * ms,
	}
	frequent := func(runTime time.Duration) workload {
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
		maxWrongRefusals int // limit of wrongly refused copies in all seeds
	}{
		{"rare crashing request", []workload{others, crashing("a", 3*time.Second, 60*ms)}, nil, 0},
		{"rare crashing request that runs for a second", []workload{others, crashing("a", 3*time.Second, time.Second)}, nil, 0},
		{"frequent crashing request", []workload{others, crashing("a", 120*ms, 60*ms)}, nil, 0},
		{"frequent crashing request, no start signal", []workload{withoutStartSignal(others), withoutStartSignal(crashing("a", 120*ms, 30*ms))}, nil, 0},
		{"two frequent crashing requests and a frequent harmless one", []workload{others, frequent(time.Second), crashing("a", 120*ms, 60*ms), crashing("b", 120*ms, 60*ms)}, nil, 0},
		{"two frequent crashing requests and a frequent harmless one, no start signal", []workload{withoutStartSignal(others), withoutStartSignal(frequent(50 * ms)), withoutStartSignal(crashing("a", 120*ms, 30*ms)), withoutStartSignal(crashing("b", 120*ms, 30*ms))}, nil, 0},
		{"crashing request and a frequent long harmless one", []workload{others, frequent(6 * time.Second), crashing("a", 300*ms, 60*ms)}, nil, 0},
		{"crashing request, frequent harmless one, and unrelated crashes", []workload{others, frequent(time.Second), crashing("a", 200*ms, 60*ms)}, crashUpstreams(2, 1500*ms), 0},
		{"many crashing requests in succession", append([]workload{others, frequent(time.Second)}, crashers...), nil, 0},
		{"frequent harmless request and unrelated crashes", []workload{others, frequent(time.Second)}, crashUpstreams(2, 1500*ms), 0},
		{"frequent long harmless request and unrelated crashes", []workload{others, frequent(8 * time.Second)}, crashUpstreams(2, 1500*ms), 0},
		{"frequent harmless request and unrelated crashes, no start signal", []workload{withoutStartSignal(others), withoutStartSignal(frequent(50 * ms))}, crashUpstreams(2, 500*ms), 0},
		{"frequent harmless request and repeated loss of a rack", []workload{others, frequent(4 * time.Second)}, crashUpstreams(6, 2500*ms), 0},
		{"frequent harmless request and repeated loss of all upstreams", []workload{others, frequent(time.Second)}, crashUpstreams(12, 2500*ms), 0},
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
			t.Logf("crashing requests over the bound: %d (at most %d late runs), wrongly refused copies: %d; harmless requests: %d completed, %d failed, %d unavailable", overruns, maxLateRuns, wrongRefusals, completed, failed, unavailable)
			if overruns > 0 {
				t.Errorf("%d crashing requests ran too often later than 3 s after the third crash, up to %d times", overruns, maxLateRuns)
			}
			if wrongRefusals > tt.maxWrongRefusals {
				t.Errorf("%d copies of harmless requests were refused", wrongRefusals)
			}
		})
	}
}

// If forty requests crash upstreams faster than these start, a frequent harmless request is
// disconnected as often as they are, and can't be distinguished from them. Even if it was
// refused, it is served again soon after the crashes stop, because its trial completes.
func TestHarmlessRequestServedAfterCrashStorm(t *testing.T) {
	t.Parallel()
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
			t.Errorf("seed %d: the harmless request was still refused %v before the end of the simulation", seed, s.now.Sub(lastRefused))
		}
	}
	t.Logf("%d copies of the harmless request were refused", wrongRefusals)
}
