package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"persimmoncross"
)

var start = time.Unix(1000, 0)

func parseVersions(names ...string) []persimmoncross.ModelVersion {
	var list []persimmoncross.ModelVersion
	for _, n := range names {
		list = append(list, persimmoncross.ParseModelVersion(n))
	}
	return list
}

func newEngine(name string, declared, reported []persimmoncross.ModelVersion) Engine {
	return Engine{
		Name:            name,
		SupportsFencing: true,
		Declared:        declared,
		Reported:        reported,
		Available:       true,
	}
}

func TestPlan(t *testing.T) {
	both, one := parseVersions("m@1", "m@2"), parseVersions("m@1")
	withoutReport := newEngine("a", both, nil)
	draining := newEngine("a", both, one)
	draining.Available = false
	withoutFencing := newEngine("a", both, one)
	withoutFencing.SupportsFencing = false
	for _, c := range []struct {
		name      string
		engines   []Engine
		withdrawn string
		after     time.Duration // time since this VM became the leader
		want      string
	}{
		{
			name:    "nothing to do",
			engines: []Engine{newEngine("a", one, one)},
			want:    "[]",
		},
		{
			name:    "loads on two engines at once, never on all that serve a version",
			engines: []Engine{newEngine("a", both, one), newEngine("b", both, one), newEngine("c", both, one), newEngine("d", both, one)},
			want:    "[{a load m@2} {b load m@2}]",
		},
		{
			name:    "loads on one engine of two",
			engines: []Engine{newEngine("a", both, one), newEngine("b", both, one)},
			want:    "[{a load m@2}]",
		},
		{
			name:    "loads on the only engine",
			engines: []Engine{newEngine("a", both, one)},
			want:    "[{a load m@2}]",
		},
		{
			name:      "does not load a withdrawn version",
			engines:   []Engine{newEngine("a", both, one)},
			withdrawn: "m@2",
			want:      "[]",
		},
		{
			name:    "unloads a version that another engine has",
			engines: []Engine{newEngine("a", parseVersions("m@2"), both), newEngine("b", one, one)},
			want:    "[{a unload m@1}]",
		},
		{
			name:    "does not unload the last copy of a declared version",
			engines: []Engine{newEngine("a", parseVersions("m@2"), both), newEngine("b", one, parseVersions("x@1"))},
			want:    "[{b load m@1}]",
		},
		{
			name:    "engine that reports no versions",
			engines: []Engine{withoutReport},
			want:    "[]",
		},
		{
			name:    "draining engine",
			engines: []Engine{draining},
			want:    "[]",
		},
		{
			name:    "engine without fencing, within the former leader's lease",
			engines: []Engine{withoutFencing},
			after:   2 * time.Second,
			want:    "[]",
		},
		{
			name:    "engine without fencing, after the former leader's lease",
			engines: []Engine{withoutFencing},
			after:   4 * time.Second,
			want:    "[{a load m@2}]",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &Planner{
				LeaderSince:       start,
				FormerLeaderLease: 3 * time.Second,
			}
			withdrawn := map[persimmoncross.ModelVersion]bool{
				persimmoncross.ParseModelVersion(c.withdrawn): true,
			}
			if got := fmt.Sprint(p.Plan(start.Add(c.after), c.engines, withdrawn)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// While a new version is loaded on all engines, another engine that is not loading must serve
// the old version at any time, and no more than two engines may load at once.
func TestLoadingAllEnginesKeepsCapacity(t *testing.T) {
	const engines = 7
	p := &Planner{
		LeaderSince:       start,
		FormerLeaderLease: time.Second,
	}
	var list []Engine
	for i := range engines {
		list = append(list, newEngine(fmt.Sprint(i), parseVersions("m@1", "m@2"), parseVersions("m@1")))
	}
	rounds := 0
	for now := start; ; now = now.Add(time.Second) {
		planned := p.Plan(now, list, nil)
		if len(planned) == 0 {
			break
		}
		if rounds++; len(planned) > DefaultMaxConcurrentLoads || rounds > engines {
			t.Fatalf("round %d: got orders %v", rounds, planned)
		}
		if again := p.Plan(now, list, nil); len(again) != 0 {
			t.Fatalf("got orders %v while loads are pending", again)
		}
		for _, o := range planned {
			i := slices.IndexFunc(list, func(e Engine) bool { return e.Name == o.Engine })
			list[i].Reported = append(slices.Clone(list[i].Reported), o.Version)
		}
	}
	for _, e := range list {
		if len(e.Reported) != 2 {
			t.Errorf("engine %s has %v, want two versions", e.Name, e.Reported)
		}
	}
}

// A load that was ordered before an engine restarted must be ordered again after the restart,
// unless the restarted engine reports the version as loaded.
func TestLoadIsOrderedAgainAfterEngineRestart(t *testing.T) {
	both, one := parseVersions("m@1", "m@2"), parseVersions("m@1")
	p := &Planner{
		LeaderSince: start,
	}
	a, b := newEngine("a", both, one), newEngine("b", one, one)
	plan := func(after time.Duration) string {
		return fmt.Sprint(p.Plan(start.Add(after), []Engine{a, b}, nil))
	}
	for _, tt := range []struct {
		what   string
		change func()
		want   string
	}{
		{"first", func() {}, "[{a load m@2}]"},
		{"engine a loads", func() {}, "[]"},
		{"engine a restarts while loading", func() { a.Restarts++ }, "[{a load m@2}]"},
		{"the restarted engine loads", func() {}, "[]"},
		{"engine b restarts", func() { b.Restarts++ }, "[]"},
		{"the load is reported", func() { a.Reported = both }, "[]"},
		{"engine a restarts with its initial version", func() { a.Restarts++; a.Reported = one }, "[{a load m@2}]"},
	} {
		tt.change()
		if got := plan(time.Second); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.what, got, tt.want)
		}
	}
}
