package node

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross/core/coordination/relay"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
	"persimmoncross/io/protocol/wire"
)

const (
	// sessionReportInterval is the interval at which followers look for changes of the sessions
	// that must stay on the old version. A session that begins after the last report before a
	// trial is unknown to the other entries, so the interval bounds how many there are.
	sessionReportInterval = 50 * time.Millisecond
	// lateSessionsDuration is how long an entry reports such sessions after it has received the
	// trial. It allows for a report that is lost with its stream and for a change of the leader.
	lateSessionsDuration = 2 * time.Second
)

// sessionCollector collects the sessions that must stay on the old version during a trial.
type sessionCollector struct {
	Sessions *relay.Sessions
	Share    float64 // exposure share of an unproven version

	mu          sync.Mutex           // guards trialSeenAt
	trialSeenAt map[uint64]time.Time // by the upgrade's order, when its trial was first seen
}

// collect returns the sessions of the upgrades that are in preparation, and of those whose trial
// has just begun. The latter are the sessions that began here on the old version after the last
// report before the trial.
func (c *sessionCollector) collect(upgrades map[string]register.Upgrade, now time.Time) []*wire.Recent {
	var list []*wire.Recent
	for _, u := range upgrades {
		if !c.isCollecting(u, now) {
			continue
		}
		sessions := c.Sessions.SessionsToPin(u, upgrade.MaxSessionShare(u.Duration, c.Share), now)
		if u.Stage == register.Trial && len(sessions) == 0 {
			continue
		}
		slices.Sort(sessions)
		list = append(list, &wire.Recent{
			Service:  u.Service,
			Order:    u.Order,
			Sessions: sessions,
		})
	}
	return list
}

// isCollecting reports whether the upgrade's sessions are collected now.
func (c *sessionCollector) isCollecting(u register.Upgrade, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Stage != register.Trial {
		delete(c.trialSeenAt, u.Order)
		return u.Stage == register.Prepare
	}
	seenAt, ok := c.trialSeenAt[u.Order]
	if !ok {
		if c.trialSeenAt == nil {
			c.trialSeenAt = map[uint64]time.Time{}
		}
		seenAt = now
		c.trialSeenAt[u.Order] = now
	}
	return now.Sub(seenAt) <= lateSessionsDuration
}

// sentSessions records the sessions that were sent on a stream, so that a change of them is sent
// before the next regular report.
type sentSessions struct {
	byReporter map[string][]*wire.Recent
	lastSeenAt time.Time // when a report last listed an upgrade's sessions; zero: never
}

// record records a report and returns whether it lists other sessions than the reporter's
// previous one.
func (s *sentSessions) record(a *wire.Account, now time.Time) bool {
	if len(a.GetRecent()) == 0 {
		return false
	}
	s.lastSeenAt = now
	id := reporterID(a)
	changed := !slices.EqualFunc(s.byReporter[id], a.GetRecent(), func(x, y *wire.Recent) bool { return proto.Equal(x, y) })
	if s.byReporter == nil {
		s.byReporter = map[string][]*wire.Recent{}
	}
	s.byReporter[id] = a.GetRecent()
	return changed
}

// isActive reports whether sessions are being collected. Regular reports repeat them, so two
// report intervals without any mean that the collection is over.
func (s *sentSessions) isActive(now time.Time) bool {
	return !s.lastSeenAt.IsZero() && now.Sub(s.lastSeenAt) < 2*reportInterval
}

// checkInterval returns the interval between two checks for reports to send.
func (s *sentSessions) checkInterval(now time.Time) time.Duration {
	if s.isActive(now) {
		return sessionReportInterval
	}
	return reportInterval
}

// sessionsToKeep returns the sessions that the reports list and that the upgrade does not keep on
// the old version yet. Only the trial keeps sessions.
func sessionsToKeep(u register.Upgrade, stage register.Stage, reports []*wire.Account) []uint64 {
	if stage != register.Trial {
		return nil
	}
	var sessions []uint64
	for _, a := range reports {
		for _, r := range a.GetRecent() {
			if r.GetService() == u.Service && r.GetOrder() == u.Order {
				sessions = append(sessions, r.GetSessions()...)
			}
		}
	}
	slices.Sort(sessions)
	sessions = slices.Compact(sessions)
	return slices.DeleteFunc(sessions, func(hash uint64) bool { return slices.Contains(u.Kept, hash) })
}
