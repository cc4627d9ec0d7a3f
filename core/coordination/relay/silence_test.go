package relay

import (
	"context"
	"testing"
	"time"

	"persimmoncross"
)

// TestSilentSecondOfSoundUpstream guards against attempts that are moved while their upstream is only
// silent for a second: they would run at two upstreams. One that accepts no connections is left as
// before.
func TestSilentSecondOfSoundUpstream(t *testing.T) {
	for _, tt := range []struct {
		name    string
		down    bool
		silence time.Duration
		moved   bool
	}{
		{"accepts connections, silent for a second", false, 1200 * time.Millisecond, false},
		{"accepts connections, silent for longer", false, 1600 * time.Millisecond, true},
		{"accepts no connections", true, 1200 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := newTestEnv()
			clock := newManualClock()
			e.relay.Clock = clock
			e.relay.Prober = fakeProber(tt.down)
			target := e.targets[0]
			route := *e.view.Catalog.Route("h", "/stream/x")
			route.Pause = time.Second
			c := &call{
				relay:   e.relay,
				route:   &route,
				service: testService,
				request: &persimmoncross.ProxyRequest{},
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			detector := c.startStallDetector(ctx, cancel, target)
			detector.recordHead(clock.Now())
			for silent := time.Duration(0); silent < tt.silence && !detector.stalled.Load(); silent += stallCheckInterval {
				clock.fireNext(stallCheckInterval)
				awaitDetector(clock, ctx)
				awaitProbe(target)
			}
			if moved := ctx.Err() != nil; moved != tt.moved {
				t.Errorf("moved: %v", moved)
			}
		})
	}
}

// awaitDetector waits until the detector waits for its clock again, or has canceled the attempt.
func awaitDetector(clock *manualClock, ctx context.Context) {
	for len(clock.waits) == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// awaitProbe waits until no connection is being tried.
func awaitProbe(target *Target) {
	for pending := true; pending; {
		target.mu.Lock()
		pending = target.silence.pending
		target.mu.Unlock()
	}
}
