package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Load: a cascade whose first model is left at the head for half of the requests, so that answers
// last 0 s to 6 s, while places get free each 3 s / running. What a request waits must be told from
// the heads, since the answers that are left early say nothing of it.
func TestHoldTimeFromHeads(t *testing.T) {
	e := &DrainEstimator{}
	if e.HoldTime() != 0 {
		t.Error("hold time without data")
	}
	random := rand.New(rand.NewPCG(5, 6))
	const hold, base = 3.0, 0.2
	for range 400 {
		ahead := max(random.Float64()-0.3, 0)
		noisy := max(ahead+0.2*(random.Float64()-0.5), 0) // the load is half a second old
		if ahead == 0 {
			noisy = 0
		}
		e.Record(noisy, time.Duration((base+hold*ahead)*float64(time.Second)), true)
	}
	if got := e.HoldTime(); got < 2400*time.Millisecond || got > 3600*time.Millisecond {
		t.Errorf("hold time %v, want about 3 s", got)
	}
	e.Record(0.5, time.Millisecond, false) // left early: says nothing
	before := e.HoldTime()
	for range 100 {
		e.Record(0.5, 10*time.Second, false)
	}
	if got := e.HoldTime(); got < 2*before {
		t.Errorf("hold time %v after attempts that ended without a head after 10 s, before %v", got, before)
	}
}
