package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Reports of the same crash arrive at different times: each entry reports four times a
// second, and behind a proxy that continues to accept connections each entry detects a crash
// only when its list of upstreams has the next instance. When the first report was taken as
// complete, requests that ran beside others seemed to have run alone, a harmless request
// was refused for half a minute, and crashes were attributed to one request though others
// could have caused them too.
func TestSimulationWithStaggeredReports(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name            string
		entries         int
		stagger, jitter time.Duration
		seeds           uint64
	}{
		{"large stagger without jitter", 4, 100 * ms, 0, 100},
		{"stagger and jitter within the intervals of lists and reports", 4, 80 * ms, 30 * ms, 200},
	}
	for _, tt := range tests {
		for _, behindProxy := range []bool{false, true} {
			for _, noStartSignal := range []bool{false, true} {
				t.Run(fmt.Sprint(tt.name, ", behind proxy ", behindProxy, ", no start signal ", noStartSignal), func(t *testing.T) {
					simulateStaggeredReports(t, tt.seeds, func(s *simulation) {
						s.setEntries(tt.entries)
						s.stagger = tt.stagger
						s.jitter = tt.jitter
						s.behindProxy = behindProxy
					}, noStartSignal)
				})
			}
		}
	}
}

// In a large fleet, each entry that has not detected yet that an upstream is down sends one
// request to it, which the proxy in front of it disconnects within some milliseconds of the
// crash. A frequent harmless request has many such disconnects at 68 entries.
func TestSimulationWithManyEntries(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name            string
		entries         int
		stagger, jitter time.Duration
		seeds           uint64
	}{
		{"many entries", 68, 250 * ms / 68, 30 * ms, 20},
		{"maximum number of entries", 380, 250 * ms / 380, 30 * ms, 4},
	}
	for _, tt := range tests {
		for _, behindProxy := range []bool{false, true} {
			for _, noStartSignal := range []bool{false, true} {
				t.Run(fmt.Sprint(tt.name, ", behind proxy ", behindProxy, ", no start signal ", noStartSignal), func(t *testing.T) {
					simulateStaggeredReports(t, tt.seeds, func(s *simulation) {
						s.setEntries(tt.entries)
						s.stagger = tt.stagger
						s.jitter = tt.jitter
						s.behindProxy = behindProxy
					}, noStartSignal)
				})
			}
		}
	}
}

// simulateStaggeredReports simulates two requests that crash upstreams and a harmless one,
// each sent about every 60 ms.
func simulateStaggeredReports(t *testing.T, seeds uint64, configure func(s *simulation), noStartSignal bool) {
	t.Helper()
	workloads := []workload{
		{name: "other", interval: 10 * ms, distinct: true, runTime: 20 * ms},
		{name: "hot", interval: 60 * ms, runTime: 20 * ms},
		{name: "a", interval: 60 * ms, crashAfter: 20 * ms, runTime: 100 * ms},
		{name: "b", interval: 60 * ms, crashAfter: 20 * ms, runTime: 100 * ms},
	}
	for i := range workloads {
		workloads[i].noStartSignal = noStartSignal
	}
	overruns, maxLateRuns, wrongRefusals, affectedRuns := 0, 0, 0, 0
	for seed := range seeds {
		s := newSimulation(seed)
		s.maxQueueTime = 5 * ms
		s.reportDelay = 100 * ms
		configure(s)
		s.run(8*time.Second, workloads, nil)
		for name := range s.crasherRuns {
			lateRuns := s.runsAfterDeadline(name)
			maxLateRuns = max(maxLateRuns, lateRuns)
			if lateRuns > 3 {
				overruns++
			}
		}
		if n := s.wrongRefusals(); n > 0 {
			affectedRuns++
			wrongRefusals += n
		}
	}
	t.Logf("crashing requests over the bound: %d (at most %d late runs), wrongly refused copies: %d in %d simulations", overruns, maxLateRuns, wrongRefusals, affectedRuns)
	if overruns > 0 {
		t.Errorf("%d crashing requests ran too often later than 3 s after the third crash, up to %d times", overruns, maxLateRuns)
	}
	if wrongRefusals > 0 {
		t.Errorf("%d copies of harmless requests were refused in %d simulations", wrongRefusals, affectedRuns)
	}
}
