package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Entries are not heard of the same ends at the same moment: each tells four times a
// second, and where something before the upstreams goes on taking connections, each
// learns of an end when its list tells of the next life. What the first told is not all:
// requests that were cut beside others looked as if they had been alone, one that ended
// nothing was refused for half a minute, and what others ended too counted as one's own.
func TestSimulationWithStaggeredReports(t *testing.T) {
	tests := []struct {
		name            string
		entries         int
		stagger, jitter time.Duration
		seeds           uint64
	}{
		{"one after the other", 4, 100 * ms, 0, 100},
		{"within the pauses of lists and accounts", 4, 80 * ms, 30 * ms, 200},
	}
	for _, tt := range tests {
		for _, behindProxy := range []bool{false, true} {
			for _, noStartSignal := range []bool{false, true} {
				t.Run(fmt.Sprint(tt.name, ", fronted ", behindProxy, ", plain ", noStartSignal), func(t *testing.T) {
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

// The same at sizes of fleets: each entry that does not know yet that an upstream is down
// sends to it once, and is cut by what stands before it within some milliseconds of the
// end. A harmless request that is sent often has many such cuts at 68 entries.
func TestSimulationWithManyEntries(t *testing.T) {
	tests := []struct {
		name            string
		entries         int
		stagger, jitter time.Duration
		seeds           uint64
	}{
		{"many entries", 68, 250 * ms / 68, 30 * ms, 20},
		{"as many as are designed for", 380, 250 * ms / 380, 30 * ms, 4},
	}
	for _, tt := range tests {
		for _, behindProxy := range []bool{false, true} {
			for _, noStartSignal := range []bool{false, true} {
				t.Run(fmt.Sprint(tt.name, ", fronted ", behindProxy, ", plain ", noStartSignal), func(t *testing.T) {
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

// simulateStaggeredReports plays two requests that end upstreams, each 60 ms, beside a harmless one.
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
	t.Logf("late %d (most %d), wronged %d in %d plays", overruns, maxLateRuns, wrongRefusals, affectedRuns)
	if overruns > 0 {
		t.Errorf("%d requests that end upstreams ran on, up to %d times", overruns, maxLateRuns)
	}
	if wrongRefusals > 0 {
		t.Errorf("%d copies of requests that end nothing were refused in %d plays", wrongRefusals, affectedRuns)
	}
}
