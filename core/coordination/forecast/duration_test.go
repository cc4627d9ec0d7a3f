package forecast

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Answers are 0.4 to 2.2 times as long as expected. The favourable estimate must be below nearly
// all of them, so that a request is not refused that would have ended in time, and above 0.
func TestFavourableDuration(t *testing.T) {
	e := &DurationEstimator{}
	random := rand.New(rand.NewPCG(3, 4))
	const perToken = 20 * time.Millisecond
	below := 0
	const answers = 2000
	for i := range answers {
		expected := 50 + random.IntN(400)
		took := time.Duration((0.4 + 1.8*random.Float64()) * float64(expected) * float64(perToken))
		if i >= 200 && took < e.Favourable(expected) {
			below++
		}
		e.Record(took, expected)
	}
	if part := float64(below) / answers; part > 0.15 {
		t.Errorf("%.2f of the answers were shorter than the favourable estimate", part)
	}
	if got := e.Favourable(100); got < 700*time.Millisecond || got > 1400*time.Millisecond {
		t.Errorf("favourable estimate %v for 100 tokens, want 0.7 s to 1.4 s", got)
	}
	if got := e.Mean(100); got < 2*time.Second || got > 3200*time.Millisecond {
		t.Errorf("mean %v for 100 tokens, want about 2.6 s", got)
	}
}

// Without data nothing is estimated, so that nothing is refused for it.
func TestDurationWithoutData(t *testing.T) {
	e := &DurationEstimator{}
	for range minDurations - 1 {
		e.Record(time.Second, 10)
	}
	e.Record(time.Second, 0)
	if got := e.Favourable(100); got != 0 {
		t.Errorf("estimate %v of too few answers, want 0", got)
	}
}
