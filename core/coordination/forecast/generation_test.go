package forecast

import (
	"testing"
	"time"
)

// Guards against generation times that depend on the length alone: a model that generates its
// tokens slower must be expected to take longer, soon after it did.
func TestGenerationEstimatorFollowsPace(t *testing.T) {
	now := time.Unix(100, 0)
	e := &GenerationEstimator{}
	if mean, optimistic := e.Expect(100); mean != 0 || optimistic != 0 {
		t.Errorf("%v and %v are expected before any answer, want 0", mean, optimistic)
	}
	for i := range 50 {
		now = now.Add(100 * time.Millisecond)
		tokens := 20 + 10*(i%5)
		e.Record(tokens, time.Duration(tokens)*2*time.Millisecond, now)
	}
	if mean, optimistic := e.Expect(100); mean.Round(time.Millisecond) != 200*time.Millisecond || optimistic.Round(time.Millisecond) != 200*time.Millisecond {
		t.Errorf("%v and %v are expected, want 200ms for both without any spread", mean, optimistic)
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		e.Record(30, 300*time.Millisecond, now)
	}
	if mean, _ := e.Expect(100); mean < 850*time.Millisecond || mean > time.Second {
		t.Errorf("%v is expected 4 s after the pace fell to a fifth, want 850ms to 1s", mean)
	}
}

// Guards against a model that is never asked again because of an estimate from a crowd that has passed.
func TestGenerationEstimateExpires(t *testing.T) {
	now := time.Unix(100, 0)
	e := &GenerationEstimator{}
	if e.IsRecent(now) {
		t.Error("an estimate without answers is recent")
	}
	e.Record(100, 30*time.Second, now)
	if !e.IsRecent(now.Add(maxGenerationAge)) || e.IsRecent(now.Add(maxGenerationAge+1)) {
		t.Errorf("an estimate is not recent for just %v", maxGenerationAge)
	}
}

// Guards against the use of the mean alone where answers differ from their expected length: the
// optimistic time covers answers that end early.
func TestGenerationEstimatorSpread(t *testing.T) {
	now := time.Unix(100, 0)
	e := &GenerationEstimator{}
	e.Record(0, time.Second, now) // no expected length
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		factor := []time.Duration{5, 10, 15}[i%3]
		e.Record(100, 100*factor*time.Millisecond, now)
	}
	mean, optimistic := e.Expect(100)
	if mean < 900*time.Millisecond || mean > 1100*time.Millisecond {
		t.Errorf("mean %v, want about 1s", mean)
	}
	if optimistic < 250*time.Millisecond || optimistic > 700*time.Millisecond {
		t.Errorf("optimistic time %v, want well below the mean and at least a quarter of it", optimistic)
	}
}
