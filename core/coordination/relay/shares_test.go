package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/coordination/quarantine"
)

// Parameters of the played shortage: 32 slots that requests hold for half a second run 64
// requests a second. The organisations together ask for 56 a second until the first one asks for
// six times as much.
const (
	shareSlots        = 32
	shareHoldTime     = 500 * time.Millisecond
	shareTimeout      = 4 * time.Second
	shareEntries      = 8
	shareStep         = 10 * time.Millisecond
	shareReportPeriod = 250 * time.Millisecond
	tenantRate        = 10.0
	otherRate         = 2.0
	otherCount        = 23
)

// shareEntry is an entry with a queue, whose relay decides on refusals and on the order.
type shareEntry struct {
	relay *Relay
	queue []*shareRequest
}

type shareRequest struct {
	organisation string
	arrivedAt    time.Time
	release      func()
}

// shareFleet plays entries before upstreams that run shareSlots requests. A free slot goes to an
// entry in proportion to the requests that wait there.
type shareFleet struct {
	t        *testing.T
	clock    *steppingClock
	random   *rand.Rand
	entries  []*shareEntry
	running  map[*shareRequest]time.Time // requests by their ends
	silent   map[int]bool                // entries whose reports and news are lost
	inOrder  bool                        // organisations are served by usage
	tenantX  float64                     // how many times its usual the first organisation asks
	outcomes map[string]*shareOutcome
	reported time.Time
	sums     []Demand
}

// shareOutcome counts what an organisation's callers got.
type shareOutcome struct {
	asked, served, refused, late int
	retryAfter                   time.Duration // longest
}

func (o shareOutcome) ratio() float64 { return float64(o.served) / float64(max(o.asked, 1)) }

func newShareFleet(t *testing.T) *shareFleet {
	f := &shareFleet{
		t: t,
		clock: &steppingClock{
			now: time.Unix(1000, 0),
		},
		random:  rand.New(rand.NewPCG(1, 2)),
		running: map[*shareRequest]time.Time{},
		silent:  map[int]bool{},
		inOrder: true,
		tenantX: 1,
	}
	env := newTestEnv()
	env.view.EntryCount = shareEntries
	for range shareEntries {
		e := &shareEntry{}
		e.relay = &Relay{
			View:  func() *View { return env.view },
			Clock: f.clock,
			Config: Config{
				Overload: persimmoncross.OverloadPolicy{
					Mode: persimmoncross.OverloadOn,
					Omit: []persimmoncross.OverloadPart{persimmoncross.OverloadQueue}, // queues hold such requests
				},
			},
			FleetDemands:       &FleetDemands{},
			QuarantineRecorder: &quarantine.Recorder{},
			ModelStats:         &ModelStats{},
			Metrics:            metrics.NewRegistry(),
			Log:                zerolog.Nop(),
		}
		e.relay.queuedDemand = e.queued
		f.entries = append(f.entries, e)
	}
	f.resetOutcomes()
	return f
}

func (e *shareEntry) queued(string) (byRank []int, byOrganisation map[string]int) {
	byOrganisation = map[string]int{}
	for _, q := range e.queue {
		byOrganisation[q.organisation]++
	}
	return []int{len(e.queue)}, byOrganisation
}

func (f *shareFleet) resetOutcomes() { f.outcomes = map[string]*shareOutcome{} }

func (f *shareFleet) outcome(organisation string) *shareOutcome {
	if f.outcomes[organisation] == nil {
		f.outcomes[organisation] = &shareOutcome{}
	}
	return f.outcomes[organisation]
}

// others sums the outcomes of all organisations but the first.
func (f *shareFleet) others() shareOutcome {
	sum := shareOutcome{}
	for organisation, o := range f.outcomes {
		if organisation != "o0" {
			sum.asked += o.asked
			sum.served += o.served
			sum.refused += o.refused
			sum.late += o.late
		}
	}
	return sum
}

// play lets time pass.
func (f *shareFleet) play(d time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.advance(shareStep) {
		now := f.clock.Now()
		if now.Sub(f.reported) >= shareReportPeriod {
			f.report(now)
		}
		for request, end := range f.running {
			if !now.Before(end) {
				request.release()
				delete(f.running, request)
				f.outcome(request.organisation).served++
			}
		}
		f.arrive("o0", tenantRate*f.tenantX, now)
		for i := 1; i <= otherCount; i++ {
			f.arrive(fmt.Sprintf("o%d", i), otherRate, now)
		}
		for len(f.running) < shareSlots && f.begin(now) {
		}
	}
}

// report sums the entries' demands. Entries get the sum of one period before.
func (f *shareFleet) report(now time.Time) {
	f.reported = now
	for i, e := range f.entries {
		if len(f.sums) > 0 && !f.silent[i] {
			e.relay.FleetDemands.Apply(f.sums, now)
		}
	}
	sum := Demand{
		Service:       testService,
		WaitingByRank: []int{0},
	}
	byOrganisation := map[string]Holding{}
	for i, e := range f.entries {
		own := e.relay.ownDemand(testService, now)
		if f.silent[i] {
			continue
		}
		sum.WaitingByRank[0] += own.Waiting()
		sum.BeginRate += own.BeginRate
		sum.Entries += own.Entries
		for _, h := range own.Holdings {
			total := byOrganisation[h.Organisation]
			total.Organisation = h.Organisation
			total.Held += h.Held
			total.Waiting += h.Waiting
			byOrganisation[h.Organisation] = total
		}
	}
	for _, h := range byOrganisation {
		sum.Holdings = append(sum.Holdings, h)
	}
	f.sums = []Demand{sum}
}

