package outlier

import (
	"testing"
	"time"
)

func TestLossyLinkDetection(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name    string
		stall   time.Duration
		events  int
		delayed bool
	}{
		{"one event after the prefill of another prompt", 450 * time.Millisecond, 1, false},
		{"two events together at the usual interval", 90 * time.Millisecond, 2, false},
		{"several events after a stall", 200 * time.Millisecond, 3, true},
	}
	for _, tt := range tests {
		l := &LossyLinks{}
		if got := l.RecordEvents("b", tt.stall, tt.events, now); got != tt.delayed {
			t.Errorf("%s: events delayed on the link: %v", tt.name, got)
		}
		if got := l.ExpectedDelay("b", 400, now) > 0; got != tt.delayed {
			t.Errorf("%s: expected delay above 0: %v", tt.name, got)
		}
	}
}

// The expected delay on a lossy link grows with the length of the stream, and is zero on
// other links. A lossy period ends without further observations, and lasts longer if it
// follows soon after the previous one.
func TestExpectedDelay(t *testing.T) {
	now := time.Unix(100, 0)
	l := &LossyLinks{}
	l.RecordEvents("b", 200*time.Millisecond, 2, now)
	if long, short := l.ExpectedDelay("b", 400, now), l.ExpectedDelay("b", 25, now); long != 800*time.Millisecond || short >= long || short == 0 {
		t.Errorf("expected delay of a long stream %v, want 800ms, and of a short one %v", long, short)
	}
	if got := l.ExpectedDelay("b", 0, now); got != minLossDelay {
		t.Errorf("expected delay of a response that is no stream %v, want the minimum", got)
	}
	if got := l.ExpectedDelay("c", 400, now); got != 0 {
		t.Errorf("expected delay on another link %v, want 0", got)
	}
	now = now.Add(initialLossyDuration)
	if got := l.ExpectedDelay("b", 400, now); got != 0 {
		t.Errorf("expected delay after the lossy period %v, want 0", got)
	}
	l.RecordEvents("b", 200*time.Millisecond, 2, now.Add(time.Second))
	if l.ExpectedDelay("b", 400, now.Add(2*initialLossyDuration)) == 0 {
		t.Error("a lossy period that follows soon is not longer than the first")
	}
	l.RecordEvents("b", 200*time.Millisecond, 2, now.Add(time.Minute))
	if l.ExpectedDelay("b", 400, now.Add(time.Minute+initialLossyDuration)) != 0 {
		t.Error("a lossy period after a minute is longer than the first")
	}
}
