package relay

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/outlier"
	"persimmoncross/core/coordination/placement"
	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/core/coordination/slowstart"
)

// loadAge is how long an upstream's own word on its load is used. Past it only
// this entry's own requests are counted.
const loadAge = 2 * time.Second

// Of the estimate of how long a target takes to begin an answer: the weight of
// one answer, and the time in which an estimate that is not renewed halves.
const (
	waitWeight = 0.3
	waitFade   = 1500 * time.Millisecond
)

// Target is one life of an upstream with what this entry knows of it.
type Target struct {
	persimmoncross.Upstream
	*knowledge
}

// knowledge is what an entry learns by itself. It outlives changes of the list.
type knowledge struct {
	inFlight atomic.Int64
	flowing  atomic.Int64 // streams that have begun
	origin   time.Time    // of heard: the time of day may jump
	heard    atomic.Int64 // nanoseconds since origin at which bytes came last

	mu   sync.Mutex // guards all below
	told persimmoncross.Load
	own  int64 // requests of this entry when told came
	at   time.Time
	// heardTold is heard when it was last passed on.
	heardTold int64
	news      bool  // told came from the upstream and was not passed on
	all       fleet // what all entries know

	wait   float64 // mean seconds to the head of an answer, lately
	waitAt time.Time
	asked  map[uint64]asking // heads that are awaited
	next   uint64

	breaker   outlier.Breaker
	suspicion outlier.Suspicion
	stranger  outlier.Stranger
	pauses    outlier.Pauses
	start     slowstart.Gate
	limit     ratelimit.Limiter
	backoff   ratelimit.Backoff
	left      bool // an answer said that the upstream is leaving
}

// asking is a request whose head is awaited.
type asking struct {
	at   time.Time
	work time.Duration // that its prompt takes to be read
}

// Leaves reports whether the target gets no new work: the list or an answer says that it
// is leaving, or another upstream answers at its address.
func (t *Target) Leaves(now time.Time) bool {
	if t.Leaving {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left || t.stranger.Holds(now)
}

// leave stops new work to the target: its answers announce that it is leaving, which is
// final for a life. It reports whether that is new.
func (t *Target) leave() (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = !t.left
	t.left = true
	return changed
}

// misdirected takes an answer by another upstream at the target's address.
func (t *Target) misdirected(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.Forget()
	t.stranger.Found(now)
}

// note takes the load that an answer told.
func (t *Target) note(l *persimmoncross.Load, now time.Time) {
	if l == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told = *l
	t.own = t.inFlight.Load()
	t.at = now
	t.news = true
}

// busy estimates the requests at the upstream: its own word, moved by what this
// entry has sent and finished since.
func (t *Target) busy(now time.Time) float64 {
	own := t.inFlight.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.at) > loadAge {
		return float64(own)
	}
	told := int64(t.told.Running + t.told.Waiting)
	return float64(max(told+own-t.own, own))
}

// doubt prefers other targets for a while, each time longer.
func (t *Target) doubt(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspicion.Doubt(now)
}

// begin notes that an attempt starts.
func (t *Target) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.Begin()
}

// ran takes the outcome of an attempt that may have run.
func (t *Target) ran(failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.Note(failed, now)
	if failed {
		t.suspicion.Fail(now)
	}
}

// unreached takes an attempt that did not get there.
func (t *Target) unreached(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.Note(true, now)
	t.suspicion.Doubt(now)
}

// forget takes an attempt that tells nothing of the target.
func (t *Target) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaker.Forget()
}

// trust ends the suspicion: the target has answered.
func (t *Target) trust() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspicion.Trust()
	t.stranger.Gone()
}

// suspected reports whether other targets are to be preferred.
func (t *Target) suspected(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.breaker.Allows(now) || t.suspicion.Holds(now)
}

// pause notes the pause before an event of a stream.
func (t *Target) pause(d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses.Take(d, now)
}

// longestPause returns the longest pause between events of its streams lately.
func (t *Target) longestPause(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses.Longest(now)
}

// hear notes that bytes came from the target.
func (t *Target) hear(now time.Time) { t.heard.Store(int64(now.Sub(t.origin))) }

