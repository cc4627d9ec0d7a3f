package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmoncross/core/state/register"
)

// maxSessions bounds the sessions that an entry remembers; the oldest go first.
const maxSessions = 20000

// Sessions remembers on which version of a service each session ran last, so
// that an upgrade does not move it. The exported fields are set before use.
type Sessions struct {
	// IdleTimeout is the pause after which a session's next request may run anywhere.
	IdleTimeout time.Duration

	mu       sync.Mutex // guards last
	lastRuns map[string]lastRun
}

type lastRun struct {
	version string
	at      time.Time // when the last run began or ended
	active  int
}

// BeginRun remembers that a run of the session begins on the version; what it
// returns is called when the run has ended.
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
			return // swept
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

// recentVersion returns the recentVersion that the session ran on within Idle, "" if none.
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

// versionFilter tells which versions of a service a request may run on.
type versionFilter struct {
	version    string // the upgrade's target; "" if any version may run it
	targetOnly bool   // only on that version, else on any but that
	strict     bool   // the other versions are forbidden, not just avoided
}

// matches reports whether the target belongs to the group.
func (f versionFilter) matches(t *Target) bool {
	return f.version == "" || (t.Version == f.version) == f.targetOnly
}

// chooseVersions decides for a request of a service under the upgrade. In the trial a
// session stays on the version that it ran on; of the others a share, the same
// at every entry, goes to the new version.
func (s *Sessions) chooseVersions(u register.Upgrade, session, request string, share float64, halted bool, now time.Time) versionFilter {
	filter := versionFilter{
		version: u.Target,
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
		filter.targetOnly = hashFraction(u.Service, session, request) < share
		filter.strict = !filter.targetOnly
	}
	return filter
}

// SessionHash is the name by which entries tell of a session.
func SessionHash(session string) uint64 { return xxhash.Sum64String(session) }

// SessionsToPin returns the sessions that a trial with the share would take and that
// ran on another version than the target within Idle, or run there now.
func (s *Sessions) SessionsToPin(u register.Upgrade, share float64, now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hashes []uint64
	prefix := u.Service + "\x00"
	for key, r := range s.lastRuns {
		session, ok := strings.CutPrefix(key, prefix)
		if !ok || r.version == u.Target || hashFraction(u.Service, session, "") >= share {
			continue
		}
		if r.active > 0 || now.Sub(r.at) <= s.IdleTimeout {
			hashes = append(hashes, SessionHash(session))
		}
	}
	return hashes
}

// hashFraction places a session, or a request without one, between 0 and 1, alike at
// all entries.
func hashFraction(service, session, request string) float64 {
	key := session
	if key == "" {
		key = request
	}
	const buckets = 1 << 20
	return float64(xxhash.Sum64String(service+"\x00"+key)%buckets) / buckets
}
