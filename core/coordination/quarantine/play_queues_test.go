package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Where upstreams have queues, copies wait at several of them for seconds and end them
// long after they were sent, beside many others. A request that had ended ten was
// watched, and not refused until two ended under it alone: it ran up to six times later
// than 3 s after the third end, in 4 of 80 plays of two one after the other whose judge
// is gone for a while. What is lost again and again by itself is not blamed for it.
func TestPlaysWithQueues(t *testing.T) {
	killer := func(name string, every, from time.Duration, copies int) kind {
		return kind{
			name:   name,
			every:  every,
			lasts:  100 * ms,
			kills:  40 * ms,
			from:   from,
			copies: copies,
		}
	}
	killers := []kind{killer("a", 900*ms, 3*time.Second, 11), killer("b", 700*ms, 9*time.Second, 22)}
	leaderless := func(p *play, at time.Duration) {
		if at == 12*time.Second {
			p.noJudge = p.now.Add(1500 * ms)
		}
	}
	lost := func(count int, every time.Duration) func(p *play, at time.Duration) {
		return func(p *play, at time.Duration) {
			if at > 0 && at%every == 0 {
				first := p.random.IntN(len(p.upstreams))
				for i := range count {
					p.end(p.upstreams[(first+i)%len(p.upstreams)])
				}
			}
		}
	}
	tests := []struct {
		what    string
		kinds   []kind
		trouble func(p *play, at time.Duration)
	}{
		{"two, and the judge is gone for a while", killers, leaderless},
		{"none, and two upstreams end by themselves", nil, lost(2, 500*ms)},
		{"none, and racks are lost", nil, lost(6, 2500*ms)},
		{"none, and all is lost again and again", nil, lost(12, 2500*ms)},
	}
	for _, tt := range tests {
		for _, plain := range []bool{false, true} {
			for _, queue := range []time.Duration{500 * ms, 2 * time.Second} {
				t.Run(fmt.Sprint(tt.what, ", plain ", plain, ", queues of ", queue), func(t *testing.T) {
					kinds := append([]kind{
						{name: "other", every: 10 * ms, each: true, lasts: 400 * ms},
						{name: "hot", every: 60 * ms, lasts: time.Second},
					}, tt.kinds...)
					for i := range kinds {
						kinds[i].plain = plain
					}
					playQueues(t, queue, kinds, tt.trouble)
				})
			}
		}
	}
}

func playQueues(t *testing.T, queue time.Duration, kinds []kind, trouble func(p *play, at time.Duration)) {
	t.Helper()
	late, most, wronged, whole := 0, 0, 0, 0
	for _, seed := range []uint64{11, 14, 26, 33} {
		p := newPlay(seed)
		p.queue = queue
		p.run(24*time.Second, kinds, trouble)
		for name := range p.runs {
			n := p.lateRuns(name)
			most = max(most, n)
			if n > 3 {
				late++
			}
		}
		wronged += p.wronged()
		whole += p.whole["hot"]
	}
	t.Logf("late %d (most %d), wronged %d, hot ones whole %d", late, most, wronged, whole)
	if late > 0 {
		t.Errorf("%d requests that end upstreams ran on, up to %d times", late, most)
	}
	if wronged > 0 {
		t.Errorf("%d copies of requests that end nothing were refused", wronged)
	}
}
