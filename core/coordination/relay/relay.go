// Package relay decides how an entry handles a proxy request: whether the request may run, on
// which service, version, model and upstream, whether to retry it, and when to give up. The
// package itself sends nothing over the network.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// View is an immutable snapshot of the fleet's state at an entry.
type View struct {
	Catalog           *catalog.Catalog // nil if the entry has none yet
	Upgrades          map[string]register.Upgrade
	UpgradesStale     bool                 // Upgrades may have advanced or ended, because no controller is reached
	Targets           map[string][]*Target // by service, without those in evacuated data centres; nil: no list yet
	EntryCount        int                  // entries that share the upstreams' connections
	Quarantines       map[persimmoncross.Digest]persimmoncross.Quarantine
	ReservedInstances map[string]bool // instance IDs, see the function ReservedInstances
}

// defaultEntryCount is the assumed number of entries while their number is not known.
const defaultEntryCount = 8

// entryCountOrDefault returns the number of entries that share the operator's and the upstreams'
// limits, or defaultEntryCount while that number is not known.
func (v *View) entryCountOrDefault() int {
	if v == nil || v.EntryCount == 0 {
		return defaultEntryCount
	}
	return v.EntryCount
}

// Config holds the operator's limits from the local settings.
type Config struct {
	RetryBudgetRatio        float64       // retries that each request to a service allows
	RetryBudgetWindow       time.Duration // window over which requests and retries are counted
	RetryBudgetMinimum      float64       // retries allowed in addition, of all entries together
	MaxCanaryShare          float64       // largest share of a service's requests for a version on trial
	SessionIdleTimeout      time.Duration // idle time after which a session may move to another version
	DefaultLatencyObjective time.Duration // latency objective of a route that declares none
	Overload                persimmoncross.OverloadPolicy
}

// retryMinimumFactor is the fraction of RetryBudgetMinimum that all entries together use, so that the budget is also kept
// where requests are counted later than they were sent.
const retryMinimumFactor = 0.7

// histogramSampleSize is the number of values that a histogram keeps, of 8 bytes each.
const histogramSampleSize = 500

// Relay serves proxy requests. The exported fields are set before use.
type Relay struct {
	Forwarder          persimmoncross.Forwarder
	Prober             persimmoncross.Prober // if nil, no upstream is probed for a crash
	View               func() *View
	Clock              persimmoncross.Clock
	StartedAt          time.Time // when the process started
	Config             Config
	RegionByDataCentre map[string]string // region of each data centre
	Sessions           *Sessions
	CanaryStats        *CanaryStats
	QuarantineRecorder *quarantine.Recorder
	RateLimits         *ratelimit.Store // shared with the other entries; if nil, limits stay local
	ModelStats         *ModelStats
	Cascade            cascade.EscalationPolicy
	FleetDemands       *FleetDemands // demand of all entries; if nil, this entry's requests alone count
	HeldBytes          *HeldBytes    // bytes held by this entry; if nil, they are not counted
	Metrics            metrics.Registry
	Log                zerolog.Logger

	pacedServices pacedServices
	keptBytes     atomic.Int64 // bytes of kept answers
	ownLoad       ownLoad
	shareTable    shareTable
	// queuedDemand replaces what waits in the service's queue, by rank and by organisation. It is
	// nil outside tests.
	queuedDemand func(service string) (byRank []int, byOrganisation map[string]int)
	queues       serviceQueues
	stopOnce     sync.Once
	stopping     context.Context // ends when EndUnanswered is called
	stop         context.CancelFunc
	stopEnd      atomic.Pointer[time.Time] // when the process ends; nil: it is not stopping
	routeTimes   routeTimes

	mu            sync.Mutex // guards all below
	retryBudgets  map[string]*retry.Budget
	requestTotals map[string]uint64        // requests counted since the start, by service
	sentAttempts  map[string]*sentAttempts // by service
	// minimumEntries is the number of entries that share Config.RetryBudgetMinimum, and minimumEntriesSeen when at
	// least so many were last known.
	minimumEntries     int
	minimumEntriesSeen time.Time
	links              outlier.LossyLinks
	// outages are the current outages by service. The key "" stands for missing settings.
	outages map[string]*outage
}

// outage is a period in which requests were refused.
type outage struct {
	start       time.Time // when the first refused request arrived
	lastRefusal time.Time // when the last request was refused
}

// maxRefusalGap is the longest pause between two refusals of one outage. A later refusal starts
// a new outage, because a service with few callers may have recovered without a request in
// between whose response would have ended the outage.
const maxRefusalGap = 5 * time.Second

// Timeout and interval of the wait for the settings after a start.
const (
	// startupWaitTimeout is how long a request waits for the settings, or the first list. An election and the
	// transfer from a controller take about half of it.
	startupWaitTimeout  = 1200 * time.Millisecond
	startupPollInterval = 25 * time.Millisecond
)

