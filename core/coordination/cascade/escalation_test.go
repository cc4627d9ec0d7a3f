package cascade

import (
	"math"
	"testing"
	"time"
)

// A queue lowers what is asked of an answer, a long prompt as far as it makes
// others wait; what would come late is not waited for.
func TestLoadThresholdFactor(t *testing.T) {
	tests := []struct {
		name             string
		timeToFirstToken time.Duration
		prefillTime      time.Duration
		slotUtilization  float64
		objectiveLeft    time.Duration
		want             float64
	}{
		{"nothing is known", 0, 0, 0, time.Second, 1},
		{"no queue", 100 * time.Millisecond, 0, 0, time.Second, 1},
		{"a long prompt and nobody there", 800 * time.Millisecond, 800 * time.Millisecond, 0, time.Second, 1},
		{"a long prompt and some there", 800 * time.Millisecond, 800 * time.Millisecond, 0.25, time.Second, 0.85},
		{"a long prompt before a crowd", 600 * time.Millisecond, 600 * time.Millisecond, 0.5, time.Second, 0.7},
		{"no more than in full", 600 * time.Millisecond, 600 * time.Millisecond, 1.5, time.Second, 0.7},
		{"a queue up to the easy part", 200 * time.Millisecond, 0, 1, time.Second, 1},
		{"a queue of half of the rest", 600 * time.Millisecond, 0, 0, time.Second, 0.7},
		{"a queue and a long prompt", 800 * time.Millisecond, 200 * time.Millisecond, 0, time.Second, 0.7},
		{"a queue of all the time", time.Second, 0, 0, time.Second, minThresholdFactor},
		{"a long prompt that is just in time", time.Second, time.Second, 0, time.Second, 1},
		{"a prompt too long to be in time", 1100 * time.Millisecond, 1100 * time.Millisecond, 0, time.Second, minThresholdFactor},
		{"far too late", time.Minute, 0, 0, time.Second, minThresholdFactor},
		{"late already", time.Second, 0, 0, -time.Second, minThresholdFactor},
	}
	for _, tt := range tests {
		conditions := EscalationConditions{
			TimeToFirstToken: tt.timeToFirstToken,
			PrefillTime:      tt.prefillTime,
			SlotUtilization:  tt.slotUtilization,
			ObjectiveLeft:    tt.objectiveLeft,
		}
		if got := conditions.loadThresholdFactor(); math.Abs(got-tt.want) > 0.01 {
			t.Errorf("%s: relief is %.2f, want %.2f", tt.name, got, tt.want)
		}
	}
}

// What would come late is asked of the largest model only where it is read soon:
// everybody at the upstream stands meanwhile.
func TestNoEscalationForLongPrefillPastObjective(t *testing.T) {
	c := EscalationPolicy{
		Thresholds: []int{55, 55},
	}
	models := []string{"small", "middle", "large"}
	const objective = 3 * time.Second
	tests := []struct {
		name             string
		timeToFirstToken time.Duration
		prefillTime      time.Duration
		objectiveLeft    time.Duration
		want             bool
	}{
		{"long and in time", 2500 * time.Millisecond, 2500 * time.Millisecond, 2800 * time.Millisecond, true},
		{"long and late", 5 * time.Second, 5 * time.Second, 2800 * time.Millisecond, false},
		{"short behind a queue", 3 * time.Second, 100 * time.Millisecond, 2800 * time.Millisecond, true},
		{"short and late already", 300 * time.Millisecond, 100 * time.Millisecond, -9 * time.Second, true},
		{"long and late already", 2 * time.Second, 2 * time.Second, -9 * time.Second, false},
	}
	for _, tt := range tests {
		_, got := c.Escalate(models, EscalationConditions{
			Confidence:       5,
			TimeToFirstToken: tt.timeToFirstToken,
			PrefillTime:      tt.prefillTime,
			ObjectiveLeft:    tt.objectiveLeft,
			Objective:        objective,
			TimeToDeadline:   15 * time.Second,
			RetryBudgetLeft:  1,
		})
		if got != tt.want {
			t.Errorf("%s: asked %v", tt.name, got)
		}
	}
}

