package node

import (
	"time"

	"persimmoncross/core/coordination/ratelimit"
	"persimmoncross/io/protocol/wire"
	"persimmoncross/io/transport/peer"
)

// Rate limits that upstreams announce are replicated to all entries: the entry that observes a
// limit reports it to the controller that it follows, and controllers forward it to their
// followers and to the leader, each without waiting for the next regular message. The latest
// observation wins, so neither order nor repetition matters, and no leader is needed.

// maxLimitsPerMessage limits the rate limits in one message, so that its size stays at some KB.
const maxLimitsPerMessage = 100

// mergeLimits merges observations, and wakes the streams to followers if a rate limit changed.
func (p *publisher) mergeLimits(list []ratelimit.Observation) {
	if len(list) == 0 || len(p.limits.Merge(list, p.clock.Now())) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

// addLimits adds the rate limits that have changed to an update for a follower.
func (p *publisher) addLimits(u *wire.Update, s *followerState) {
	var changes []ratelimit.Observation
	changes, s.limitsVersion, s.hasMoreLimits = p.limits.ChangesSince(s.limitsVersion, maxLimitsPerMessage)
	u.Limits = toWireLimits(changes, p.clock.Now())
}

// sendLimits sends the followed controller the rate limits that have changed since the version,
// and returns the version after them.
func (f *follower) sendLimits(s *peer.Stream, version uint64) (uint64, error) {
	for more := true; more; {
		var changes []ratelimit.Observation
		changes, version, more = f.Limits.ChangesSince(version, maxLimitsPerMessage)
		if len(changes) == 0 {
			continue
		}
		if err := s.Send(&wire.Account{Limits: toWireLimits(changes, f.Clock.Now())}); err != nil {
			return version, err
		}
	}
	return version, nil
}

func toWireLimits(list []ratelimit.Observation, now time.Time) []*wire.Limit {
	var limits []*wire.Limit
	for _, o := range list {
		limits = append(limits, &wire.Limit{
			Life: o.InstanceID,
			Rate: float32(o.Rate),
			Age:  uint32(max(now.Sub(o.ObservedAt), 0) / time.Millisecond),
		})
	}
	return limits
}

func fromWireLimits(limits []*wire.Limit, now time.Time) []ratelimit.Observation {
	var list []ratelimit.Observation
	for _, x := range limits {
		list = append(list, ratelimit.Observation{
			InstanceID: x.GetLife(),
			Rate:       float64(x.GetRate()),
			ObservedAt: now.Add(-time.Duration(x.GetAge()) * time.Millisecond),
		})
	}
	return list
}