// Serve handles the request and writes the response to the sink. It returns a refusal if there is
// no complete response. Nothing was written to the sink then, or the written response must be
// aborted.
func (r *Relay) Serve(ctx context.Context, request *persimmoncross.ProxyRequest, sink persimmoncross.ProxyResponseSink) *persimmoncross.Refusal {
	r.incrementCounter("passages")
	v := r.awaitView(ctx)
	if v == nil || v.Catalog == nil {
		retryAfter := retry.RetryAfter{
			OutageAge:     r.recordRefusal("", request.ArrivedAt),
			UntilDeadline: request.Deadline.Sub(r.Clock.Now()),
		}
		return persimmoncross.NewRefusal(persimmoncross.CodeNoLease, "this VM has no settings yet").WithRetryAfter(retryAfter.Delay(rand.Float64()))
	}
	route, organisation, refusal := v.authorize(request)
	if refusal != nil {
		return refusal
	}
	c := &call{
		relay:   r,
		request: request,
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
	c.quarantineRequest = quarantine.Request{
		Digest:   quarantine.DigestOf(c.organisation, request.Method, request.Host, request.RequestTarget, request.BodyDigest),
		Parts:    quarantine.PartDigests(c.service, request.PartIDs()),
		Service:  c.service,
		Recorder: r.QuarantineRecorder,
	}
	c.deadline = request.ArrivedAt.Add(route.Timeout)
	if !request.Deadline.IsZero() && request.Deadline.Before(c.deadline) {
		c.deadline = request.Deadline
	}
	if refusal := c.refuseAtStop(); refusal != nil {
		return refusal
	}
	c.limitSink()
	defer c.releaseHeldBytes()
	r.countRequest(c.service)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, release := c.endAtStop(ctx)
	defer release()
	refusal = c.run(ctx)
	if c.executions > 0 {
		now := r.Clock.Now()
		r.routeTimes.record(route.Name, now.Sub(request.ArrivedAt), now)
	}
	return refusal
}

// Authorize returns the refusal of a request that its head alone rules out, as far as the settings are known here.
func (r *Relay) Authorize(request *persimmoncross.ProxyRequest) *persimmoncross.Refusal {
	v := r.View()
	if v == nil || v.Catalog == nil {
		return nil
	}
	_, _, refusal := v.authorize(request)
	return refusal
}

// authorize returns the route of the request, and the organisation that holds its key, nil if it needs none.
func (v *View) authorize(request *persimmoncross.ProxyRequest) (*catalog.Route, *catalog.Organisation, *persimmoncross.Refusal) {
	route := v.Catalog.Route(request.Host, request.Path)
	if route == nil {
		return nil, nil, persimmoncross.NewRefusal(persimmoncross.CodePathUnknown, "no route for %s%s", request.Host, request.Path)
	}
	if !v.Catalog.Keyed || route.Open {
		return route, nil, nil
	}
	organisation := v.Catalog.Holder(request.APIKey)
	if organisation == nil {
		return nil, nil, persimmoncross.NewRefusal(persimmoncross.CodeKeyUnknown, "no organisation holds the key")
	}
	return route, organisation, nil
}

// awaitView returns the view. After a start it waits up to startupWaitTimeout for the settings,
// because an entry that can't check keys and routes yet can soon serve the request.
func (r *Relay) awaitView(ctx context.Context) *View {
	deadline := r.Clock.Now().Add(startupWaitTimeout)
	for {
		v := r.View()
		if v != nil && v.Catalog != nil || !r.Clock.Now().Before(deadline) {
			return v
		}
		persimmoncross.OwnWorkOf(ctx).End()
		select {
		case <-ctx.Done():
			return v
		case <-r.Clock.After(startupPollInterval):
		}
	}
}

// pickService picks one of the route's services at random, by weight.
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

// recordRefusal records the refusal of a request that arrived at the given time. It returns the
// age of the outage: the time since the arrival of the first request that was refused for the
// service, or for missing settings if service is "".
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

// endOutage ends the service's outage after an upstream has answered.
func (r *Relay) endOutage(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outages, service)
}

// recordEventBatch records events of a stream that were received together from the data centre
// after the given wait.
func (r *Relay) recordEventBatch(dataCentre string, wait time.Duration, events int, now time.Time) {
	r.mu.Lock()
	stalled := r.links.RecordEvents(dataCentre, wait, events, now)
	r.mu.Unlock()
	if stalled {
		r.incrementCounter("held-up." + dataCentre)
	}
}

// linkDelay returns the expected delay on the link to the data centre for a response of up to
// the given number of tokens.
func (r *Relay) linkDelay(dataCentre string, tokens int, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links.ExpectedDelay(dataCentre, tokens, now)
}

func (r *Relay) incrementCounter(name string) {
	metrics.GetOrRegisterCounter("relay."+name, r.Metrics).Inc(1)
}

// observeDuration adds a duration to a histogram, in milliseconds.
func (r *Relay) observeDuration(name string, duration time.Duration) {
	newHistogram := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize)) }
	r.Metrics.GetOrRegister("relay."+name, newHistogram).(metrics.Histogram).Update(duration.Milliseconds())
}

func (r *Relay) logEvent(request *persimmoncross.ProxyRequest) *zerolog.Event {
	return r.Log.Info().Str("request", request.ID)
}
