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
		conditions := Doubt{
			Begin:   tt.timeToFirstToken,
			Reading: tt.prefillTime,
			Crowd:   tt.slotUtilization,
			Left:    tt.objectiveLeft,
		}
		if got := conditions.loadThresholdFactor(); math.Abs(got-tt.want) > 0.01 {
			t.Errorf("%s: relief is %.2f, want %.2f", tt.name, got, tt.want)
		}
	}
}

// What would come late is asked of the largest model only where it is read soon:
// everybody at the upstream stands meanwhile.
func TestNoEscalationForLongPrefillPastObjective(t *testing.T) {
	c := Confidence{
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
		_, got := c.Larger(models, Doubt{
			Confidence: 5,
			Begin:      tt.timeToFirstToken,
			Reading:    tt.prefillTime,
			Left:       tt.objectiveLeft,
			Objective:  objective,
			End:        15 * time.Second,
			Retries:    1,
		})
		if got != tt.want {
			t.Errorf("%s: asked %v", tt.name, got)
		}
	}
}

// What the largest model can't answer before the deadline is not asked of it.
func TestNoEscalationPastDeadline(t *testing.T) {
	c := Confidence{
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
		if _, got := c.Larger(models, Doubt{
			Confidence: 5,
			Begin:      tt.timeToFirstToken,
			Left:       time.Second,
			End:        tt.timeToDeadline,
			Retries:    1,
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
		policy     Confidence
		models     []string
		conditions Doubt
		firstModel int
		want       bool
	}{
		{
			name: "no models",
			policy: Confidence{
				Thresholds: []int{55},
			},
		},
		{
			name: "one model",
			policy: Confidence{
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
			policy: Confidence{
				Start:      7,
				Thresholds: []int{55, 55},
			},
			models: models,
			conditions: Doubt{
				Model: 2,
			},
			firstModel: 2,
		},
		{
			name: "no opinion",
			policy: Confidence{
				Thresholds: []int{55, 55},
			},
			models: models,
			conditions: Doubt{
				Confidence: -1,
				End:        time.Minute,
				Retries:    1,
			},
		},
		{
			name: "no objective, no token counts, nothing known",
			policy: Confidence{
				Thresholds: []int{55, 55},
			},
			models: models,
			conditions: Doubt{
				End:     time.Minute,
				Retries: 1,
			},
			want: true,
		},
	}
	for _, tt := range tests {
		if got := tt.policy.First(tt.models, Outset{}); got != tt.firstModel {
			t.Errorf("%s: begins with %d, want %d", tt.name, got, tt.firstModel)
		}
		if _, got := tt.policy.Larger(tt.models, tt.conditions); got != tt.want {
			t.Errorf("%s: asked %v", tt.name, got)
		}
	}
}

// The last retries go to the answers that are doubted most, and those for failures
// stay.
func TestEscalationReservesRetries(t *testing.T) {
	c := Confidence{
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
		if _, got := c.Larger(models, Doubt{
			Confidence: tt.confidence,
			Left:       time.Second,
			End:        time.Minute,
			Retries:    tt.retryBudgetLeft,
		}); got != tt.want {
			t.Errorf("an opinion of %d with %.2f of the retries left: asked %v", tt.confidence, tt.retryBudgetLeft, got)
		}
	}
}

// The largest model is begun with where retries run short, its reading is short and
// nobody waits for it.
func TestFirstModel(t *testing.T) {
	c := Confidence{
		Thresholds: []int{55, 55},
	}
	models := []string{"small", "middle", "large"}
	const objective = 3 * time.Second
	const large = 2
	tests := []struct {
		name       string
		conditions Outset
		want       int
	}{
		{
			name: "nothing is known",
			conditions: Outset{
				Doubted: 0.6,
			},
		},
		{
			name: "all retries are left",
			conditions: Outset{
				Doubted: 0.6,
				Reading: time.Millisecond,
				Retries: 1,
			},
		},
		{
			name: "enough retries",
			conditions: Outset{
				Doubted: 0.6,
				Reading: time.Millisecond,
				Retries: ampleRetryFraction,
			},
		},
		{
			name: "few retries and a short prompt",
			conditions: Outset{
				Doubted: 0.6,
				Reading: 50 * time.Millisecond,
				Begin:   100 * time.Millisecond,
				Retries: reservedRetryFraction,
			},
			want: large,
		},
		{
			name: "few retries and a long prompt",
			conditions: Outset{
				Doubted: 0.6,
				Reading: 900 * time.Millisecond,
				Begin:   900 * time.Millisecond,
				Retries: reservedRetryFraction,
			},
		},
		{
			name: "few retries and a queue",
			conditions: Outset{
				Doubted: 0.6,
				Reading: 50 * time.Millisecond,
				Begin:   time.Second,
				Retries: reservedRetryFraction,
			},
		},
		{
			name: "few retries and a model that is seldom doubted",
			conditions: Outset{
				Doubted: 0.05,
				Reading: 50 * time.Millisecond,
				Begin:   50 * time.Millisecond,
				Retries: reservedRetryFraction,
			},
		},
	}
	for _, tt := range tests {
		tt.conditions.Objective = objective
		if got := c.First(models, tt.conditions); got != tt.want {
			t.Errorf("%s: begins with %d, want %d", tt.name, got, tt.want)
		}
	}
	singleModel := Outset{
		Doubted:   0.8,
		Reading:   time.Millisecond,
		Objective: objective,
	}
	if got := c.First(models[:1], singleModel); got != 0 {
		t.Errorf("one model: begins with %d", got)
	}
}

// A model that was never heard is taken to be doubted half the time, and one answer
// does not change that for good.
func TestConfidenceStats(t *testing.T) {
	stats := &Opinions{}
	if got := stats.Doubted(); got != priorLowConfidenceRate {
		t.Errorf("an unknown model is doubted in %.2f", got)
	}
	stats.Take(true)
	if got := stats.Doubted(); got < 0.5 || got > 0.65 {
		t.Errorf("after one doubt %.2f", got)
	}
	for range 1000 {
		stats.Take(false)
	}
	if got := stats.Doubted(); got > 0.01 {
		t.Errorf("after a thousand good answers %.2f", got)
	}
}