// What the largest model can't answer before the deadline is not asked of it.
func TestNoEscalationPastDeadline(t *testing.T) {
	c := EscalationPolicy{
		Thresholds: []int{55, 55},
	}
	models := []string{"small", "middle", "large"}
	tests := []struct {
		timeToFirstToken time.Duration
		timeToDeadline   time.Duration
		want             bool
	}{
		{time.Second, 5 * time.Second, true},
		{3 * time.Second, 20 * time.Second, true}, // late, and answered
		{3 * time.Second, 4 * time.Second, false},
		{0, -time.Second, false},
	}
	for _, tt := range tests {
		if _, got := c.Escalate(models, EscalationConditions{
			Confidence:       5,
			TimeToFirstToken: tt.timeToFirstToken,
			ObjectiveLeft:    time.Second,
			TimeToDeadline:   tt.timeToDeadline,
			RetryBudgetLeft:  1,
		}); got != tt.want {
			t.Errorf("asked in %v, %v before the end: %v", tt.timeToFirstToken, tt.timeToDeadline, got)
		}
	}
}

// What a route or an answer does not tell leads to the answer that is there.
func TestEscalationPolicyEdgeCases(t *testing.T) {
	models := []string{"small", "middle", "large"}
	tests := []struct {
		name       string
		policy     EscalationPolicy
		models     []string
		conditions EscalationConditions
		firstModel int
		want       bool
	}{
		{
			name: "no models",
			policy: EscalationPolicy{
				Thresholds: []int{55},
			},
		},
		{
			name: "one model",
			policy: EscalationPolicy{
				Thresholds: []int{55},
			},
			models: models[:1],
		},
		{
			name:   "no thresholds",
			models: models,
		},
		{
			name: "a start past the end",
			policy: EscalationPolicy{
				StartModel: 7,
				Thresholds: []int{55, 55},
			},
			models: models,
			conditions: EscalationConditions{
				Model: 2,
			},
			firstModel: 2,
		},
		{
			name: "no opinion",
			policy: EscalationPolicy{
				Thresholds: []int{55, 55},
			},
			models: models,
			conditions: EscalationConditions{
				Confidence:      -1,
				TimeToDeadline:  time.Minute,
				RetryBudgetLeft: 1,
			},
		},
		{
			name: "no objective, no token counts, nothing known",
			policy: EscalationPolicy{
				Thresholds: []int{55, 55},
			},
			models: models,
			conditions: EscalationConditions{
				TimeToDeadline:  time.Minute,
				RetryBudgetLeft: 1,
			},
			want: true,
		},
	}
	for _, tt := range tests {
		if got := tt.policy.FirstModel(tt.models, StartConditions{}); got != tt.firstModel {
			t.Errorf("%s: begins with %d, want %d", tt.name, got, tt.firstModel)
		}
		if _, got := tt.policy.Escalate(tt.models, tt.conditions); got != tt.want {
			t.Errorf("%s: asked %v", tt.name, got)
		}
	}
}

// The last retries go to the answers that are doubted most, and those for failures
// stay.
func TestEscalationReservesRetries(t *testing.T) {
	c := EscalationPolicy{
		Thresholds: []int{55, 55},
	}
	models := []string{"small", "middle", "large"}
	tests := []struct {
		confidence      int
		retryBudgetLeft float64
		want            bool
	}{
		{50, 1, true},
		{50, scarceRetryFraction, true},
		{54, 0.35, false},
		{30, 0.35, true},
		{25, 0.3, false},
		{10, 0.3, true},
		{0, 0.26, true},
		{0, reservedRetryFraction, false},
		{0, 0, false},
		{60, 1, false},
	}
	for _, tt := range tests {
		if _, got := c.Escalate(models, EscalationConditions{
			Confidence:      tt.confidence,
			ObjectiveLeft:   time.Second,
			TimeToDeadline:  time.Minute,
			RetryBudgetLeft: tt.retryBudgetLeft,
		}); got != tt.want {
			t.Errorf("an opinion of %d with %.2f of the retries left: asked %v", tt.confidence, tt.retryBudgetLeft, got)
		}
	}
}

