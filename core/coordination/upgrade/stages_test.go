package upgrade_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// timedAnswers returns statistics of n answers that took mean seconds plus or minus spread.
func timedAnswers(n int, mean, spread float64) upgrade.AnswerStats {
	c := upgrade.AnswerStats{
		Answers:      uint64(n),
		TimedAnswers: uint64(n),
	}
	for i := range n {
		seconds := mean + spread*(float64(2*(i%2))-1)
		c.TotalSeconds += seconds
		c.TotalSquaredSeconds += seconds * seconds
	}
	return c
}

// evidenceWithSmallRoute returns evidence with one route that has the given few answers, and
// another route that has many.
func evidenceWithSmallRoute(failed, answers, oldFailed, oldAnswers uint64) upgrade.Evidence {
	return upgrade.Evidence{
		New: map[string]upgrade.AnswerStats{
			"few": {
				Answers: answers,
				Failed:  failed,
			},
			"many": {
				Answers: 40,
			},
		},
		Old: map[string]upgrade.AnswerStats{
			"few": {
				Answers: oldAnswers,
				Failed:  oldFailed,
			},
			"many": {
				Answers: 900,
			},
		},
	}
}

func TestNextStage(t *testing.T) {
	const route = "r"
	onRoute := func(c upgrade.AnswerStats) map[string]upgrade.AnswerStats {
		return map[string]upgrade.AnswerStats{
			route: c,
		}
	}
	good := upgrade.Evidence{
		New: onRoute(timedAnswers(60, 0.025, 0.01)),
		Old: onRoute(timedAnswers(600, 0.055, 0.04)),
	}
	// With a share of 0.15 and a duration of 20 s all requests go to the new version after about 19 s.
	tests := []struct {
		name     string
		stage    register.Stage
		elapsed  time.Duration
		evidence upgrade.Evidence
		notReady bool
		want     register.Stage
	}{
		{
			name:    "prepare lasts until the sessions are collected",
			stage:   register.Prepare,
			elapsed: time.Second,
			want:    register.Prepare,
		},
		{
			name:    "the trial begins after prepare",
			stage:   register.Prepare,
			elapsed: 1600 * time.Millisecond,
			want:    register.Trial,
		},
		{
			name:     "the trial continues",
			stage:    register.Trial,
			elapsed:  5 * time.Second,
			evidence: good,
			want:     register.Trial,
		},
		{
			name:     "the trial continues until the remaining exposure allows the shift",
			stage:    register.Trial,
			elapsed:  18 * time.Second,
			evidence: good,
			want:     register.Trial,
		},
		{
			// The counts are from a version that failed 0.45 of the route's answers.
			name:     "two failures among a route's few answers at the trial's end",
			stage:    register.Trial,
			elapsed:  19100 * time.Millisecond,
			evidence: evidenceWithSmallRoute(2, 6, 0, 179),
			want:     register.Withdrawn,
		},
		{
			name:     "two failures among a route's few answers before the trial's end",
			stage:    register.Trial,
			elapsed:  18 * time.Second,
			evidence: evidenceWithSmallRoute(2, 6, 0, 179),
			want:     register.Trial,
		},
		{
			name:     "two failures on a route where the old version fails as well",
			stage:    register.Trial,
			elapsed:  19100 * time.Millisecond,
			evidence: evidenceWithSmallRoute(2, 6, 12, 179),
			want:     register.Shift,
		},
		{
			name:     "one failure among a route's few answers",
			stage:    register.Trial,
			elapsed:  19100 * time.Millisecond,
			evidence: evidenceWithSmallRoute(1, 3, 0, 179),
			want:     register.Shift,
		},
		{
			name:     "two failures on a route without answers of the old version",
			stage:    register.Trial,
			elapsed:  19100 * time.Millisecond,
			evidence: evidenceWithSmallRoute(2, 6, 0, 0),
			want:     register.Shift,
		},
		{
			name:     "the shift after a good trial",
			stage:    register.Trial,
			elapsed:  19100 * time.Millisecond,
			evidence: good,
			want:     register.Shift,
		},
		{
			name:     "no shift before the new version has upstreams",
			stage:    register.Trial,
			elapsed:  19100 * time.Millisecond,
			evidence: good,
			notReady: true,
			want:     register.Trial,
		},
		{
			name:    "no shift without answers",
			stage:   register.Trial,
			elapsed: 19100 * time.Millisecond,
			want:    register.Trial,
		},
		{
			name:    "no answers until the time is over",
			stage:   register.Trial,
			elapsed: 20 * time.Second,
			want:    register.Withdrawn,
		},
		{
			name:     "reports may be missing when the time is over",
			stage:    register.Trial,
			elapsed:  20 * time.Second,
			evidence: upgrade.Evidence{Incomplete: true},
			want:     register.Trial,
		},
		{
			name:     "no completion with few answers",
			stage:    register.Shift,
			elapsed:  19400 * time.Millisecond,
			evidence: answersOnRoute(6, 0, 400, 0),
			want:     register.Shift,
		},
		{
			name:     "few answers when the time is over",
			stage:    register.Shift,
			elapsed:  20 * time.Second,
			evidence: answersOnRoute(6, 0, 400, 0),
			want:     register.Withdrawn,
		},
		{
			name:     "no upstreams until the time is over",
			stage:    register.Trial,
			elapsed:  21 * time.Second,
			notReady: true,
			want:     register.Withdrawn,
		},
		{
			name:     "the shift lasts while the old version's answers continue",
			stage:    register.Shift,
			elapsed:  19200 * time.Millisecond,
			evidence: good,
			want:     register.Shift,
		},
		{
			name:     "completion before the time is over",
			stage:    register.Shift,
			elapsed:  19400 * time.Millisecond,
			evidence: good,
			want:     register.Completed,
		},
		{
			name:    "failures",
			stage:   register.Trial,
			elapsed: 3 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(upgrade.AnswerStats{
					Answers: 12,
					Failed:  5,
				}),
				Old: onRoute(upgrade.AnswerStats{
					Answers: 100,
				}),
			},
			want: register.Withdrawn,
		},
		{
			name:    "failures on one route only",
			stage:   register.Shift,
			elapsed: 19 * time.Second,
			evidence: upgrade.Evidence{
				New: map[string]upgrade.AnswerStats{"a": {
					Answers: 300,
				}, "b": {
					Answers: 20,
					Failed:  6,
				}},
				Old: map[string]upgrade.AnswerStats{"a": {
					Answers: 300,
				}, "b": {
					Answers: 300,
				}},
			},
			want: register.Withdrawn,
		},
		{
			name:    "failures that the old version has too",
			stage:   register.Trial,
			elapsed: 5 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(upgrade.AnswerStats{
					Answers: 40,
					Failed:  7,
				}),
				Old: onRoute(upgrade.AnswerStats{
					Answers: 400,
					Failed:  60,
				}),
			},
			want: register.Trial,
		},
		{
			name:    "slow between events",
			stage:   register.Trial,
			elapsed: 5 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(timedAnswers(14, 0.110, 0.015)),
				Old: onRoute(timedAnswers(300, 0.055, 0.04)),
			},
			want: register.Withdrawn,
		},
		{
			name:    "slow for half of the requests",
			stage:   register.Trial,
			elapsed: 12 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(timedAnswers(30, 0.270, 0.210)),
				Old: onRoute(timedAnswers(300, 0.060, 0.040)),
			},
			want: register.Withdrawn,
		},
		{
			name:    "times that vary much",
			stage:   register.Trial,
			elapsed: 5 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(timedAnswers(12, 0.080, 0.075)),
				Old: onRoute(timedAnswers(300, 0.060, 0.040)),
			},
			want: register.Trial,
		},
		{
			name:    "slow on routes with few answers each",
			stage:   register.Trial,
			elapsed: 9 * time.Second,
			evidence: upgrade.Evidence{
				New: map[string]upgrade.AnswerStats{
					"a": timedAnswers(7, 0.270, 0.210),
					"b": timedAnswers(7, 0.270, 0.210),
				},
				Old: map[string]upgrade.AnswerStats{
					"a": timedAnswers(100, 0.060, 0.040),
					"b": timedAnswers(100, 0.060, 0.040),
				},
			},
			want: register.Withdrawn,
		},
		{
			name:    "much slower after the shift",
			stage:   register.Shift,
			elapsed: 19 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(timedAnswers(30, 0.270, 0.210)),
				Old: onRoute(timedAnswers(300, 0.060, 0.040)),
			},
			want: register.Withdrawn,
		},
		{
			// After the shift the new version has all the load.
			name:    "somewhat slower after the shift",
			stage:   register.Shift,
			elapsed: 19 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(timedAnswers(100, 0.110, 0.015)),
				Old: onRoute(timedAnswers(300, 0.055, 0.04)),
			},
			want: register.Shift,
		},
		{
			name:     "a withdrawn upgrade stays withdrawn",
			stage:    register.Withdrawn,
			elapsed:  18 * time.Second,
			evidence: good,
			want:     register.Withdrawn,
		},
		{
			name:    "a completed upgrade stays completed",
			stage:   register.Completed,
			elapsed: 19 * time.Second,
			evidence: upgrade.Evidence{
				New: onRoute(upgrade.AnswerStats{
					Answers: 10,
					Failed:  10,
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
			got, reason := upgrade.NextStage(u, tt.elapsed, upgrade.ExposureLimit{Share: 0.15}, tt.evidence, !tt.notReady)
			if got != tt.want {
				t.Errorf("stage %s (%s), want %s", got, reason, tt.want)
			}
		})
	}
}

