package node

import (
	"time"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// What an entry does about cold upstreams before the controllers have told it.

// coldServices returns for how long the upstreams of services are cold after a start;
// services whose upstreams never are have no entry. The caller holds mu.
func (e *Entry) coldServices() map[string]time.Duration {
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

// tookBack takes the upstreams of the data centres that are evacuated no more for cold,
// until the leader tells who may send there. The caller holds mu.
func (e *Entry) tookBack(before, now map[string]register.Evacuation) {
	for name := range before {
		if _, under := now[name]; !under {
			e.pool.Expect(name, e.coldServices())
		}
	}
}

// knownCold keeps the list's word on cold upstreams where it means a limit. The caller
// holds mu.
func (e *Entry) knownCold(list []persimmoncross.Upstream) {
	services := e.coldServices()
	for i, u := range list {
		if services[u.Service] == 0 {
			list[i].Cold = 0
		}
	}
}
