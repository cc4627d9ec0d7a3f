package relay

import (
	"testing"
	"time"

	"persimmoncross"
)

// Guards against requests that are refused by a VM that has just started: its first list of upstreams came
// some hundred milliseconds later, and the wait for it never took place.
func TestRequestWaitsForFirstList(t *testing.T) {
	for _, test := range []struct {
		name      string
		listAfter time.Duration // 0: never
		empty     bool          // the list has no upstreams
		want      persimmoncross.Code
		maxWait   time.Duration
	}{
		{
			name:      "the list comes in time",
			listAfter: 500 * time.Millisecond,
			maxWait:   600 * time.Millisecond,
		},
		{
			name:    "no list comes",
			want:    persimmoncross.CodeNoUpstream,
			maxWait: startupWaitTimeout + 2*retryRoundDelay,
		},
		{
			name:      "the list is empty",
			listAfter: time.Nanosecond,
			empty:     true,
			want:      persimmoncross.CodeNoUpstream,
			maxWait:   retryRoundDelay,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEnv(okResponse("x"))
			targets := e.view.Targets
			if test.empty {
				targets = map[string][]*Target{}
			}
			var start time.Time
			e.relay.View = func() *View {
				v := *e.view
				if start.IsZero() {
					start = e.clock.Now()
				}
				v.Targets = nil
				if test.listAfter > 0 && e.clock.Now().Sub(start) >= test.listAfter-time.Nanosecond {
					v.Targets = targets
				}
				return &v
			}
			refusal := e.serve(t, "once", nil)
			code := persimmoncross.Code("")
			if refusal != nil {
				code = refusal.Code
				if refusal.Run != persimmoncross.NotRun {
					t.Errorf("run status %v, want not run", refusal.Run)
				}
			}
			if waited := e.clock.Now().Sub(start); code != test.want || waited > test.maxWait {
				t.Errorf("code %q after %v, want %q within %v", code, waited, test.want, test.maxWait)
			}
		})
	}
}
