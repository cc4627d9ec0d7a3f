package outlier

import (
	"testing"
	"time"
)

// The address is tried again after pauses that double, and at once when the right
// one answered; what comes in a pause does not make it longer.
func TestMisdirection(t *testing.T) {
	start := time.Unix(100, 0)
	m := Stranger{}
	if m.Holds(start) {
		t.Error("an address is left alone for nothing")
	}
	now := start
	for _, pause := range []time.Duration{1, 2, 4, 8, 16, 16} {
		m.Found(now)
		m.Found(now.Add(pause * time.Second / 2))
		if !m.Holds(now.Add(pause*time.Second-1)) || m.Holds(now.Add(pause*time.Second)) {
			t.Errorf("not left alone for %d s", pause)
		}
		now = now.Add(pause * time.Second)
	}
	m.Gone()
	m.Found(now)
	if !m.Holds(now) || m.Holds(now.Add(initialMisdirectionPause)) {
		t.Error("the pauses go on after the right one answered")
	}
}
