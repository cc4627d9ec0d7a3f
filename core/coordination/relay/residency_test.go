package relay

import (
	"fmt"
	"strings"
	"testing"

	"persimmoncross"
)

// Requests run only in the regions that are allowed for them. This holds for first attempts,
// retries, resumed streams, copies of shared parts and isolated requests, because the upstreams
// of all of these are picked from eligibleTargets; this test covers first attempts and retries. If
// both the route and the organisation list regions, both lists apply. If no upstream is in an
// allowed region, callers are refused at once.
func TestDataResidency(t *testing.T) {
	for _, tt := range []struct {
		name                              string
		routeRegions, organisationRegions []string
		allowed                           string // names of the allowed upstreams
	}{
		{"none", nil, nil, "u1 u2 u3 u4"},
		{"route regions", []string{"north"}, nil, "u1 u2"},
		{"organisation regions", nil, []string{"south"}, "u3"},
		{"both", []string{"north", "south"}, []string{"south", "west"}, "u3"},
		{"both without a common region", []string{"north"}, []string{"south"}, ""},
		{"region without upstreams", []string{"west"}, nil, ""},
	} {
		for _, route := range []string{"once", "safe", "stream"} {
			var responses []*fakeResponse
			for range 60 {
				responses = append(responses, rejectedResponse(), lostResponse(persimmoncross.RunUnknown), okResponse("x"))
			}
			e := newTestEnv(responses...)
			e.relay.RegionByDataCentre = map[string]string{"a": "north", "b": "south"}
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
				r.Homes = tt.routeRegions
				r.Sticky = true
			}
			e.view.Catalog.Organisations[0].Homes = tt.organisationRegions
			allowed := map[string]bool{}
			for _, id := range []string{"u1", "u2", "u3", "u4"} {
				allowed[id] = len(tt.allowed) > 0 && strings.Contains(tt.allowed, id)
			}
			for i := range 20 {
				refusal := e.serve(t, route, func(p *persimmoncross.ProxyRequest) {
					p.ID = fmt.Sprint("id", i)
					p.PromptParts = []persimmoncross.PromptPart{{ID: fmt.Sprint("x", i%3), Tokens: 5000}, {ID: fmt.Sprint("own", i), Tokens: 10}}
				})
				if tt.allowed == "" && (refusal == nil || refusal.Run != persimmoncross.NotRun) {
					t.Errorf("%s, route %s: refusal %v, want not run", tt.name, route, refusal)
				}
			}
			for _, a := range e.forwarder.attempts {
				if !allowed[a.Upstream.Name] {
					t.Fatalf("%s, route %s: sent to %s, which is in no allowed region", tt.name, route, a.Upstream.Name)
				}
				for i, dataCentre := range []string{"a", "a", "b", "elsewhere"} {
					if a.MayCarry != nil && a.MayCarry(dataCentre) != allowed[e.targets[i].Name] || a.MayCarry == nil && tt.name != "none" {
						t.Fatalf("%s, route %s: VMs in %s may pass the request on, or may not, unlike upstreams there", tt.name, route, dataCentre)
					}
				}
			}
			if tt.allowed != "" && len(e.forwarder.attempts) < 20 {
				t.Errorf("%s, route %s: got %d attempts, want at least 20", tt.name, route, len(e.forwarder.attempts))
			}
		}
	}
}