// A version that meets no criterion gets at most the allowed share of the requests, whatever the
// share and the duration are.
func TestExposureStaysWithinLimit(t *testing.T) {
	for _, share := range []float64{0.05, 0.0975, 0.15, 0.3} {
		for _, duration := range []time.Duration{12 * time.Second, 24 * time.Second, 2 * time.Minute} {
			u := register.Upgrade{
				Stage:    register.Prepare,
				Duration: duration,
			}
			exposed := 0.0
			const step = 10 * time.Millisecond
			const requestsPerSecond = 100
			for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
				answers := uint64(exposed * requestsPerSecond * duration.Seconds())
				u.Stage, _ = upgrade.NextStage(u, elapsed, upgrade.ExposureLimit{Share: share}, answersOnRoute(answers, 0, 0, 0), true)
				newShare := upgrade.CanaryShare(duration, share)
				switch u.Stage {
				case register.Prepare:
					newShare = 0
				case register.Shift, register.Completed:
					newShare = 1
				}
				exposed += newShare * float64(step) / float64(duration)
			}
			if u.Stage != register.Completed {
				t.Errorf("share %g of %v: not completed in time: %s", share, duration, u.Stage)
			}
			// The minimum canary share and the completion in time need some exposure.
			if maxExposed := max(share, 0.02+1.06/duration.Seconds()); exposed > maxExposed {
				t.Errorf("share %g of %v: exposure is %.3f", share, duration, exposed)
			}
		}
	}
}

