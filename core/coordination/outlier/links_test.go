package outlier

import (
	"testing"
	"time"
)

func TestLinks(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		what   string
		wait   time.Duration
		events int
		held   bool
	}{
		{"one event after a long prompt beside it", 450 * time.Millisecond, 1, false},
		{"two events at once in the usual pace", 90 * time.Millisecond, 2, false},
		{"several after a wait", 200 * time.Millisecond, 3, true},
	}
	for _, tt := range tests {
		l := &Links{}
		if got := l.Came("b", tt.wait, tt.events, now); got != tt.held {
			t.Errorf("%s: held up %v", tt.what, got)
		}
		if got := l.Cost("b", 400, now) > 0; got != tt.held {
			t.Errorf("%s: costs %v", tt.what, got)
		}
	}
}

// The longer a stream, the more a lossy link costs it; other links cost nothing,
// and the suspicion ends by itself, later each time it returns soon.
func TestLossyLinkCosts(t *testing.T) {
	now := time.Unix(100, 0)
	l := &Links{}
	l.Came("b", 200*time.Millisecond, 2, now)
	if long, short := l.Cost("b", 400, now), l.Cost("b", 25, now); long != 800*time.Millisecond || short >= long || short == 0 {
		t.Errorf("a long stream costs %v, a short one %v", long, short)
	}
	if got := l.Cost("b", 0, now); got != heldPlain {
		t.Errorf("an answer that is no stream costs %v", got)
	}
	if got := l.Cost("c", 400, now); got != 0 {
		t.Errorf("another link costs %v", got)
	}
	now = now.Add(lossFirst)
	if got := l.Cost("b", 400, now); got != 0 {
		t.Errorf("after the suspicion it costs %v", got)
	}
	l.Came("b", 200*time.Millisecond, 2, now.Add(time.Second))
	if l.Cost("b", 400, now.Add(2*lossFirst)) == 0 {
		t.Error("a suspicion that returns soon is no longer than the first")
	}
	l.Came("b", 200*time.Millisecond, 2, now.Add(time.Minute))
	if l.Cost("b", 400, now.Add(time.Minute+lossFirst)) != 0 {
		t.Error("one that returns after a minute is longer than the first")
	}
}
