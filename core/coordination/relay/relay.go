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
	Catalog  *catalog.Catalog // nil: none is known yet
	Upgrades map[string]register.Upgrade
	Targets  map[string][]*Target // by service, without the data centres that are evacuated
	Entries  int                  // how many entries share the upstreams' connections
	Holds    map[persimmoncross.Digest]persimmoncross.Hold
	Reserved map[string]bool // lives of upstreams: see [Reserve]
}

// entriesIdle is how many entries are assumed while their number is not known.
const entriesIdle = 8

// entries returns how many share what the operator and the upstreams allow.
func (v *View) entries() int {
	if v == nil || v.Entries == 0 {
		return entriesIdle
	}
	return v.Entries
}

// Bounds are what the operator allows, from the local settings.
type Bounds struct {
	RetryShare    float64       // extra arrivals at a service for each request to it
	RetryWindow   time.Duration // over which they are counted
	RetrySlack    float64       // extra arrivals beside that, of all entries together
	ExposureShare float64       // of a service's requests, for a version on trial
	SessionIdle   time.Duration // after which a session may move to another version
	Objective     time.Duration // used for a route that declares none
}

// Of the operator's bound on retries: what all entries together use of the share
// and of the slack, so that the edges of a window stay within it.
const (
	retryPart = 0.95
	slackPart = 0.7
)

// sampleSize is the number of values that a histogram keeps, 8 bytes each.
const sampleSize = 500

// Relay serves passages. The exported fields are set before use.
type Relay struct {
	Forwarder persimmoncross.Forwarder
	Prober    persimmoncross.Prober // nil: nothing is found out of upstreams
	View      func() *View
	Clock     persimmoncross.Clock
	Bounds    Bounds
	Regions   map[string]string // of data centres
	Sessions  *Sessions
	Evidence  *Evidence
	Book      *quarantine.Book
	Limits    *ratelimit.Store // shared with the other entries; nil: limits stay local
	Pressure  *Pressure
	Cascade   cascade.Confidence
	Metrics   metrics.Registry
	Log       zerolog.Logger

	mu      sync.Mutex // guards all below
	budgets map[string]*retry.Window
	links   outlier.Links
	// troubles are those for which callers are refused, by service; the settings' is
	// under "".
	troubles map[string]*trouble
}

// trouble is a span in which callers were refused.
type trouble struct {
	since time.Time // the first of them arrived
	last  time.Time // the latest was refused
}

// troubleGap is the pause between refusals after which the next one is of a new
// trouble: a service with few callers does not answer in between.
const troubleGap = 5 * time.Second

// A request that comes before the settings waits startWait for them: an election
// and the way from a controller take about half of it.
const (
	startWait = 1200 * time.Millisecond
	startPoll = 25 * time.Millisecond
)

// Serve answers the passage through the sink. It returns why there is no whole
// answer; then the sink has got nothing, or an answer that must be cut off.
func (r *Relay) Serve(ctx context.Context, p *persimmoncross.Passage, sink persimmoncross.PassageSink) *persimmoncross.Refusal {
	r.count("passages")
	v := r.awaitView(ctx)
	if v == nil || v.Catalog == nil {
		back := retry.ComeBack{
			Lasted: r.lasted("", p.Arrived),
			Left:   p.Deadline.Sub(r.Clock.Now()),
		}
		return persimmoncross.Refuse(persimmoncross.CodeNoLease, "this VM has no settings yet").After(back.After(rand.Float64()))
	}
	route := v.Catalog.Route(p.Host, p.Path)
	if route == nil {
		return persimmoncross.Refuse(persimmoncross.CodePathUnknown, "no route for %s%s", p.Host, p.Path)
	}
	var holder *catalog.Organisation
	if v.Catalog.Keyed && !route.Open {
		if holder = v.Catalog.Holder(p.Key); holder == nil {
			return persimmoncross.Refuse(persimmoncross.CodeKeyUnknown, "no organisation holds the key")
		}
	}
	t := &trip{
		relay:   r,
		passage: p,
		route:   route,
		service: pickService(route),
		sink:    sink,
	}
	t.priority = v.Catalog.Rank(route, holder)
	t.homes = homes{
		regions: r.Regions,
		route:   route.Homes,
	}
	if holder != nil {
		t.organisation = holder.Name
		t.homes.holder = holder.Homes
	}
	t.copy = quarantine.Copy{
		Digest:  quarantine.DigestOf(t.organisation, p.Method, p.Host, p.Target, p.Content),
		Service: t.service,
		Book:    r.Book,
	}
	t.deadline = p.Arrived.Add(route.Timeout)
	if !p.Deadline.IsZero() && p.Deadline.Before(t.deadline) {
		t.deadline = p.Deadline
	}
	r.countRequest(t.service)
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	return t.run(ctx)
}

