package forecast

import (
	"testing"
	"time"
)

// Nothing known is no wait; what is awaited shows before it comes; what was ended
// early says nothing.
func TestFirstTokenEstimator(t *testing.T) {
	now := time.Unix(100, 0)
	estimator := &FirstTokenEstimator{}
	if estimator.TimeToFirstToken(1000, now) != 0 || estimator.PrefillTime(1000) != 0 {
		t.Error("an unknown model takes time")
	}
	for i := range 300 {
		promptTokens := 1000 * (1 + i%7)
		n := estimator.TrackRequest(promptTokens, now)
		estimator.RecordFirstToken(n, true, now.Add(time.Duration(promptTokens)*50*time.Microsecond))
	}
	if got := estimator.PrefillTime(10_000); got < 450*time.Millisecond || got > 550*time.Millisecond {
		t.Errorf("10,000 tokens are read in %v, want 500 ms", got)
	}
	n := estimator.TrackRequest(1000, now)
	if got := estimator.TimeToFirstToken(1000, now.Add(3*time.Second)); got < 2*time.Second {
		t.Errorf("with a head awaited for 3 s one begins in %v", got)
	}
	estimator.RecordFirstToken(n, false, now.Add(time.Millisecond))
	if got := estimator.TimeToFirstToken(1000, now.Add(time.Millisecond)); got > 300*time.Millisecond {
		t.Errorf("after an attempt that was ended at once one begins in %v", got)
	}
}

// Prompts of one size say nothing of what a token adds.
func TestEqualPromptSizesGiveNoPrefillTime(t *testing.T) {
	now := time.Unix(100, 0)
	estimator := &FirstTokenEstimator{}
	for range 50 {
		estimator.RecordFirstToken(estimator.TrackRequest(1000, now), true, now.Add(time.Second))
	}
	if got := estimator.PrefillTime(50_000); got != 0 {
		t.Errorf("50,000 tokens are read in %v", got)
	}
	if got := estimator.TimeToFirstToken(1000, now); got != time.Second {
		t.Errorf("one begins in %v, want 1 s", got)
	}
}
