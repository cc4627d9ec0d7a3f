// Package limits enforces each organisation's rate and concurrency limits.
//
// The settings define the limits for the whole fleet. Each entry enforces its
// share: the limit divided by the number of live entries, because the load
// balancer distributes the requests about evenly. When an entry fails, its share
// goes to the others within one heartbeat.
package limits

import (
	"maps"
	"math"
	"sync"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/fairshare"
)

// Limits of the admission control while the upstreams are loaded.
const (
	// fairShareThreshold is the share of the slots in use from which fair shares are enforced;
	// the rest is left for organisations below their fair share.
	fairShareThreshold      = 0.7
	maxSoleOrganisationLoad = 8.0 // requests per slot for an organisation that is alone in the pool
	overloadRetryAfter      = time.Second
)

// concurrencyRetryAfter is the Retry-After delay of a request over the concurrency limit.
const concurrencyRetryAfter = time.Second

// Limiter counts the requests of each organisation at one entry and enforces the limits.
type Limiter struct {
	Clock       persimmoncross.Clock
	LiveEntries func() int // number of live entries, at least 1

	mu                  sync.Mutex // guards all fields below
	usageByOrganisation map[string]*organisationUsage
	pools               map[string]*upstreamPool
}

// upstreamPool counts the requests running on the upstreams that serve one model, version or
// cascade.
type upstreamPool struct {
	local             map[string]int // requests at this entry, by organisation
	peers             map[string]int // requests at the other entries in their latest reports, by organisation
	localAtPeerUpdate map[string]int // value of local when peers was updated
}

type organisationUsage struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// Quota is one organisation's limits for the whole fleet, with the pool that a request uses.
type Quota struct {
	PoolName    string  // the requested model, version or cascade
	Capacity    int     // requests that the pool's upstreams can run concurrently; 0 means unknown
	Rate        float64 // requests per second
	Burst       int
	Concurrency int
}

// Admit admits a request of the organisation, or refuses it with a Retry-After delay. A request
// over the rate limit gets the time until the organisation's next token as the delay. The
// returned function must be called when the request ends.
func (l *Limiter) Admit(organisation string, quota Quota) (release func(), refusal *persimmoncross.Refusal) {
	entryShare := 1 / float64(max(1, l.LiveEntries()))
	rate := quota.Rate * entryShare
	burst := math.Max(1, float64(quota.Burst)*entryShare)
	maxConcurrent := int(math.Max(1, math.Ceil(float64(quota.Concurrency)*entryShare)))
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.usageOf(organisation, now, burst)
	usage.tokens = math.Min(burst, usage.tokens+rate*now.Sub(usage.refilledAt).Seconds())
	usage.refilledAt = now
	if usage.tokens < 1 {
		wait := time.Duration((1 - usage.tokens) / rate * float64(time.Second))
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeRateLimited, "%s is over its rate of %g requests a second", organisation, quota.Rate).WithRetryAfter(wait)
	}
	if usage.inFlight >= maxConcurrent {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeConcurrencyLimited, "%s has all of its %d places taken", organisation, quota.Concurrency).WithRetryAfter(concurrencyRetryAfter)
	}
	p := l.pool(quota.PoolName)
	if refusal := l.checkFairShare(organisation, p, quota); refusal != nil {
		return nil, refusal
	}
	usage.tokens--
	usage.inFlight++
	p.add(organisation)
	var once sync.Once
	return func() { once.Do(func() { l.release(usage, p, organisation) }) }, nil
}

func (l *Limiter) usageOf(organisation string, now time.Time, burst float64) *organisationUsage {
	if l.usageByOrganisation == nil {
		l.usageByOrganisation = map[string]*organisationUsage{}
	}
	usage := l.usageByOrganisation[organisation]
	if usage == nil {
		usage = &organisationUsage{
			tokens:     burst,
			refilledAt: now,
		}
		l.usageByOrganisation[organisation] = usage
	}
	return usage
}