// awaitView returns the view, and waits a little for one after a start: what
// judges neither keys nor routes yet can soon serve them.
func (r *Relay) awaitView(ctx context.Context) *View {
	until := r.Clock.Now().Add(startWait)
	for {
		v := r.View()
		if v != nil && v.Catalog != nil || !r.Clock.Now().Before(until) {
			return v
		}
		select {
		case <-ctx.Done():
			return v
		case <-r.Clock.After(startPoll):
		}
	}
}

// pickService splits a route's requests by weight.
func pickService(route *catalog.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	sum := 0
	for _, s := range route.Split {
		sum += s.Weight
	}
	n := rand.IntN(sum)
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
	r.budget(service).Request(r.Bounds.RetryShare*retryPart, r.Clock.Now())
}

// mayRetry takes a retry at the service out, and reports whether there was one.
func (r *Relay) mayRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Retry(r.Clock.Now())
}

// retriesLeft returns which part of the retries at the service that a window allows
// is left.
func (r *Relay) retriesLeft(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	b := r.budget(service)
	if left := b.Left(now); left >= 1 {
		return left / b.Allowed(now)
	}
	return 0
}

// budget returns the service's. The caller holds mu.
func (r *Relay) budget(service string) *retry.Window {
	if r.budgets == nil {
		r.budgets = map[string]*retry.Window{}
	}
	b := r.budgets[service]
	if b == nil {
		b = &retry.Window{
			Length: r.Bounds.RetryWindow,
		}
		r.budgets[service] = b
	}
	b.Spare = slackPart * r.Bounds.RetrySlack / float64(r.View().entries())
	return b
}

// lasted returns how long callers have been refused by the service, or for want
// of settings. The first of them arrived then.
func (r *Relay) lasted(service string, arrived time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.troubles == nil {
		r.troubles = map[string]*trouble{}
	}
	now := r.Clock.Now()
	of := r.troubles[service]
	if of == nil || now.Sub(of.last) > troubleGap {
		of = &trouble{
			since: arrived,
		}
		r.troubles[service] = of
	}
	of.last = now
	return max(now.Sub(of.since), 0)
}

// troubleOver notes that the service has answered.
func (r *Relay) troubleOver(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.troubles, service)
}

// eventsCame notes events of a stream that came together from the data centre
// after so long a wait.
func (r *Relay) eventsCame(dataCentre string, wait time.Duration, events int, now time.Time) {
	r.mu.Lock()
	held := r.links.Came(dataCentre, wait, events, now)
	r.mu.Unlock()
	if held {
		r.count("held-up." + dataCentre)
	}
}

// linkCost returns what the link to the data centre is expected to cost an answer
// of up to so many tokens, as a wait.
func (r *Relay) linkCost(dataCentre string, tokens int, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links.Cost(dataCentre, tokens, now)
}

func (r *Relay) count(name string) {
	metrics.GetOrRegisterCounter("relay."+name, r.Metrics).Inc(1)
}

// observe adds to a histogram of milliseconds.
func (r *Relay) observe(name string, took time.Duration) {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	r.Metrics.GetOrRegister("relay."+name, sample).(metrics.Histogram).Update(took.Milliseconds())
}

func (r *Relay) line(p *persimmoncross.Passage) *zerolog.Event {
	return r.Log.Info().Str("request", p.ID)
}
