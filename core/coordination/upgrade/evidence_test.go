package upgrade_test

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// playUpgrade plays an upgrade until it ends, and returns how it ended. evidence returns what the
// leader has been told by the given time.
func playUpgrade(duration time.Duration, evidence func(elapsed time.Duration) upgrade.Evidence) (register.Stage, string) {
	u := register.Upgrade{
		Duration: duration,
		Stage:    register.Prepare,
	}
	limit := upgrade.ExposureLimit{
		Share:         0.15,
		ExtraRequests: 30,
	}
	reason := ""
	for elapsed := time.Duration(0); elapsed <= duration+time.Second && !u.Stage.Ended(); elapsed += 200 * time.Millisecond {
		var why string
		if u.Stage, why = upgrade.NextStage(u, elapsed, limit, evidence(elapsed), true); why != "" {
			reason = why
		}
	}
	return u.Stage, reason
}

func answersOnRoute(answers, failed, oldAnswers, oldFailed uint64) upgrade.Evidence {
	return upgrade.Evidence{
		New: map[string]upgrade.AnswerStats{"r": {
			Answers: answers,
			Failed:  failed,
		}},
		Old: map[string]upgrade.AnswerStats{"r": {
			Answers: oldAnswers,
			Failed:  oldFailed,
		}},
	}
}

// A version of which nothing, or too little to show a bad one, is heard must not take over.
func TestVersionWithoutEvidenceIsNotCompleted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		evidence upgrade.Evidence
	}{
		{"no reports", upgrade.Evidence{}},
		{"no answers of the new version", answersOnRoute(0, 0, 400, 4)},
		{"one answer", answersOnRoute(1, 0, 400, 4)},
		{"three answers, one failed", answersOnRoute(3, 1, 400, 4)},
	} {
		for _, duration := range []time.Duration{8 * time.Second, 20 * time.Second} {
			if stage, reason := playUpgrade(duration, func(time.Duration) upgrade.Evidence { return tt.evidence }); stage != register.Withdrawn {
				t.Errorf("%s, %v: %s (%s), want withdrawn", tt.name, duration, stage, reason)
			}
		}
	}
}

// Failures that have another cause than the version, such as lost paths, must not hide a bad version.
func TestBadVersionBehindFailingOldVersionIsWithdrawn(t *testing.T) {
	for _, tt := range []struct {
		name     string
		evidence upgrade.Evidence
	}{
		{"few old failures", answersOnRoute(40, 20, 400, 4)},
		{"a fifth of the old answers fail", answersOnRoute(40, 20, 400, 80)},
		{"a quarter", answersOnRoute(40, 20, 400, 100)},
		{"a third, and the new version fails half of the rest", answersOnRoute(40, 26, 400, 133)},
	} {
		u := register.Upgrade{
			Duration: 20 * time.Second,
			Stage:    register.Trial,
		}
		limit := upgrade.ExposureLimit{Share: 0.15, ExtraRequests: 30}
		if stage, reason := upgrade.NextStage(u, 5*time.Second, limit, tt.evidence, true); stage != register.Withdrawn {
			t.Errorf("%s: %s in the trial (%s), want withdrawn", tt.name, stage, reason)
		}
	}
}

// The comparison must be with the old version at the same entry and time: where an entry has lost its paths,
// both versions fail.
func TestOldFailuresElsewhereDoNotHideBadVersion(t *testing.T) {
	m := &upgrade.Matcher{}
	now := time.Unix(0, 0)
	evidence := upgrade.Evidence{}
	// Entry b reaches no upstream of the old version for the first two seconds, and sends nothing to the new one.
	for i := range uint64(8) {
		now = now.Add(500 * time.Millisecond)
		m.Begin(now)
		m.Add("a", "r", map[string]upgrade.AnswerStats{"u": {Answers: 2 * (i + 1), Failed: i + 1}}, upgrade.AnswerStats{Answers: 20 * (i + 1)})
		m.Add("b", "r", nil, upgrade.AnswerStats{Answers: 20 * (i + 1), Failed: 20 * min(i+1, 4)})
		evidence = m.Evidence()
	}
	u := register.Upgrade{
		Duration: 20 * time.Second,
		Stage:    register.Trial,
	}
	if stage, reason := upgrade.NextStage(u, 6*time.Second, upgrade.ExposureLimit{Share: 0.15}, evidence, true); stage != register.Withdrawn {
		t.Errorf("%s (%s), want withdrawn", stage, reason)
	}
}

