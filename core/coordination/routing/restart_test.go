package routing

import (
	"testing"
	"time"

	"persimmoncross"
)

// An upstream that restarted under its name and address must start without state; an upstream
// that did not restart must keep its state.
func TestRestartedUpstreamLosesHistory(t *testing.T) {
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	report := func(started time.Time, sequence uint64, taken int64) persimmoncross.UpstreamReport {
		return persimmoncross.UpstreamReport{
			StartedAt:   started,
			Sequence:    sequence,
			RequestedAt: at(taken),
		}
	}
	v := persimmoncross.ParseModelVersion("m@1")
	prompt := make([]byte, 4*blockSize)
	for _, tt := range []struct {
		what      string
		old, now  persimmoncross.UpstreamReport
		restarted bool
	}{
		{"no restart", report(at(1000), 4, 10), report(at(1000), 5, 20), false},
		{"different start time", report(at(1000), 4, 10), report(at(2000), 5, 20), true},
		{"earlier start time, because the clock was set back", report(at(1000), 4, 10), report(at(900), 5, 20), true},
		{"no start time, sequence does not fall", report(time.Time{}, 4, 10), report(time.Time{}, 4, 20), false},
		{"no start time, lower sequence", report(time.Time{}, 4, 10), report(time.Time{}, 1, 20), true},
		{"same start time, lower sequence", report(at(1000), 4, 10), report(at(1000), 1, 20), false},
		{"start time only in the later report", report(time.Time{}, 4, 10), report(at(1000), 5, 20), false},
		{"report that arrived out of order", report(at(2000), 4, 20), report(at(1000), 9, 10), false},
		{"report that arrived out of order, no start time", report(time.Time{}, 4, 20), report(time.Time{}, 3, 10), false},
	} {
		u := &Upstream{
			Name:  "u",
			clock: persimmoncross.SystemClock{},
		}
		if u.ApplyReport(tt.old) {
			t.Fatalf("%s: ApplyReport returned true for the first report", tt.what)
		}
		for range 50 {
			u.BeginAttempt(at(0), v, prompt)()
			u.Breaker(v).RecordOutcome(true)
		}
		u.RecordDuration(time.Minute)
		if !u.HasOpenBreaker() {
			t.Fatal("the circuit breaker is closed after 50 failures")
		}
		if got := u.ApplyReport(tt.now); got != tt.restarted || u.Restarts() == 1 != tt.restarted {
			t.Errorf("%s: ApplyReport returned %v, Restarts returned %d", tt.what, got, u.Restarts())
		}
		u.history.mu.Lock()
		stateKept := u.history.meanDurationSeconds != 0 || u.history.prefixes.cachedBytes(prefixHashes(prompt), at(0)) != 0
		u.history.mu.Unlock()
		if stateKept == tt.restarted || u.HasOpenBreaker() == tt.restarted {
			t.Errorf("%s: state kept: %v, circuit breaker open: %v", tt.what, stateKept, u.HasOpenBreaker())
		}
	}
}
