package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
)

// maxSessions limits the sessions that an entry keeps. At the limit, idle sessions are evicted,
// and if that is not enough, all sessions.
const maxSessions = 20000

// Sessions records the version of a service on which each session last ran, so that the trial of
// an upgrade does not move the session. The exported fields are set before use.
type Sessions struct {
	// IdleTimeout is the idle time after which a session's next request may run on any version.
	IdleTimeout time.Duration

	mu       sync.Mutex // guards lastRuns
	lastRuns map[string]lastRun
}

type lastRun struct {
	version string
	at      time.Time // when a run last began or ended
	active  int       // runs in progress
}

// BeginRun records that a run of the session begins on the version. The caller calls the
// returned function when the run has ended.
func (s *Sessions) BeginRun(service, session, version string, now time.Time) func(now time.Time) {
	if session == "" {
		return func(time.Time) {}
	}
	key := service + "\x00" + session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastRuns == nil {
		s.lastRuns = map[string]lastRun{}
	}
	if len(s.lastRuns) >= maxSessions {
		s.evictIdle(now)
	}
	s.lastRuns[key] = lastRun{
		version: version,
		at:      now,
		active:  s.lastRuns[key].active + 1,
	}
	return func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		r, ok := s.lastRuns[key]
		if !ok {
			return // evicted
		}
		r.at = now
		r.active--
		s.lastRuns[key] = r
	}
}

func (s *Sessions) evictIdle(now time.Time) {
	for key, run := range s.lastRuns {
		if run.active <= 0 && now.Sub(run.at) > s.IdleTimeout {
			delete(s.lastRuns, key)
		}
	}
	if len(s.lastRuns) >= maxSessions {
		clear(s.lastRuns)
	}
}

// recentVersion returns the version on which the session runs or ran within IdleTimeout, "" if
// there is none.
func (s *Sessions) recentVersion(service, session string, now time.Time) string {
	if session == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.lastRuns[service+"\x00"+session]
	if !ok || r.active <= 0 && now.Sub(r.at) > s.IdleTimeout {
		return ""
	}
	return r.version
}

// versionFilter selects the versions of a service that a request may run on.
type versionFilter struct {
	version    string   // the upgrade's target version; "" matches any version
	targetOnly bool     // match only that version; if false, match any other version
	strict     bool     // targets that don't match are forbidden, not just avoided
	rejected   []string // versions that are forbidden in any case
}

// matches reports whether the filter selects the target's version.
func (f versionFilter) matches(t *Target) bool {
	return f.permits(t) && (f.version == "" || (t.Version == f.version) == f.targetOnly)
}

// versionFilterKey identifies a filter among those of one service.
type versionFilterKey struct {
	version    string
	targetOnly bool
	strict     bool
}

func (f versionFilter) key() versionFilterKey {
	return versionFilterKey{
		version:    f.version,
		targetOnly: f.targetOnly,
		strict:     f.strict,
	}
}

// permits reports whether the target may be used if the filter selects no other one.
func (f versionFilter) permits(t *Target) bool { return !slices.Contains(f.rejected, t.Version) }

// chooseVersions returns the version filter for a request to a service that is being upgraded.
// During the trial a session stays on the version that it ran on. Of the other sessions and the
// requests without a session, a share runs on the new version; every entry chooses the same ones.
// If halted is set, the new version gets no requests during the trial.
func (s *Sessions) chooseVersions(u register.Upgrade, session, request string, shares upgrade.Shares, halted bool, now time.Time) versionFilter {
	filter := versionFilter{
		version:  u.Target,
		rejected: u.Rejected,
	}
	switch u.Stage {
	case register.Prepare, register.Withdrawn:
		filter.strict = true
	case register.Shift, register.Completed:
		filter.targetOnly = true
	case register.Trial:
		filter.strict = true
		if halted || slices.Contains(u.Kept, SessionHash(session)) {
			return filter
		}
		if previous := s.recentVersion(u.Service, session, now); previous != "" {
			filter.targetOnly = previous == u.Target
			filter.strict = !filter.targetOnly
			return filter
		}
		share := shares.Requests
		if session != "" {
			share = shares.Sessions
		}
		filter.targetOnly = hashFraction(u.Service, session, request) < share
		filter.strict = !filter.targetOnly
	}
	return filter
}

// chooseStale changes the version filter while no controller can tell how far the upgrade is. Requests without a
// session run on the old version, which is proven, as long as it has upstreams: the new one may have been
// withdrawn, or completed, after which the old version's upstreams have stopped. Sessions are not moved, since other
// entries go on to place them as before.
func chooseStale(filter versionFilter, session string) versionFilter {
	filter.strict = false
	if session == "" {
		filter.targetOnly = false
	}
	return filter
}

// SessionHash returns the hash that identifies a session between entries.
func SessionHash(session string) uint64 { return xxhash.Sum64String(session) }

// SessionsToPin returns the hashes of the sessions that a trial with the share would move and
// that run on another version than the target now, or ran there within IdleTimeout. Sessions
// that the upgrade keeps already are left out.
func (s *Sessions) SessionsToPin(u register.Upgrade, share float64, now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hashes []uint64
	prefix := u.Service + "\x00"
	for key, r := range s.lastRuns {
		if r.version == u.Target || r.active <= 0 && now.Sub(r.at) > s.IdleTimeout {
			continue
		}
		session, ok := strings.CutPrefix(key, prefix)
		if !ok || hashFraction(u.Service, session, "") >= share {
			continue
		}
		if hash := SessionHash(session); !slices.Contains(u.Kept, hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// hashFraction maps a session, or a request without a session, to a number from 0 up to 1, which
// is the same at all entries.
func hashFraction(service, session, request string) float64 {
	key := session
	if key == "" {
		key = request
	}
	const buckets = 1 << 20
	return float64(xxhash.Sum64String(service+"\x00"+key)%buckets) / buckets
}