// heardSince reports whether bytes came after the time, here or to another entry.
func (t *Target) heardSince(began time.Time) bool {
	if t.heard.Load() > int64(began.Sub(t.origin)) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all.heard().After(began)
}

// ask notes that a head is awaited from the target, for a prompt that takes so
// long to be read, and returns what ends it.
func (t *Target) ask(now time.Time, work time.Duration) func(now time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asked == nil {
		t.asked = map[uint64]asking{}
	}
	t.next++
	id := t.next
	t.asked[id] = asking{
		at:   now,
		work: work,
	}
	return func(now time.Time, ok bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		took := now.Sub(t.asked[id].at).Seconds()
		delete(t.asked, id)
		if !ok && took < t.wait {
			return
		}
		t.wait += waitWeight * (took - t.wait)
		t.waitAt = now
	}
}

// head estimates how long the target takes to begin an answer now.
func (t *Target) head(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.wait * math.Exp2(-now.Sub(t.waitAt).Seconds()/waitFade.Seconds())
	for _, a := range t.asked {
		wait = max(wait, now.Sub(a.at).Seconds())
	}
	return time.Duration(wait * float64(time.Second))
}

// candidate returns what placing needs to know of the target.
func (t *Target) candidate(now time.Time) placement.Candidate {
	return placement.Candidate{
		ID:      t.Incarnation,
		Slots:   t.Slots,
		Weight:  t.weight(now),
		Share:   t.share(now),
		Crowd:   t.crowd(now),
		Head:    t.head(now),
		Reading: t.reading(now),
	}
}

// share is busy as a part of the slots.
func (t *Target) share(now time.Time) float64 {
	return t.busy(now) / float64(max(t.Slots, 1))
}

// Pool keeps the targets over changes of the list. The exported fields are set
// before Update.
type Pool struct {
	Clock persimmoncross.Clock
	// Gone is called for each life that left the list; may be nil.
	Gone func(life string)
	// Again is called for each life that has another in its place, under its name or
	// at its address; may be nil.
	Again func(was, is persimmoncross.Upstream)
	// Limits are those that this entry or others have observed.
	Limits *ratelimit.Store

	mu      sync.Mutex // guards all below
	byLife  map[string]*Target
	colds   map[string]slowstart.Cold // that were told, and are not over
	entries int                       // that share the upstreams; 0: not known yet
}

// Update takes the list and returns the targets by service.
func (p *Pool) Update(list []persimmoncross.Upstream) map[string][]*Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byLife
	p.byLife = make(map[string]*Target, len(list))
	services := map[string][]*Target{}
	for _, u := range list {
		life := u.Life()
		t := p.target(old[life], u)
		p.chillOne(t, u)
		if old[life] == nil && p.Limits != nil {
			t.setLimit(p.Limits.Rate(life), p.sharers(), p.Clock.Now())
		}
		p.byLife[life] = t
		services[u.Service] = append(services[u.Service], t)
	}
	p.tellOf(old)
	return services
}

// tellOf tells of the lives that are over. The caller holds mu.
func (p *Pool) tellOf(old map[string]*Target) {
	byName := map[string]persimmoncross.Upstream{}
	byAddress := map[netip.AddrPort]persimmoncross.Upstream{}
	for life, t := range old {
		if p.byLife[life] != nil {
			continue
		}
		byName[t.Incarnation] = t.Upstream
		byAddress[t.Address] = t.Upstream
		if p.Gone != nil {
			p.Gone(life)
		}
	}
	for life, t := range p.byLife {
		if old[life] != nil || p.Again == nil {
			continue
		}
		was, ok := byName[t.Incarnation]
		if !ok {
			was, ok = byAddress[t.Address]
		}
		if ok {
			p.Again(was, t.Upstream)
		}
	}
}

// target keeps what is known of a life; its facts on the list may change.
func (p *Pool) target(old *Target, u persimmoncross.Upstream) *Target {
	if old != nil && old.Leaving == u.Leaving && old.Version == u.Version && old.Slots == u.Slots && old.Service == u.Service &&
		old.DataCentre == u.DataCentre && slices.Equal(old.Models, u.Models) {
		return old
	}
	k := &knowledge{
		origin: p.Clock.Now(),
	}
	if old != nil {
		k = old.knowledge
	}
	return &Target{
		Upstream:  u,
		knowledge: k,
	}
}
