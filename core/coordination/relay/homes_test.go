package relay

import (
	"fmt"
	"strings"
	"testing"

	"persimmoncross"
)

// Requests run in their home regions only: first attempts, retries, streams that go on,
// copies of shared parts, and those under suspicion. Where route and organisation have
// homes, both bind; without an upstream there callers are told at once.
func TestHomes(t *testing.T) {
	for _, tt := range []struct {
		what          string
		route, holder []string
		allowed       string // upstreams
	}{
		{"none", nil, nil, "u1 u2 u3 u4"},
		{"the route's", []string{"north"}, nil, "u1 u2"},
		{"the organisation's", nil, []string{"south"}, "u3"},
		{"both", []string{"north", "south"}, []string{"south", "west"}, "u3"},
		{"both, and none in common", []string{"north"}, []string{"south"}, ""},
		{"a region without upstreams", []string{"west"}, nil, ""},
	} {
		for _, route := range []string{"once", "safe", "stream"} {
			var answers []*answer
			for range 60 {
				answers = append(answers, rejection(), lost(persimmoncross.Unknown), whole("x"))
			}
			e := newEnv(answers...)
			e.relay.Regions = map[string]string{"a": "north", "b": "south"}
			pool := &Pool{
				Clock: e.clock,
			}
			var list []persimmoncross.Upstream
			for i, u := range e.targets {
				u.Upstream.DataCentre = []string{"a", "a", "b", "elsewhere"}[i]
				list = append(list, u.Upstream)
			}
			e.view.Targets = pool.Update(list)
			for _, r := range e.view.Catalog.Routes {
				r.Homes = tt.route
				r.Sticky = true
			}
			e.view.Catalog.Organisations[0].Homes = tt.holder
			allowed := map[string]bool{}
			for _, id := range []string{"u1", "u2", "u3", "u4"} {
				allowed[id] = len(tt.allowed) > 0 && strings.Contains(tt.allowed, id)
			}
			for i := range 20 {
				refusal := e.serve(t, route, func(p *persimmoncross.Passage) {
					p.ID = fmt.Sprint("id", i)
					p.Prompt = []persimmoncross.Part{{ID: fmt.Sprint("x", i%3), Tokens: 5000}, {ID: fmt.Sprint("own", i), Tokens: 10}}
				})
				if tt.allowed == "" && (refusal == nil || refusal.Run != persimmoncross.NotRun) {
					t.Errorf("%s, %s: %v", tt.what, route, refusal)
				}
			}
			for _, a := range e.forward.attempts {
				if !allowed[a.Upstream.Incarnation] {
					t.Fatalf("%s, %s: sent to %s", tt.what, route, a.Upstream.Incarnation)
				}
			}
			if tt.allowed != "" && len(e.forward.attempts) < 20 {
				t.Errorf("%s, %s: only %d attempts", tt.what, route, len(e.forward.attempts))
			}
		}
	}
}
