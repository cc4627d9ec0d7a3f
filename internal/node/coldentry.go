package node

import (
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// This file handles cold upstreams on an entry before the controllers have published them.

// coldDurations returns how long the upstreams of each service are cold after a start; services
// without a cold period are left out. The caller holds mu.
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

// assumeReturnedCold treats the upstreams of data centres whose evacuation has ended as cold,
// until the leader publishes which entries may send to them. The caller holds mu.
func (e *Entry) assumeReturnedCold(previous, current map[string]register.Evacuation) {
	for name := range previous {
		if _, evacuated := current[name]; !evacuated {
			e.pool.AssumeCold(name, e.coldDurations())
		}
	}
}

// clearUnlimitedCold returns the list with SlowStartRemaining cleared for services that declare
// no cold period. Without a document the list is returned unchanged, because a limit may apply.
// The caller holds mu.
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
