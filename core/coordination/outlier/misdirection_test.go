package outlier

import (
	"testing"
	"time"
)

// The address is tried again after pauses that double, and at once when the right
// one answered; what comes in a pause does not make it longer.
func TestMisdirection(t *testing.T) {
	start := time.Unix(100, 0)
	m := Misdirection{}
	if m.IsActive(start) {
		t.Error("an address is left alone for nothing")
	}
	now := start
	for _, pause := range []time.Duration{1, 2, 4, 8, 16, 16} {
		m.Record(now)
		m.Record(now.Add(pause * time.Second / 2))
		if !m.IsActive(now.Add(pause*time.Second-1)) || m.IsActive(now.Add(pause*time.Second)) {
			t.Errorf("not left alone for %d s", pause)
		}
		now = now.Add(pause * time.Second)
	}
	m.Clear()
	m.Record(now)
	if !m.IsActive(now) || m.IsActive(now.Add(initialMisdirectionPause)) {
		t.Error("the pauses go on after the right one answered")
	}
}
