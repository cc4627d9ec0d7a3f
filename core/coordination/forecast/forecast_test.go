package forecast

import (
	"testing"
	"time"
)

// Without data the estimates are zero. A pending request raises the estimate before its first
// token arrives, and an attempt that ended early leaves the estimate unchanged.
func TestFirstTokenEstimator(t *testing.T) {
	now := time.Unix(100, 0)
	estimator := &FirstTokenEstimator{}
	if estimator.TimeToFirstToken(1000, now) != 0 || estimator.PrefillTime(1000) != 0 {
		t.Error("the estimates are not zero without data")
	}
	for i := range 300 {
		promptTokens := 1000 * (1 + i%7)
		n := estimator.TrackRequest(promptTokens, now)
		estimator.FinishRequest(n, true, now.Add(time.Duration(promptTokens)*50*time.Microsecond))
	}
	if got := estimator.PrefillTime(10_000); got < 450*time.Millisecond || got > 550*time.Millisecond {
		t.Errorf("prefill time of 10,000 tokens is %v, want 500 ms", got)
	}
	n := estimator.TrackRequest(1000, now)
	if got := estimator.TimeToFirstToken(1000, now.Add(3*time.Second)); got < 2*time.Second {
		t.Errorf("with a request pending for 3 s the time to the first token is %v, want at least 2 s", got)
	}
	estimator.FinishRequest(n, false, now.Add(time.Millisecond))
	if got := estimator.TimeToFirstToken(1000, now.Add(time.Millisecond)); got > 300*time.Millisecond {
		t.Errorf("after an attempt that ended at once the time to the first token is %v, want at most 300 ms", got)
	}
}

// Prompts of equal size give no estimate of the time per token.
func TestEqualPromptSizesGiveNoPrefillTime(t *testing.T) {
	now := time.Unix(100, 0)
	estimator := &FirstTokenEstimator{}
	for range 50 {
		estimator.FinishRequest(estimator.TrackRequest(1000, now), true, now.Add(time.Second))
	}
	if got := estimator.PrefillTime(50_000); got != 0 {
		t.Errorf("prefill time of 50,000 tokens is %v, want 0", got)
	}
	if got := estimator.TimeToFirstToken(1000, now); got != time.Second {
		t.Errorf("time to the first token is %v, want 1 s", got)
	}
}
