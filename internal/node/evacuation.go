package node

import (
	"maps"
	"slices"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/state/register"
)

// evacuatedDataCentres returns the evacuated data centres, sorted.
func evacuatedDataCentres(s *register.State) []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.Evacuations))
}

// availableUpstreams returns the upstreams outside evacuated data centres, which may receive
// requests.
func availableUpstreams(upstreams []persimmoncross.Upstream, evacuations map[string]register.Evacuation) []persimmoncross.Upstream {
	if len(evacuations) == 0 {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u persimmoncross.Upstream) bool {
		_, evacuated := evacuations[u.DataCentre]
		return evacuated
	})
}

// availableTargets returns the targets outside evacuated data centres, which may receive
// requests. A service without any such target stays in the map, so that it remains known and
// its requests are refused at once.
func availableTargets(targets map[string][]*relay.Target, evacuations map[string]register.Evacuation) map[string][]*relay.Target {
	if len(evacuations) == 0 || targets == nil {
		return targets
	}
	available := make(map[string][]*relay.Target, len(targets))
	for service, all := range targets {
		available[service] = slices.DeleteFunc(slices.Clone(all), func(t *relay.Target) bool {
			_, evacuated := evacuations[t.DataCentre]
			return evacuated
		})
	}
	return available
}
