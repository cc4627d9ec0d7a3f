// Package relay decides what happens to one passage: whether it may run, on
// which service, version, model and upstream, whether another is tried, and
// when to give up. It sends nothing itself.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/cascade"
	"persimmoncross/core/coordination/outlier"
	"persimmoncross/core/coordination/quarantine"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/coordination/retry"
	"persimmoncross/core/state/catalog"
	"persimmoncross/core/state/register"
)

// View is what an entry knows of the fleet at a moment. It never changes.
type View struct {
	Catalog           *catalog.Catalog // nil: none is known yet
	Upgrades          map[string]register.Upgrade
	Targets           map[string][]*Target // by service, without the data centres that are evacuated
	EntryCount        int                  // how many entries share the upstreams' connections
	Quarantines       map[persimmoncross.Digest]persimmoncross.Quarantine
	ReservedInstances map[string]bool // lives of upstreams: see [Reserve]
}

// defaultEntryCount is how many entries are assumed while their number is not known.
const defaultEntryCount = 8

// entryCountOrDefault returns how many share what the operator and the upstreams allow.
func (v *View) entryCountOrDefault() int {
	if v == nil || v.EntryCount == 0 {
		return defaultEntryCount
	}
	return v.EntryCount
}

// Config are what the operator allows, from the local settings.
type Config struct {
	RetryBudgetRatio        float64       // extra arrivals at a service for each request to it
	RetryBudgetWindow       time.Duration // over which they are counted
	RetryBudgetMinimum      float64       // extra arrivals beside that, of all entries together
	MaxCanaryShare          float64       // of a service's requests, for a version on trial
	SessionIdleTimeout      time.Duration // after which a session may move to another version
	DefaultLatencyObjective time.Duration // used for a route that declares none
}

// Of the operator's bound on retries: what all entries together use of the share
// and of the slack, so that the edges of a window stay within it.
const (
	retryRatioFactor   = 0.95
	retryMinimumFactor = 0.7
)

// histogramSampleSize is the number of values that a histogram keeps, 8 bytes each.
const histogramSampleSize = 500

// Relay serves passages. The exported fields are set before use.
type Relay struct {
	Forwarder          persimmoncross.Forwarder
	Prober             persimmoncross.Prober // nil: nothing is found out of upstreams
	View               func() *View
	Clock              persimmoncross.Clock
	Config             Config
	RegionByDataCentre map[string]string // of data centres
	Sessions           *Sessions
	CanaryStats        *CanaryStats
	QuarantineRecorder *quarantine.Recorder
	RateLimits         *ratelimit.Store // shared with the other entries; nil: limits stay local
	ModelStats         *ModelStats
	Cascade            cascade.EscalationPolicy
	Metrics            metrics.Registry
	Log                zerolog.Logger

	mu           sync.Mutex // guards all below
	retryBudgets map[string]*retry.Budget
	links        outlier.LossyLinks
	// outages are those for which callers are refused, by service; the settings' is
	// under "".
	outages map[string]*outage
}

// outage is a span in which callers were refused.
type outage struct {
	start       time.Time // the first of them arrived
	lastRefusal time.Time // the latest was refused
}

// maxRefusalGap is the pause between refusals after which the next one is of a new
// trouble: a service with few callers does not answer in between.
const maxRefusalGap = 5 * time.Second

// A request that comes before the settings waits startupWaitTimeout for them: an election
// and the way from a controller take about half of it.
const (
	startupWaitTimeout  = 1200 * time.Millisecond
	startupPollInterval = 25 * time.Millisecond
)

// Serve answers the passage through the sink. It returns why there is no whole
// answer; then the sink has got nothing, or an answer that must be cut off.
func (r *Relay) Serve(ctx context.Context, p *persimmoncross.ProxyRequest, sink persimmoncross.ProxyResponseSink) *persimmoncross.Refusal {
	r.incrementCounter("passages")
	v := r.awaitView(ctx)
	if v == nil || v.Catalog == nil {
		retryAfter := retry.RetryAfter{
			OutageAge:     r.recordRefusal("", p.ArrivedAt),
			UntilDeadline: p.Deadline.Sub(r.Clock.Now()),
		}
		return persimmoncross.NewRefusal(persimmoncross.CodeNoLease, "this VM has no settings yet").WithRetryAfter(retryAfter.Delay(rand.Float64()))
	}
	route := v.Catalog.Route(p.Host, p.Path)
	if route == nil {
		return persimmoncross.NewRefusal(persimmoncross.CodePathUnknown, "no route for %s%s", p.Host, p.Path)
	}
	var organisation *catalog.Organisation
	if v.Catalog.Keyed && !route.Open {
		if organisation = v.Catalog.Holder(p.IdempotencyKey); organisation == nil {
			return persimmoncross.NewRefusal(persimmoncross.CodeKeyUnknown, "no organisation holds the key")
		}
	}
	c := &call{
		relay:   r,
		passage: p,
		route:   route,
		service: pickService(route),
		sink:    sink,
	}
	c.priority = v.Catalog.Rank(route, organisation)
	c.residency = residency{
		regionByDataCentre: r.RegionByDataCentre,
		routeRegions:       route.Homes,
	}
	if organisation != nil {
		c.organisation = organisation.Name
		c.residency.organisationRegions = organisation.Homes
	}
	c.quarantineCopy = quarantine.Request{
		Digest:   quarantine.DigestOf(c.organisation, p.Method, p.Host, p.RequestTarget, p.BodyDigest),
		Service:  c.service,
		Recorder: r.QuarantineRecorder,
	}
	c.deadline = p.ArrivedAt.Add(route.Timeout)
	if !p.Deadline.IsZero() && p.Deadline.Before(c.deadline) {
		c.deadline = p.Deadline
	}
	r.countRequest(c.service)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return c.run(ctx)
}

