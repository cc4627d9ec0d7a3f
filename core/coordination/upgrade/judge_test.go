package upgrade_test

import (
	"testing"
	"time"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

func TestDecide(t *testing.T) {
	const route = "r"
	one := func(c upgrade.Count) map[string]upgrade.Count {
		return map[string]upgrade.Count{
			route: c,
		}
	}
	good := upgrade.Pool{
		New: one(upgrade.Count{Runs: 60, Slow: 12}),
		Old: one(upgrade.Count{Runs: 600, Slow: 120}),
	}
	tests := []struct {
		name    string
		stage   register.Stage
		elapsed time.Duration
		pool    upgrade.Pool
		unready bool
		want    register.Stage
	}{
		{name: "a trial goes on", stage: register.Trial, elapsed: 5 * time.Second, pool: good, want: register.Trial},
		{name: "a trial ends after the half", stage: register.Trial, elapsed: 11 * time.Second, pool: good, want: register.Both},
		{name: "not before there are upstreams", stage: register.Trial, elapsed: 11 * time.Second, pool: good, unready: true, want: register.Trial},
		{name: "not before there is evidence", stage: register.Trial, elapsed: 11 * time.Second, want: register.Trial},
		{name: "without traffic in time", stage: register.Trial, elapsed: 13 * time.Second, want: register.Both},
		{name: "too late to begin", stage: register.Trial, elapsed: 21 * time.Second, unready: true, want: register.Withdrawn},
		{name: "both", stage: register.Both, elapsed: 12 * time.Second, pool: good, want: register.Both},
		{name: "shift", stage: register.Both, elapsed: 14 * time.Second, pool: good, want: register.Shift},
		{name: "shift waits for long answers", stage: register.Shift, elapsed: 16 * time.Second, pool: good, want: register.Shift},
		{name: "completed before the time is over", stage: register.Shift, elapsed: 18 * time.Second, pool: good, want: register.Completed},
		{
			// Slow answers of the old version must not hide the failures of the new.
			name: "failures beside slowness on both", stage: register.Trial, elapsed: 3 * time.Second,
			pool: upgrade.Pool{
				New: one(upgrade.Count{Runs: 12, Failed: 5, Slow: 2}),
				Old: one(upgrade.Count{Runs: 100, Slow: 30}),
			},
			want: register.Withdrawn,
		},
		{
			name: "failures on one route only", stage: register.Both, elapsed: 13 * time.Second,
			pool: upgrade.Pool{
				New: map[string]upgrade.Count{"a": {Runs: 300}, "b": {Runs: 20, Failed: 6}},
				Old: map[string]upgrade.Count{"a": {Runs: 300}, "b": {Runs: 300}},
			},
			want: register.Withdrawn,
		},
		{
			name: "slowness", stage: register.Trial, elapsed: 5 * time.Second,
			pool: upgrade.Pool{
				New: one(upgrade.Count{Runs: 30, Slow: 16}),
				Old: one(upgrade.Count{Runs: 300, Slow: 45}),
			},
			want: register.Withdrawn,
		},
		{
			name: "failures that the old version has too", stage: register.Trial, elapsed: 5 * time.Second,
			pool: upgrade.Pool{
				New: one(upgrade.Count{Runs: 40, Failed: 7}),
				Old: one(upgrade.Count{Runs: 400, Failed: 60}),
			},
			want: register.Trial,
		},
		{name: "withdrawn stays", stage: register.Withdrawn, elapsed: 18 * time.Second, pool: good, want: register.Withdrawn},
		{
			name: "completed stays", stage: register.Completed, elapsed: 19 * time.Second,
			pool: upgrade.Pool{New: one(upgrade.Count{Runs: 10, Failed: 10})},
			want: register.Completed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := register.Upgrade{
				Stage:    tt.stage,
				Duration: 20 * time.Second,
			}
			got, why := upgrade.Decide(u, tt.elapsed, tt.pool, !tt.unready)
			if got != tt.want {
				t.Errorf("stage %s (%s), want %s", got, why, tt.want)
			}
		})
	}
}
