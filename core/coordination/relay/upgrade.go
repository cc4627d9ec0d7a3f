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
	// Idle is the pause after which a session's next request may run anywhere.
	Idle time.Duration

	mu   sync.Mutex // guards last
	last map[string]lastRun
}

type lastRun struct {
	version string
	at      time.Time // when the last run began or ended
	running int
}

// Begin remembers that a run of the session begins on the version; what it
// returns is called when the run has ended.
func (s *Sessions) Begin(service, session, version string, now time.Time) func(now time.Time) {
	if session == "" {
		return func(time.Time) {}
	}
	key := service + "\x00" + session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]lastRun{}
	}
	if len(s.last) >= maxSessions {
		s.sweep(now)
	}
	s.last[key] = lastRun{
		version: version,
		at:      now,
		running: s.last[key].running + 1,
	}
	return func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		r, ok := s.last[key]
		if !ok {
			return // swept
		}
		r.at = now
		r.running--
		s.last[key] = r
	}
}

func (s *Sessions) sweep(now time.Time) {
	for key, r := range s.last {
		if r.running <= 0 && now.Sub(r.at) > s.Idle {
			delete(s.last, key)
		}
	}
	if len(s.last) >= maxSessions {
		clear(s.last)
	}
}

// version returns the version that the session ran on within Idle, "" if none.
func (s *Sessions) version(service, session string, now time.Time) string {
	if session == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.last[service+"\x00"+session]
	if !ok || r.running <= 0 && now.Sub(r.at) > s.Idle {
		return ""
	}
	return r.version
}

// group tells which versions of a service a request may run on.
type group struct {
	version string // the upgrade's target; "" if any version may run it
	only    bool   // only on that version, else on any but that
	strict  bool   // the other versions are forbidden, not just avoided
}

// holds reports whether the target belongs to the group.
func (g group) holds(t *Target) bool {
	return g.version == "" || (t.Version == g.version) == g.only
}

// choose decides for a request of a service under the upgrade. In the trial a
// session stays on the version that it ran on; of the others a share, the same
// at every entry, goes to the new version.
func (s *Sessions) choose(u register.Upgrade, session, request string, share float64, braked bool, now time.Time) group {
	g := group{
		version: u.Target,
	}
	switch u.Stage {
	case register.Prepare, register.Withdrawn:
		g.strict = true
	case register.Shift, register.Completed:
		g.only = true
	case register.Trial:
		g.strict = true
		if braked || slices.Contains(u.Kept, SessionHash(session)) {
			return g
		}
		if last := s.version(u.Service, session, now); last != "" {
			g.only = last == u.Target
			g.strict = !g.only
			return g
		}
		g.only = part(u.Service, session, request) < share
		g.strict = !g.only
	}
	return g
}

// SessionHash is the name by which entries tell of a session.
func SessionHash(session string) uint64 { return xxhash.Sum64String(session) }

// Recent returns the sessions that a trial with the share would take and that
// ran on another version than the target within Idle, or run there now.
func (s *Sessions) Recent(u register.Upgrade, share float64, now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []uint64
	prefix := u.Service + "\x00"
	for key, r := range s.last {
		session, ok := strings.CutPrefix(key, prefix)
		if !ok || r.version == u.Target || part(u.Service, session, "") >= share {
			continue
		}
		if r.running > 0 || now.Sub(r.at) <= s.Idle {
			list = append(list, SessionHash(session))
		}
	}
	return list
}

// part places a session, or a request without one, between 0 and 1, alike at
// all entries.
func part(service, session, request string) float64 {
	key := session
	if key == "" {
		key = request
	}
	const places = 1 << 20
	return float64(xxhash.Sum64String(service+"\x00"+key)%places) / places
}