// For a service with few requests, the small share of a trial gives too few answers to
// distinguish a version that fails half of the answers on one route from a good one. One such
// version passed its trial with 14 answers, and got 337 requests after the completion. The extra
// requests of the exposure limit make the shift longer, so that the failures are found.
func TestDecisionsWithFewRequests(t *testing.T) {
	type route struct {
		requestsPerSecond, failureRate float64 // failureRate is the fraction of the old version's answers that fail
	}
	routes := []route{{12.1, 0.004}, {5.27, 0.14}}
	const (
		share, simulations = 0.15, 400
		duration           = 12 * time.Second
		step               = 200 * time.Millisecond
		reportDelay        = 500 * time.Millisecond // time until an answer is reported to the leader
	)
	simulate := func(random *rand.Rand, extraRequests float64, badRates []float64) (completed bool, exposed int, allowed float64) {
		u := register.Upgrade{
			Service:  "s",
			Target:   "v2",
			Duration: duration,
			Stage:    register.Prepare,
		}
		evidence := upgrade.Evidence{New: map[string]upgrade.AnswerStats{}, Old: map[string]upgrade.AnswerStats{}}
		type answer struct {
			reportedAt    time.Duration
			name          string
			isNew, failed bool
		}
		var unreported []answer
		requests := 0
		for elapsed := time.Duration(0); elapsed < duration && !u.Stage.Ended(); elapsed += step {
			for len(unreported) > 0 && unreported[0].reportedAt <= elapsed {
				byRoute := evidence.Old
				if unreported[0].isNew {
					byRoute = evidence.New
				}
				c := byRoute[unreported[0].name]
				c.Answers++
				if unreported[0].failed {
					c.Failed++
				}
				byRoute[unreported[0].name] = c
				unreported = unreported[1:]
			}
			limit := upgrade.ExposureLimit{Share: share, ExtraRequests: extraRequests}
			stage, _ := upgrade.NextStage(u, elapsed, limit, evidence, true)
			shares := limit.TrialShares(u, elapsed, evidence)
			u.Stage, u.Share, u.SessionShare = stage, shares.Requests, shares.Sessions
			newShare := map[register.Stage]float64{register.Trial: shares.Requests, register.Shift: 1}[u.Stage]
			for i, r := range routes {
				for range 20 {
					if random.Float64() > r.requestsPerSecond*step.Seconds()/20 {
						continue
					}
					requests++
					isNew := random.Float64() < newShare
					failureRate := r.failureRate
					if isNew {
						exposed++
						failureRate = 1 - (1-r.failureRate)*(1-badRates[i])
					}
					unreported = append(unreported, answer{elapsed + reportDelay, fmt.Sprint("route ", i), isNew, random.Float64() < failureRate})
				}
			}
		}
		remainingRequests := float64(requests) / 12 * 0.65 // expected until the end of the duration
		return u.Stage == register.Completed, exposed, share*(float64(requests)+remainingRequests) + extraRequests
	}
	for _, tt := range []struct {
		name             string
		extraRequests    float64
		badRates         []float64
		maxWrongOutcomes int // simulations with the wrong outcome
	}{
		{"good", 30, []float64{0, 0}, simulations / 20},
		{"half of all answers fail, and no extra requests", 0, []float64{0.5, 0.5}, simulations / 5},
		{"half of all answers fail", 30, []float64{0.5, 0.5}, 1},
		{"half of one route's answers fail", 30, []float64{0.5, 0}, 4},
		{"half of the other route's answers fail", 30, []float64{0, 0.5}, simulations / 4},
	} {
		random := rand.New(rand.NewPCG(7, 7))
		wrongOutcomes, overexposed := 0, 0
		for range simulations {
			completed, exposed, allowed := simulate(random, tt.extraRequests, tt.badRates)
			if good := tt.badRates[0]+tt.badRates[1] == 0; completed != good {
				wrongOutcomes++
			}
			if tt.extraRequests > 0 && float64(exposed) > allowed {
				overexposed++
			}
		}
		t.Logf("%s: wrong outcome in %d of %d simulations, exposure limit exceeded in %d", tt.name, wrongOutcomes, simulations, overexposed)
		if wrongOutcomes > tt.maxWrongOutcomes {
			t.Errorf("%s: wrong outcome in %d of %d simulations, want at most %d", tt.name, wrongOutcomes, simulations, tt.maxWrongOutcomes)
		}
		if overexposed > 0 {
			t.Errorf("%s: exposure limit exceeded in %d simulations", tt.name, overexposed)
		}
	}
}
