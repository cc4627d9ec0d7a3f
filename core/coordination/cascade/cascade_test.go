package cascade

import (
	"testing"
	"time"
)

var steps = []Step{
	{
		Model: "small",
		Price: 1,
	},
	{
		Model: "large",
		Price: 12,
	},
}

func TestFirstStep(t *testing.T) {
	for _, c := range []struct {
		name      string
		setup     func(e *Estimator)
		remaining time.Duration
		want      int
	}{
		{
			name:      "no data",
			setup:     func(*Estimator) {},
			remaining: time.Minute,
			want:      0,
		},
		{
			name: "answers of the small model are never accepted",
			setup: func(e *Estimator) {
				for range 100 {
					e.RecordRating("a", 5, "small", false)
				}
			},
			remaining: time.Minute,
			want:      1,
		},
		{
			name: "only another organisation's answers are never accepted",
			setup: func(e *Estimator) {
				for range 100 {
					e.RecordRating("b", 5, "small", false)
				}
			},
			remaining: time.Minute,
			want:      0,
		},
		{
			name: "too little time for two steps",
			setup: func(e *Estimator) {
				e.RecordDuration("small", 2*time.Second)
				e.RecordDuration("large", 6*time.Second)
			},
			remaining: 10 * time.Second,
			want:      1,
		},
		{
			name: "enough time for two steps",
			setup: func(e *Estimator) {
				e.RecordDuration("small", 2*time.Second)
				e.RecordDuration("large", 6*time.Second)
			},
			remaining: 13 * time.Second,
			want:      0,
		},
		{
			name: "the rater is down",
			setup: func(e *Estimator) {
				for range maxRaterFailures {
					e.RecordRaterFailure()
				}
			},
			remaining: time.Minute,
			want:      1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &Estimator{}
			c.setup(e)
			if got := e.FirstStep("a", 5, steps, c.remaining); got != c.want {
				t.Errorf("first step %d, want %d", got, c.want)
			}
		})
	}
}

func TestFailedRaterIsRetried(t *testing.T) {
	e := &Estimator{}
	for range maxRaterFailures {
		e.RecordRaterFailure()
	}
	retries := 0
	for range 10 * raterRetryInterval {
		if e.FirstStep("a", 5, steps, time.Minute) == 0 {
			retries++
		}
	}
	if retries != 10 {
		t.Errorf("the rater was tried %d times in %d requests, want 10", retries, 10*raterRetryInterval)
	}
	e.RecordRating("a", 5, "small", true)
	if e.FirstStep("a", 5, steps, time.Minute) != 0 {
		t.Error("the rater is not used after it has recovered")
	}
}
