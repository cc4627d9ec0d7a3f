package rollout

import (
	"fmt"
	"maps"
	"slices"

	"persimmoncross"
)

// DefaultAlpha is the chance that a good roll-out is ever withdrawn.
const DefaultAlpha = 0.01

// DefaultMargin is the excess rate of bad runs that makes a version bad.
const DefaultMargin = 0.02

// maxSlowerShare is the share of unlike pairs in which the new version may be the
// slow one: a half if it is as quick as the old one.
const maxSlowerShare = 0.6

// Judge decides on a roll-out.
type Judge struct {
	Alpha float64 // 0 is DefaultAlpha
}

// PooledEvidence is the evidence of all entries on one roll-out.
type PooledEvidence struct {
	Margin    float64
	Candidate map[string]Tally // of the version rolled out, by organisation
	Baseline  map[string]Tally // of the version it replaces
}

// Add adds a tally, if it is about one of the two versions.
func (p PooledEvidence) Add(s TallyKey, t Tally, candidate, baseline persimmoncross.ModelVersion) {
	target := p.Candidate
	switch s.Version {
	case candidate:
	case baseline:
		target = p.Baseline
	default:
		return
	}
	sum := target[s.Organisation]
	sum.Add(t)
	target[s.Organisation] = sum
}

// SumTallies returns the counts over all organisations.
func SumTallies(byOrganisation map[string]Tally) Tally {
	var sum Tally
	for _, t := range byOrganisation {
		sum.Add(t)
	}
	return sum
}

// check is one that is asked of the counts: are bad of runs too many?
type check struct {
	description string
	runs        uint64
	bad         uint64
	limit       float64
	alphaShare  float64 // of the allowed error
}

// BadReason returns why the version is bad, "" if the evidence does not say so.
//
// It is asked whether the version fails, is slow, or is rated poor more often
// than the old one by more than the margin; and whether it fails or is rated
// poor so for one of the organisations. Each question has a quarter of the
// allowed error, the last two kinds together.
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
		t, o := p.Candidate[name], p.Baseline[name]
		list = append(list, check{
			description: "runs of " + name + " failed",
			runs:        t.Runs,
			bad:         t.FailedRuns,
			limit:       upperConfidenceBound(o.Runs, o.FailedRuns) + margin,
			alphaShare:  share,
		}, check{
			description: "answers to " + name + " were rated poor",
			runs:        t.Ratings,
			bad:         t.PoorRatings,
			limit:       upperConfidenceBound(o.Ratings, o.PoorRatings) + margin,
			alphaShare:  share,
		})
	}
	return list
}

// Decision is what becomes of a roll-out.
type Decision uint8

// The decisions.
const (
	DecisionWait     Decision = iota // for more evidence
	DecisionAdvance                  // to the next stage, or to the end
	DecisionRollBack                 // withdraw the version
)

// Decide judges a stage. It is passed when as many runs as the budget have
// ended in it and none of the questions went against the version.
func (j Judge) Decide(p PooledEvidence, budget int, stageRuns uint64) (Decision, string) {
	if reason := j.BadReason(p); reason != "" {
		return DecisionRollBack, reason
	}
	if stageRuns >= uint64(budget) {
		return DecisionAdvance, fmt.Sprintf("%d runs without evidence against the version", stageRuns)
	}
	return DecisionWait, ""
}
