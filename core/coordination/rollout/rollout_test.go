package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"persimmoncross"
)

var (
	candidate = persimmoncross.ParseModelVersion("m@2")
	baseline  = persimmoncross.ParseModelVersion("m@1")
)

// The e-value, evaluated after every run of a version at the limit, may reach 1/a in at most
// a share a of the trials.
func TestEValueBoundsFalseAlarmsUnderRepeatedChecks(t *testing.T) {
	const trials, runs, limit, alpha = 2000, 400, 0.05, 0.05
	r := rand.New(rand.NewPCG(1, 2))
	falseAlarms := 0
	for range trials {
		bad := uint64(0)
		for n := uint64(1); n <= runs; n++ {
			if r.Float64() < limit {
				bad++
			}
			if EValue(n, bad, limit) >= 1/alpha {
				falseAlarms++
				break
			}
		}
	}
	if got := float64(falseAlarms) / trials; got > alpha {
		t.Errorf("false alarms in %g of trials, want at most %g", got, alpha)
	}
}

func TestEValueGrowsWithFailedRuns(t *testing.T) {
	for _, c := range []struct {
		name  string
		runs  uint64
		bad   uint64
		least float64
		most  float64
	}{
		{
			name:  "no runs",
			least: 1,
			most:  1,
		},
		{
			name: "failure rate at the limit",
			runs: 1000,
			bad:  50,
			most: 1,
		},
		{
			name:  "all failed",
			runs:  5,
			bad:   5,
			least: 10_000,
			most:  1e30,
		},
		{
			name:  "very many failed",
			runs:  1_000_000,
			bad:   1_000_000,
			least: 1e100,
			most:  1e300,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := EValue(c.runs, c.bad, 0.05); got < c.least || got > c.most {
				t.Errorf("got %g, want %g to %g", got, c.least, c.most)
			}
		})
	}
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name             string
		candidateTallies map[string]Tally
		stageRuns        uint64
		want             Decision
	}{
		{
			name: "too few runs",
			candidateTallies: map[string]Tally{
				"a": {
					Runs: 50,
				},
			},
			want: DecisionWait,
		},
		{
			name: "budget completed with good runs",
			candidateTallies: map[string]Tally{
				"a": {
					Runs:       120,
					FailedRuns: 2,
				},
			},
			stageRuns: 100,
			want:      DecisionAdvance,
		},
		{
			name: "budget completed only with runs of earlier stages",
			candidateTallies: map[string]Tally{
				"a": {
					Runs: 120,
				},
			},
			stageRuns: 70,
			want:      DecisionWait,
		},
		{
			name: "failures",
			candidateTallies: map[string]Tally{
				"a": {
					Runs:       20,
					FailedRuns: 8,
				},
			},
			want: DecisionRollBack,
		},
		{
			name: "failures of one organisation",
			candidateTallies: map[string]Tally{
				"a": {
					Runs: 300,
				},
				"b": {
					Runs:       10,
					FailedRuns: 8,
				},
			},
			want: DecisionRollBack,
		},
		{
			name: "poor answers",
			candidateTallies: map[string]Tally{
				"a": {
					Runs:        30,
					Ratings:     20,
					PoorRatings: 12,
				},
			},
			want: DecisionRollBack,
		},
		{
			name: "slow runs",
			candidateTallies: map[string]Tally{
				"a": {
					Runs:            30,
					DiscordantPairs: 30,
					SlowerPairs:     28,
				},
			},
			want: DecisionRollBack,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := PooledEvidence{
				Candidate: c.candidateTallies,
				Baseline: map[string]Tally{
					"a": {
						Runs:        2000,
						FailedRuns:  20,
						Ratings:     500,
						PoorRatings: 10,
					},
				},
			}
			if got, reason := (Judge{}).Decide(p, 100, c.stageRuns); got != c.want {
				t.Errorf("got %d (%s), want %d", got, reason, c.want)
			}
		})
	}
}

