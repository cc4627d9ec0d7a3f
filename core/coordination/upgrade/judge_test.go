package upgrade_test

import (
	"fmt"
	"math/rand/v2"
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
			got, why := upgrade.Decide(u, tt.elapsed, upgrade.Exposure{Share: 0.15}, tt.pool, !tt.unready)
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
				u.Stage, _ = upgrade.Decide(u, at, upgrade.Exposure{Share: share}, upgrade.Pool{}, true)
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

// A service with few requests: in a trial of a small part of them too few answers tell
// a version that fails half of its answers on one route from a good one. As it was seen:
// 14 answers spoke for it, and after the completion 337 requests went to it. With the
// requests that are allowed beside the share the shift is longer, and shows it.
func TestFewRequests(t *testing.T) {
	type route struct {
		rate, fails float64 // a second; of the old version's answers
	}
	routes := []route{{12.1, 0.004}, {5.27, 0.14}}
	const (
		share, plays = 0.15, 400
		duration     = 12 * time.Second
		step         = 200 * time.Millisecond
		late         = 500 * time.Millisecond // from an answer to the leader
	)
	play := func(random *rand.Rand, slack float64, bad []float64) (completed bool, exposed int, allowed float64) {
		u := register.Upgrade{
			Service:  "s",
			Target:   "v2",
			Duration: duration,
			Stage:    register.Prepare,
		}
		seen := upgrade.Pool{New: map[string]upgrade.Count{}, Old: map[string]upgrade.Count{}}
		type answer struct {
			at         time.Duration
			name       string
			fresh, bad bool
		}
		var under []answer
		all := 0
		for at := time.Duration(0); at < duration && !u.Stage.Ended(); at += step {
			for len(under) > 0 && under[0].at <= at {
				side := seen.Old
				if under[0].fresh {
					side = seen.New
				}
				c := side[under[0].name]
				c.Runs++
				if under[0].bad {
					c.Failed++
				}
				side[under[0].name] = c
				under = under[1:]
			}
			u.Stage, _ = upgrade.Decide(u, at, upgrade.Exposure{Share: share, Slack: slack}, seen, true)
			part := map[register.Stage]float64{register.Trial: upgrade.TrialShare(duration, share), register.Shift: 1}[u.Stage]
			for i, r := range routes {
				for range 20 {
					if random.Float64() > r.rate*step.Seconds()/20 {
						continue
					}
					all++
					fresh := random.Float64() < part
					fails := r.fails
					if fresh {
						exposed++
						fails = 1 - (1-r.fails)*(1-bad[i])
					}
					under = append(under, answer{at + late, fmt.Sprint("route ", i), fresh, random.Float64() < fails})
				}
			}
		}
		rest := float64(all) / 12 * 0.65 // until the end of the time
		return u.Stage == register.Completed, exposed, share*(float64(all)+rest) + slack
	}
	for _, tt := range []struct {
		what  string
		slack float64
		bad   []float64
		most  int // plays that end otherwise than they should
	}{
		{"good", 30, []float64{0, 0}, plays / 20},
		{"half of all answers fail, and no slack", 0, []float64{0.5, 0.5}, plays / 5},
		{"half of all answers fail", 30, []float64{0.5, 0.5}, 1},
		{"half of one route's answers fail", 30, []float64{0.5, 0}, 4},
		{"half of the other's", 30, []float64{0, 0.5}, plays / 4},
	} {
		random := rand.New(rand.NewPCG(7, 7))
		wrong, over := 0, 0
		for range plays {
			completed, exposed, allowed := play(random, tt.slack, tt.bad)
			if good := tt.bad[0]+tt.bad[1] == 0; completed != good {
				wrong++
			}
			if tt.slack > 0 && float64(exposed) > allowed {
				over++
			}
		}
		t.Logf("%s: %d of %d end otherwise, %d over the exposure", tt.what, wrong, plays, over)
		if wrong > tt.most {
			t.Errorf("%s: %d of %d plays end otherwise than they should, at most %d", tt.what, wrong, plays, tt.most)
		}
		if over > 0 {
			t.Errorf("%s: %d plays over the exposure allowed", tt.what, over)
		}
	}
}
