package relay

import (
	"testing"
	"time"

	"persimmoncross"
)

// With the mode auto and nothing declared, a service is covered from the first load with a pace,
// and no other service is.
func TestOverloadEnabledFromReportedPace(t *testing.T) {
	r := &Relay{
		Config: Config{
			Overload: persimmoncross.OverloadPolicy{
				Mode: persimmoncross.OverloadAuto,
			},
		},
	}
	r.pacedServices.record("engines", nil)
	r.pacedServices.record("engines", &persimmoncross.UpstreamLoad{
		Slots: 8,
	})
	if r.overloadEnabled(persimmoncross.OverloadQueue, "engines") {
		t.Error("enabled without a reported pace")
	}
	r.pacedServices.record("engines", &persimmoncross.UpstreamLoad{
		Slots: 8,
		Pace:  170,
	})
	if !r.overloadEnabled(persimmoncross.OverloadQueue, "engines") {
		t.Error("not enabled after a reported pace")
	}
	if r.overloadEnabled(persimmoncross.OverloadQueue, "desk") {
		t.Error("enabled for another service")
	}
}

func TestBeginDelay(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name             string
		running, waiting int
		want             time.Duration
	}{
		{"a slot is free", 7, 0, 0},
		{"all slots taken", 8, 0, time.Second / 8},
		{"all slots taken and as many waiting", 8, 8, 9 * time.Second / 8},
	}
	for _, tt := range tests {
		target := &Target{
			Upstream: persimmoncross.Upstream{
				Slots: 8,
			},
			targetState: &targetState{},
		}
		target.recordLoad(&persimmoncross.UpstreamLoad{
			Running: tt.running,
			Waiting: tt.waiting,
			Slots:   8,
		}, now)
		if got := target.beginDelay(time.Second, now); got != tt.want {
			t.Errorf("%s: delay %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Demand that is too old is not used, so that entries without news decide by their own requests.
func TestFleetDemandsExpire(t *testing.T) {
	now := time.Unix(100, 0)
	f := &FleetDemands{}
	if _, ok := f.Of("engines", now); ok {
		t.Error("demand is known before any was received")
	}
	f.Apply([]Demand{{
		Service:       "engines",
		WaitingByRank: []int{2, 0, 3},
	}}, now)
	if d, ok := f.Of("engines", now.Add(maxDemandAge)); !ok || d.Waiting() != 5 {
		t.Errorf("demand %+v, %v, want 5 waiting", d, ok)
	}
	if _, ok := f.Of("desk", now); ok {
		t.Error("demand is known for a service without any")
	}
	if _, ok := f.Of("engines", now.Add(maxDemandAge+1)); ok {
		t.Error("demand is used after maxDemandAge")
	}
}