func TestExposeStopsAtBudgetAndAfterFailures(t *testing.T) {
	plan := map[persimmoncross.ModelVersion]Plan{
		candidate: {
			Baseline:    baseline,
			StageBudget: 10,
		},
	}
	t.Run("budget", func(t *testing.T) {
		e := &Collector{
			Clock: persimmoncross.SystemClock{},
		}
		e.SetPlans(plan)
		given := 0
		for range 50 {
			if e.TryExpose(candidate) {
				given++
			}
			if !e.TryExpose(baseline) {
				t.Fatal("TryExpose returned false for the baseline")
			}
		}
		if given != 10 {
			t.Errorf("%d requests exposed, want 10", given)
		}
		// The next stage has its own budget.
		e.SetPlans(map[persimmoncross.ModelVersion]Plan{
			candidate: {
				Baseline:    baseline,
				Stage:       1,
				StageBudget: 10,
			},
		})
		if !e.TryExpose(candidate) {
			t.Error("TryExpose returned false in the next stage")
		}
	})
	t.Run("brake", func(t *testing.T) {
		e := &Collector{
			Clock: persimmoncross.SystemClock{},
		}
		e.SetPlans(plan)
		for range maxConsecutiveFailures {
			e.RecordRun(candidate, "a", true)
		}
		if e.TryExpose(candidate) {
			t.Error("TryExpose returned true for a version whose runs all failed")
		}
	})
}

func TestSlowThresholdComesFromBaselineRuns(t *testing.T) {
	e := &Collector{
		Clock: persimmoncross.SystemClock{},
	}
	e.SetPlans(map[persimmoncross.ModelVersion]Plan{
		candidate: {
			Baseline: baseline,
		},
	})
	for i := range 200 {
		e.RecordFirstToken(baseline, "a", time.Duration(100+i%10)*time.Millisecond)
		e.RecordRun(baseline, "a", false)
	}
	for range 20 {
		e.RecordFirstToken(baseline, "a", 100*time.Millisecond)
		e.RecordRun(baseline, "a", false)
		e.RecordFirstToken(candidate, "a", 300*time.Millisecond)
		e.RecordRun(candidate, "a", false)
	}
	got := e.Tallies()[TallyKey{
		Version:      candidate,
		Organisation: "a",
	}]
	if got.DiscordantPairs != 20 || got.SlowerPairs != 20 {
		t.Errorf("%+v", got)
	}
}

// A slowdown of the upstreams that affects both versions must not count against the new
// version, and neither must slow runs without runs of the old version to compare with. Such a
// slowdown on a busy CI machine caused a good version to be withdrawn.
func TestUpstreamSlowdownIsNotBlamedOnVersion(t *testing.T) {
	e := &Collector{
		Clock: persimmoncross.SystemClock{},
	}
	e.SetPlans(map[persimmoncross.ModelVersion]Plan{
		candidate: {
			Baseline: baseline,
		},
	})
	judge := func() string {
		p := PooledEvidence{
			Candidate: map[string]Tally{},
			Baseline:  map[string]Tally{},
		}
		for s, n := range e.Tallies() {
			p.Add(s, n, candidate, baseline)
		}
		return Judge{}.BadReason(p)
	}
	for i := range 200 {
		e.RecordFirstToken(baseline, "a", time.Duration(100+i%10)*time.Millisecond)
		e.RecordRun(baseline, "a", false)
	}
	for range 40 {
		e.RecordFirstToken(baseline, "a", 300*time.Millisecond)
		e.RecordRun(baseline, "a", false)
		e.RecordFirstToken(candidate, "a", 300*time.Millisecond)
		e.RecordRun(candidate, "a", false)
		if reason := judge(); reason != "" {
			t.Fatalf("rolled back although both versions are slow: %s", reason)
		}
	}
	for range 200 {
		e.RecordFirstToken(candidate, "a", time.Second)
		e.RecordRun(candidate, "a", false)
	}
	if reason := judge(); reason != "" {
		t.Errorf("rolled back without baseline runs to compare with: %s", reason)
	}
	// Slow runs count if the runs of the old version stay fast.
	for range 60 {
		e.RecordFirstToken(baseline, "a", 100*time.Millisecond)
		e.RecordRun(baseline, "a", false)
		e.RecordFirstToken(candidate, "a", time.Second)
		e.RecordRun(candidate, "a", false)
	}
	if judge() == "" {
		t.Error("a slow version was not detected although the baseline is fast")
	}
}
