package relay

import (
	"net/netip"
	"testing"
	"time"

	"persimmoncross"
)

// An upstream that restarts under its name has lost its requests and its caches, so no state of
// the former instance may be used for the new one. The start time may be received late, and the
// address may change too or be the only sign of the restart.
func TestRestartDiscardsTargetState(t *testing.T) {
	now := time.Unix(100, 0)
	start := func(ms int64) time.Time { return time.UnixMilli(ms) }
	original := persimmoncross.Upstream{
		Name:      "u",
		StartedAt: start(1_000_000),
		Service:   "s",
		Address:   netip.MustParseAddrPort("10.0.0.1:80"),
		Slots:     4,
	}
	with := func(change func(u *persimmoncross.Upstream)) persimmoncross.Upstream {
		u := original
		change(&u)
		return u
	}
	withoutStart := with(func(u *persimmoncross.Upstream) { u.StartedAt = time.Time{} })
	for _, tt := range []struct {
		name              string
		previous, current persimmoncross.Upstream
		restarted         bool
	}{
		{"unchanged", original, original, false},
		{"leaves", original, with(func(u *persimmoncross.Upstream) { u.Draining = true }), false},
		{"another version", original, with(func(u *persimmoncross.Upstream) { u.Version = "v2" }), false},
		{"restarted later", original, with(func(u *persimmoncross.Upstream) { u.StartedAt = start(1_000_001) }), true},
		{"earlier start time, as after a clock was set back", original, with(func(u *persimmoncross.Upstream) { u.StartedAt = start(500) }), true},
		{"start time in the future", original, with(func(u *persimmoncross.Upstream) { u.StartedAt = now.Add(time.Hour) }), true},
		{"start time received late", withoutStart, original, true},
		{"start time no longer reported", original, withoutStart, true},
		{"another address without a start time", withoutStart, with(func(u *persimmoncross.Upstream) {
			u.StartedAt = time.Time{}
			u.Address = netip.MustParseAddrPort("10.0.0.9:80")
		}), true},
		{"start time never reported", withoutStart, withoutStart, false},
	} {
		var removed []string
		var replaced []persimmoncross.Upstream
		p := &Pool{
			Clock:      frozenClock{},
			OnRemoved:  func(instanceID string) { removed = append(removed, instanceID) },
			OnReplaced: func(was, is persimmoncross.Upstream) { replaced = append(replaced, was, is) },
		}
		before := p.Update([]persimmoncross.Upstream{tt.previous})["s"][0]
		// All state that an entry can keep for an upstream.
		before.inFlight.Add(2)
		before.recordLoad(&persimmoncross.UpstreamLoad{
			Running: 4,
			Waiting: 9,
		}, now)
		before.trackPendingHead(now, 7*time.Second)
		for range 50 {
			before.recordAttempt()
			before.recordResult(true, now)
		}
		before.recordUnreachable(now)
		before.recordMisdirected(now)
		before.recordPause(3*time.Second, now)
		p.ApplyFleetLoads([]FleetLoad{
			{
				InstanceID:        tt.previous.InstanceID(),
				PrefillTime:       20 * time.Second,
				SuspectingEntries: 5,
			},
		})
		after := p.Update([]persimmoncross.Upstream{tt.current})["s"][0]
		p.ApplyFleetLoads([]FleetLoad{
			{
				InstanceID:        tt.previous.InstanceID(), // from a controller that still has the old list
				PrefillTime:       30 * time.Second,
				SuspectingEntries: 6,
			},
		})
		retained := after.inFlight.Load() != 0 || after.requestEstimate(now) != 0 || after.pendingPrefill(now) != 0 || after.timeToHead(now) != 0 ||
			after.isSuspected(now) || after.isSuspectedByOthers(now) || after.longestPause(now) != 0 || !after.Draining && after.IsDraining(now)
		if retained == tt.restarted {
			t.Errorf("%s: state retained = %v", tt.name, retained)
		}
		if len(removed) == 1 != tt.restarted || tt.restarted && removed[0] != tt.previous.InstanceID() {
			t.Errorf("%s: OnRemoved was called with %v", tt.name, removed)
		}
		if len(replaced) == 2 != tt.restarted || tt.restarted && (replaced[0].InstanceID() != tt.previous.InstanceID() || replaced[1].InstanceID() != tt.current.InstanceID()) {
			t.Errorf("%s: OnReplaced was called with %v", tt.name, replaced)
		}
		before.inFlight.Add(-2)
		if n := after.inFlight.Load(); n != 0 {
			t.Errorf("%s: %d requests in flight after the earlier ones ended, want 0", tt.name, n)
		}
	}
}

// An upstream gets work again after it returns to its address under its name, although another
// upstream had answered there and its start time is not reported.
func TestAddressReuseExpires(t *testing.T) {
	misdirected := failedResponse(421)
	misdirected.head.Misdirected = true
	e := newTestEnv(misdirected, okResponse("x"))
	start := e.clock.Now()
	if r := e.serve(t, "once", nil); r != nil {
		t.Fatal(r)
	}
	first := e.forwarder.attempts[0].Upstream.Name
	now := e.relay.Clock.Now()
	for _, u := range e.targets {
		if u.Name != first {
			continue
		}
		if !u.IsDraining(start) || u.IsDraining(now.Add(time.Minute)) {
			t.Errorf("draining = %v at once and %v after a minute, want true and false", u.IsDraining(start), u.IsDraining(now.Add(time.Minute)))
		}
		u.clearSuspicion()
		if u.IsDraining(start) {
			t.Error("an upstream that has answered still gets no new work")
		}
	}
}
