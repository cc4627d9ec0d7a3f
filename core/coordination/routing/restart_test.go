package routing

import (
	"testing"
	"time"

	"persimmoncross"
)

// An upstream that started again under its name and address begins with nothing
// known of it; what is kept of one that runs on stays.
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
		what     string
		old, now persimmoncross.UpstreamReport
		again    bool
	}{
		{"runs on", report(at(1000), 4, 10), report(at(1000), 5, 20), false},
		{"another start", report(at(1000), 4, 10), report(at(2000), 5, 20), true},
		{"an earlier start, by a clock that was set back", report(at(1000), 4, 10), report(at(900), 5, 20), true},
		{"no start is told, and the sequence goes on", report(time.Time{}, 4, 10), report(time.Time{}, 4, 20), false},
		{"no start is told, and the sequence fell", report(time.Time{}, 4, 10), report(time.Time{}, 1, 20), true},
		{"the same start, and the sequence fell", report(at(1000), 4, 10), report(at(1000), 1, 20), false},
		{"the start is told from now on", report(time.Time{}, 4, 10), report(at(1000), 5, 20), false},
		{"an answer that came late", report(at(2000), 4, 20), report(at(1000), 9, 10), false},
		{"an answer that came late, no start is told", report(time.Time{}, 4, 20), report(time.Time{}, 3, 10), false},
	} {
		u := &Upstream{
			Name:  "u",
			clock: persimmoncross.SystemClock{},
		}
		if u.ApplyReport(tt.old) {
			t.Fatalf("%s: the first report tells of another life", tt.what)
		}
		for range 50 {
			u.BeginAttempt(at(0), v, prompt)()
			u.Breaker(v).RecordResult(true)
		}
		u.RecordDuration(time.Minute)
		if !u.HasOpenBreaker() {
			t.Fatal("fifty failures break nothing")
		}
		if got := u.ApplyReport(tt.now); got != tt.again || u.Restarts() == 1 != tt.again {
			t.Errorf("%s: started again: %v, %d times", tt.what, got, u.Restarts())
		}
		u.history.mu.Lock()
		known := u.history.meanDurationSeconds != 0 || u.history.prefixes.cachedBytes(prefixHashes(prompt), at(0)) != 0
		u.history.mu.Unlock()
		if known == tt.again || u.HasOpenBreaker() == tt.again {
			t.Errorf("%s: what was known is used: %v, broken: %v", tt.what, known, u.HasOpenBreaker())
		}
	}
}
