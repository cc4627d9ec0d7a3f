package node

import (
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// What an entry does about cold upstreams before the controllers have told it.

// coldDurations returns for how long the upstreams of services are cold after a start;
// services whose upstreams never are have no entry. The caller holds mu.
func (e *Entry) coldDurations() map[string]time.Duration {
	services := map[string]time.Duration{}
	if e.catalog == nil {
		return services
	}
	for name, s := range e.catalog.Services {
		if s.ColdFor > 0 {
			services[name] = s.ColdFor
		}
	}
	return services
}

// assumeReturnedCold takes the upstreams of the data centres that are evacuated no more for cold,
// until the leader tells who may send there. The caller holds mu.
func (e *Entry) assumeReturnedCold(previous, current map[string]register.Evacuation) {
	for name := range previous {
		if _, evacuated := current[name]; !evacuated {
			e.pool.AssumeCold(name, e.coldDurations())
		}
	}
}

// clearUnlimitedCold returns the list with its word on cold upstreams only where that means a
// limit; before there is a document it may mean one. The caller holds mu.
func (e *Entry) clearUnlimitedCold(list []persimmoncross.Upstream) []persimmoncross.Upstream {
	if e.catalog == nil {
		return list
	}
	services := e.coldDurations()
	limited := slices.Clone(list)
	for i, u := range limited {
		if services[u.Service] == 0 {
			limited[i].SlowStartRemaining = 0
		}
	}
	return limited
}
