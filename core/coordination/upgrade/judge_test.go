package upgrade_test

import (
	"testing"
	"time"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// times returns a count of answers that took the seconds, give or take spread.
func times(n int, mean, spread float64) upgrade.Count {
	c := upgrade.Count{
		Runs:  uint64(n),
		Timed: uint64(n),
	}
	for i := range n {
		x := mean + spread*(float64(2*(i%2))-1)
		c.Time += x
		c.Square += x * x
	}
	return c
}

// few is the evidence on one route with few answers, and on another with many.
func few(failed, runs, oldFailed, oldRuns uint64) upgrade.Pool {
	return upgrade.Pool{
		New: map[string]upgrade.Count{
			"few": {
				Runs:   runs,
				Failed: failed,
			},
			"many": {
				Runs: 40,
			},
		},
		Old: map[string]upgrade.Count{
			"few": {
				Runs:   oldRuns,
				Failed: oldFailed,
			},
			"many": {
				Runs: 900,
			},
		},
	}
}

func TestDecide(t *testing.T) {
	const route = "r"
	one := func(c upgrade.Count) map[string]upgrade.Count {
		return map[string]upgrade.Count{
			route: c,
		}
	}
	good := upgrade.Pool{
		New: one(times(60, 0.025, 0.01)),
		Old: one(times(600, 0.055, 0.04)),
	}
	// 0.15 of 20 s: all requests go to the new version after 19 s.
	tests := []struct {
		name    string
		stage   register.Stage
		elapsed time.Duration
		pool    upgrade.Pool
		unready bool
		want    register.Stage
	}{
		{
			name:    "sessions are collected",
			stage:   register.Prepare,
			elapsed: time.Second,
			want:    register.Prepare,
		},
		{
			name:    "then the trial begins",
			stage:   register.Prepare,
			elapsed: 1600 * time.Millisecond,
			want:    register.Trial,
		},
		{
			name:    "a trial goes on",
			stage:   register.Trial,
			elapsed: 5 * time.Second,
			pool:    good,
			want:    register.Trial,
		},
		{
			name:    "until the exposure that is left is enough",
			stage:   register.Trial,
			elapsed: 18 * time.Second,
			pool:    good,
			want:    register.Trial,
		},
		{
			// As it was seen once: the version failed 0.45 of the route's answers.
			name:    "but not where two of a route's few answers failed",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			pool:    few(2, 6, 0, 179),
			want:    register.Withdrawn,
		},
		{
			name:    "which is no mark before the trial's end",
			stage:   register.Trial,
			elapsed: 18 * time.Second,
			pool:    few(2, 6, 0, 179),
			want:    register.Trial,
		},
		{
			name:    "nor where the old version's fail as well",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			pool:    few(2, 6, 12, 179),
			want:    register.Shift,
		},
		{
			name:    "nor is one",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			pool:    few(1, 3, 0, 179),
			want:    register.Shift,
		},
		{
			name:    "nor are two where nothing is known of the old version",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			pool:    few(2, 6, 0, 0),
			want:    register.Shift,
		},
		{
			name:    "then all requests go",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			pool:    good,
			want:    register.Shift,
		},
		{
			name:    "not before there are upstreams",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			pool:    good,
			unready: true,
			want:    register.Trial,
		},
		{
			name:    "without traffic too",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			want:    register.Shift,
		},
		{
			name:    "too late to begin",
			stage:   register.Trial,
			elapsed: 21 * time.Second,
			unready: true,
			want:    register.Withdrawn,
		},
		{
			name:    "the old version's answers go on",
			stage:   register.Shift,
			elapsed: 19200 * time.Millisecond,
			pool:    good,
			want:    register.Shift,
		},
		{
			name:    "completed before the time is over",
			stage:   register.Shift,
			elapsed: 19400 * time.Millisecond,
			pool:    good,
			want:    register.Completed,
		},
		{
			name:    "failures",
			stage:   register.Trial,
			elapsed: 3 * time.Second,
			pool: upgrade.Pool{
				New: one(upgrade.Count{
					Runs:   12,
					Failed: 5,
				}),
				Old: one(upgrade.Count{
					Runs: 100,
				}),
			},
			want: register.Withdrawn,
		},
		{
			name:    "failures on one route only",
			stage:   register.Shift,
			elapsed: 19 * time.Second,
			pool: upgrade.Pool{
				New: map[string]upgrade.Count{"a": {
					Runs: 300,
				}, "b": {
					Runs:   20,
					Failed: 6,
				}},
				Old: map[string]upgrade.Count{"a": {
					Runs: 300,
				}, "b": {
					Runs: 300,
				}},
			},
			want: register.Withdrawn,
		},
		{
			name:    "failures that the old version has too",
			stage:   register.Trial,
			elapsed: 5 * time.Second,
			pool: upgrade.Pool{
				New: one(upgrade.Count{
					Runs:   40,
					Failed: 7,
				}),
				Old: one(upgrade.Count{
					Runs:   400,
					Failed: 60,
				}),
			},
			want: register.Trial,
		},
		{
			name:    "slow between events",
			stage:   register.Trial,
			elapsed: 5 * time.Second,
			pool: upgrade.Pool{
				New: one(times(14, 0.110, 0.015)),
				Old: one(times(300, 0.055, 0.04)),
			},
			want: register.Withdrawn,
		},
		{
			name:    "slow for a half of the requests",
			stage:   register.Trial,
			elapsed: 12 * time.Second,
			pool: upgrade.Pool{
				New: one(times(30, 0.270, 0.210)),
				Old: one(times(300, 0.060, 0.040)),
			},
			want: register.Withdrawn,
		},
		{
			name:    "times that differ much among themselves",
			stage:   register.Trial,
			elapsed: 5 * time.Second,
			pool: upgrade.Pool{
				New: one(times(12, 0.080, 0.075)),
				Old: one(times(300, 0.060, 0.040)),
			},
			want: register.Trial,
		},
		{
			name:    "slow on routes with few answers each",
			stage:   register.Trial,
			elapsed: 9 * time.Second,
			pool: upgrade.Pool{
				New: map[string]upgrade.Count{
					"a": times(7, 0.270, 0.210),
					"b": times(7, 0.270, 0.210),
				},
				Old: map[string]upgrade.Count{
					"a": times(100, 0.060, 0.040),
					"b": times(100, 0.060, 0.040),
				},
			},
			want: register.Withdrawn,
		},
		{
			name:    "found slow after the shift",
			stage:   register.Shift,
			elapsed: 19 * time.Second,
			pool: upgrade.Pool{
				New: one(times(30, 0.270, 0.210)),
				Old: one(times(300, 0.060, 0.040)),
			},
			want: register.Withdrawn,
		},
		{
			// The new version has all the load then.
			name:    "slower after the shift",
			stage:   register.Shift,
			elapsed: 19 * time.Second,
			pool: upgrade.Pool{
				New: one(times(100, 0.110, 0.015)),
				Old: one(times(300, 0.055, 0.04)),
			},
			want: register.Shift,
		},
		{
			name:    "withdrawn stays",
			stage:   register.Withdrawn,
			elapsed: 18 * time.Second,
			pool:    good,
			want:    register.Withdrawn,
		},
		{
			name:    "completed stays",
			stage:   register.Completed,
			elapsed: 19 * time.Second,
			pool: upgrade.Pool{
				New: one(upgrade.Count{
					Runs:   10,
					Failed: 10,
				}),
			},
			want: register.Completed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := register.Upgrade{
				Stage:    tt.stage,
				Duration: 20 * time.Second,
			}
			got, why := upgrade.Decide(u, tt.elapsed, 0.15, tt.pool, !tt.unready)
			if got != tt.want {
				t.Errorf("stage %s (%s), want %s", got, why, tt.want)
			}
		})
	}
}

// A version that shows no mark gets no more than the share allowed, whatever the
// share and the time.
func TestExposureStaysWithinItsShare(t *testing.T) {
	for _, share := range []float64{0.05, 0.0975, 0.15, 0.3} {
		for _, duration := range []time.Duration{12 * time.Second, 24 * time.Second, 2 * time.Minute} {
			u := register.Upgrade{
				Stage:    register.Prepare,
				Duration: duration,
			}
			exposed := 0.0
			const step = 10 * time.Millisecond
			for at := time.Duration(0); at < duration; at += step {
				u.Stage, _ = upgrade.Decide(u, at, share, upgrade.Pool{}, true)
				part := upgrade.TrialShare(duration, share)
				switch u.Stage {
				case register.Prepare:
					part = 0
				case register.Shift, register.Completed:
					part = 1
				}
				exposed += part * float64(step) / float64(duration)
			}
			if u.Stage != register.Completed {
				t.Errorf("share %g of %v: not completed in time: %s", share, duration, u.Stage)
			}
			// The least trial and the completion in time need some.
			if most := max(share, 0.02+1.06/duration.Seconds()); exposed > most {
				t.Errorf("share %g of %v: exposed to %.3f", share, duration, exposed)
			}
		}
	}
}