// A good version that runs where the old one fails for another reason must not be withdrawn.
func TestFailuresOfBothVersionsAtOneEntryAreNotBlamedOnNewVersion(t *testing.T) {
	m := &upgrade.Matcher{}
	now := time.Unix(0, 0)
	evidence := upgrade.Evidence{}
	for i := range uint64(8) {
		now = now.Add(500 * time.Millisecond)
		m.Begin(now)
		m.Add("a", "r", map[string]upgrade.AnswerStats{"u": {Answers: 2 * (i + 1), Failed: i + 1}}, upgrade.AnswerStats{Answers: 20 * (i + 1), Failed: 10 * (i + 1)})
		m.Add("b", "r", nil, upgrade.AnswerStats{Answers: 200 * (i + 1)})
		evidence = m.Evidence()
	}
	u := register.Upgrade{
		Duration: 20 * time.Second,
		Stage:    register.Trial,
	}
	if stage, reason := upgrade.NextStage(u, 6*time.Second, upgrade.ExposureLimit{Share: 0.15}, evidence, true); stage != register.Trial {
		t.Errorf("%s (%s), want the trial to go on", stage, reason)
	}
}

// Times that vary too much to exclude a slow version must not complete it.
func TestVersionOfUncertainPaceIsNotCompleted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		new      upgrade.AnswerStats
		complete bool
	}{
		{"as fast as the old one", timedAnswers(30, 0.05, 0.01), true},
		{"no times", upgrade.AnswerStats{Answers: 30}, false},
		{"a quarter slow", timedAnswers(18, 0.12, 0.12), false},
	} {
		stage, reason := playUpgrade(20*time.Second, func(time.Duration) upgrade.Evidence {
			return upgrade.Evidence{
				New: map[string]upgrade.AnswerStats{"r": tt.new},
				Old: map[string]upgrade.AnswerStats{"r": timedAnswers(300, 0.05, 0.01)},
			}
		})
		if complete := stage == register.Completed; complete != tt.complete {
			t.Errorf("%s: %s (%s)", tt.name, stage, reason)
		}
	}
}

// Large counts must neither hide a bad version by their probabilities' underflow, nor make a difference that no caller
// notices a reason to withdraw a good one.
func TestDecisionsWithManyAnswers(t *testing.T) {
	u := register.Upgrade{
		Duration: time.Hour,
		Stage:    register.Shift,
	}
	limit := upgrade.ExposureLimit{Share: 0.15, ExtraRequests: 30}
	for _, tt := range []struct {
		name     string
		evidence upgrade.Evidence
		want     register.Stage
	}{
		{"a fifth fails in place of a twentieth", answersOnRoute(30_000, 6_000, 300_000, 15_000), register.Withdrawn},
		{"half fails in place of a third", answersOnRoute(30_000, 15_000, 300_000, 100_000), register.Withdrawn},
		{"a little more fails", answersOnRoute(30_000, 1_700, 300_000, 15_000), register.Completed},
		{"all of the old version's answers fail", answersOnRoute(3, 0, 300, 300), register.Withdrawn},
	} {
		if stage, reason := upgrade.NextStage(u, time.Hour, limit, tt.evidence, true); stage != tt.want {
			t.Errorf("%s: %s (%s), want %s", tt.name, stage, reason, tt.want)
		}
	}
}

// An upstream of a good version that fails by itself must not be blamed on the version; a bad version fails at all.
func TestFailingUpstreamIsNotBlamedOnVersion(t *testing.T) {
	for _, tt := range []struct {
		name   string
		failed []uint64 // of 10 answers, by upstream
		want   register.Stage
	}{
		{"one upstream of four fails", []uint64{0, 6, 0, 1}, register.Trial},
		{"all upstreams fail", []uint64{4, 6, 5, 3}, register.Withdrawn},
		{"two upstreams, one fails", []uint64{0, 6}, register.Withdrawn},
	} {
		m := &upgrade.Matcher{}
		m.Begin(time.Unix(0, 0))
		byUpstream := map[string]upgrade.AnswerStats{}
		for i, failed := range tt.failed {
			byUpstream[fmt.Sprint("u", i)] = upgrade.AnswerStats{
				Answers: 10,
				Failed:  failed,
			}
		}
		m.Add("a", "r", byUpstream, upgrade.AnswerStats{Answers: 400, Failed: 20})
		u := register.Upgrade{
			Duration: 20 * time.Second,
			Stage:    register.Trial,
		}
		if stage, reason := upgrade.NextStage(u, 6*time.Second, upgrade.ExposureLimit{Share: 0.15}, m.Evidence(), true); stage != tt.want {
			t.Errorf("%s: %s (%s), want %s", tt.name, stage, reason, tt.want)
		}
	}
}
