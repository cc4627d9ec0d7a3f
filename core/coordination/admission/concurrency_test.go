package admission

import (
	"testing"
	"time"
)

// Load: an engine whose events come slower the more requests run, so that it generates fewer tokens in
// all with 64 than with 24 running. The limit must keep it where answers still end in time, with a
// quarter of the slots in use at least, and must vanish from the callers' sight afterwards.
func TestConcurrencyKeepsPace(t *testing.T) {
	const slots = 64
	c := &Concurrency{}
	now := start
	play := func(seconds int, wanted int, slow float64) {
		for range seconds * 40 {
			for c.inFlight > wanted {
				c.End()
			}
			if c.inFlight < wanted && c.Open() {
				c.Begin()
			}
			for float64(c.inFlight) > c.limit && c.limit > 0 {
				c.End() // as requests end
			}
			now = now.Add(25 * time.Millisecond)
			perEvent := 0.025 * slow * (1 + float64(c.inFlight*c.inFlight)/512)
			for range max(c.inFlight/4, 1) {
				c.RecordEvents("m", time.Duration(perEvent*float64(time.Second)), 1, slots, now)
			}
		}
	}
	play(20, 8, 1)
	if c.Limit() != 0 {
		t.Fatalf("limit %.0f without load", c.Limit())
	}
	play(40, 64, 1)
	if c.inFlight < 20 || c.inFlight > 44 {
		t.Errorf("%d requests run under overload, want 20 to 44", c.inFlight)
	}
	play(20, 64, 8)
	if c.inFlight < slots/4-1 {
		t.Errorf("%d requests run on slow machines, below the floor", c.inFlight)
	}
	play(40, 8, 1)
	if c.inFlight != 8 || !c.Open() {
		t.Errorf("%d of 8 requests run after the load", c.inFlight)
	}
}