// The largest model is begun with where retries run short, its reading is short and
// nobody waits for it.
func TestFirstModel(t *testing.T) {
	c := EscalationPolicy{
		Thresholds: []int{55, 55},
	}
	models := []string{"small", "middle", "large"}
	const objective = 3 * time.Second
	const large = 2
	tests := []struct {
		name       string
		conditions StartConditions
		want       int
	}{
		{
			name: "nothing is known",
			conditions: StartConditions{
				LowConfidenceRate: 0.6,
			},
		},
		{
			name: "all retries are left",
			conditions: StartConditions{
				LowConfidenceRate: 0.6,
				PrefillTime:       time.Millisecond,
				RetryBudgetLeft:   1,
			},
		},
		{
			name: "enough retries",
			conditions: StartConditions{
				LowConfidenceRate: 0.6,
				PrefillTime:       time.Millisecond,
				RetryBudgetLeft:   ampleRetryFraction,
			},
		},
		{
			name: "few retries and a short prompt",
			conditions: StartConditions{
				LowConfidenceRate: 0.6,
				PrefillTime:       50 * time.Millisecond,
				TimeToFirstToken:  100 * time.Millisecond,
				RetryBudgetLeft:   reservedRetryFraction,
			},
			want: large,
		},
		{
			name: "few retries and a long prompt",
			conditions: StartConditions{
				LowConfidenceRate: 0.6,
				PrefillTime:       900 * time.Millisecond,
				TimeToFirstToken:  900 * time.Millisecond,
				RetryBudgetLeft:   reservedRetryFraction,
			},
		},
		{
			name: "few retries and a queue",
			conditions: StartConditions{
				LowConfidenceRate: 0.6,
				PrefillTime:       50 * time.Millisecond,
				TimeToFirstToken:  time.Second,
				RetryBudgetLeft:   reservedRetryFraction,
			},
		},
		{
			name: "few retries and a model that is seldom doubted",
			conditions: StartConditions{
				LowConfidenceRate: 0.05,
				PrefillTime:       50 * time.Millisecond,
				TimeToFirstToken:  50 * time.Millisecond,
				RetryBudgetLeft:   reservedRetryFraction,
			},
		},
	}
	for _, tt := range tests {
		tt.conditions.Objective = objective
		if got := c.FirstModel(models, tt.conditions); got != tt.want {
			t.Errorf("%s: begins with %d, want %d", tt.name, got, tt.want)
		}
	}
	singleModel := StartConditions{
		LowConfidenceRate: 0.8,
		PrefillTime:       time.Millisecond,
		Objective:         objective,
	}
	if got := c.FirstModel(models[:1], singleModel); got != 0 {
		t.Errorf("one model: begins with %d", got)
	}
}

// A model that was never heard is taken to be doubted half the time, and one answer
// does not change that for good.
func TestConfidenceStats(t *testing.T) {
	stats := &ConfidenceStats{}
	if got := stats.LowConfidenceRate(); got != priorLowConfidenceRate {
		t.Errorf("an unknown model is doubted in %.2f", got)
	}
	stats.Record(true)
	if got := stats.LowConfidenceRate(); got < 0.5 || got > 0.65 {
		t.Errorf("after one doubt %.2f", got)
	}
	for range 1000 {
		stats.Record(false)
	}
	if got := stats.LowConfidenceRate(); got > 0.01 {
		t.Errorf("after a thousand good answers %.2f", got)
	}
}
