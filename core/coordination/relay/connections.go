package relay

import (
	"context"
	"time"

	"persimmoncross"
)

// Limits of the connections of this entry to one upstream, see [Relay.maxConnections].
const (
	maxConnsFraction = 0.9 // fraction of an upstream's connections that all entries together use
	minConnsPerEntry = 2   // connections to an upstream per entry, however many entries there are
	// evenConnsFraction is the fraction of these connections that is divided evenly; the rest goes by the requests that
	// come to each entry. So the sum over all entries is the same however requests are distributed.
	evenConnsFraction = 0.5
	// crowdedFraction is the fraction of an even share of the connections to an upstream in use from which the
	// demands of the service are reported, crowdedTime how long after that.
	crowdedFraction = 0.5
	crowdedTime     = 2 * maxDemandAge
	// maxConnectionWait is how long a request waits for a connection, as a fraction of its latency objective: its caller
	// has time left to ask another entry then.
	maxConnectionWait = 0.25
	// connectionPollInterval is how often a request that waits looks for a free connection.
	connectionPollInterval = 10 * time.Millisecond
)

// maxConnections returns how many connections this entry may have to one upstream of the service, 0 if that is not
// limited. One that gets most requests has most of the connections.
func (r *Relay) maxConnections(service string) int {
	limit, _ := r.connectionLimits(service)
	return limit
}

// connectionLimits returns [Relay.maxConnections], and how many connections an even share would be, 0 if that is not limited. Both are of
// one view, since a document may drop the service at any time.
func (r *Relay) connectionLimits(service string) (limit, even int) {
	v := r.View()
	s := v.Catalog.Services[service]
	if s == nil || s.MaxConns == 0 {
		return 0, 0
	}
	entries := v.entryCountOrDefault()
	return connectionLimit(s.MaxConns, r.connectionShare(service, entries)), connectionLimit(s.MaxConns, 1/float64(entries))
}

func connectionLimit(accepted int, share float64) int {
	return max(int(maxConnsFraction*float64(accepted)*share), minConnsPerEntry)
}

// connectionShare returns the fraction of an upstream's connections that is this entry's: an even one while it is not
// known how many requests come to the others.
func (r *Relay) connectionShare(service string, entries int) float64 {
	even := 1 / float64(entries)
	if r.FleetDemands == nil {
		return even
	}
	now := r.Clock.Now()
	d, ok := r.FleetDemands.Of(service, now)
	if !ok || 2*d.Entries < entries {
		return even
	}
	own, reported := r.ownLoad.arrivalRates(service, now)
	others := max(d.ArrivalRate-reported, 0)
	if own+others <= 0 {
		return even
	}
	return evenConnsFraction*even + (1-evenConnsFraction)*own/(own+others)
}

// withConnections returns the candidates to which this entry may have one more request in flight.
func (c *call) withConnections(candidates []*Target) []*Target {
	if len(candidates) == 0 {
		return nil
	}
	r := c.relay
	limit, even := r.connectionLimits(c.service)
	if limit == 0 {
		return candidates
	}
	crowded := crowdedFraction * float64(even)
	var free []*Target
	for _, t := range candidates {
		used := int(t.inFlight.Load())
		if float64(used) >= crowded {
			r.ownLoad.recordCrowded(c.service, r.Clock.Now())
		}
		if used < limit {
			free = append(free, t)
		}
	}
	if len(free) < len(candidates) {
		r.incrementCounter("connections.short")
	}
	return free
}

// awaitConnection waits a little for a connection to one of the upstreams. It reports false if none became free in time.
func (c *call) awaitConnection(ctx context.Context) bool {
	if !c.noConnection || c.headSent {
		return false
	}
	now := c.relay.Clock.Now()
	if c.connectionWaitSince.IsZero() {
		c.connectionWaitSince = now
		c.relay.incrementCounter("connections.awaited")
	}
	if now.Sub(c.connectionWaitSince) >= time.Duration(maxConnectionWait*float64(c.latencyObjective())) {
		return false
	}
	persimmoncross.OwnWorkOf(ctx).End()
	select {
	case <-ctx.Done():
		return false
	case <-c.relay.Clock.After(connectionPollInterval):
		return true
	}
}