func (l *Limiter) release(usage *organisationUsage, p *upstreamPool, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage.inFlight--
	p.remove(organisation)
}

// checkFairShare refuses an organisation that holds at least its fair share of a pool while
// the requests of all entries use at least fairShareThreshold of the pool's slots. The fair
// share is an equal part of the slots for each organisation with a request in the pool. An
// organisation that is alone in the pool may queue requests up to maxSoleOrganisationLoad.
func (l *Limiter) checkFairShare(organisation string, p *upstreamPool, quota Quota) *persimmoncross.Refusal {
	if quota.Capacity == 0 {
		return nil
	}
	usage := l.estimateUsage(p)
	running := 0
	for _, n := range usage {
		running += n
	}
	if float64(running) < fairShareThreshold*float64(quota.Capacity) {
		return nil
	}
	share := fairShareOf(organisation, usage, quota.Capacity)
	// An organisation below its fair share is admitted although the pool is full.
	if float64(usage[organisation]) < math.Max(1, share) {
		return nil
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeOverloaded, "the upstreams are full, and %s holds its part of them", organisation).WithRetryAfter(overloadRetryAfter)
}

// fairShareOf returns the organisation's fair share of the capacity beside those with a request
// in the pool. All count as if they wanted the whole capacity: what they leave unused below
// their shares is lent only up to fairShareThreshold, so that they find room at once.
func fairShareOf(organisation string, usage map[string]int, capacity int) float64 {
	demands := []fairshare.Demand{{
		Organisation: organisation,
		Wanted:       maxSoleOrganisationLoad * float64(capacity),
	}}
	for name := range usage {
		if name != organisation {
			demands = append(demands, fairshare.Demand{
				Organisation: name,
				Wanted:       float64(capacity),
			})
		}
	}
	if len(demands) == 1 {
		return demands[0].Wanted
	}
	return fairshare.Shares(float64(capacity), demands)[organisation]
}

// estimateUsage estimates each organisation's running requests in a pool at all entries. It
// takes the latest report of the other entries and assumes that each of them has changed
// since then by as much as this entry, because the load balancer treats all entries alike.
func (l *Limiter) estimateUsage(p *upstreamPool) map[string]int {
	peerCount := max(1, l.LiveEntries()) - 1
	usage := map[string]int{}
	for name, n := range p.peers {
		usage[name] = n
	}
	for name, n := range p.local {
		usage[name] += peerCount * (n - p.localAtPeerUpdate[name])
	}
	for name, n := range p.localAtPeerUpdate {
		if p.local[name] == 0 {
			usage[name] -= peerCount * n
		}
	}
	for name := range usage {
		if usage[name] = max(0, usage[name]) + p.local[name]; usage[name] == 0 {
			delete(usage, name)
		}
	}
	for name, n := range p.local {
		usage[name] = max(usage[name], n)
	}
	return usage
}

// SetPeerUsage sets the number of requests that run at the other entries, by pool and
// organisation.
func (l *Limiter) SetPeerUsage(usage map[string]map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range usage {
		l.pool(name)
	}
	for name, p := range l.pools {
		p.peers = usage[name]
		p.localAtPeerUpdate = maps.Clone(p.local)
	}
}

// LocalUsage returns the number of requests that run at this entry, by pool and organisation.
func (l *Limiter) LocalUsage() map[string]map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]map[string]int{}
	for name, p := range l.pools {
		if len(p.local) > 0 {
			all[name] = maps.Clone(p.local)
		}
	}
	return all
}

func (p *upstreamPool) add(organisation string) {
	p.local[organisation]++
}

func (p *upstreamPool) remove(organisation string) {
	p.local[organisation]--
	if p.local[organisation] == 0 {
		delete(p.local, organisation)
	}
}

func (l *Limiter) pool(name string) *upstreamPool {
	if l.pools == nil {
		l.pools = map[string]*upstreamPool{}
	}
	p := l.pools[name]
	if p == nil {
		p = &upstreamPool{
			local: map[string]int{},
		}
		l.pools[name] = p
	}
	return p
}
