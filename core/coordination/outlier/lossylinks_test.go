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
		{"one event after a long prompt beside it", 450 * time.Millisecond, 1, false},
		{"two events at once in the usual pace", 90 * time.Millisecond, 2, false},
		{"several after a wait", 200 * time.Millisecond, 3, true},
	}
	for _, tt := range tests {
		l := &LossyLinks{}
		if got := l.RecordEvents("b", tt.stall, tt.events, now); got != tt.delayed {
			t.Errorf("%s: held up %v", tt.name, got)
		}
		if got := l.ExpectedDelay("b", 400, now) > 0; got != tt.delayed {
			t.Errorf("%s: costs %v", tt.name, got)
		}
	}
}

// The longer a stream, the more a lossy link costs it; other links cost nothing,
// and the suspicion ends by itself, later each time it returns soon.
func TestExpectedDelay(t *testing.T) {
	now := time.Unix(100, 0)
	l := &LossyLinks{}
	l.RecordEvents("b", 200*time.Millisecond, 2, now)
	if long, short := l.ExpectedDelay("b", 400, now), l.ExpectedDelay("b", 25, now); long != 800*time.Millisecond || short >= long || short == 0 {
		t.Errorf("a long stream costs %v, a short one %v", long, short)
	}
	if got := l.ExpectedDelay("b", 0, now); got != minLossDelay {
		t.Errorf("an answer that is no stream costs %v", got)
	}
	if got := l.ExpectedDelay("c", 400, now); got != 0 {
		t.Errorf("another link costs %v", got)
	}
	now = now.Add(initialLossyDuration)
	if got := l.ExpectedDelay("b", 400, now); got != 0 {
		t.Errorf("after the suspicion it costs %v", got)
	}
	l.RecordEvents("b", 200*time.Millisecond, 2, now.Add(time.Second))
	if l.ExpectedDelay("b", 400, now.Add(2*initialLossyDuration)) == 0 {
		t.Error("a suspicion that returns soon is no longer than the first")
	}
	l.RecordEvents("b", 200*time.Millisecond, 2, now.Add(time.Minute))
	if l.ExpectedDelay("b", 400, now.Add(time.Minute+initialLossyDuration)) != 0 {
		t.Error("one that returns after a minute is longer than the first")
	}
}