func (f *shareFleet) arrive(organisation string, rate float64, now time.Time) {
	if f.random.Float64() >= rate*shareStep.Seconds() {
		return
	}
	e := f.entries[f.random.IntN(len(f.entries))]
	o := f.outcome(organisation)
	o.asked++
	if refusal := f.newCall(e, organisation).refuseOverShare(); f.inOrder && refusal != nil {
		if refusal.Run != persimmoncross.NotRun || refusal.Code != persimmoncross.CodeConcurrencyLimited || refusal.RetryAfter <= 0 {
			f.t.Errorf("refusal %+v, want not run, with a Retry-After", refusal)
		}
		o.refused++
		o.retryAfter = max(o.retryAfter, refusal.RetryAfter)
		return
	}
	e.queue = append(e.queue, &shareRequest{
		organisation: organisation,
		arrivedAt:    now,
	})
}

func (f *shareFleet) newCall(e *shareEntry, organisation string) *call {
	now := f.clock.Now()
	return &call{
		relay: e.relay,
		request: &persimmoncross.ProxyRequest{
			ArrivedAt: now,
		},
		route:        e.relay.View().Catalog.Routes[0],
		service:      testService,
		organisation: organisation,
		deadline:     now.Add(shareTimeout),
	}
}

// begin begins a waiting request, and reports whether there was one.
func (f *shareFleet) begin(now time.Time) bool {
	waiting := 0
	for _, e := range f.entries {
		for len(e.queue) > 0 && now.Sub(e.queue[0].arrivedAt) > shareTimeout-shareHoldTime {
			f.outcome(e.queue[0].organisation).late++
			e.queue = e.queue[1:]
		}
		waiting += len(e.queue)
	}
	if waiting == 0 {
		return false
	}
	n := f.random.IntN(waiting)
	for _, e := range f.entries {
		if n -= len(e.queue); n >= 0 {
			continue
		}
		next := 0
		if f.inOrder {
			usage := e.relay.shareUsage(testService, now)
			for i, q := range e.queue {
				if usage(q.organisation) < usage(e.queue[next].organisation) {
					next = i
				}
			}
		}
		request := e.queue[next]
		e.queue = append(e.queue[:next:next], e.queue[next+1:]...)
		request.release = e.relay.ownLoad.hold(testService, request.organisation)
		e.relay.ownLoad.recordBegun(testService)
		f.running[request] = now.Add(shareHoldTime)
		return true
	}
	return false
}

// One organisation of 24 asks for six times its usual, which takes the service beyond its
// capacity. No entry sees more than a few of its requests. From two seconds after the rise, the
// callers of all others must get what they got before, and the organisation gets the rest: it is
// served more than before, and what can't be is refused at once, not held until its deadline.
func TestOthersAreServedBesideLargeOrganisation(t *testing.T) {
	f := newShareFleet(t)
	f.play(10 * time.Second)
	f.resetOutcomes()
	f.play(10 * time.Second)
	othersBefore, tenantBefore := f.others(), *f.outcome("o0")
	f.tenantX = 6
	f.play(2 * time.Second)
	f.resetOutcomes()
	f.play(10 * time.Second)
	others, tenant := f.others(), *f.outcome("o0")
	t.Logf("others before %+v, beside %+v; tenant before %+v, at 6 times %+v", othersBefore, others, tenantBefore, tenant)
	if others.ratio() < othersBefore.ratio()-0.02 {
		t.Errorf("of the others %.3f are served, %.3f before", others.ratio(), othersBefore.ratio())
	}
	if others.refused > 0 {
		t.Errorf("%d requests of organisations within their share were refused", others.refused)
	}
	if tenant.served <= tenantBefore.served {
		t.Errorf("%d of the tenant are served, %d before: unused parts are not lent", tenant.served, tenantBefore.served)
	}
	if tenant.refused < 3*tenant.late {
		t.Errorf("%d of the tenant are refused and %d end at their deadline, want most refused", tenant.refused, tenant.late)
	}
	if served := others.served + tenant.served; float64(served) < 0.95*10*shareSlots/shareHoldTime.Seconds() {
		t.Errorf("%d are served in 10 s, want at least 95%% of the capacity", served)
	}
	// After the end of the rise nobody is refused any more.
	f.tenantX = 1
	f.play(4 * time.Second)
	f.resetOutcomes()
	f.play(4 * time.Second)
	if tenant := f.outcome("o0"); tenant.refused > 0 {
		t.Errorf("%d of the tenant are refused after the rise", tenant.refused)
	}
}

