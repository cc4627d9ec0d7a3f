// Package routing knows the upstreams as one entry sees them, and decides which
// of them runs a request.
//
// A [Table] is shared by the request goroutines. What it learns per upstream
// are counters and small records that are replaced whole, so that a decision
// reads them without waiting.
package routing

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// How much one attempt moves the averages.
const (
	durationSmoothing = 0.05
	inFlightSmoothing = 0.05
)

// Table is what one entry knows of the upstreams.
type Table struct {
	Clock       persimmoncross.Clock
	DataCentre  string
	Picker      persimmoncross.Picker
	LiveEntries func() int // that place work, this one included

	mu        sync.Mutex // guards replacing the maps
	upstreams atomic.Pointer[map[string]*Upstream]
	evacuated atomic.Pointer[map[string]bool] // data centres
}

// Upstream is one of them.
type Upstream struct {
	Name    string
	Address netip.AddrPort

	clock          persimmoncross.Clock
	settings       *settings.Upstream
	hash           uint64 // of the name
	sameDataCentre bool
	inFlight       atomic.Int64
	report         atomic.Pointer[persimmoncross.UpstreamReport]
	restarts       atomic.Uint64 // how often it has started again
	observedExits  atomic.Uint64 // how often its process was found gone
	draining       atomic.Bool   // the platform, or the upstream itself, says that it leaves
	backoff        upstreamBackoff
	history        attemptHistory
	breakers       versionBreakers
}

// attemptHistory holds the averages of past attempts.
type attemptHistory struct {
	mu                  sync.Mutex // guards all below
	meanDurationSeconds float64    // seconds
	meanInFlight        float64    // own attempts under way, averaged over decisions
	prefixes            prefixCache
}

// Update takes a revision's upstreams over. One that stays at its address
// keeps what is known of it; one under a new address is a new one.
func (t *Table) Update(s *settings.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.upstreamsByName()
	next := map[string]*Upstream{}
	for name, u := range s.File.Upstreams {
		existing, ok := old[name]
		if ok && existing.Address == u.Address && slices.Equal(existing.settings.Versions, u.Versions) && existing.settings.SlotsOf() == u.SlotsOf() && existing.settings.Fencing == u.Fencing && existing.settings.DataCentre == u.DataCentre {
			next[name] = existing
			continue
		}
		next[name] = &Upstream{
			Name:           name,
			Address:        u.Address,
			clock:          t.Clock,
			settings:       u,
			hash:           xxhash.Sum64String(name),
			sameDataCentre: u.DataCentre == t.DataCentre,
		}
	}
	t.evacuated.Store(&s.Evacuated)
	t.upstreams.Store(&next)
}

// isAvailable reports whether the upstream may get new work.
func (t *Table) isAvailable(u *Upstream) bool {
	e := t.evacuated.Load()
	return !u.Draining() && (e == nil || !(*e)[u.DataCentre()])
}

func (t *Table) upstreamsByName() map[string]*Upstream {
	if p := t.upstreams.Load(); p != nil {
		return *p
	}
	return nil
}

