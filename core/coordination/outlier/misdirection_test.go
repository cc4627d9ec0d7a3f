package outlier

import (
	"testing"
	"time"
)

// The address is tried again after pauses that double, and at once after the right instance
// answered. Misdirected requests during a pause don't extend it.
func TestMisdirection(t *testing.T) {
	start := time.Unix(100, 0)
	m := Misdirection{}
	if m.IsActive(start) {
		t.Error("the address is avoided without a misdirected request")
	}
	now := start
	for _, pause := range []time.Duration{1, 2, 4, 8, 16, 16} {
		m.Record(now)
		m.Record(now.Add(pause * time.Second / 2))
		if !m.IsActive(now.Add(pause*time.Second-1)) || m.IsActive(now.Add(pause*time.Second)) {
			t.Errorf("the address is not avoided for %d s", pause)
		}
		now = now.Add(pause * time.Second)
	}
	m.Clear()
	m.Record(now)
	if !m.IsActive(now) || m.IsActive(now.Add(initialMisdirectionPause)) {
		t.Error("the pause after Clear does not start at the initial duration")
	}
}
