// Package routing holds the state of the upstreams as observed by one entry, and
// picks the upstream for each attempt.
//
// A [Table] is shared by the request goroutines. The map of upstreams is replaced as
// a whole, so that a pick reads it without locking. The state of an upstream consists
// of atomic values and of small records, each guarded by its own lock.
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

// Smoothing factors of the moving averages.
const (
	durationSmoothing = 0.05
	inFlightSmoothing = 0.05
)

// Table holds the upstreams and their state as observed by one entry.
type Table struct {
	Clock       persimmoncross.Clock
	DataCentre  string
	Picker      persimmoncross.Picker
	LiveEntries func() int // number of entries that send requests, including this one

	mu        sync.Mutex // serializes updates of the maps
	upstreams atomic.Pointer[map[string]*Upstream]
	evacuated atomic.Pointer[map[string]bool] // names of the evacuated data centres
}

// Upstream is an upstream with its state as observed by this entry.
type Upstream struct {
	Name    string
	Address netip.AddrPort

	clock          persimmoncross.Clock
	settings       *settings.Upstream
	hash           uint64 // of the name
	sameDataCentre bool
	inFlight       atomic.Int64
	report         atomic.Pointer[persimmoncross.UpstreamReport]
	restarts       atomic.Uint64 // number of restarts
	observedExits  atomic.Uint64 // number of times the process was found to have exited
	draining       atomic.Bool   // set by SetDraining; the upstream's own state is in report
	backoff        upstreamBackoff
	history        attemptHistory
	breakers       versionBreakers
}

// attemptHistory holds averages over past attempts.
type attemptHistory struct {
	mu                  sync.Mutex // guards all fields below
	meanDurationSeconds float64    // mean duration of an attempt, in seconds
	meanInFlight        float64    // this entry's in-flight attempts, averaged over picks
	prefixes            prefixCache
}

// Update applies the upstreams of a settings revision. An upstream whose address, versions,
// slots, fencing and data centre are unchanged keeps its state; any other upstream starts
// without state.
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

// isAvailable reports whether the upstream may get new requests.
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