// Without shares, the same load must hurt the others; otherwise the test above shows nothing.
func TestLargeOrganisationHurtsOthersWithoutShares(t *testing.T) {
	f := newShareFleet(t)
	f.inOrder = false
	f.play(10 * time.Second)
	f.tenantX = 6
	f.play(6 * time.Second)
	f.resetOutcomes()
	f.play(10 * time.Second)
	others := f.others()
	t.Logf("others %+v", others)
	if others.ratio() > 0.8 {
		t.Errorf("of the others %.3f are served without shares", others.ratio())
	}
}

// Entries without news go on with the last sum, and after maxDemandAge with what they see. The
// others must still be served, although one entry sees only a few requests of each.
func TestSharesWithoutNews(t *testing.T) {
	f := newShareFleet(t)
	f.play(10 * time.Second)
	f.tenantX = 6
	f.play(2 * time.Second)
	for i := range f.entries {
		f.silent[i] = true
	}
	f.play(maxDemandAge / 2)
	if s := f.entries[0].relay.shares(testService, f.clock.Now()); !s.fleetWide {
		t.Error("the last sum is not used")
	}
	f.play(maxDemandAge)
	if s := f.entries[0].relay.shares(testService, f.clock.Now()); s.fleetWide {
		t.Error("an expired sum is used")
	}
	f.resetOutcomes()
	f.play(10 * time.Second)
	others, tenant := f.others(), *f.outcome("o0")
	t.Logf("others %+v, tenant %+v", others, tenant)
	if others.ratio() < 0.9 {
		t.Errorf("of the others %.3f are served by what each entry sees", others.ratio())
	}
}

// A sum that lacks entries, as when their controller is lost, must not look like room for all,
// and one that has entries twice must not look like a shortage.
func TestSharesOfPartialSums(t *testing.T) {
	tests := []struct {
		entries, held int
		wantShort     bool
	}{
		{shareEntries, shareSlots - 2, false},
		{shareEntries, shareSlots + 4, true},
		{shareEntries / 2, shareSlots/2 + 2, false}, // by chance these entries have more than the others
		{shareEntries / 2, shareSlots/2 + 10, true},
		{1, 2, false},
		{1, shareSlots/shareEntries + 5, false},
		{1, 5 * shareSlots / shareEntries, true},
		{2 * shareEntries, 2*shareSlots - 4, false},
	}
	for _, tt := range tests {
		f := newShareFleet(t)
		r := f.entries[0].relay
		r.FleetDemands.Apply([]Demand{{
			Service: testService,
			Entries: tt.entries,
			Holdings: []Holding{{
				Organisation: "o",
				Held:         tt.held,
			}},
		}}, f.clock.Now())
		if got := r.shares(testService, f.clock.Now()).allocation.Short(); got != tt.wantShort {
			t.Errorf("%d held by %d entries: short is %v", tt.held, tt.entries, got)
		}
	}
}

// Upstreams that are down stay in the list for seconds. If their slots counted, a service that has
// lost half of them would not look short; if those that take no request at the moment counted as
// none, it would look shorter than it is.
func TestUsableSlots(t *testing.T) {
	f := newShareFleet(t)
	now := f.clock.Now()
	target := f.entries[0].relay.View().Targets[testService][0]
	if got := target.usableSlots(now, shareEntries); got != 8 {
		t.Errorf("usable slots %v, want 8", got)
	}
	target.recordLoad(&persimmoncross.UpstreamLoad{
		Running: 5,
		Slots:   8,
	}, now)
	target.mu.Lock()
	target.backoff.Extend(now.Add(time.Second))
	target.mu.Unlock()
	if got := target.usableSlots(now, shareEntries); got != 5 {
		t.Errorf("usable slots %v during a backoff, want the 5 in use", got)
	}
	other := f.entries[0].relay.View().Targets[testService][1]
	other.applyFleetLoad(FleetLoad{
		SuspectingEntries: shareEntries,
	}, now)
	if got := other.usableSlots(now, shareEntries); got != 0 {
		t.Errorf("usable slots %v of a target that several entries suspect, want none", got)
	}
	third := f.entries[0].relay.View().Targets[testService][2]
	third.markSuspected(now)
	if got := third.usableSlots(now, shareEntries); got != 0 {
		t.Errorf("usable slots %v of a suspected target, want none", got)
	}
}

// Where the part is not in force, nothing is counted against a request.
func TestSharesOnlyWhereEnabled(t *testing.T) {
	f := newShareFleet(t)
	r := f.entries[0].relay
	r.Config.Overload.Mode = persimmoncross.OverloadOff
	now := f.clock.Now()
	for range 10 * shareSlots {
		defer r.ownLoad.hold(testService, "o")()
	}
	if got := r.CollectDemands(now); len(got) > 0 {
		t.Errorf("demands %+v are reported", got)
	}
	if got := r.shareUsage(testService, now)("o"); got != 0 {
		t.Errorf("usage %v", got)
	}
	r.Config.Overload.Mode = persimmoncross.OverloadOn
	if got := r.shareUsage(testService, now)("o"); got <= 1 {
		t.Errorf("usage %v with the part in force, want more than 1", got)
	}
}
