package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// At upstreams with queues, copies of a request wait at several upstreams for seconds and
// crash them long after they were sent, while many other requests run there. A request that
// had caused ten crashes stayed isolated and was not refused until two upstreams had crashed
// while it ran there alone. It ran up to six times later than 3 s after the third crash, in
// 4 of 80 simulations of two crashing requests in succession with a pause of the evaluation.
// Also, harmless requests must not be refused when upstreams crash repeatedly for other
// reasons.
func TestSimulationWithQueues(t *testing.T) {
	t.Parallel()
	crashing := func(name string, interval, startAfter time.Duration, maxRequests int) workload {
		return workload{
			name:        name,
			interval:    interval,
			runTime:     100 * ms,
			crashAfter:  40 * ms,
			startAfter:  startAfter,
			maxRequests: maxRequests,
		}
	}
	crashers := []workload{crashing("a", 900*ms, 3*time.Second, 11), crashing("b", 700*ms, 9*time.Second, 22)}
	pauseEvaluation := func(s *simulation, elapsed time.Duration) {
		if elapsed == 12*time.Second {
			s.evaluationPausedUntil = s.now.Add(1500 * ms)
		}
	}
	crashUpstreams := func(count int, interval time.Duration) func(s *simulation, elapsed time.Duration) {
		return func(s *simulation, elapsed time.Duration) {
			if elapsed > 0 && elapsed%interval == 0 {
				first := s.random.IntN(len(s.upstreams))
				for i := range count {
					s.crash(s.upstreams[(first+i)%len(s.upstreams)])
				}
			}
		}
	}
	tests := []struct {
		name        string
		workloads   []workload
		injectFault func(s *simulation, elapsed time.Duration)
	}{
		{"two crashing requests and a pause of the evaluation", crashers, pauseEvaluation},
		{"repeated unrelated crashes of two upstreams", nil, crashUpstreams(2, 500*ms)},
		{"repeated loss of a rack", nil, crashUpstreams(6, 2500*ms)},
		{"repeated loss of all upstreams", nil, crashUpstreams(12, 2500*ms)},
	}
	for _, tt := range tests {
		for _, noStartSignal := range []bool{false, true} {
			for _, maxQueueTime := range []time.Duration{500 * ms, 2 * time.Second} {
				t.Run(fmt.Sprint(tt.name, ", no start signal ", noStartSignal, ", queues of ", maxQueueTime), func(t *testing.T) {
					workloads := append([]workload{
						{name: "other", interval: 10 * ms, distinct: true, runTime: 400 * ms},
						{name: "hot", interval: 60 * ms, runTime: time.Second},
					}, tt.workloads...)
					for i := range workloads {
						workloads[i].noStartSignal = noStartSignal
					}
					simulateQueues(t, maxQueueTime, workloads, tt.injectFault)
				})
			}
		}
	}
}

func simulateQueues(t *testing.T, maxQueueTime time.Duration, workloads []workload, injectFault func(s *simulation, elapsed time.Duration)) {
	t.Helper()
	overruns, maxLateRuns, wrongRefusals, completed := 0, 0, 0, 0
	for _, seed := range []uint64{11, 14, 26, 33} {
		s := newSimulation(seed)
		s.maxQueueTime = maxQueueTime
		s.run(24*time.Second, workloads, injectFault)
		for name := range s.crasherRuns {
			lateRuns := s.runsAfterDeadline(name)
			maxLateRuns = max(maxLateRuns, lateRuns)
			if lateRuns > 3 {
				overruns++
			}
		}
		wrongRefusals += s.wrongRefusals()
		completed += s.completed["hot"]
	}
	t.Logf("crashing requests over the bound: %d (at most %d late runs), wrongly refused copies: %d, completed frequent requests: %d", overruns, maxLateRuns, wrongRefusals, completed)
	if overruns > 0 {
		t.Errorf("%d crashing requests ran too often later than 3 s after the third crash, up to %d times", overruns, maxLateRuns)
	}
	if wrongRefusals > 0 {
		t.Errorf("%d copies of harmless requests were refused", wrongRefusals)
	}
}
