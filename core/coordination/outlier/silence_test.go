package outlier

import (
	"testing"
	"time"
)

func TestSilenceLimit(t *testing.T) {
	const objective, pause = 3 * time.Second, time.Second
	tests := []struct {
		what    string
		silence Silence
		limit   time.Duration
		ok      bool
	}{
		{
			what: "a head of which nothing is known",
			silence: Silence{
				Objective: objective,
			},
			limit: 1200 * time.Millisecond,
			ok:    true,
		},
		{
			what: "a head that takes long by itself",
			silence: Silence{
				Expected:  time.Second,
				Objective: objective,
			},
			limit: 4 * time.Second,
			ok:    true,
		},
		{
			what: "a head at an upstream whose streams should be heard",
			silence: Silence{
				Expected:  time.Second,
				Objective: objective,
				Pause:     pause,
				Streams:   3,
			},
			limit: 600 * time.Millisecond,
			ok:    true,
		},
		{
			what: "one stream alone says nothing of a head",
			silence: Silence{
				Objective: objective,
				Pause:     pause,
				Streams:   1,
			},
			limit: 1200 * time.Millisecond,
			ok:    true,
		},
		{
			what: "a stream",
			silence: Silence{
				Pause: pause,
				Begun: true,
			},
			limit: 600 * time.Millisecond,
			ok:    true,
		},
		{
			what: "a stream beside a long prompt",
			silence: Silence{
				Pause: pause,
				Begun: true,
				Usual: 450 * time.Millisecond,
			},
			limit: 900 * time.Millisecond,
			ok:    true,
		},
		{
			what: "a head behind a long prompt",
			silence: Silence{
				Objective: objective,
				Reading:   2 * time.Second,
			},
			limit: 4 * time.Second,
			ok:    true,
		},
		{
			what: "a stream whose upstream reads a long prompt",
			silence: Silence{
				Pause:   pause,
				Begun:   true,
				Reading: 2 * time.Second,
			},
			limit: 2600 * time.Millisecond,
			ok:    true,
		},
		{
			what: "a stream whose upstream others doubt",
			silence: Silence{
				Pause:   pause,
				Begun:   true,
				Doubted: true,
			},
			limit: 300 * time.Millisecond,
			ok:    true,
		},
		{
			what:  "a head of a route without an objective",
			limit: 200 * time.Millisecond,
			ok:    true,
		},
		{
			what: "a stream of a route without a longest pause",
			silence: Silence{
				Objective: objective,
				Begun:     true,
			},
		},
	}
	for _, tt := range tests {
		limit, ok := tt.silence.Limit()
		if ok != tt.ok || ok && limit != tt.limit {
			t.Errorf("%s: %v %v, want %v %v", tt.what, limit, ok, tt.limit, tt.ok)
		}
	}
}

// A long pause is remembered for seconds, and a longer one replaces it.
func TestPausesFade(t *testing.T) {
	now := time.Unix(100, 0)
	p := &Pauses{}
	if got := p.Longest(now); got != 0 {
		t.Errorf("of no stream the longest pause is %v", got)
	}
	p.Take(400*time.Millisecond, now)
	p.Take(80*time.Millisecond, now.Add(time.Second))
	if got := p.Longest(now.Add(time.Second)); got != 200*time.Millisecond {
		t.Errorf("after a second it is %v, want half", got)
	}
	p.Take(250*time.Millisecond, now.Add(time.Second))
	if got := p.Longest(now.Add(time.Second)); got != 250*time.Millisecond {
		t.Errorf("a longer one gives %v", got)
	}
	if got := p.Longest(now.Add(time.Minute)); got != 0 {
		t.Errorf("after a minute it is %v", got)
	}
}

func TestSuspicion(t *testing.T) {
	now := time.Unix(100, 0)
	s := &Suspicion{}
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		want *= time.Second
		s.Doubt(now)
		if !s.Holds(now.Add(want-time.Millisecond)) || s.Holds(now.Add(want)) {
			t.Fatalf("the suspicion does not last %v", want)
		}
		now = now.Add(want)
	}
	s.Trust()
	s.Doubt(now)
	if s.Holds(now.Add(SuspectFirst)) {
		t.Error("after an answer the suspicion does not begin anew")
	}
}
