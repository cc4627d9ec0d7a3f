package outlier

import (
	"testing"
	"time"
)

func TestIdleTimeout(t *testing.T) {
	const objective, pauseLimit = 3 * time.Second, time.Second
	tests := []struct {
		name    string
		state   IdleState
		timeout time.Duration
		ok      bool
	}{
		{
			name: "response head without an expected wait",
			state: IdleState{
				Objective: objective,
			},
			timeout: 1200 * time.Millisecond,
			ok:      true,
		},
		{
			name: "response head with a long expected wait",
			state: IdleState{
				ExpectedHeadWait: time.Second,
				Objective:        objective,
			},
			timeout: 4 * time.Second,
			ok:      true,
		},
		{
			name: "response head at an upstream with several active streams",
			state: IdleState{
				ExpectedHeadWait: time.Second,
				Objective:        objective,
				PauseLimit:       pauseLimit,
				ActiveStreams:    3,
			},
			timeout: 600 * time.Millisecond,
			ok:      true,
		},
		{
			name: "response head at an upstream with a single active stream",
			state: IdleState{
				Objective:     objective,
				PauseLimit:    pauseLimit,
				ActiveStreams: 1,
			},
			timeout: 1200 * time.Millisecond,
			ok:      true,
		},
		{
			name: "started stream",
			state: IdleState{
				PauseLimit:   pauseLimit,
				HeadReceived: true,
			},
			timeout: 600 * time.Millisecond,
			ok:      true,
		},
		{
			name: "stream during the prefill of a long prompt",
			state: IdleState{
				PauseLimit:   pauseLimit,
				HeadReceived: true,
				RecentPause:  450 * time.Millisecond,
			},
			timeout: 900 * time.Millisecond,
			ok:      true,
		},
		{
			name: "response head with pending prefill",
			state: IdleState{
				Objective:      objective,
				PendingPrefill: 2 * time.Second,
			},
			timeout: 4 * time.Second,
			ok:      true,
		},
		{
			name: "stream with pending prefill",
			state: IdleState{
				PauseLimit:     pauseLimit,
				HeadReceived:   true,
				PendingPrefill: 2 * time.Second,
			},
			timeout: 2600 * time.Millisecond,
			ok:      true,
		},
		{
			name: "stream at an upstream that other entries suspect",
			state: IdleState{
				PauseLimit:        pauseLimit,
				HeadReceived:      true,
				SuspectedByOthers: true,
			},
			timeout: 300 * time.Millisecond,
			ok:      true,
		},
		{
			name:    "response head on a route without an objective",
			timeout: 200 * time.Millisecond,
			ok:      true,
		},
		{
			name: "stream on a route without a pause limit",
			state: IdleState{
				Objective:    objective,
				HeadReceived: true,
			},
		},
	}
	for _, tt := range tests {
		limit, ok := tt.state.Timeout()
		if ok != tt.ok || ok && limit != tt.timeout {
			t.Errorf("%s: %v %v, want %v %v", tt.name, limit, ok, tt.timeout, tt.ok)
		}
	}
}

// A long pause counts for seconds, with decreasing weight, and a longer one replaces it.
func TestPauseTracker(t *testing.T) {
	now := time.Unix(100, 0)
	p := &PauseTracker{}
	if got := p.Longest(now); got != 0 {
		t.Errorf("longest pause %v without a recorded pause", got)
	}
	p.Record(400*time.Millisecond, now)
	p.Record(80*time.Millisecond, now.Add(time.Second))
	if got := p.Longest(now.Add(time.Second)); got != 200*time.Millisecond {
		t.Errorf("after a second the longest pause is %v, want half", got)
	}
	p.Record(250*time.Millisecond, now.Add(time.Second))
	if got := p.Longest(now.Add(time.Second)); got != 250*time.Millisecond {
		t.Errorf("after a longer pause the longest pause is %v, want 250ms", got)
	}
	if got := p.Longest(now.Add(time.Minute)); got != 0 {
		t.Errorf("after a minute the longest pause is %v, want 0", got)
	}
}

func TestSuspicion(t *testing.T) {
	now := time.Unix(100, 0)
	s := &Suspicion{}
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		want *= time.Second
		s.Suspect(now)
		if !s.IsActive(now.Add(want-time.Millisecond)) || s.IsActive(now.Add(want)) {
			t.Fatalf("suspicion does not last %v", want)
		}
		now = now.Add(want)
	}
	s.Clear()
	s.Suspect(now)
	if s.IsActive(now.Add(InitialSuspicionDuration)) {
		t.Error("suspicion after Clear does not start at the initial duration")
	}
}
