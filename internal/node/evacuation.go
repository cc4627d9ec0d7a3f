package node

import (
	"maps"
	"slices"

	"persimmoncross"
	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/state/register"
)

// evacuated returns the data centres that are evacuated, in order.
func evacuated(s *register.State) []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.Evacuations))
}

// remaining returns the upstreams that may get requests.
func remaining(list []persimmoncross.Upstream, evacuations map[string]register.Evacuation) []persimmoncross.Upstream {
	if len(evacuations) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(u persimmoncross.Upstream) bool {
		_, gone := evacuations[u.DataCentre]
		return gone
	})
}

// remainingTargets returns the targets that may get requests. A service that has none
// left keeps its name: it is known, and refused at once.
func remainingTargets(targets map[string][]*relay.Target, evacuations map[string]register.Evacuation) map[string][]*relay.Target {
	if len(evacuations) == 0 {
		return targets
	}
	left := make(map[string][]*relay.Target, len(targets))
	for service, all := range targets {
		left[service] = slices.DeleteFunc(slices.Clone(all), func(t *relay.Target) bool {
			_, gone := evacuations[t.DataCentre]
			return gone
		})
	}
	return left
}
