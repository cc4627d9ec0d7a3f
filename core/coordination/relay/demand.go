package relay

import (
	"sync"
	"time"
)

// maxDemandAge is how long the demand of all entries is used. After that, entries decide by
// their own requests only.
const maxDemandAge = 2 * time.Second

// Demand is what requests hold and await of a service, at one entry or summed over all entries.
type Demand struct {
	Service       string
	WaitingByRank []int   // requests that wait in entries' queues, by rank
	BeginRate     float64 // requests that entries begin per second
	ArrivalRate   float64 // requests that come to entries per second
	Entries       int     // number of entries in the sum
	Crowded       int     // entries that use much of an even share of the connections to an upstream
	Holdings      []Holding
}

// Holding is what one organisation's requests hold and await of a service.
type Holding struct {
	Organisation string
	Held         int // requests that were sent to upstreams and have not ended
	Waiting      int // requests that wait in entries' queues
}

// Waiting returns the number of requests that wait in the entries' queues.
func (d Demand) Waiting() int {
	sum := 0
	for _, n := range d.WaitingByRank {
		sum += n
	}
	return sum
}

// FleetDemands keeps the demand of all entries by service, as received from the controllers. The
// zero value has none.
type FleetDemands struct {
	mu         sync.Mutex // guards all below
	byService  map[string]Demand
	receivedAt time.Time
}

// Apply replaces the demands.
func (f *FleetDemands) Apply(demands []Demand, now time.Time) {
	byService := make(map[string]Demand, len(demands))
	for _, d := range demands {
		byService[d.Service] = d
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byService = byService
	f.receivedAt = now
}

// Of returns the fleet's demand of the service. It returns false if none was received within
// maxDemandAge.
func (f *FleetDemands) Of(service string, now time.Time) (Demand, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.receivedAt) > maxDemandAge {
		return Demand{}, false
	}
	d, ok := f.byService[service]
	return d, ok
}
