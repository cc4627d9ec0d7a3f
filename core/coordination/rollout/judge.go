package rollout

import (
	"fmt"
	"maps"
	"slices"

	"persimmoncross"
)

// DefaultAlpha is the maximum probability that the rollout of a good version is ever rolled
// back.
const DefaultAlpha = 0.01

// DefaultMargin is the excess of the rate of bad runs over the baseline's that makes a
// version bad.
const DefaultMargin = 0.02

// maxSlowerShare is the largest acceptable share of discordant pairs in which the new version
// is the slow one. The share is a half if the new version is as fast as the old one.
const maxSlowerShare = 0.6

// Judge decides whether a rollout advances.
type Judge struct {
	Alpha float64 // maximum probability of rolling back a good version; 0 means DefaultAlpha
}

// PooledEvidence is the evidence of all entries about one rollout.
type PooledEvidence struct {
	Margin    float64
	Candidate map[string]Tally // tallies of the version being rolled out, by organisation
	Baseline  map[string]Tally // tallies of the version that it replaces, by organisation
}

// Add adds a tally if it belongs to one of the two versions.
func (p PooledEvidence) Add(key TallyKey, t Tally, candidate, baseline persimmoncross.ModelVersion) {
	target := p.Candidate
	switch key.Version {
	case candidate:
	case baseline:
		target = p.Baseline
	default:
		return
	}
	sum := target[key.Organisation]
	sum.Add(t)
	target[key.Organisation] = sum
}

// SumTallies returns the sum of the tallies of all organisations.
func SumTallies(byOrganisation map[string]Tally) Tally {
	var sum Tally
	for _, t := range byOrganisation {
		sum.Add(t)
	}
	return sum
}

// check is a statistical test of whether the number of bad runs exceeds the limit.
type check struct {
	description string
	runs        uint64
	bad         uint64
	limit       float64
	alphaShare  float64 // share of the Judge's Alpha
}

// BadReason returns why the version is bad, or "" if the evidence does not show that.
//
// Three checks over all organisations test whether the version fails more often than the old
// version by more than the margin, whether it is the slow one in too many discordant pairs,
// and whether it gets poor ratings more often than the old version by more than the margin.
// Each of them uses a quarter of Alpha. The checks for failures and poor ratings are repeated
// for each organisation; these together use the last quarter.
func (j Judge) BadReason(p PooledEvidence) string {
	alpha := j.Alpha
	if alpha == 0 {
		alpha = DefaultAlpha
	}
	for _, q := range p.checks() {
		if q.bad > 0 && EValue(q.runs, q.bad, q.limit) >= 1/(alpha*q.alphaShare) {
			return fmt.Sprintf("%d of %d %s, more than the %.3f allowed", q.bad, q.runs, q.description, q.limit)
		}
	}
	return ""
}

func (p PooledEvidence) checks() []check {
	margin := p.Margin
	if margin == 0 {
		margin = DefaultMargin
	}
	candidate, baseline := SumTallies(p.Candidate), SumTallies(p.Baseline)
	list := []check{
		{
			description: "runs failed",
			runs:        candidate.Runs,
			bad:         candidate.FailedRuns,
			limit:       upperConfidenceBound(baseline.Runs, baseline.FailedRuns) + margin,
			alphaShare:  0.25,
		},
		{
			description: "unlike pairs of runs had this version as the slow one",
			runs:        candidate.DiscordantPairs,
			bad:         candidate.SlowerPairs,
			limit:       maxSlowerShare,
			alphaShare:  0.25,
		},
		{
			description: "answers were rated poor",
			runs:        candidate.Ratings,
			bad:         candidate.PoorRatings,
			limit:       upperConfidenceBound(baseline.Ratings, baseline.PoorRatings) + margin,
			alphaShare:  0.25,
		},
	}
	share := 0.125 / float64(max(1, len(p.Candidate)))
	for _, name := range slices.Sorted(maps.Keys(p.Candidate)) {
		t, baselineTally := p.Candidate[name], p.Baseline[name]
		list = append(list, check{
			description: "runs of " + name + " failed",
			runs:        t.Runs,
			bad:         t.FailedRuns,
			limit:       upperConfidenceBound(baselineTally.Runs, baselineTally.FailedRuns) + margin,
			alphaShare:  share,
		}, check{
			description: "answers to " + name + " were rated poor",
			runs:        t.Ratings,
			bad:         t.PoorRatings,
			limit:       upperConfidenceBound(baselineTally.Ratings, baselineTally.PoorRatings) + margin,
			alphaShare:  share,
		})
	}
	return list
}

// Decision is the result of judging a rollout.
type Decision uint8

// The decisions.
const (
	DecisionWait     Decision = iota // wait for more evidence
	DecisionAdvance                  // go to the next stage, or complete the rollout
	DecisionRollBack                 // withdraw the version
)

// Decide judges a stage. The rollout advances when at least as many runs as the budget have
// completed in the stage and no check shows that the version is bad.
func (j Judge) Decide(p PooledEvidence, budget int, stageRuns uint64) (Decision, string) {
	if reason := j.BadReason(p); reason != "" {
		return DecisionRollBack, reason
	}
	if stageRuns >= uint64(budget) {
		return DecisionAdvance, fmt.Sprintf("%d runs without evidence against the version", stageRuns)
	}
	return DecisionWait, ""
}
