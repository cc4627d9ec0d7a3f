package upgrade_test

import (
	"fmt"
	"testing"
	"time"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// pacesOf returns the paces of so many streams.
func pacesOf(streams int, pace time.Duration) upgrade.Paces {
	var p upgrade.Paces
	for range streams {
		p.Count(pace)
	}
	return p
}

// streamEvidence returns evidence whose answers have no failures, with streams of the new version at upstreams of
// their own.
func streamEvidence(sound, slow int) upgrade.Evidence {
	e := answersOnRoute(40, 0, 400, 4)
	counts := upgrade.PaceCounts{
		New: map[string]upgrade.Paces{},
		Old: pacesOf(190, 25*time.Millisecond),
	}
	counts.Old.Add(pacesOf(10, 80*time.Millisecond))
	for i := range sound {
		counts.New[fmt.Sprint("sound", i)] = pacesOf(1, 20*time.Millisecond)
	}
	for i := range slow {
		counts.New[fmt.Sprint("slow", i)] = pacesOf(1, 90*time.Millisecond)
	}
	e.Paces = map[upgrade.PaceKey]upgrade.PaceCounts{{Route: "r", Model: "m"}: counts}
	return e
}

// An overloaded old version is slow too, and a trial's upstreams are nearly idle.
func TestOverloadDoesNotHideSlowVersion(t *testing.T) {
	for _, tt := range []struct {
		name string
		pace time.Duration // of the new version
		want register.Stage
	}{
		{"slow", 93 * time.Millisecond, register.Withdrawn},
		{"twice as slow", 50 * time.Millisecond, register.Withdrawn},
		{"good", 22 * time.Millisecond, register.Completed},
	} {
		e := streamEvidence(0, 0)
		key := upgrade.PaceKey{Route: "r", Model: "m"}
		counts := e.Paces[key]
		counts.Old = pacesOf(40, 25*time.Millisecond)
		counts.Old.Add(pacesOf(160, 110*time.Millisecond))
		for i := range 10 {
			counts.New[fmt.Sprint("u", i)] = pacesOf(2, tt.pace)
		}
		e.Paces[key] = counts
		if stage, reason := playUpgrade(12*time.Second, func(time.Duration) upgrade.Evidence { return e }); stage != tt.want {
			t.Errorf("%s: %s (%s), want %s", tt.name, stage, reason, tt.want)
		}
	}
}

// The shift sends all requests to the new version: a slow one must have shown before it.
func TestShiftWaitsForPaces(t *testing.T) {
	for _, tt := range []struct {
		sound, slow int
		want        register.Stage
	}{
		{0, 0, register.Trial},
		{0, 2, register.Trial},
		{1, 1, register.Trial},
		{4, 0, register.Shift},
		{6, 1, register.Shift},
		{3, 2, register.Shift}, // some upstreams are slow by themselves
	} {
		u := register.Upgrade{
			Duration: 12 * time.Second,
			Stage:    register.Trial,
		}
		limit := upgrade.ExposureLimit{
			Share:         0.15,
			ExtraRequests: 30,
		}
		if stage, reason := upgrade.NextStage(u, 11*time.Second, limit, streamEvidence(tt.sound, tt.slow), true); stage != tt.want {
			t.Errorf("%d sound and %d slow streams: %s (%s), want %s", tt.sound, tt.slow, stage, reason, tt.want)
		}
	}
}

// BenchmarkPacesOfManyEntries measures one decision of the leader on the paces of 380 entries, with 200 upstreams
// of the new version, 6 routes and 3 models.
func BenchmarkPacesOfManyEntries(b *testing.B) {
	m := &upgrade.Matcher{}
	m.Begin(time.Unix(0, 0))
	for entry := range 380 {
		var reports []upgrade.PaceReport
		for i := range 18 {
			key := upgrade.PaceKey{
				Route: fmt.Sprint("r", i%6),
				Model: fmt.Sprint("m", i%3),
			}
			reports = append(reports, upgrade.PaceReport{
				PaceKey: key,
				Paces:   pacesOf(20, 25*time.Millisecond),
			}, upgrade.PaceReport{
				PaceKey:  key,
				Upstream: fmt.Sprint("u", (entry+i)%200),
				New:      true,
				Paces:    pacesOf(2, 25*time.Millisecond),
			})
		}
		m.SetPaces(fmt.Sprint("e", entry), reports)
	}
	u := register.Upgrade{
		Duration: 12 * time.Second,
		Stage:    register.Shift,
	}
	for b.Loop() {
		upgrade.NextStage(u, 11500*time.Millisecond, upgrade.ExposureLimit{}, m.Evidence(), true)
	}
}
