package forecast

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Answers are 0.4 to 2.2 times as long as expected, with the median at 1. The favourable estimate must
// be below nearly all of them, so that a request is not refused that would have ended in time, and most
// must end within the likely one, also after the upstreams' pace has halved.
func TestDurationEstimates(t *testing.T) {
	e := &DurationEstimator{}
	random := rand.New(rand.NewPCG(3, 4))
	const answers, settled = 2000, 100
	shorter, longer, counted := 0, 0, 0
	for i := range answers {
		perToken := 20 * time.Millisecond
		if i >= answers/2 {
			perToken *= 2
		}
		expected := 50 + random.IntN(400)
		factor := 0.4 + 0.6*random.Float64()
		if random.IntN(2) == 0 {
			factor = 1 + 1.2*random.Float64()*random.Float64()
		}
		took := time.Duration(factor * float64(expected) * float64(perToken))
		if i%(answers/2) >= settled {
			counted++
			if took < e.Favourable(expected) {
				shorter++
			}
			if took > e.Likely(expected) {
				longer++
			}
		}
		e.Record(took, expected)
	}
	if part := float64(shorter) / float64(counted); part > 0.15 {
		t.Errorf("%.2f of the answers were shorter than the favourable estimate", part)
	}
	if part := float64(longer) / float64(counted); part > 0.25 {
		t.Errorf("%.2f of the answers were longer than the likely estimate", part)
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
