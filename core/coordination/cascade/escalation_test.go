package cascade

import (
	"math"
	"testing"
	"time"
)

// A queue lowers the thresholds, and a long prompt lowers them as far as its prefill delays
// other requests. An answer that would begin after the objective lowers them to the minimum.
func TestLoadThresholdFactor(t *testing.T) {
	tests := []struct {
		name             string
		timeToFirstToken time.Duration
		prefillTime      time.Duration
		slotUtilization  float64
		objectiveLeft    time.Duration
		want             float64
	}{
		{"no data", 0, 0, 0, time.Second, 1},
		{"no queue", 100 * time.Millisecond, 0, 0, time.Second, 1},
		{"a long prompt on idle upstreams", 800 * time.Millisecond, 800 * time.Millisecond, 0, time.Second, 1},
		{"a long prompt on upstreams in partial use", 800 * time.Millisecond, 800 * time.Millisecond, 0.25, time.Second, 0.85},
		{"a long prompt on crowded upstreams", 600 * time.Millisecond, 600 * time.Millisecond, 0.5, time.Second, 0.7},
		{"a prefill counts at most in full", 600 * time.Millisecond, 600 * time.Millisecond, 1.5, time.Second, 0.7},
		{"a queue up to the minimum load", 200 * time.Millisecond, 0, 1, time.Second, 1},
		{"a queue halfway above the minimum load", 600 * time.Millisecond, 0, 0, time.Second, 0.7},
		{"a queue and a long prompt", 800 * time.Millisecond, 200 * time.Millisecond, 0, time.Second, 0.7},
		{"a queue of all the time left", time.Second, 0, 0, time.Second, minThresholdFactor},
		{"a long prompt that is just in time", time.Second, time.Second, 0, time.Second, 1},
		{"a long prompt that is too late", 1100 * time.Millisecond, 1100 * time.Millisecond, 0, time.Second, minThresholdFactor},
		{"far too late", time.Minute, 0, 0, time.Second, minThresholdFactor},
		{"the objective has passed", time.Second, 0, 0, -time.Second, minThresholdFactor},
	}
	for _, tt := range tests {
		conditions := EscalationConditions{
			TimeToFirstToken: tt.timeToFirstToken,
			PrefillTime:      tt.prefillTime,
			SlotUtilization:  tt.slotUtilization,
			ObjectiveLeft:    tt.objectiveLeft,
		}
		if got := conditions.loadThresholdFactor(); math.Abs(got-tt.want) > 0.01 {
			t.Errorf("%s: threshold factor is %.2f, want %.2f", tt.name, got, tt.want)
		}
	}
}

// A request whose answer would begin after the objective escalates only if its prefill is short,
// because other requests at the upstream stall during the prefill.
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
		{"a long prefill in time", 2500 * time.Millisecond, 2500 * time.Millisecond, 2800 * time.Millisecond, true},
		{"a long prefill too late", 5 * time.Second, 5 * time.Second, 2800 * time.Millisecond, false},
		{"a short prefill behind a queue", 3 * time.Second, 100 * time.Millisecond, 2800 * time.Millisecond, true},
		{"a short prefill after the objective", 300 * time.Millisecond, 100 * time.Millisecond, -9 * time.Second, true},
		{"a long prefill after the objective", 2 * time.Second, 2 * time.Second, -9 * time.Second, false},
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
			t.Errorf("%s: escalated %v", tt.name, got)
		}
	}
}

// A request does not escalate if the largest model can't answer it before the deadline.
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
		{3 * time.Second, 20 * time.Second, true}, // after the objective, but well before the deadline
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
			t.Errorf("time to first token %v, %v before the deadline: escalated %v", tt.timeToFirstToken, tt.timeToDeadline, got)
		}
	}
}

// Without models, thresholds or a reported confidence there is no escalation.
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
			name: "no confidence reported",
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
			name: "no objective and no estimates",
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
			t.Errorf("%s: first model %d, want %d", tt.name, got, tt.firstModel)
		}
		if _, got := tt.policy.Escalate(tt.models, tt.conditions); got != tt.want {
			t.Errorf("%s: escalated %v", tt.name, got)
		}
	}
}

// The last retries above the reserve go to the answers with the lowest confidence. The reserved
// retries are kept for failures.
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
			t.Errorf("confidence %d with %.2f of the retry budget left: escalated %v", tt.confidence, tt.retryBudgetLeft, got)
		}
	}
}

// A request starts with the largest model if the retry budget runs short, its prefill is short
// and no other request waits for that model.
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
			name: "no data",
			conditions: StartConditions{
				LowConfidenceRate: 0.6,
			},
		},
		{
			name: "the whole retry budget is left",
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
			name: "few retries and a model that seldom has low confidence",
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
			t.Errorf("%s: first model %d, want %d", tt.name, got, tt.want)
		}
	}
	singleModel := StartConditions{
		LowConfidenceRate: 0.8,
		PrefillTime:       time.Millisecond,
		Objective:         objective,
	}
	if got := c.FirstModel(models[:1], singleModel); got != 0 {
		t.Errorf("one model: first model %d, want 0", got)
	}
}

// A model without answers is assumed to have low confidence half of the time. A single answer
// changes the rate only a little, and many answers outweigh it.
func TestConfidenceStats(t *testing.T) {
	stats := &ConfidenceStats{}
	if got := stats.LowConfidenceRate(); got != priorLowConfidenceRate {
		t.Errorf("low-confidence rate without answers is %.2f, want the prior", got)
	}
	stats.Record(true)
	if got := stats.LowConfidenceRate(); got < 0.5 || got > 0.65 {
		t.Errorf("low-confidence rate after one low-confidence answer is %.2f, want 0.5 to 0.65", got)
	}
	for range 1000 {
		stats.Record(false)
	}
	if got := stats.LowConfidenceRate(); got > 0.01 {
		t.Errorf("low-confidence rate after a thousand confident answers is %.2f, want at most 0.01", got)
	}
}
