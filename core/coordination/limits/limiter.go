// Package limits holds each organisation to its rate and concurrency.
//
// The settings give fleet-wide numbers. Each entry enforces its part: the
// number divided by the entries that are alive, which the balancer loads about
// evenly. An entry that dies gives its part to the others within one heartbeat.
package limits

import (
	"maps"
	"math"
	"sync"
	"time"

	"persimmoncross"
)

// When the upstreams are full, as shares of their slots.
const (
	fairShareThreshold      = 0.7 // of the slots: the rest is found free by who is under its part
	maxSoleOrganisationLoad = 8.0 // times the slots, for an organisation that is alone
	overloadRetryAfter      = time.Second
)

// concurrencyRetryAfter is what a caller is told when all its places are taken.
const concurrencyRetryAfter = time.Second

// Limiter is one entry's account of each organisation.
type Limiter struct {
	Clock       persimmoncross.Clock
	LiveEntries func() int // alive, at least 1

	mu                  sync.Mutex // guards all below
	usageByOrganisation map[string]*organisationUsage
	pools               map[string]*upstreamPool
}

// upstreamPool counts what runs on the upstreams behind one name.
type upstreamPool struct {
	local             map[string]int // by organisation, here
	peers             map[string]int // the same at the other entries, as they said last
	localAtPeerUpdate map[string]int // by, when they said it
}

type organisationUsage struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// Quota are one organisation's numbers for the whole fleet.
type Quota struct {
	PoolName    string  // the model, version or cascade asked for
	Capacity    int     // requests that the upstreams in question serve at once; 0 is unknown
	Rate        float64 // requests a second
	Burst       int
	Concurrency int
}

// Admit admits a request of the organisation or refuses it with the time when
// it would be admitted. The function it returns ends the request.
func (l *Limiter) Admit(organisation string, b Quota) (release func(), refusal *persimmoncross.Refusal) {
	entryShare := 1 / float64(max(1, l.LiveEntries()))
	rate := b.Rate * entryShare
	burst := math.Max(1, float64(b.Burst)*entryShare)
	maxConcurrent := int(math.Max(1, math.Ceil(float64(b.Concurrency)*entryShare)))
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.usageOf(organisation, now, burst)
	a.tokens = math.Min(burst, a.tokens+rate*now.Sub(a.refilledAt).Seconds())
	a.refilledAt = now
	if a.tokens < 1 {
		wait := time.Duration((1 - a.tokens) / rate * float64(time.Second))
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeRateLimited, "%s is over its rate of %g requests a second", organisation, b.Rate).WithRetryAfter(wait)
	}
	if a.inFlight >= maxConcurrent {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeConcurrencyLimited, "%s has all of its %d places taken", organisation, b.Concurrency).WithRetryAfter(concurrencyRetryAfter)
	}
	p := l.pool(b.PoolName)
	if refusal := l.checkFairShare(organisation, p, b); refusal != nil {
		return nil, refusal
	}
	a.tokens--
	a.inFlight++
	p.add(organisation)
	var once sync.Once
	return func() { once.Do(func() { l.release(a, p, organisation) }) }, nil
}

func (l *Limiter) usageOf(organisation string, now time.Time, burst float64) *organisationUsage {
	if l.usageByOrganisation == nil {
		l.usageByOrganisation = map[string]*organisationUsage{}
	}
	a := l.usageByOrganisation[organisation]
	if a == nil {
		a = &organisationUsage{
			tokens:     burst,
			refilledAt: now,
		}
		l.usageByOrganisation[organisation] = a
	}
	return a
}

func (l *Limiter) release(a *organisationUsage, p *upstreamPool, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight--
	p.remove(organisation)
}

// checkFairShare refuses an organisation that holds more than its part of a pool while
// the pool is full: all slots taken, over all entries. An organisation's part
// is an equal one among those that have anything running there; one that is
// alone may queue, up to a bound.
func (l *Limiter) checkFairShare(organisation string, p *upstreamPool, b Quota) *persimmoncross.Refusal {
	if b.Capacity == 0 {
		return nil
	}
	usage := l.estimateUsage(p)
	running := 0
	for _, n := range usage {
		running += n
	}
	if float64(running) < fairShareThreshold*float64(b.Capacity) {
		return nil
	}
	activeOrganisations := len(usage)
	if usage[organisation] == 0 {
		activeOrganisations++
	}
	fairShare := float64(b.Capacity) / float64(activeOrganisations)
	if activeOrganisations == 1 {
		fairShare = maxSoleOrganisationLoad * float64(b.Capacity)
	}
	// Who is under the part gets in although the pool is full.
	if float64(usage[organisation]) < math.Max(1, fairShare) {
		return nil
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeOverloaded, "the upstreams are full, and %s holds its part of them", organisation).WithRetryAfter(overloadRetryAfter)
}

// estimateUsage estimates what each organisation runs of a pool at all entries: what
// the others said last, and since then as much more or less as at this entry,
// for the balancer treats them alike.
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

// SetPeerUsage takes what the other entries run now, by pool and organisation.
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

// LocalUsage returns what runs at this entry: by pool and organisation.
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