// awaitView returns the view, and waits a little for one after a start: what
// judges neither keys nor routes yet can soon serve them.
func (r *Relay) awaitView(ctx context.Context) *View {
	deadline := r.Clock.Now().Add(startupWaitTimeout)
	for {
		v := r.View()
		if v != nil && v.Catalog != nil || !r.Clock.Now().Before(deadline) {
			return v
		}
		select {
		case <-ctx.Done():
			return v
		case <-r.Clock.After(startupPollInterval):
		}
	}
}

// pickService splits a route's requests by weight.
func pickService(route *catalog.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	totalWeight := 0
	for _, s := range route.Split {
		totalWeight += s.Weight
	}
	n := rand.IntN(totalWeight)
	for _, s := range route.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return route.Split[0].Service
}

// countRequest lets the service's retries grow by a request.
func (r *Relay) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).RecordRequest(r.Config.RetryBudgetRatio*retryRatioFactor, r.Clock.Now())
}

// takeRetry takes a retry at the service out, and reports whether there was one.
func (r *Relay) takeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).TryRetry(r.Clock.Now())
}

// retryBudgetLeft returns which part of the retries at the service that a window allows
// is left.
func (r *Relay) retryBudgetLeft(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	b := r.retryBudget(service)
	if left := b.Remaining(now); left >= 1 {
		return left / b.Limit(now)
	}
	return 0
}

// retryBudget returns the service's. The caller holds mu.
func (r *Relay) retryBudget(service string) *retry.Budget {
	if r.retryBudgets == nil {
		r.retryBudgets = map[string]*retry.Budget{}
	}
	b := r.retryBudgets[service]
	if b == nil {
		b = &retry.Budget{
			Window: r.Config.RetryBudgetWindow,
		}
		r.retryBudgets[service] = b
	}
	b.BaseAllowance = retryMinimumFactor * r.Config.RetryBudgetMinimum / float64(r.View().entryCountOrDefault())
	return b
}

// recordRefusal returns how long callers have been refused by the service, or for want
// of settings. The first of them arrived then.
func (r *Relay) recordRefusal(service string, arrived time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outages == nil {
		r.outages = map[string]*outage{}
	}
	now := r.Clock.Now()
	current := r.outages[service]
	if current == nil || now.Sub(current.lastRefusal) > maxRefusalGap {
		current = &outage{
			start: arrived,
		}
		r.outages[service] = current
	}
	current.lastRefusal = now
	return max(now.Sub(current.start), 0)
}

// endOutage notes that the service has answered.
func (r *Relay) endOutage(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outages, service)
}

// recordEventBatch notes events of a stream that came together from the data centre
// after so long a wait.
func (r *Relay) recordEventBatch(dataCentre string, wait time.Duration, events int, now time.Time) {
	r.mu.Lock()
	stalled := r.links.RecordEvents(dataCentre, wait, events, now)
	r.mu.Unlock()
	if stalled {
		r.incrementCounter("held-up." + dataCentre)
	}
}

// linkCost returns what the link to the data centre is expected to cost an answer
// of up to so many tokens, as a wait.
func (r *Relay) linkCost(dataCentre string, tokens int, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links.ExpectedDelay(dataCentre, tokens, now)
}

func (r *Relay) incrementCounter(name string) {
	metrics.GetOrRegisterCounter("relay."+name, r.Metrics).Inc(1)
}

// observeDuration adds to a histogram of milliseconds.
func (r *Relay) observeDuration(name string, duration time.Duration) {
	newHistogram := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize)) }
	r.Metrics.GetOrRegister("relay."+name, newHistogram).(metrics.Histogram).Update(duration.Milliseconds())
}

func (r *Relay) logEvent(p *persimmoncross.ProxyRequest) *zerolog.Event {
	return r.Log.Info().Str("request", p.ID)
}
