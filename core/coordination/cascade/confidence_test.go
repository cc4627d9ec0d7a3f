package cascade

import (
	"math"
	"testing"
	"time"
)

func TestRelief(t *testing.T) {
	tests := []struct {
		begin time.Duration
		left  time.Duration
		want  float64
	}{
		{0, time.Second, 1},
		{100 * time.Millisecond, time.Second, 1},
		{250 * time.Millisecond, time.Second, 1},
		{625 * time.Millisecond, time.Second, 0.7},
		{time.Second, time.Second, fullRelief},
		{time.Minute, time.Second, fullRelief},
		{time.Second, -time.Second, fullRelief},
	}
	for _, tt := range tests {
		if got := relief(tt.begin, tt.left); math.Abs(got-tt.want) > 0.01 {
			t.Errorf("relief of %v in %v is %.2f, want %.2f", tt.begin, tt.left, got, tt.want)
		}
	}
}

// What the largest model can't answer before the deadline is not asked of it.
func TestNoLargerModelPastTheDeadline(t *testing.T) {
	c := Confidence{
		Thresholds: []int{55, 55},
	}
	models := []string{"small", "middle", "large"}
	tests := []struct {
		begin time.Duration
		end   time.Duration
		want  bool
	}{
		{time.Second, 5 * time.Second, true},
		{3 * time.Second, 20 * time.Second, true}, // late, and answered
		{3 * time.Second, 4 * time.Second, false},
		{0, -time.Second, false},
	}
	for _, tt := range tests {
		if _, got := c.Larger(models, Doubt{
			Confidence: 5,
			Begin:      tt.begin,
			Left:       time.Second,
			End:        tt.end,
		}); got != tt.want {
			t.Errorf("asked in %v, %v before the end: %v", tt.begin, tt.end, got)
		}
	}
}