// List returns the upstreams, sorted by name.
func (t *Table) List() []*Upstream {
	var list []*Upstream
	for _, u := range t.upstreamsByName() {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Find returns the upstream with the given name.
func (t *Table) Find(name string) (*Upstream, bool) {
	u, ok := t.upstreamsByName()[name]
	return u, ok
}

// PickInfo is the information about a request that Pick needs.
type PickInfo struct {
	Version          persimmoncross.ModelVersion // for a request to an engine
	ServiceUpstreams []string                    // for a request to a plain service: names of its upstreams
	Prompt           []byte
	TriedUpstreams   map[string]bool
	// IsolatedDigest is the digest of the request if it is isolated. The request runs at the
	// upstream reserved for it or not at all.
	IsolatedDigest persimmoncross.Digest
	// IsolatedDigests are the digests of all isolated requests for the same target. Other
	// requests avoid the upstreams reserved for them if enough other upstreams are left.
	IsolatedDigests []persimmoncross.Digest
}

// Pick returns the upstream for an attempt, or nil if no upstream may get the attempt. An
// upstream that was already tried is picked only if no other is available.
func (t *Table) Pick(info PickInfo) *Upstream {
	now := t.Clock.Now()
	var usable, tried []*Upstream
	eligible := t.eligible(info)
	if info.IsolatedDigest != (persimmoncross.Digest{}) {
		return pickIsolated(info, eligible, now)
	}
	for _, u := range excludeIsolated(info, eligible) {
		switch {
		case u.backoff.remaining(now) > 0 || !u.Breaker(info.Version).Allows():
		case info.TriedUpstreams[u.Name]:
			tried = append(tried, u)
		default:
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		usable = tried
	}
	if len(usable) == 0 {
		return nil
	}
	peerEntries := float64(max(1, t.LiveEntries()) - 1)
	candidates := make([]persimmoncross.Candidate, len(usable))
	hashes := prefixHashes(info.Prompt)
	affinity := affinityUpstream(usable, hashes)
	for i, u := range usable {
		candidates[i] = u.newCandidate(now, info.Version, hashes, peerEntries)
		if u == affinity {
			candidates[i].CachedBytes = len(info.Prompt)
		}
	}
	return usable[t.Picker.Pick(candidates, len(info.Prompt))]
}

// eligible returns the upstreams, sorted by name, that have the version or serve the service,
// are not draining, and are not in an evacuated data centre.
func (t *Table) eligible(info PickInfo) []*Upstream {
	var list []*Upstream
	for _, u := range t.upstreamsByName() {
		if !t.isAvailable(u) || !u.serves(info) {
			continue
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Capacity returns how many requests the engines that have any of the versions can run
// concurrently. An engine does not count while it is draining, while its data centre is
// evacuated, or while its circuit breakers allow none of the versions.
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

// slots returns the number of slots that the upstream reported, or the number in the settings
// if it reported none.
func (u *Upstream) slots() int {
	if r := u.report.Load(); r != nil && r.Slots > 0 {
		return r.Slots
	}
	return u.settings.SlotsOf()
}

func (u *Upstream) serves(info PickInfo) bool {
	if len(info.ServiceUpstreams) > 0 {
		return slices.Contains(info.ServiceUpstreams, u.Name)
	}
	return u.hasVersion(info.Version)
}

// hasVersion reports whether the engine has the version. If the engine reports its loaded
// versions, the version must be among them.
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

// Draining reports whether the platform has set the upstream to draining, or the upstream
// reports that it is draining.
func (u *Upstream) Draining() bool {
	if u.draining.Load() {
		return true
	}
	r := u.report.Load()
	return r != nil && r.Draining
}

// SetDraining sets whether the platform wants the upstream drained.
func (u *Upstream) SetDraining(draining bool) { u.draining.Store(draining) }

// Kind returns "engine" or "service".
func (u *Upstream) Kind() string { return u.settings.Kind }

// DataCentre returns the upstream's data centre.
func (u *Upstream) DataCentre() string { return u.settings.DataCentre }

// OmitsAttemptID reports whether the upstream does not echo attempt IDs.
func (u *Upstream) OmitsAttemptID() bool { return u.settings.Blind }

// DeclaredVersions returns the versions that the settings assign to the upstream.
func (u *Upstream) DeclaredVersions() []string { return u.settings.Versions }

// maxReportAge is the age up to which a report shows that its upstream is running.
const maxReportAge = 5 * time.Second

// HasRecentReport reports whether the latest report was requested less than maxReportAge ago.
func (u *Upstream) HasRecentReport() bool {
	r := u.report.Load()
	return r != nil && u.clock.Now().Sub(r.RequestedAt) < maxReportAge
}

// SupportsFencing reports whether the engine rejects orders with an old fencing number.
func (u *Upstream) SupportsFencing() bool { return u.settings.Fencing }

// ReportedVersions returns the loaded versions in the engine's latest report.
func (u *Upstream) ReportedVersions() []persimmoncross.ModelVersion {
	if r := u.report.Load(); r != nil {
		return r.Versions
	}
	return nil
}

// InFlight returns the number of this entry's in-flight attempts.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// ApplyReport stores a report, from which the upstream's slots, versions and draining state
// are used. The reported load is not used: it lags behind, and entries that all follow the
// same outdated load send their requests to the same upstreams in turn
// (docs/design/placement.md has the measurement).
//
// An upstream may restart under the same name and address, which its report shows.
// ApplyReport then resets the state of the earlier process (prompt cache, durations, circuit
// breakers, backoff) and returns true.
func (u *Upstream) ApplyReport(r persimmoncross.UpstreamReport) (restarted bool) {
	old := u.report.Load()
	if old != nil && r.RequestedAt.Before(old.RequestedAt) {
		return false // a later request was answered first
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

// hasRestarted reports whether the upstream restarted between the two reports. If a start
// time is missing, a lower sequence number indicates a restart.
func hasRestarted(old, now persimmoncross.UpstreamReport) bool {
	if !old.StartedAt.IsZero() && !now.StartedAt.IsZero() {
		return !old.StartedAt.Equal(now.StartedAt)
	}
	return now.Sequence < old.Sequence
}

// Restarts returns the number of restarts observed since the upstream was added.
func (u *Upstream) Restarts() uint64 { return u.restarts.Load() }

func (h *attemptHistory) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.meanDurationSeconds = 0
	h.prefixes = prefixCache{}
}

// BeginAttempt records the start of an attempt. The returned function records its end.
func (u *Upstream) BeginAttempt(now time.Time, v persimmoncross.ModelVersion, prompt []byte) (endAttempt func()) {
	u.inFlight.Add(1)
	u.Breaker(v).StartAttempt()
	hashes := prefixHashes(prompt)
	u.history.mu.Lock()
	u.history.prefixes.add(hashes, now)
	u.history.mu.Unlock()
	var once sync.Once
	return func() { once.Do(u.endAttempt) }
}

func (u *Upstream) endAttempt() { u.inFlight.Add(-1) }

// RecordDuration updates the mean duration with the duration of a complete attempt.
func (u *Upstream) RecordDuration(d time.Duration) {
	u.history.mu.Lock()
	defer u.history.mu.Unlock()
	if u.history.meanDurationSeconds == 0 {
		u.history.meanDurationSeconds = d.Seconds()
		return
	}
	u.history.meanDurationSeconds += durationSmoothing * (d.Seconds() - u.history.meanDurationSeconds)
}