// List returns the upstreams, by name.
func (t *Table) List() []*Upstream {
	var list []*Upstream
	for _, u := range t.upstreamsByName() {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Find returns the upstream with the name.
func (t *Table) Find(name string) (*Upstream, bool) {
	u, ok := t.upstreamsByName()[name]
	return u, ok
}

// PickInfo is what a decision needs to know of a request.
type PickInfo struct {
	Version          persimmoncross.ModelVersion // for an engine
	ServiceUpstreams []string                    // for a plain service: its upstreams
	Prompt           []byte
	TriedUpstreams   map[string]bool
	// IsolatedDigest is a request under suspicion: it runs at the upstream for it or nowhere.
	IsolatedDigest persimmoncross.Digest
	// IsolatedDigests are such requests; others keep away from their upstreams where enough are
	// left.
	IsolatedDigests []persimmoncross.Digest
}

// Pick returns the upstream to send an attempt to, or nil if none may have it.
// An upstream that was tried is taken again only if there is no other.
func (t *Table) Pick(c PickInfo) *Upstream {
	now := t.Clock.Now()
	var untried, tried []*Upstream
	eligible := t.eligible(c)
	if c.IsolatedDigest != (persimmoncross.Digest{}) {
		return pickIsolated(c, eligible, now)
	}
	for _, u := range excludeIsolated(c, eligible) {
		switch {
		case u.backoff.remaining(now) > 0 || !u.Breaker(c.Version).Allows():
		case c.TriedUpstreams[u.Name]:
			tried = append(tried, u)
		default:
			untried = append(untried, u)
		}
	}
	if len(untried) == 0 {
		untried = tried
	}
	if len(untried) == 0 {
		return nil
	}
	peerEntries := float64(max(1, t.LiveEntries()) - 1)
	candidates := make([]persimmoncross.Candidate, len(untried))
	hashes := prefixHashes(c.Prompt)
	affinity := affinityUpstream(untried, hashes)
	for i, u := range untried {
		candidates[i] = u.newCandidate(now, c.Version, hashes, peerEntries)
		if u == affinity {
			candidates[i].CachedBytes = len(c.Prompt)
		}
	}
	return untried[t.Picker.Pick(candidates, len(c.Prompt))]
}

// eligible returns the upstreams that hold the version or serve the service, do not
// leave, and stand in no data centre that is evacuated, in the order of their names.
func (t *Table) eligible(c PickInfo) []*Upstream {
	var list []*Upstream
	for _, u := range t.upstreamsByName() {
		if !t.isAvailable(u) || !u.serves(c) {
			continue
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Capacity returns how many requests the engines that hold any of the versions
// serve at once.
func (t *Table) Capacity(versions []persimmoncross.ModelVersion) int {
	slots := 0
	for _, u := range t.upstreamsByName() {
		canServe := func(v persimmoncross.ModelVersion) bool { return u.hasVersion(v) && u.Breaker(v).Allows() }
		if t.isAvailable(u) && slices.ContainsFunc(versions, canServe) {
			slots += u.slots()
		}
	}
	return slots
}

// slots returns the reported number, else the settings'.
func (u *Upstream) slots() int {
	if r := u.report.Load(); r != nil && r.Slots > 0 {
		return r.Slots
	}
	return u.settings.SlotsOf()
}

func (u *Upstream) serves(c PickInfo) bool {
	if len(c.ServiceUpstreams) > 0 {
		return slices.Contains(c.ServiceUpstreams, u.Name)
	}
	return u.hasVersion(c.Version)
}

// hasVersion reports whether the engine has the version. One that reports which
// versions it has loaded is believed.
func (u *Upstream) hasVersion(v persimmoncross.ModelVersion) bool {
	if !slices.Contains(u.settings.Versions, v.String()) {
		return false
	}
	r := u.report.Load()
	return r == nil || len(r.Versions) == 0 || slices.Contains(r.Versions, v)
}

func (u *Upstream) newCandidate(now time.Time, v persimmoncross.ModelVersion, hashes []uint64, peerEntries float64) persimmoncross.Candidate {
	c := persimmoncross.Candidate{
		Name:           u.Name,
		Address:        u.Address,
		SameDataCentre: u.sameDataCentre,
		InFlight:       int(u.inFlight.Load()),
		Slots:          u.slots(),
		ErrorRate:      u.Breaker(v).ErrorRate(),
	}
	u.history.mu.Lock()
	defer u.history.mu.Unlock()
	u.history.meanInFlight += inFlightSmoothing * (float64(c.InFlight) - u.history.meanInFlight)
	c.EstimatedInFlight = float64(c.InFlight) + peerEntries*u.history.meanInFlight
	c.MeanDuration = time.Duration(u.history.meanDurationSeconds * float64(time.Second))
	c.CachedBytes = u.history.prefixes.cachedBytes(hashes, now)
	return c
}

// Draining reports whether the upstream may get no new work.
func (u *Upstream) Draining() bool {
	if u.draining.Load() {
		return true
	}
	r := u.report.Load()
	return r != nil && r.Draining
}

// SetDraining notes the platform's word.
func (u *Upstream) SetDraining(leaving bool) { u.draining.Store(leaving) }

// Kind returns "engine" or "service".
func (u *Upstream) Kind() string { return u.settings.Kind }

// DataCentre returns the data centre that the upstream stands in.
func (u *Upstream) DataCentre() string { return u.settings.DataCentre }

// OmitsAttemptID reports whether the upstream does not echo attempt ids.
func (u *Upstream) OmitsAttemptID() bool { return u.settings.Blind }

// DeclaredVersions returns the versions that the settings give the upstream.
func (u *Upstream) DeclaredVersions() []string { return u.settings.Versions }

// maxReportAge is the age up to which a report shows that its upstream is there.
const maxReportAge = 5 * time.Second

// HasRecentReport reports whether the upstream has reported lately.
func (u *Upstream) HasRecentReport() bool {
	r := u.report.Load()
	return r != nil && u.clock.Now().Sub(r.RequestedAt) < maxReportAge
}

// SupportsFencing reports whether the engine refuses old fencing numbers.
func (u *Upstream) SupportsFencing() bool { return u.settings.Fencing }

// ReportedVersions returns the versions that the engine said last that it holds.
func (u *Upstream) ReportedVersions() []persimmoncross.ModelVersion {
	if r := u.report.Load(); r != nil {
		return r.Versions
	}
	return nil
}

// InFlight returns this entry's attempts under way.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// ApplyReport takes a report: its slots, versions and word of leaving. Its load is
// not used: it is late, and entries that all follow the same late figures chase
// each other (docs/design/placement.md has the measurement).
//
// An upstream may start again under its name and address: its own word tells. What
// was known of its former life (prompts in its cache, times, doubts) is forgotten
// then. It reports whether that is so.
func (u *Upstream) ApplyReport(r persimmoncross.UpstreamReport) (restarted bool) {
	old := u.report.Load()
	if old != nil && r.RequestedAt.Before(old.RequestedAt) {
		return false // its answer came later than that of one asked for after it
	}
	u.report.Store(&r)
	if old == nil || !hasRestarted(*old, r) {
		return false
	}
	u.restarts.Add(1)
	u.history.reset()
	u.breakers.reset()
	u.backoff.reset()
	return true
}

// hasRestarted reports whether the later report is of another life. Where the start
// is not told, a sequence that has fallen tells.
func hasRestarted(old, now persimmoncross.UpstreamReport) bool {
	if !old.StartedAt.IsZero() && !now.StartedAt.IsZero() {
		return !old.StartedAt.Equal(now.StartedAt)
	}
	return now.Sequence < old.Sequence
}

// Restarts returns how often the upstream has started again since it is known.
func (u *Upstream) Restarts() uint64 { return u.restarts.Load() }

func (h *attemptHistory) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.meanDurationSeconds = 0
	h.prefixes = prefixCache{}
}

// BeginAttempt notes that an attempt starts; the function it returns ends it.
func (u *Upstream) BeginAttempt(now time.Time, v persimmoncross.ModelVersion, prompt []byte) (endAttempt func()) {
	u.inFlight.Add(1)
	u.Breaker(v).Begin()
	hashes := prefixHashes(prompt)
	u.history.mu.Lock()
	u.history.prefixes.add(hashes, now)
	u.history.mu.Unlock()
	var once sync.Once
	return func() { once.Do(u.endAttempt) }
}

func (u *Upstream) endAttempt() { u.inFlight.Add(-1) }

// RecordDuration notes how long a whole attempt took.
func (u *Upstream) RecordDuration(d time.Duration) {
	u.history.mu.Lock()
	defer u.history.mu.Unlock()
	if u.history.meanDurationSeconds == 0 {
		u.history.meanDurationSeconds = d.Seconds()
		return
	}
	u.history.meanDurationSeconds += durationSmoothing * (d.Seconds() - u.history.meanDurationSeconds)
}
